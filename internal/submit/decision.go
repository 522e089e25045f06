package submit

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Decision is the result of Submit.
type Decision struct {
	Kind DecisionKind
	// Outcome is set with Answer.
	Outcome Outcome
	// Err is set with Reject.
	Err *errs.Error
}

// String returns the decision as logs show it.
func (d Decision) String() string {
	switch {
	case d.Kind == Answer:
		return d.Kind.String() + " " + d.Outcome.String()
	case d.Err != nil:
		return d.Kind.String() + " " + d.Err.Error()
	default:
		return d.Kind.String()
	}
}

func answer(o Outcome) Decision {
	return Decision{Kind: Answer, Outcome: o}
}

func unknown(reason errs.Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

func notRun(reason errs.Reason) Outcome {
	return Outcome{Kind: NotRun, Reason: reason}
}
