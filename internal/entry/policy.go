package entry

import (
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	// extraShare is the extra load that hedges and retries may put on
	// upstreams in the steady state.
	extraShare = 0.05
	// extraBurst lets one query of 170 leaves replace a few of its leaves at
	// once.
	extraBurst = 20
)

// policy holds what one entry decides over all its queries: admission, the
// budget of hedges and retries, hedge delays and quarantine. It is safe for
// concurrent use.
type policy struct {
	*admitter

	mu     sync.Mutex
	budget *budget.Budget
	delays *latency.Table
}

func newPolicy(proc *telemetry.Process, cfg Config) *policy {
	return &policy{
		admitter: newAdmitter(proc, cfg.MaxQueries),
		budget:   budget.New(budget.Config{Share: extraShare, Burst: extraBurst}),
		delays:   latency.NewTable(),
	}
}

// screen refuses a quarantined query and says whether it needs a canary.
func (p *policy) screen(*topology.Class, string) (fingerprint uint64, canary bool, err *errs.Error) {
	return 0, false, nil
}

// learn records how a query ended.
func (p *policy) learn(*topology.Class, uint64, int, bool) {}

// sent counts a first attempt at a leaf.
func (p *policy) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.OnFirst(p.proc.Now())
}

// TrySpend implements query.Budget. A move counts as a retry: although it
// adds no load to leaves, many at once would overload the relays.
func (p *policy) TrySpend(kind query.Kind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == query.KindHedge {
		return p.budget.TrySpend(p.proc.Now(), budget.KindHedge)
	}
	return p.budget.TrySpend(p.proc.Now(), budget.KindRetry)
}

// observe counts how long a first attempt at a shard took.
func (p *policy) observe(shard topology.ShardID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays.Observe(shard, took)
}

// Delay implements hedgeDelays.
func (p *policy) Delay(_ time.Duration, shard topology.ShardID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, _ := p.delays.HedgeDelay(shard)
	return delay
}

// fact takes what another VM learned.
func (p *policy) fact(*wire.Envelope) {}

// expected is how long a query of a class takes, for admission.
func (p *policy) expected(class *topology.Class) time.Duration { return class.LatencyTarget / 4 }
