package placement

// Outcome is how a request at a leaf ended.
type Outcome uint8

// Outcomes of a request.
const (
	// Replied is a valid reply.
	Replied Outcome = iota
	// Failed is an error reply, a reply that makes no sense or a lost connection.
	Failed
	// Refused is a leaf that said that it did not run the request.
	Refused
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Abandoned is a request whose reply was no longer wanted.
	Abandoned
	// TimedOut is a request without a reply when its time was up.
	TimedOut
	// NotSent is a request that ended while it waited for a connection of this VM.
	NotSent
	// Replaced is an address at which another leaf answered.
	Replaced
)
