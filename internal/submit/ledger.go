package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Ledger records the state of each ticket that one boot issued, so that its request
// runs at most once. Each call takes amortized O(1) time.
type Ledger struct {
	config Config
	// clock is the latest time passed to any call. It never decreases, although
	// callers that read the time before they wait for the ledger may pass an
	// earlier one.
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

// Len returns the number of records, which Config.MaxTickets limits.
func (l *Ledger) Len() int { return len(l.records) }

// Contradictions returns the number of calls of Finish whose outcome contradicted
// the recorded outcome or the result of Dispatch. Each is a fault of an upstream or
// of the caller of Finish.
func (l *Ledger) Contradictions() uint64 { return l.contradictions }

func (l *Ledger) advanceClock(now time.Duration) time.Duration {
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
	// NotRun is false, since the ticket's first request may have run, and a
	// guessed sequence number may be issued later.
	err := errs.New(errs.StepTicket, string(l.config.VM), errs.ReasonInvalid, false, format, args...)
	return Decision{Kind: Reject, Err: err}
}
