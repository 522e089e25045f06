package entry

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// policy holds what one entry decides over all its queries: admission, the
// budget of hedges and retries, and quarantine. It is safe for concurrent use.
type policy struct {
	proc  *telemetry.Process
	slots chan struct{}
}

func newPolicy(proc *telemetry.Process, cfg Config) *policy {
	return &policy{proc: proc, slots: make(chan struct{}, cfg.MaxQueries)}
}

func (p *policy) run(ctx context.Context) { <-ctx.Done() }

// admit waits until a query of a class may run. The returned function ends it.
func (p *policy) admit(ctx context.Context, class *topology.Class, _ time.Duration) (func(), *errs.Error) {
	select {
	case p.slots <- struct{}{}:
		return func() { <-p.slots }, nil
	case <-ctx.Done():
		return nil, errs.New(errs.StepAdmission, p.proc.Name(), errs.ReasonOverloaded, true, "class %q waited too long", class.ID)
	}
}

// screen refuses a quarantined query and says whether it needs a canary.
func (p *policy) screen(*topology.Class, string) (fingerprint uint64, canary bool, err *errs.Error) {
	return 0, false, nil
}

// learn records how a query ended.
func (p *policy) learn(*topology.Class, uint64, int, bool) {}

// TrySpend implements query.Budget.
func (p *policy) TrySpend(query.Kind) bool { return true }

// Delay implements hedgeDelays.
func (p *policy) Delay(time.Duration, topology.ShardID) time.Duration { return 0 }

// fact takes what another VM learned.
func (p *policy) fact(*wire.Envelope) {}
