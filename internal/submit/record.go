package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// record is the state of one ticket.
type record struct {
	seq         uint64
	issuedAt    time.Duration
	deadline    time.Duration
	requestHash uint64
	outcome     Outcome
	// next is the record of the ticket issued after this one.
	next  *record
	state state
	// awaitingFinish is true from when Submit returns Run until Finish.
	awaitingFinish bool
	// wasDispatched is true once Dispatch has returned true.
	wasDispatched bool
	// expired is true if the lifetime has ended and the record is kept only
	// because it awaits Finish.
	expired bool
}

func (r *record) setOutcome(o Outcome) {
	r.state = resolved
	r.outcome = o
}

// applyDeadline records NotRun for a request that was not dispatched by its
// deadline. Dispatch returns false from then on, so NotRun is correct even if the
// process resumes later from a pause.
func (r *record) applyDeadline(now time.Duration) {
	if r.state == accepted && now >= r.deadline {
		r.setOutcome(notRunOutcome(errs.ReasonDeadline))
	}
}
