package entry

import (
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
	*admitter
}

func newPolicy(proc *telemetry.Process, cfg Config) *policy {
	return &policy{admitter: newAdmitter(proc, cfg.MaxQueries)}
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

// expected is how long a query of a class takes, for admission.
func (p *policy) expected(class *topology.Class) time.Duration { return class.LatencyTarget / 4 }
