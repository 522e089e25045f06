package entry

import (
	"context"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
)

// maxResultBytes limits the result that is stored for repeats of a submit.
const maxResultBytes = 16 << 10

// submitLedger serialises access to the ledger and lets repeats wait for a request
// in progress. It is safe for concurrent use.
type submitLedger struct {
	proc *telemetry.Process

	mu      sync.Mutex
	ledger  *submit.Ledger
	running map[submit.Ticket]*submitRun
}

// submitRun is a request in progress; finished is closed after outcome is set.
type submitRun struct {
	finished chan struct{}
	outcome  submit.Outcome
}

func newSubmitLedger(proc *telemetry.Process, cfg Config) *submitLedger {
	return &submitLedger{
		proc: proc,
		ledger: submit.NewLedger(submit.Config{
			VM: proc.Self.VM, Boot: proc.Self.Boot,
			MaxTickets: cfg.MaxTickets, MaxResultBytes: maxResultBytes,
		}),
		running: make(map[submit.Ticket]*submitRun),
	}
}

// run removes expired tickets periodically until the context is cancelled.
func (s *submitLedger) run(ctx context.Context) {
	tick := time.NewTicker(ticketExpiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.mu.Lock()
			s.ledger.Expire(s.proc.Now())
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (s *submitLedger) issueTicket() (submit.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Begin(s.proc.Now())
}

// decide returns the ledger's decision on one attempt. For Run and Join it also
// returns the request in progress.
func (s *submitLedger) decide(t submit.Ticket, hash uint64, deadline time.Duration) (submit.Decision, *submitRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.ledger.Submit(s.proc.Now(), t, hash, deadline)
	switch d.Kind {
	case submit.Run:
		s.running[t] = &submitRun{finished: make(chan struct{})}
		return d, s.running[t]
	case submit.Join:
		return d, s.running[t]
	default:
		return d, nil
	}
}

// dispatch is the ledger's last check before the request is sent. It reports whether
// the request may be sent.
func (s *submitLedger) dispatch(t submit.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Dispatch(s.proc.Now(), t)
}

// finish records the outcome and wakes the attempts that wait for it.
func (s *submitLedger) finish(t submit.Ticket, outcome submit.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.running[t]
	run.outcome = s.ledger.Finish(s.proc.Now(), t, outcome)
	delete(s.running, t)
	close(run.finished)
}
