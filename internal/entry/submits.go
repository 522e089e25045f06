package entry

import (
	"context"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
)

// maxResultBytes bounds the result that is kept for repeats of a submit.
const maxResultBytes = 16 << 10

// submits serialises the calls of the ledger and lets repeats wait for the
// request that runs. It is safe for concurrent use.
type submits struct {
	proc *telemetry.Process

	mu      sync.Mutex
	ledger  *submit.Ledger
	waiters map[submit.Ticket]*submitRun
}

// submitRun is a request that runs; done is closed after outcome is set.
type submitRun struct {
	done    chan struct{}
	outcome submit.Outcome
}

func newSubmits(proc *telemetry.Process, cfg Config) *submits {
	return &submits{
		proc: proc,
		ledger: submit.NewLedger(submit.Config{
			VM: proc.Self.VM, Boot: proc.Self.Boot,
			MaxTickets: cfg.MaxTickets, MaxResultBytes: maxResultBytes,
		}),
		waiters: make(map[submit.Ticket]*submitRun),
	}
}

// run drops expired tickets until the context is done.
func (s *submits) run(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
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

func (s *submits) begin() (submit.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Begin(s.proc.Now())
}

// decide asks the ledger about one attempt. For Run and Join it also returns
// the request that runs.
func (s *submits) decide(t submit.Ticket, hash uint64, deadline time.Duration) (submit.Decision, *submitRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.ledger.Submit(s.proc.Now(), t, hash, deadline)
	switch d.Kind {
	case submit.Run:
		s.waiters[t] = &submitRun{done: make(chan struct{})}
		return d, s.waiters[t]
	case submit.Join:
		return d, s.waiters[t]
	default:
		return d, nil
	}
}

func (s *submits) dispatch(t submit.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Dispatch(s.proc.Now(), t)
}

// finish records the outcome and wakes all who wait for it.
func (s *submits) finish(t submit.Ticket, outcome submit.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.waiters[t]
	run.outcome = s.ledger.Finish(s.proc.Now(), t, outcome)
	delete(s.waiters, t)
	close(run.done)
}
