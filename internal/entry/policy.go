package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// extraShare is the extra load that hedges and retries may put on
	// upstreams in the steady state.
	extraShare = 0.05
	// extraBurst lets one query of 170 leaves replace a few of its leaves at
	// once.
	extraBurst = 20
	// expectWeight makes the expected run time follow about the last 16
	// queries of a class.
	expectWeight = 16
)

// tier tells classes of the highest priority from the others. In an overload
// the others wait in the leaves' queues, so hedge delays and the budget are kept
// apart.
type tier int

const (
	tierHighest tier = iota
	tierLower
	tierCount
)

func tierOf(class *topology.Class) tier {
	if class.Priority == 0 {
		return tierHighest
	}
	return tierLower
}

// policy holds what one entry decides over all its queries: admission, the
// budget of hedges and retries, hedge delays and quarantine. It is safe for
// concurrent use.
type policy struct {
	*admitter

	// spread passes a fact on to all other entries.
	spread func(quarantine.LossReport)

	mu         sync.Mutex
	budget     *budget.Budget
	delays     [tierCount]*latency.ShardTable
	leaves     *latency.LeafTable
	quarantine *quarantine.Table
	expects    map[topology.ClassID]time.Duration
}

func newPolicy(proc *telemetry.Process, cfg Config, spread func(quarantine.LossReport)) *policy {
	return &policy{
		admitter:   newAdmitter(proc, cfg.MaxQueries),
		spread:     spread,
		budget:     budget.New(budget.Config{Share: extraShare, Burst: extraBurst}),
		delays:     [tierCount]*latency.ShardTable{latency.NewShardTable(), latency.NewShardTable()},
		leaves:     latency.NewLeafTable(),
		quarantine: quarantine.New(quarantine.Config{Origin: uint64(proc.Self.Boot)}),
		expects:    make(map[topology.ClassID]time.Duration),
	}
}

// screen refuses a quarantined request and says whether it needs a canary.
func (p *policy) screen(class *topology.Class, payload []byte) (fingerprint uint64, canary bool, err *errs.Error) {
	fingerprint = quarantine.Fingerprint(class.ID, payload)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.proc.Now()
	if p.quarantine.Blocked(now, fingerprint) {
		return 0, false, errs.New(errs.StepAdmission, p.proc.Name(), errs.ReasonQuarantined, true, "this request has crashed upstreams")
	}
	return fingerprint, p.quarantine.NeedsCanary(now, class.ID, class.Canary, fingerprint), nil
}

// learn records how a request ended: the leaves that were lost while they ran
// it, or that leaves survived it.
func (p *policy) learn(class *topology.Class, fingerprint uint64, crashes int, replied bool) {
	var facts []quarantine.LossReport
	p.mu.Lock()
	now := p.proc.Now()
	for range crashes {
		facts = append(facts, p.quarantine.RecordLoss(now, class.ID, fingerprint)...)
	}
	if crashes == 0 && replied {
		p.quarantine.RecordReply(now, fingerprint)
	}
	p.mu.Unlock()
	for _, f := range facts {
		p.proc.Events.Add(timeline.KindQuarantine, "", string(class.ID), "crash-like loss of fingerprint "+strconv.FormatUint(f.Fingerprint, 16))
		p.spread(f)
	}
}

// learnFact takes what another VM learned.
func (p *policy) learnFact(f quarantine.LossReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.ApplyReport(p.proc.Now(), f)
}

// facts returns what an entry that has just joined must learn.
func (p *policy) facts() []quarantine.LossReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.ActiveLosses(p.proc.Now())
}

// sent counts a first attempt at a leaf.
func (p *policy) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.OnFirstAttempt(p.proc.Now())
}

// classBudget is the budget of hedges and retries as one class may use it.
type classBudget struct {
	policy *policy
	tier   tier
}

// TrySpend implements query.Budget. A move counts as a retry: although it
// adds no load to leaves, many at once would overload the relays.
func (c classBudget) TrySpend(_ topology.ShardID, kind query.Kind) bool {
	p := c.policy
	p.mu.Lock()
	defer p.mu.Unlock()
	spent := budget.KindRetry
	if kind == query.KindHedge {
		spent = budget.KindHedge
	}
	if c.tier == tierLower {
		return p.budget.TrySpendLowPriority(p.proc.Now(), spent)
	}
	return p.budget.TrySpend(p.proc.Now(), spent)
}

// observe counts how long a first attempt at a leaf took.
func (p *policy) observe(t tier, shard topology.ShardID, leaf topology.LeafID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[t].Observe(shard, took)
	if t == tierHighest {
		p.leaves.Observe(leaf, took)
	}
}

// Delay implements leafEstimates.
func (p *policy) Delay(t tier, shard topology.ShardID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, _ := p.delays[t].HedgeDelay(shard)
	return delay
}

// Slow implements leafEstimates.
func (p *policy) Slow(leaf *topology.Leaf, siblings []*topology.Leaf) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaves.Slow(leaf, siblings)
}

// retain forgets shards and leaves that a configuration no longer names.
func (p *policy) retain(t *topology.Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, table := range p.delays {
		table.Retain(t.Shards)
	}
	p.leaves.Retain(t.Leaves)
}

// took records how long a query of a class ran after its admission.
func (p *policy) took(class topology.ClassID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.expects[class]
	if !ok {
		p.expects[class] = d
		return
	}
	p.expects[class] = old + (d-old)/expectWeight
}

// expected is how long a query of a class is expected to run, for admission.
// It is at most half of the deadline: only queries that run change it, so a
// class that once took its whole deadline would be refused for ever.
func (p *policy) expected(class *topology.Class) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.expects[class.ID], class.Deadline/2)
}
