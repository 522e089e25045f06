package entry

import (
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// retainPartitionMaps keeps the previous partition map of each index that the next
// topology repartitions, so that queries use it until the leaves serve the new map.
// Otherwise no shard would have a leaf until its leaves have switched.
func (b *viewBuilder) retainPartitionMaps(next *topology.Topology) {
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

// planRetained plans an index with its new partition map, or with the retained one
// while that covers a larger share of the index's data.
func (b *viewBuilder) planRetained(p *planner, index *topology.Index) *indexView {
	view := p.plan(index)
	old, ok := b.retained[index.ID]
	if !ok {
		return view
	}
	oldView := p.plan(old)
	if coverableShare(view) >= coverableShare(oldView) {
		delete(b.retained, index.ID)
		return view
	}
	return oldView
}

// coverableShare returns the share of the index's weight for which its plans have
// leaves, between 0 and 1.
func coverableShare(v *indexView) float64 {
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

// defaultPlan returns a plan without a promotion: no leaf gets work only for its
// warm-up.
func (v *indexView) defaultPlan() (query.Plan, bool) {
	if len(v.plans[tierHighest]) == 0 {
		return query.Plan{}, false
	}
	return v.plans[tierHighest][plansPerIndex-1], true
}
