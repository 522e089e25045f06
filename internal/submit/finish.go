package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Finish records the outcome of a request for which Submit returned Run. It returns
// the outcome to send to all waiting callers, which can differ from the given one:
//
//   - Done and NotRun are final. A later Finish does not change them.
//   - Unknown becomes Done when a late reply arrives. It never becomes NotRun,
//     because a late refusal may apply to only one of several relays.
//   - Before Dispatch has returned true, the request cannot have run: Unknown is
//     recorded as NotRun. Done contradicts that and is recorded as Unknown.
//   - A result larger than MaxResultBytes is returned but not recorded: repeats get
//     Done with ResultDropped.
//   - If the ticket has no record or was not submitted, nothing is recorded and the
//     outcome is Unknown.
//
// If the ticket's lifetime has ended, Finish frees the record.
func (l *Ledger) Finish(now time.Duration, ticket Ticket, outcome Outcome) Outcome {
	l.advanceClock(now)
	r := l.find(ticket)
	if r == nil {
		return unknownOutcome(errs.ReasonTicketExpired)
	}
	if r.state == reserved {
		return unknownOutcome(errs.ReasonInvalid)
	}
	final := l.recordOutcome(r, outcome.normalized())
	r.awaitingFinish = false
	if r.expired {
		delete(l.records, r.seq)
	}
	return final
}

func (l *Ledger) recordOutcome(r *record, given Outcome) Outcome {
	if contradicts(r, given) {
		l.contradictions++
	}
	switch {
	case r.state == accepted:
		given = outcomeBeforeDispatch(given)
	case r.state == resolved && !replacesUnknown(r, given):
		return r.outcome
	}
	r.setOutcome(given.limitResult(l.config.MaxResultBytes))
	return given
}

func outcomeBeforeDispatch(given Outcome) Outcome {
	if given.Kind == Done {
		return unknownOutcome(errs.ReasonInternal)
	}
	return notRunOutcome(given.Reason)
}

// replacesUnknown reports whether an outcome replaces the recorded one, which is
// so only if Done follows Unknown after Dispatch.
func replacesUnknown(r *record, given Outcome) bool {
	return r.wasDispatched && r.outcome.Kind == Unknown && given.Kind == Done
}

func contradicts(r *record, given Outcome) bool {
	if given.Kind == Done {
		return !r.wasDispatched || r.outcome.Kind == NotRun
	}
	return given.Kind == NotRun && r.outcome.Kind == Done
}
