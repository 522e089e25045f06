package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/snapshot"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// planVariants is the number of plans per index among which queries are
// spread.
const planVariants = 8

// warmupPlans is the number of plans of an index that send one shard to a leaf
// that is not warm although another one is. Without them a leaf whose replica
// is warm would get no work and never warm up. One shard in a quarter of the
// queries bounds how many answers wait for a slow leaf.
const warmupPlans = 2

// hedgeDelays gives the time after which a second request to another leaf of
// a shard is worth sending; 0 means never.
type hedgeDelays interface {
	Delay(now time.Duration, shard topology.ShardID) time.Duration
}

// planner builds the plans of one index from a view and the leaf table.
type planner struct {
	view  *view
	table *leafTable
	self  topology.VMID
	zone  topology.Zone
	hedge hedgeDelays
	now   time.Duration
}

// candidate is a leaf with what decides its place in the order.
type candidate struct {
	leaf  *topology.Leaf
	facts message.LeafFacts
	local bool
}

func (p *planner) plan(index *topology.Index) *indexView {
	out := &indexView{index: index}
	snap, ok := snapshot.Choose(index, p.evidence(index))
	if !ok {
		return out
	}
	for i := range planVariants {
		plan := p.variant(index, snap)
		if i < warmupPlans {
			warmOne(plan)
		}
		out.plans = append(out.plans, plan)
	}
	return out
}

// warmOne moves a leaf that is not warm to the front of one random shard that
// has one.
func warmOne(plan query.Plan) {
	for _, i := range rand.Perm(len(plan.Shards)) {
		candidates := plan.Shards[i].Candidates
		cold := slices.IndexFunc(candidates, func(c query.Candidate) bool { return !c.Warm })
		if cold <= 0 {
			continue
		}
		candidates[0], candidates[cold] = candidates[cold], candidates[0]
		return
	}
}

func (p *planner) evidence(index *topology.Index) map[topology.LeafID]snapshot.Evidence {
	out := make(map[topology.LeafID]snapshot.Evidence)
	for _, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			facts, ok := p.facts(leaf)
			if ok && facts.Usable {
				out[leaf.ID] = snapshot.Evidence{
					IndexVersions: facts.IndexVersions, PartitionGeneration: facts.PartitionGeneration,
				}
			}
		}
	}
	return out
}

// facts returns what is known of a leaf in a zone that is in service.
func (p *planner) facts(leaf *topology.Leaf) (message.LeafFacts, bool) {
	if !p.view.topology.InService(leaf.Zone) {
		return message.LeafFacts{}, false
	}
	return p.table.get(p.now, leaf.ID, ownership.Owners(leaf.ID, p.view.zoneVMs[leaf.Zone]))
}

func (p *planner) variant(index *topology.Index, snap topology.Snapshot) query.Plan {
	plan := query.Plan{Snapshot: snap, Shards: make([]query.ShardPlan, len(index.Shards))}
	for i, shard := range index.Shards {
		plan.Shards[i] = p.shard(shard, snap)
	}
	return plan
}

func (p *planner) shard(shard *topology.Shard, snap topology.Snapshot) query.ShardPlan {
	out := query.ShardPlan{Shard: shard.ID, Weight: shard.Weight}
	candidates := p.candidates(shard, snap)
	if len(candidates) == 0 {
		out.Unavailable = p.whyNone(shard)
		return out
	}
	delay := p.hedge.Delay(p.now, shard.ID)
	for _, c := range candidates {
		out.Candidates = append(out.Candidates, query.Candidate{
			Leaf: c.leaf.ID, Warm: c.facts.Warm, HedgeAfter: delay,
		})
	}
	return out
}

// candidates returns the leaves that serve the snapshot: warm before others,
// this zone's before others, and else in random order.
func (p *planner) candidates(shard *topology.Shard, snap topology.Snapshot) []candidate {
	var out []candidate
	for _, leaf := range shard.Leaves {
		facts, ok := p.facts(leaf)
		if ok && facts.Usable && serves(facts, snap) {
			out = append(out, candidate{leaf: leaf, facts: facts, local: leaf.Zone == p.zone})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b candidate) int {
		if c := compareBool(a.facts.Warm, b.facts.Warm); c != 0 {
			return c
		}
		return compareBool(a.local, b.local)
	})
	return out
}

// whyNone gives the reason that an answer names for a shard without leaves.
func (p *planner) whyNone(shard *topology.Shard) errs.Reason {
	reason := errs.ReasonZoneOut
	for _, leaf := range shard.Leaves {
		if !p.view.topology.InService(leaf.Zone) {
			continue
		}
		reason = errs.ReasonNoLeaf
		if facts, ok := p.facts(leaf); ok && facts.Reason != "" {
			return errs.Reason(facts.Reason)
		}
	}
	return reason
}

func serves(f message.LeafFacts, snap topology.Snapshot) bool {
	return f.PartitionGeneration == snap.PartitionGeneration && slices.Contains(f.IndexVersions, snap.IndexVersion)
}

// compareBool orders true first.
func compareBool(a, b bool) int {
	return cmp.Compare(rank(a), rank(b))
}

func rank(b bool) int {
	if b {
		return 0
	}
	return 1
}
