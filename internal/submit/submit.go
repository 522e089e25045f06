package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Submit decides on one attempt of a request. The request must start before
// deadline; a repeat does not change the deadline of the first attempt.
func (l *Ledger) Submit(now time.Duration, ticket Ticket, requestHash uint64, deadline time.Duration) Decision {
	now = l.advance(now)
	l.expire()
	switch {
	case ticket.VM != l.config.VM:
		return answer(unknown(errs.ReasonNotOwner))
	case ticket.Boot != l.config.Boot:
		return answer(unknown(errs.ReasonIssuerGone))
	}
	r := l.find(ticket)
	if r == nil {
		return l.withoutRecord(now, ticket)
	}
	if r.state == reserved {
		return accept(now, r, requestHash, deadline)
	}
	if r.requestHash != requestHash {
		return l.reject("ticket %s was used for another request", ticket)
	}
	r.settleIfLate(now)
	if r.state == settled {
		return answer(r.outcome)
	}
	return Decision{Kind: Join}
}

// withoutRecord tells a ticket whose record was freed from one that was never
// issued. A record exists for every ticket that was issued within the last
// lifetime, so a ticket without one that claims to be younger is not genuine.
func (l *Ledger) withoutRecord(now time.Duration, ticket Ticket) Decision {
	if ticket.Seq == 0 || ticket.Seq > l.lastSeq {
		return l.reject("ticket %s was not issued, the last sequence number is %d", ticket, l.lastSeq)
	}
	if ticket.IssuedAt < 0 || now-ticket.IssuedAt < l.config.Lifetime || l.records[ticket.Seq] != nil {
		return l.reject("ticket %s was not issued at that time", ticket)
	}
	return answer(unknown(errs.ReasonTicketExpired))
}

func accept(now time.Duration, r *record, requestHash uint64, deadline time.Duration) Decision {
	r.requestHash = requestHash
	r.deadline = deadline
	r.state = accepted
	r.settleIfLate(now)
	if r.state == settled {
		return answer(r.outcome)
	}
	r.held = true
	return Decision{Kind: Run}
}
