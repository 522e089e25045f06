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

// leadPlans is the number of plans of an index in each of which one leaf that
// would come last comes first in its shard. Without them a leaf whose replica is
// warm would get no work, and would never warm up or show that it is fast again.
// One such leaf in half of the plans bounds how many answers wait for one.
const leadPlans = planVariants / 2

// leafEstimates are what the entry's own requests show of leaves.
type leafEstimates interface {
	// Delay is the time after which a second request to another leaf of a
	// shard is worth sending; 0 means never.
	Delay(t tier, shard topology.ShardID) time.Duration
	// Slow reports whether a leaf is much slower than another of its shard.
	Slow(leaf *topology.Leaf, siblings []*topology.Leaf) bool
}

// planner builds the plans of one index from a view and the leaf table.
type planner struct {
	view      *view
	table     *leafTable
	self      topology.VMID
	zone      topology.Zone
	estimates leafEstimates
	now       time.Duration
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
	leads := pickLeads(shards)
	for i := range planVariants {
		plan := variant(shards, snap)
		if i < len(leads) {
			leads[i].putFirst(plan)
		}
		out.plans[tierHighest] = append(out.plans[tierHighest], plan)
		out.plans[tierLower] = append(out.plans[tierLower], p.withDelays(plan, tierLower))
	}
	return out
}

// withDelays returns a plan with the hedge delays of a tier.
func (p *planner) withDelays(plan query.Plan, t tier) query.Plan {
	out := query.Plan{Snapshot: plan.Snapshot, Shards: slices.Clone(plan.Shards)}
	for i := range out.Shards {
		shard := &out.Shards[i]
		shard.Candidates = slices.Clone(shard.Candidates)
		delay := p.estimates.Delay(t, shard.Shard)
		for j := range shard.Candidates {
			shard.Candidates[j].HedgeAfter = delay
		}
	}
	return out
}

// lead is a leaf that comes first in its shard in one plan.
type lead struct {
	shard int
	leaf  topology.LeafID
}

// pickLeads picks random leaves that are not warm, slow or silent, while another
// leaf of their shard is better.
func pickLeads(shards []shardCandidates) []lead {
	var all []lead
	for i := range shards {
		for _, c := range shards[i].inferior() {
			all = append(all, lead{shard: i, leaf: c.Leaf})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), leadPlans)]
}

func (l lead) putFirst(plan query.Plan) {
	candidates := plan.Shards[l.shard].Candidates
	i := slices.IndexFunc(candidates, func(c query.Candidate) bool { return c.Leaf == l.leaf })
	candidates[0], candidates[i] = candidates[i], candidates[0]
}

// usableLeaves returns the facts of the leaves that may get work, looked up
// once for all plans.
func (p *planner) usableLeaves(index *topology.Index) map[topology.LeafID]message.LeafStatus {
	out := make(map[topology.LeafID]message.LeafStatus)
	for _, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			if facts, ok := p.facts(leaf); ok && facts.Usable {
				out[leaf.ID] = facts
			}
		}
	}
	return out
}

func evidence(leaves map[topology.LeafID]message.LeafStatus) map[topology.LeafID]snapshot.LeafVersions {
	out := make(map[topology.LeafID]snapshot.LeafVersions, len(leaves))
	for id, facts := range leaves {
		out[id] = snapshot.LeafVersions{
			IndexVersions: facts.IndexVersions, PartitionGeneration: facts.PartitionGeneration,
		}
	}
	return out
}

// facts returns what is known of a leaf in a zone that is in service.
func (p *planner) facts(leaf *topology.Leaf) (message.LeafStatus, bool) {
	if !p.view.topology.InService(leaf.Zone) {
		return message.LeafStatus{}, false
	}
	return p.table.get(p.now, leaf.ID, ownership.Owners(leaf.ID, p.view.zoneVMs[leaf.Zone]))
}

// shardCandidates is a shard's plan with its leaves in groups of equally good
// ones, best first.
type shardCandidates struct {
	plan   query.ShardPlan
	groups [groupCount][]query.Candidate
}

// Groups of a shard's leaves. Good ones are warm and not slow.
const (
	groupGoodLocal = iota
	groupGoodFar
	groupLocal
	groupFar
	// groupSilent holds the leaves that run requests without replying.
	groupSilent
	groupCount
)

// shard groups the leaves that serve the snapshot.
func (p *planner) shard(shard *topology.Shard, leaves map[topology.LeafID]message.LeafStatus, snap topology.Snapshot) shardCandidates {
	out := shardCandidates{plan: query.ShardPlan{Shard: shard.ID, Weight: shard.Weight}}
	delay := p.estimates.Delay(tierHighest, shard.ID)
	found := false
	for _, leaf := range shard.Leaves {
		facts, ok := leaves[leaf.ID]
		if !ok || !serves(facts, snap) {
			continue
		}
		found = true
		group := p.group(leaf, shard, facts)
		out.groups[group] = append(out.groups[group], query.Candidate{Leaf: leaf.ID, Warm: facts.Warm, HedgeAfter: delay})
	}
	if !found {
		out.plan.UnavailableReason = p.whyNone(shard)
	}
	return out
}

// inferior returns the leaves that would never come first. Local and far leaves
// of one quality do not differ in that.
func (s *shardCandidates) inferior() []query.Candidate {
	if len(s.groups[groupGoodLocal])+len(s.groups[groupGoodFar]) > 0 {
		return slices.Concat(s.groups[groupLocal:]...)
	}
	if len(s.groups[groupLocal])+len(s.groups[groupFar]) > 0 {
		return s.groups[groupSilent]
	}
	return nil
}

// group puts good leaves before others, this zone's before others, and silent
// ones last.
func (p *planner) group(leaf *topology.Leaf, shard *topology.Shard, facts message.LeafStatus) int {
	if facts.Unresponsive {
		return groupSilent
	}
	if facts.Warm && !p.estimates.Slow(leaf, shard.Leaves) {
		return groupGoodLocal + rank(leaf.Zone == p.zone)
	}
	return groupLocal + rank(leaf.Zone == p.zone)
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

func serves(f message.LeafStatus, snap topology.Snapshot) bool {
	return f.PartitionGeneration == snap.PartitionGeneration && slices.Contains(f.IndexVersions, snap.IndexVersion)
}

// rank orders true first.
func rank(b bool) int {
	if b {
		return 0
	}
	return 1
}
