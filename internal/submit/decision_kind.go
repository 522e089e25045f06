package submit

// DecisionKind is what the caller of Submit must do. The zero value permits
// nothing.
type DecisionKind uint8

// Kinds of decision.
const (
	// Reject refuses the ticket; Decision.Err says why.
	Reject DecisionKind = iota
	// Run gives the request to the caller of Submit, who must call Dispatch
	// and Finish. It is given at most once per ticket.
	Run
	// Join means that the request is running: wait for the outcome that
	// Finish returns to the holder of Run.
	Join
	// Answer means that Decision.Outcome is the answer.
	Answer
)

// String returns the kind as logs show it.
func (k DecisionKind) String() string {
	switch k {
	case Run:
		return "run"
	case Join:
		return "join"
	case Answer:
		return "answer"
	default:
		return "reject"
	}
}
