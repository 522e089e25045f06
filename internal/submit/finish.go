package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Finish records the outcome of the request that Submit answered with Run. It
// returns the outcome to answer all waiting callers with, which can differ
// from the one given:
//
//   - Done and NotRun are final. A later Finish does not change them.
//   - Unknown becomes Done when a late reply arrives. It never becomes NotRun,
//     because a late refusal may speak for one of several relays only.
//   - Before Dispatch has returned true the request cannot have run: Unknown is
//     recorded as NotRun. Done contradicts that and is recorded as Unknown.
//   - A result above MaxResultBytes is returned but not recorded: repeats get
//     Done with ResultDropped.
//   - Without a request of this ticket nothing is recorded and the outcome is
//     Unknown.
//
// If the ticket's lifetime is over, Finish frees the record.
func (l *Ledger) Finish(now time.Duration, ticket Ticket, outcome Outcome) Outcome {
	l.advance(now)
	r := l.find(ticket)
	if r == nil {
		return unknown(errs.ReasonTicketExpired)
	}
	if r.state == reserved {
		return unknown(errs.ReasonInvalid)
	}
	final := l.record(r, outcome.normalized())
	r.held = false
	if r.expired {
		delete(l.records, r.seq)
	}
	return final
}

func (l *Ledger) record(r *record, given Outcome) Outcome {
	if contradicts(r, given) {
		l.contradictions++
	}
	switch {
	case r.state == accepted:
		given = beforeDispatch(given)
	case r.state == settled && !raises(r, given):
		return r.outcome
	}
	r.settle(given.kept(l.config.MaxResultBytes))
	return given
}

func beforeDispatch(given Outcome) Outcome {
	if given.Kind == Done {
		return unknown(errs.ReasonInternal)
	}
	return notRun(given.Reason)
}

// raises reports whether an outcome replaces the recorded one.
func raises(r *record, given Outcome) bool {
	return r.sent && r.outcome.Kind == Unknown && given.Kind == Done
}

func contradicts(r *record, given Outcome) bool {
	if given.Kind == Done {
		return !r.sent || r.outcome.Kind == NotRun
	}
	return given.Kind == NotRun && r.outcome.Kind == Done
}
