package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// record is what the ledger knows of one ticket.
type record struct {
	seq         uint64
	issuedAt    time.Duration
	deadline    time.Duration
	requestHash uint64
	outcome     Outcome
	// next is the ticket issued after this one.
	next  *record
	state state
	// held is true from Run until Finish.
	held bool
	// sent is true once Dispatch has returned true.
	sent bool
	// expired is true when the lifetime is over and the record stays only
	// because it is held.
	expired bool
}

func (r *record) settle(o Outcome) {
	r.state = settled
	r.outcome = o
}

// settleIfLate ends a request that was not dispatched by its deadline. Dispatch
// refuses it from then on, so "not run" is true even if the process that holds
// it is paused.
func (r *record) settleIfLate(now time.Duration) {
	if r.state == accepted && now >= r.deadline {
		r.settle(notRun(errs.ReasonDeadline))
	}
}
