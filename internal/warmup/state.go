package warmup

// State is what the relay knows of a leaf.
type State string

// States of a leaf.
const (
	// Cold: no reply since the relay started or since the last fall.
	Cold State = "cold"
	// Warming: it replies, and the limit rises step by step.
	Warming State = "warming"
	// Warm: it may get its full number of slots.
	Warm State = "warm"
	// Down: it does not accept connections.
	Down State = "down"
	// Leaving: it takes no new work and keeps this state until it restarts.
	Leaving State = "leaving"
)
