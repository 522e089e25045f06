package entry

import (
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// retain keeps the previous partition map of an index after a repartition, so
// that queries go on with it until the leaves serve the new one. Without it
// the edit of the map would leave every shard without a leaf until its leaves
// have switched.
func (b *viewBuilder) retain(next *topology.Topology) {
	if b.current.topology == nil {
		return
	}
	for id, index := range next.Indexes {
		old, ok := b.current.topology.Indexes[id]
		if ok && old.PartitionGeneration != index.PartitionGeneration {
			b.retained[id] = old
		}
	}
	for id := range b.retained {
		if _, ok := next.Indexes[id]; !ok {
			delete(b.retained, id)
		}
	}
}

// planRetained plans an index by its new partition map, or by the retained one
// while that covers a larger share of its data.
func (b *viewBuilder) planRetained(p *planner, index *topology.Index) *indexView {
	view := p.plan(index)
	old, ok := b.retained[index.ID]
	if !ok {
		return view
	}
	oldView := p.plan(old)
	if coverable(view) >= coverable(oldView) {
		delete(b.retained, index.ID)
		return view
	}
	return oldView
}

// coverable is the share of an index's data for which a plan has leaves.
func coverable(v *indexView) float64 {
	if len(v.plans[tierHighest]) == 0 {
		return 0
	}
	var covered, total uint64
	for _, shard := range v.plans[tierHighest][0].Shards {
		total += shard.Weight
		if len(shard.Candidates) > 0 {
			covered += shard.Weight
		}
	}
	if total == 0 {
		return 1
	}
	return float64(covered) / float64(total)
}

// steadyPlan returns a plan that sends nothing to leaves for their warm-up.
func (v *indexView) steadyPlan() (query.Plan, bool) {
	if len(v.plans[tierHighest]) == 0 {
		return query.Plan{}, false
	}
	return v.plans[tierHighest][planVariants-1], true
}
