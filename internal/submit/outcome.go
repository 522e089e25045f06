package submit

import (
	"bytes"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Outcome is the answer to a request.
type Outcome struct {
	Kind OutcomeKind
	// Result is the upstream's reply, only with Done. It must not be modified.
	Result []byte
	// ResultDropped is true when the request is done but its result was larger
	// than MaxResultBytes, so that only the answer to the first attempt and to
	// those that joined it carried it.
	ResultDropped bool
	// Reason says why the request is not known to be done.
	Reason errs.Reason
}

// String returns the outcome as logs show it, without the result's content.
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

// normalized removes fields that the kind does not allow.
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

// kept returns the outcome as a record stores it. The result is copied, since a
// short slice could hold a long receive buffer in memory.
func (o Outcome) kept(maxResultBytes int) Outcome {
	if len(o.Result) > maxResultBytes {
		o.Result, o.ResultDropped = nil, true
		return o
	}
	o.Result = bytes.Clone(o.Result)
	return o
}
