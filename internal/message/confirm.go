package message

// Confirm asks an agent for a generation that it has checked since the request
// arrived.
type Confirm struct{}

// Confirmed is the generation in force at the agent.
type Confirmed struct {
	Generation uint64 `msgpack:"g"`
}
