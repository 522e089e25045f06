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
	// extraBurst allows a query of 170 leaves to hedge or retry several of them
	// at once.
	extraBurst = 20
	// runTimeWindow is the number of queries of a class over which its expected
	// run time is smoothed: about the last 16 determine it.
	runTimeWindow = 16
)

// tier separates classes of the highest priority from the others. In an overload
// the others wait in the leaves' queues, so the two tiers have separate hedge delays
// and rules for the budget.
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

// policy holds the state that the requests of one entry share: admission, the budget
// of hedges and retries, hedge delays and quarantine. It is safe for concurrent use.
type policy struct {
	*admitter

	// broadcast sends a loss report to all other entries and waits, for a short time, until
	// they know it.
	broadcast func(quarantine.LossReport)

	mu         sync.Mutex
	budget     *budget.Budget
	delays     [tierCount]*latency.ShardTable
	leaves     *latency.LeafTable
	quarantine *quarantine.Table
	runTimes   map[topology.ClassID]time.Duration
}

func newPolicy(proc *telemetry.Process, cfg Config, broadcast func(quarantine.LossReport)) *policy {
	return &policy{
		admitter:   newAdmitter(proc, cfg.MaxQueries),
		broadcast:  broadcast,
		budget:     budget.New(budget.Config{Share: extraShare, Burst: extraBurst}),
		delays:     [tierCount]*latency.ShardTable{latency.NewShardTable(), latency.NewShardTable()},
		leaves:     latency.NewLeafTable(),
		quarantine: quarantine.New(quarantine.Config{Origin: uint64(proc.Self.Boot)}),
		runTimes:   make(map[topology.ClassID]time.Duration),
	}
}

// checkQuarantine refuses a quarantined request and reports whether the request
// needs a canary.
func (p *policy) checkQuarantine(class *topology.Class, payload []byte) (fingerprint uint64, canary bool, err *errs.Error) {
	fingerprint = quarantine.Fingerprint(class.ID, payload)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.proc.Now()
	if p.quarantine.Blocked(now, fingerprint) {
		return 0, false, errs.New(errs.StepAdmission, p.proc.Name(), errs.ReasonQuarantined, true, "this request has crashed upstreams")
	}
	return fingerprint, p.quarantine.NeedsCanary(now, class.ID, class.Canary, fingerprint), nil
}

// suspect reports whether requests of a class have crashed upstreams lately.
func (p *policy) suspect(class *topology.Class) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Suspect(p.proc.Now(), class.ID)
}

// recordResult records the effect of a request on its leaves: the number that were
// lost while they ran it, or that leaves replied and none was lost. After a loss it returns
// when the other entries know of it, so that the answer to the caller comes after.
func (p *policy) recordResult(class *topology.Class, fingerprint uint64, crashes int, replied bool) {
	var losses []quarantine.LossReport
	p.mu.Lock()
	now := p.proc.Now()
	for range crashes {
		losses = append(losses, p.quarantine.RecordLoss(now, class.ID, fingerprint)...)
	}
	if crashes == 0 && replied {
		p.quarantine.RecordReply(now, class.ID, fingerprint)
	}
	p.mu.Unlock()
	for _, loss := range losses {
		p.proc.Events.Add(timeline.KindQuarantine, "", string(class.ID), "crash-like loss of fingerprint "+strconv.FormatUint(loss.Fingerprint, 16))
		p.broadcast(loss)
	}
}

// applyLossReport records a loss that another VM reported.
func (p *policy) applyLossReport(report quarantine.LossReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.ApplyReport(p.proc.Now(), report)
}

// activeLosses returns the losses that still count, for an entry that has just
// joined.
func (p *policy) activeLosses() []quarantine.LossReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.ActiveLosses(p.proc.Now())
}

// countFirstAttempt adds a first attempt at a leaf to the budget.
func (p *policy) countFirstAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.OnFirstAttempt(p.proc.Now())
}

// classBudget limits the hedges and retries of one class by the entry's budget.
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

// recordLatency records the duration of a first attempt at a leaf. Only attempts of
// the highest tier count for the comparison of leaves.
func (p *policy) recordLatency(t tier, shard topology.ShardID, leaf topology.LeafID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[t].Observe(shard, took)
	if t == tierHighest {
		p.leaves.Observe(leaf, took)
	}
}

// HedgeDelay implements leafEstimates.
func (p *policy) HedgeDelay(t tier, shard topology.ShardID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, _ := p.delays[t].HedgeDelay(shard)
	return delay
}

// IsSlow implements leafEstimates.
func (p *policy) IsSlow(leaf *topology.Leaf, siblings []*topology.Leaf) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaves.Slow(leaf, siblings)
}

// retain removes the estimates of shards and leaves that are not in the topology.
func (p *policy) retain(t *topology.Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, table := range p.delays {
		table.Retain(t.Shards)
	}
	p.leaves.Retain(t.Leaves)
}

// recordRunTime records how long a request of a class ran after its admission.
func (p *policy) recordRunTime(class topology.ClassID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.runTimes[class]
	if !ok {
		p.runTimes[class] = d
		return
	}
	p.runTimes[class] = old + (d-old)/runTimeWindow
}

// expectedRunTime returns the expected run time of a class, for admission. It is at
// most half of the deadline: only requests that run change it, so a class that once
// took its whole deadline would be refused permanently.
func (p *policy) expectedRunTime(class *topology.Class) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.runTimes[class.ID], class.Deadline/2)
}
