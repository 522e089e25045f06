package budget

// Kind is the kind of an extra attempt.
type Kind uint8

// Kinds of extra attempts.
const (
	KindHedge Kind = iota
	KindRetry
)
