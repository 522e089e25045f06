package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Ledger is the at-most-once record of one boot. Each call costs O(1)
// amortised.
type Ledger struct {
	config Config
	// clock is the latest time seen. Callers that read the time before they
	// queue for the ledger may pass times that go back; the ledger's do not.
	clock          time.Duration
	lastSeq        uint64
	records        map[uint64]*record
	queue          issueQueue
	contradictions uint64
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	if config.Lifetime == 0 {
		config.Lifetime = DefaultLifetime
	}
	return &Ledger{config: config, records: map[uint64]*record{}}
}

// Len returns the number of records, which is the number of places in use.
func (l *Ledger) Len() int { return len(l.records) }

// Contradictions counts the calls of Finish that could not be true together
// with an earlier answer or with what Dispatch has allowed. Each is a fault of
// an upstream or of the caller of Finish.
func (l *Ledger) Contradictions() uint64 { return l.contradictions }

func (l *Ledger) advance(now time.Duration) time.Duration {
	l.clock = max(l.clock, now)
	return l.clock
}

// find returns the record of a ticket that this boot issued, or nil.
func (l *Ledger) find(t Ticket) *record {
	if t.VM != l.config.VM || t.Boot != l.config.Boot {
		return nil
	}
	r, ok := l.records[t.Seq]
	if !ok || r.issuedAt != t.IssuedAt {
		return nil
	}
	return r
}

func (l *Ledger) reject(format string, args ...any) Decision {
	// "Not run" would be untrue: the ticket's first request may have run, and
	// a sequence number that was guessed may be issued later.
	err := errs.New(errs.StepTicket, string(l.config.VM), errs.ReasonInvalid, false, format, args...)
	return Decision{Kind: Reject, Err: err}
}
