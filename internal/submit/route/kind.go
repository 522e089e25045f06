package route

// Kind is what the entry does with a submitted ticket. The zero value sends
// and runs nothing.
type Kind uint8

// Kinds of route.
const (
	// Answer means that Route.Outcome is the answer.
	Answer Kind = iota
	// Local means that the ledger of this VM decides.
	Local
	// Forward means that the entry at Route.Address decides.
	Forward
)

// String returns the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Local:
		return "here"
	case Forward:
		return "forward"
	default:
		return "answer"
	}
}
