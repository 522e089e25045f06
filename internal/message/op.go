package message

// Op is the operation that a leaf request performs.
type Op uint8

// Operations of a leaf request.
const (
	OpSearch Op = 1
	// OpExecute is not idempotent and is sent to a leaf at most once.
	OpExecute Op = 2
)
