package message

// Confirm requests from an agent a generation that the agent has verified after
// the request arrived.
type Confirm struct{}

// Confirmed is the reply to a Confirm: the active generation of the agent.
type Confirmed struct {
	Generation uint64 `msgpack:"g"`
}
