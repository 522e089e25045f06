package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Begin issues a ticket and creates its record, so that Submit never fails for
// lack of space. The error is an *errs.Error.
func (l *Ledger) Begin(now time.Duration) (Ticket, error) {
	now = l.advanceClock(now)
	l.expire()
	if len(l.records) >= l.config.MaxTickets {
		return Ticket{}, errs.New(errs.StepTicket, string(l.config.VM), errs.ReasonOverloaded, true,
			"all %d tickets are in use", l.config.MaxTickets)
	}
	l.lastSeq++
	r := &record{seq: l.lastSeq, issuedAt: now}
	l.records[r.seq] = r
	l.queue.push(r)
	return Ticket{VM: l.config.VM, Boot: l.config.Boot, Seq: r.seq, IssuedAt: now}, nil
}
