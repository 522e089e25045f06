package entry

import (
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

func (p *planner) plan(index *topology.Index) *indexView {
	out := &indexView{index: index}
	leaves := p.usableLeaves(index)
	snap, ok := snapshot.Choose(index, evidence(leaves))
	if !ok {
		return out
	}
	shards := make([]shardCandidates, len(index.Shards))
	for i, shard := range index.Shards {
		shards[i] = p.shard(shard, leaves, snap)
	}
	for i := range planVariants {
		plan := variant(shards, snap)
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

// usableLeaves returns the facts of the leaves that may get work, looked up
// once for all plans.
func (p *planner) usableLeaves(index *topology.Index) map[topology.LeafID]message.LeafFacts {
	out := make(map[topology.LeafID]message.LeafFacts)
	for _, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			if facts, ok := p.facts(leaf); ok && facts.Usable {
				out[leaf.ID] = facts
			}
		}
	}
	return out
}

func evidence(leaves map[topology.LeafID]message.LeafFacts) map[topology.LeafID]snapshot.Evidence {
	out := make(map[topology.LeafID]snapshot.Evidence, len(leaves))
	for id, facts := range leaves {
		out[id] = snapshot.Evidence{
			IndexVersions: facts.IndexVersions, PartitionGeneration: facts.PartitionGeneration,
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

// shardCandidates is a shard's plan with its leaves in groups of equally good
// ones, best first.
type shardCandidates struct {
	plan   query.ShardPlan
	groups [groupCount][]query.Candidate
}

// groupCount is the number of combinations of warm and local.
const groupCount = 4

// shard groups the leaves that serve the snapshot: warm before others, and
// this zone's before others.
func (p *planner) shard(shard *topology.Shard, leaves map[topology.LeafID]message.LeafFacts, snap topology.Snapshot) shardCandidates {
	out := shardCandidates{plan: query.ShardPlan{Shard: shard.ID, Weight: shard.Weight}}
	delay := p.hedge.Delay(p.now, shard.ID)
	found := false
	for _, leaf := range shard.Leaves {
		facts, ok := leaves[leaf.ID]
		if !ok || !serves(facts, snap) {
			continue
		}
		found = true
		group := 2*rank(facts.Warm) + rank(leaf.Zone == p.zone)
		out.groups[group] = append(out.groups[group], query.Candidate{Leaf: leaf.ID, Warm: facts.Warm, HedgeAfter: delay})
	}
	if !found {
		out.plan.Unavailable = p.whyNone(shard)
	}
	return out
}

// variant is a plan with the leaves of each group in random order.
func variant(shards []shardCandidates, snap topology.Snapshot) query.Plan {
	plan := query.Plan{Snapshot: snap, Shards: make([]query.ShardPlan, len(shards))}
	for i := range shards {
		plan.Shards[i] = shards[i].plan
		var candidates []query.Candidate
		for _, group := range shards[i].groups {
			from := len(candidates)
			candidates = append(candidates, group...)
			added := candidates[from:]
			rand.Shuffle(len(added), func(a, b int) { added[a], added[b] = added[b], added[a] })
		}
		plan.Shards[i].Candidates = candidates
	}
	return plan
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

// rank orders true first.
func rank(b bool) int {
	if b {
		return 0
	}
	return 1
}
