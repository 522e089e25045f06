package submit

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Decision is the result of Submit.
type Decision struct {
	Kind DecisionKind
	// Outcome is set if Kind is Answer.
	Outcome Outcome
	// Err is set if Kind is Reject.
	Err *errs.Error
}

// String returns the decision in the form used in logs.
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

func answerWith(o Outcome) Decision {
	return Decision{Kind: Answer, Outcome: o}
}

func unknownOutcome(reason errs.Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

func notRunOutcome(reason errs.Reason) Outcome {
	return Outcome{Kind: NotRun, Reason: reason}
}
