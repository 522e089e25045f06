package route

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/submit"
)

// FailedForwardOutcome returns the outcome of a forward that got no valid reply from
// the issuer. It is always Unknown: NotRun in the error means only that this
// forward did not reach the issuer, and an earlier attempt with the same ticket may
// have run the request.
func FailedForwardOutcome(err error, peer string) submit.Outcome {
	e := errs.From(err, errs.StepForward, peer)
	return submit.Outcome{Kind: submit.Unknown, Reason: e.Reason}
}
