package route

// Kind is how the entry process handles a submitted ticket. The zero value neither
// sends nor runs the request.
type Kind uint8

// Kinds of route.
const (
	// Answer means that the entry replies with Route.Outcome.
	Answer Kind = iota
	// Local means that the ledger of this VM decides.
	Local
	// Forward means that the ledger of the entry at Route.Address decides.
	Forward
)

// String returns the kind in the form used in logs.
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
