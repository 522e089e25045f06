package warmup

// State is what the relay has observed about a leaf.
type State string

// States of a leaf.
const (
	// Cold means that the leaf has not replied since the relay started or since
	// the last demotion.
	Cold State = "cold"
	// Warming means that the leaf replies and its limit rises step by step.
	Warming State = "warming"
	// Warm means that the leaf may use all its slots.
	Warm State = "warm"
	// Down means that the leaf does not accept connections.
	Down State = "down"
	// Leaving means that the leaf accepts no new requests until it restarts.
	Leaving State = "leaving"
)
