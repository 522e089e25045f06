package message

// Op is what a leaf is asked to do.
type Op uint8

// Operations of a leaf request.
const (
	OpSearch Op = 1
	// OpExecute is non-idempotent: it is sent to a leaf at most once.
	OpExecute Op = 2
)
