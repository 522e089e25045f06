package budget

// Kind is what an extra attempt is for.
type Kind uint8

// Kinds of extra attempts.
const (
	KindHedge Kind = iota
	KindRetry
)
