package warmup

// State is what the relay has observed about a leaf.
type State string

// States of a leaf.
const (
	// Cold: no reply since the relay started or since the last demotion.
	Cold State = "cold"
	// Warming: the leaf replies, and its limit rises step by step.
	Warming State = "warming"
	// Warm: the leaf may use all its slots.
	Warm State = "warm"
	// Down: the leaf does not accept connections.
	Down State = "down"
	// Leaving: the leaf accepts no new work until it restarts.
	Leaving State = "leaving"
)
