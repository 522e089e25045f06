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

// plansPerIndex is the number of plans per index. Queries pick one at random, which
// spreads them over leaves that are equally good.
const plansPerIndex = 8

// promotionPlans is the number of plans of an index in which one cold, slow or
// unresponsive leaf is placed first in its shard. Otherwise such a leaf gets no work
// while a replica is better, and never warms up or shows that it has recovered. At
// most one promoted leaf in half of the plans limits how many answers depend on one.
const promotionPlans = plansPerIndex / 2

// leafEstimates provides latency estimates from the entry's own requests.
type leafEstimates interface {
	// HedgeDelay returns the time after which a hedge is sent to another leaf of
	// the shard; 0 means never.
	HedgeDelay(t tier, shard topology.ShardID) time.Duration
	// IsSlow reports whether a leaf is much slower than another leaf of its shard.
	IsSlow(leaf *topology.Leaf, siblings []*topology.Leaf) bool
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
	snap, ok := snapshot.Choose(index, servedVersions(leaves))
	if !ok {
		return out
	}
	shards := make([]shardCandidates, len(index.Shards))
	for i, shard := range index.Shards {
		shards[i] = p.groupLeaves(shard, leaves, snap)
	}
	promotions := pickPromotions(shards)
	for i := range plansPerIndex {
		plan := shuffledPlan(shards, snap)
		if i < len(promotions) {
			promotions[i].apply(plan)
		}
		out.plans[tierHighest] = append(out.plans[tierHighest], plan)
		out.plans[tierLower] = append(out.plans[tierLower], p.withDelays(plan, tierLower))
	}
	return out
}

// withDelays returns a copy of a plan with the hedge delays of a tier.
func (p *planner) withDelays(plan query.Plan, t tier) query.Plan {
	out := query.Plan{Snapshot: plan.Snapshot, Shards: slices.Clone(plan.Shards)}
	for i := range out.Shards {
		shard := &out.Shards[i]
		shard.Candidates = slices.Clone(shard.Candidates)
		delay := p.estimates.HedgeDelay(t, shard.Shard)
		for j := range shard.Candidates {
			shard.Candidates[j].HedgeAfter = delay
		}
	}
	return out
}

// promotion is a leaf that one plan places first in its shard.
type promotion struct {
	shard int
	leaf  topology.LeafID
}

// pickPromotions picks at most promotionPlans of the shards' inferior leaves at random.
func pickPromotions(shards []shardCandidates) []promotion {
	var all []promotion
	for i := range shards {
		for _, c := range shards[i].inferior() {
			all = append(all, promotion{shard: i, leaf: c.Leaf})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), promotionPlans)]
}

// apply swaps the promoted leaf with the first one of its shard.
func (p promotion) apply(plan query.Plan) {
	candidates := plan.Shards[p.shard].Candidates
	i := slices.IndexFunc(candidates, func(c query.Candidate) bool { return c.Leaf == p.leaf })
	candidates[0], candidates[i] = candidates[i], candidates[0]
}

// usableLeaves returns the status of the leaves that may get work. It is looked up
// once for all plans.
func (p *planner) usableLeaves(index *topology.Index) map[topology.LeafID]message.LeafStatus {
	out := make(map[topology.LeafID]message.LeafStatus)
	for _, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			if status, ok := p.status(leaf); ok && status.Usable {
				out[leaf.ID] = status
			}
		}
	}
	return out
}

// servedVersions returns the index versions and partition generations of leaves.
func servedVersions(leaves map[topology.LeafID]message.LeafStatus) map[topology.LeafID]snapshot.LeafVersions {
	out := make(map[topology.LeafID]snapshot.LeafVersions, len(leaves))
	for id, status := range leaves {
		out[id] = snapshot.LeafVersions{
			IndexVersions: status.IndexVersions, PartitionGeneration: status.PartitionGeneration,
		}
	}
	return out
}

