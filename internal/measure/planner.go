package measure

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// planVariants is the number of plans among which an entry spreads queries.
const planVariants = 8

// planner builds an entry's plans as the entry process does: warm leaves before
// others, those of its availability zone before others, else in random order.
type planner struct {
	sim   *sim
	entry *entry
	facts []facts
	out   []bool
	dirty bool
	built time.Duration
	plans [planVariants]query.Plan
	// hedge holds the hedge delay of each shard.
	hedge []time.Duration
}

func newPlanner(s *sim, e *entry) *planner {
	p := &planner{sim: s, entry: e, out: make([]bool, s.size.Zones), dirty: true}
	for range s.leaves {
		p.facts = append(p.facts, facts{usable: true})
	}
	return p
}

func (p *planner) next() query.Plan {
	if p.dirty || p.sim.Now-p.built >= hedgeDelayAge {
		p.rebuild()
	}
	return p.plans[p.entry.rng.IntN(planVariants)]
}

func (p *planner) rebuild() {
	p.dirty, p.built = false, p.sim.Now
	p.hedge = p.hedge[:0]
	for _, shard := range p.sim.shards {
		p.hedge = append(p.hedge, p.entry.delay.hedgeAfter(shard))
	}
	cold := p.coldFirst()
	for i := range p.plans {
		p.plans[i] = p.variant(cold[i])
	}
}

// coldFirst picks the leaf that is not warm and leads in each plan, or nil.
func (p *planner) coldFirst() [planVariants]*leaf {
	var out [planVariants]*leaf
	if !p.sim.policy.ColdFirst {
		return out
	}
	next := 0
	for _, i := range p.entry.rng.Perm(len(p.sim.leaves)) {
		l, f := p.sim.leaves[i], p.facts[i]
		if next < planVariants/2 && f.usable && p.doubtful(l) && !p.out[l.zone] {
			out[next] = l
			next++
		}
	}
	return out
}

func (p *planner) variant(lead *leaf) query.Plan {
	plan := query.Plan{
		Snapshot: topology.Snapshot{IndexVersion: 1, PartitionGeneration: 1},
		Shards:   make([]query.ShardPlan, p.sim.size.Shards),
	}
	for i := range plan.Shards {
		plan.Shards[i] = p.shard(i, lead)
	}
	return plan
}

func (p *planner) shard(shard int, lead *leaf) query.ShardPlan {
	leaves := p.usable(shard)
	out := query.ShardPlan{Shard: p.sim.shards[shard], Weight: 1}
	if len(leaves) == 0 {
		out.UnavailableReason = errs.ReasonNoLeaf
		return out
	}
	p.order(leaves, lead)
	for _, l := range leaves {
		out.Candidates = append(out.Candidates, query.Candidate{
			Leaf: l.id, Warm: p.facts[l.index].warm, HedgeAfter: p.hedge[shard],
		})
	}
	return out
}

func (p *planner) usable(shard int) []*leaf {
	var out []*leaf
	for _, l := range p.sim.leavesOf(shard) {
		if p.facts[l.index].usable && !p.out[l.zone] {
			out = append(out, l)
		}
	}
	return out
}

func (p *planner) order(leaves []*leaf, lead *leaf) {
	p.entry.rng.Shuffle(len(leaves), func(i, j int) { leaves[i], leaves[j] = leaves[j], leaves[i] })
	slices.SortStableFunc(leaves, func(a, b *leaf) int { return p.rank(a, lead) - p.rank(b, lead) })
}

func (p *planner) rank(l, lead *leaf) int {
	if l == lead {
		return -1
	}
	rank := 0
	if p.doubtful(l) {
		rank += 2
	}
	if l.zone != p.entry.zone {
		rank++
	}
	return rank
}

// doubtful reports whether other leaves of the shard go before a leaf.
func (p *planner) doubtful(l *leaf) bool {
	if !p.facts[l.index].warm {
		return true
	}
	return p.sim.policy.SlowLast && p.entry.delay.slow(l, p.sim.leavesOf(l.index/leavesPerShard))
}
