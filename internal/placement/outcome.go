package placement

// Outcome is the outcome of a request to a leaf.
type Outcome uint8

// Outcomes of a request.
const (
	// Replied means that a valid reply arrived.
	Replied Outcome = iota
	// Failed means an error reply, an invalid reply or a lost connection.
	Failed
	// Refused means that the leaf replied that it did not run the request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the request was cancelled because its reply was no longer
	// needed.
	Abandoned
	// TimedOut means that no reply arrived before the deadline.
	TimedOut
	// NotSent means that the request was cancelled or timed out while it waited for a
	// free connection.
	NotSent
	// Replaced means that another leaf replied at the address.
	Replaced
)