// status returns the status of a leaf, or false if it has none or its zone is out
// of service.
func (p *planner) status(leaf *topology.Leaf) (message.LeafStatus, bool) {
	if !p.view.topology.InService(leaf.Zone) {
		return message.LeafStatus{}, false
	}
	return p.table.get(p.now, leaf.ID, ownership.Owners(leaf.ID, p.view.zoneVMs[leaf.Zone]))
}

// shardCandidates is a shard's plan with its leaves in groups, the best group first.
// The leaves of a group are equally good.
type shardCandidates struct {
	plan   query.ShardPlan
	groups [groupCount][]query.Candidate
}

// Groups of a shard's leaves, best first. Preferred leaves are warm and not slow;
// fallback leaves are cold or slow. Local leaves are in the zone of this entry.
const (
	groupPreferredLocal = iota
	groupPreferredRemote
	groupFallbackLocal
	groupFallbackRemote
	// groupUnresponsive holds the leaves that accept requests without replying.
	groupUnresponsive
	groupCount
)

// groupLeaves groups the leaves of a shard that serve the snapshot.
func (p *planner) groupLeaves(shard *topology.Shard, leaves map[topology.LeafID]message.LeafStatus, snap topology.Snapshot) shardCandidates {
	out := shardCandidates{plan: query.ShardPlan{Shard: shard.ID, Weight: shard.Weight}}
	delay := p.estimates.HedgeDelay(tierHighest, shard.ID)
	found := false
	for _, leaf := range shard.Leaves {
		status, ok := leaves[leaf.ID]
		if !ok || !serves(status, snap) {
			continue
		}
		found = true
		group := p.groupOf(leaf, shard, status)
		out.groups[group] = append(out.groups[group], query.Candidate{Leaf: leaf.ID, Warm: status.Warm, HedgeAfter: delay})
	}
	if !found {
		out.plan.UnavailableReason = p.unavailableReason(shard)
	}
	return out
}

// inferior returns the leaves that would never come first because the shard has
// better ones: preferred leaves before fallbacks, these before unresponsive leaves.
// Local leaves do not count as better than remote ones here.
func (s *shardCandidates) inferior() []query.Candidate {
	if len(s.groups[groupPreferredLocal])+len(s.groups[groupPreferredRemote]) > 0 {
		return slices.Concat(s.groups[groupFallbackLocal:]...)
	}
	if len(s.groups[groupFallbackLocal])+len(s.groups[groupFallbackRemote]) > 0 {
		return s.groups[groupUnresponsive]
	}
	return nil
}

// groupOf returns the group of a leaf.
func (p *planner) groupOf(leaf *topology.Leaf, shard *topology.Shard, status message.LeafStatus) int {
	if status.Unresponsive {
		return groupUnresponsive
	}
	if status.Warm && !p.estimates.IsSlow(leaf, shard.Leaves) {
		return groupPreferredLocal + trueFirst(leaf.Zone == p.zone)
	}
	return groupFallbackLocal + trueFirst(leaf.Zone == p.zone)
}

// shuffledPlan returns a plan with the leaves of each group in random order.
func shuffledPlan(shards []shardCandidates, snap topology.Snapshot) query.Plan {
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

// unavailableReason returns the reason that an answer reports for a shard without
// candidates.
func (p *planner) unavailableReason(shard *topology.Shard) errs.Reason {
	reason := errs.ReasonZoneOut
	for _, leaf := range shard.Leaves {
		if !p.view.topology.InService(leaf.Zone) {
			continue
		}
		reason = errs.ReasonNoLeaf
		if status, ok := p.status(leaf); ok && status.Reason != "" {
			return errs.Reason(status.Reason)
		}
	}
	return reason
}

// serves reports whether a leaf holds the index version and the partition
// generation of a snapshot.
func serves(status message.LeafStatus, snap topology.Snapshot) bool {
	return status.PartitionGeneration == snap.PartitionGeneration && slices.Contains(status.IndexVersions, snap.IndexVersion)
}

// trueFirst returns an offset that orders true before false.
func trueFirst(b bool) int {
	if b {
		return 0
	}
	return 1
}
