package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Submit decides how to handle one attempt of a request. The request must be
// dispatched before deadline. A repeat does not change the deadline of the first
// attempt.
func (l *Ledger) Submit(now time.Duration, ticket Ticket, requestHash uint64, deadline time.Duration) Decision {
	now = l.advanceClock(now)
	l.expire()
	switch {
	case ticket.VM != l.config.VM:
		return answerWith(unknownOutcome(errs.ReasonNotOwner))
	case ticket.Boot != l.config.Boot:
		return answerWith(unknownOutcome(errs.ReasonIssuerGone))
	}
	r := l.find(ticket)
	if r == nil {
		return l.decideWithoutRecord(now, ticket)
	}
	if r.state == reserved {
		return accept(now, r, requestHash, deadline)
	}
	if r.requestHash != requestHash {
		return l.reject("ticket %s was used for another request", ticket)
	}
	r.applyDeadline(now)
	if r.state == resolved {
		return answerWith(r.outcome)
	}
	return Decision{Kind: Join}
}

// decideWithoutRecord distinguishes an expired ticket from one that was never
// issued. Every ticket has a record for at least its lifetime, so a ticket without
// a record that claims to be younger was not issued.
func (l *Ledger) decideWithoutRecord(now time.Duration, ticket Ticket) Decision {
	if ticket.Seq == 0 || ticket.Seq > l.lastSeq {
		return l.reject("ticket %s was not issued, the last sequence number is %d", ticket, l.lastSeq)
	}
	if ticket.IssuedAt < 0 || now-ticket.IssuedAt < l.config.Lifetime || l.records[ticket.Seq] != nil {
		return l.reject("ticket %s was not issued at that time", ticket)
	}
	return answerWith(unknownOutcome(errs.ReasonTicketExpired))
}

func accept(now time.Duration, r *record, requestHash uint64, deadline time.Duration) Decision {
	r.requestHash = requestHash
	r.deadline = deadline
	r.state = accepted
	r.applyDeadline(now)
	if r.state == resolved {
		return answerWith(r.outcome)
	}
	r.awaitingFinish = true
	return Decision{Kind: Run}
}
