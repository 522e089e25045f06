package measure

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// planVariants is the number of plans over which an entry spreads its queries.
const planVariants = 8

// planner builds an entry's plans as the entry process does: warm leaves come
// before others, leaves of the entry's availability zone before those of other
// zones, and the remaining order is random.
type planner struct {
	sim      *sim
	entry    *entry
	statuses []leafStatus
	zoneOut  []bool
	dirty    bool
	builtAt  time.Duration
	plans    [planVariants]query.Plan
	// hedgeDelays holds the hedge delay of each shard.
	hedgeDelays []time.Duration
}

func newPlanner(s *sim, e *entry) *planner {
	p := &planner{sim: s, entry: e, zoneOut: make([]bool, s.size.Zones), dirty: true}
	for range s.leaves {
		p.statuses = append(p.statuses, leafStatus{usable: true})
	}
	return p
}

func (p *planner) pick() query.Plan {
	if p.dirty || p.sim.Now-p.builtAt >= hedgeDelayRefreshInterval {
		p.rebuild()
	}
	return p.plans[p.entry.rng.IntN(planVariants)]
}

func (p *planner) rebuild() {
	p.dirty, p.builtAt = false, p.sim.Now
	p.hedgeDelays = p.hedgeDelays[:0]
	for _, shard := range p.sim.shards {
		p.hedgeDelays = append(p.hedgeDelays, p.entry.latencies.hedgeDelay(shard))
	}
	leads := p.chooseColdLeads()
	for i := range p.plans {
		p.plans[i] = p.buildPlan(leads[i])
	}
}

// chooseColdLeads returns for each plan the leaf to put first although it is
// deprioritized, or nil.
func (p *planner) chooseColdLeads() [planVariants]*leaf {
	var out [planVariants]*leaf
	if !p.sim.policy.ColdFirst {
		return out
	}
	count := 0
	for _, i := range p.entry.rng.Perm(len(p.sim.leaves)) {
		l, status := p.sim.leaves[i], p.statuses[i]
		if count < planVariants/2 && status.usable && p.deprioritized(l) && !p.zoneOut[l.zone] {
			out[count] = l
			count++
		}
	}
	return out
}

func (p *planner) buildPlan(lead *leaf) query.Plan {
	plan := query.Plan{
		Snapshot: topology.Snapshot{IndexVersion: 1, PartitionGeneration: 1},
		Shards:   make([]query.ShardPlan, p.sim.size.Shards),
	}
	for i := range plan.Shards {
		plan.Shards[i] = p.planShard(i, lead)
	}
	return plan
}

func (p *planner) planShard(shard int, lead *leaf) query.ShardPlan {
	leaves := p.usableLeaves(shard)
	out := query.ShardPlan{Shard: p.sim.shards[shard], Weight: 1}
	if len(leaves) == 0 {
		out.UnavailableReason = errs.ReasonNoLeaf
		return out
	}
	p.orderCandidates(leaves, lead)
	for _, l := range leaves {
		out.Candidates = append(out.Candidates, query.Candidate{
			Leaf: l.id, Warm: p.statuses[l.index].warm, HedgeAfter: p.hedgeDelays[shard],
		})
	}
	return out
}

func (p *planner) usableLeaves(shard int) []*leaf {
	var out []*leaf
	for _, l := range p.sim.leavesOf(shard) {
		if p.statuses[l.index].usable && !p.zoneOut[l.zone] {
			out = append(out, l)
		}
	}
	return out
}

func (p *planner) orderCandidates(leaves []*leaf, lead *leaf) {
	p.entry.rng.Shuffle(len(leaves), func(i, j int) { leaves[i], leaves[j] = leaves[j], leaves[i] })
	slices.SortStableFunc(leaves, func(a, b *leaf) int { return p.rank(a, lead) - p.rank(b, lead) })
}

func (p *planner) rank(l, lead *leaf) int {
	if l == lead {
		return -1
	}
	rank := 0
	if p.deprioritized(l) {
		rank += 2
	}
	if l.zone != p.entry.zone {
		rank++
	}
	return rank
}

// deprioritized reports whether a leaf ranks after others of its shard, because
// it is not warm or is slow.
func (p *planner) deprioritized(l *leaf) bool {
	if !p.statuses[l.index].warm {
		return true
	}
	return p.sim.policy.SlowLast && p.entry.latencies.slow(l, p.sim.leavesOf(l.index/leavesPerShard))
}
