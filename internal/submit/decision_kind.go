package submit

// DecisionKind states how the caller of Submit must handle the request. The zero
// value, Reject, permits nothing.
type DecisionKind uint8

// Kinds of decision.
const (
	// Reject means that the ticket is invalid; Decision.Err gives the reason.
	Reject DecisionKind = iota
	// Run means that the caller of Submit runs the request and must call
	// Dispatch and Finish. It is returned at most once per ticket.
	Run
	// Join means that the request is already running: wait for the outcome
	// that Finish returns to the caller that got Run.
	Join
	// Answer means that the outcome is known: reply with Decision.Outcome.
	Answer
)

// String returns the kind in the form used in logs.
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
