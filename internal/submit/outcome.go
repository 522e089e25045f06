package submit

import (
	"bytes"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Outcome is the outcome of a request as answered to its caller.
type Outcome struct {
	Kind OutcomeKind
	// Result is the upstream's reply, set only with Done. It must not be modified.
	Result []byte
	// ResultDropped is true if the request is done but its result was larger than
	// MaxResultBytes and thus not recorded. Only the first attempt and those that
	// joined it got the result.
	ResultDropped bool
	// Reason is why the request did not run or its outcome is unknown.
	Reason errs.Reason
}

// String returns the outcome in the form used in logs, without the result.
func (o Outcome) String() string {
	switch {
	case o.ResultDropped:
		return o.Kind.String() + " (result dropped)"
	case o.Reason != "":
		return o.Kind.String() + " (" + string(o.Reason) + ")"
	default:
		return o.Kind.String()
	}
}

// normalized returns the outcome without fields that its kind doesn't allow.
func (o Outcome) normalized() Outcome {
	switch o.Kind {
	case Done:
		o.Reason = ""
	case NotRun:
		o.Result, o.ResultDropped = nil, false
	default:
		o = Outcome{Kind: Unknown, Reason: o.Reason}
	}
	return o
}

// limitResult returns the outcome to record, without a result larger than
// maxResultBytes. It copies the result, since a short slice could keep a large
// receive buffer in memory.
func (o Outcome) limitResult(maxResultBytes int) Outcome {
	if len(o.Result) > maxResultBytes {
		o.Result, o.ResultDropped = nil, true
		return o
	}
	o.Result = bytes.Clone(o.Result)
	return o
}
