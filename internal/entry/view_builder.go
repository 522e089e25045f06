package entry

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// rebuildInterval limits how often changes of leaf status cause a new view.
	rebuildInterval = 20 * time.Millisecond
	inputQueueSize  = 4096
	// refreshInterval is how often relays are checked for missing updates. Each
	// refresh also replans 1/refreshRounds of the indexes, picked at random, to
	// apply new hedge delays and another order of the leaves.
	refreshInterval = time.Second
	refreshRounds   = 10
)

// viewInput is one input of the view builder; exactly one field is set.
type viewInput struct {
	topology *topology.Topology
	vms      *topology.VMView
	update   *leafUpdate
}

// leafUpdate is an update from one relay about its leaves.
type leafUpdate struct {
	from   topology.VMID
	update message.LeafStatusUpdate
	// resync requests a full update from the relay.
	resync func()
}

// viewBuilder builds views from its inputs and publishes them. Its state belongs to
// the goroutine of run.
type viewBuilder struct {
	self      topology.VMID
	zone      topology.Zone
	inputs    chan viewInput
	publish   func(*view)
	estimates leafEstimates
	now       func() time.Duration

	current *view
	table   *leafTable
	dirty   map[topology.IndexID]bool
	// retained holds replaced partition maps that are used until the leaves serve
	// the new ones.
	retained map[topology.IndexID]*topology.Index
}

func newViewBuilder(self topology.VMID, zone topology.Zone, estimates leafEstimates, now func() time.Duration, publish func(*view)) *viewBuilder {
	return &viewBuilder{
		self: self, zone: zone, estimates: estimates, now: now, publish: publish,
		inputs: make(chan viewInput, inputQueueSize), current: emptyView(),
		table: newLeafTable(), dirty: make(map[topology.IndexID]bool),
		retained: make(map[topology.IndexID]*topology.Index),
	}
}

// run builds views until the context is cancelled.
func (b *viewBuilder) run(ctx context.Context) {
	tick := time.NewTicker(rebuildInterval)
	defer tick.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case in := <-b.inputs:
			b.apply(in)
		case <-tick.C:
			b.rebuild()
		case <-refresh.C:
			b.refresh()
		case <-ctx.Done():
			return
		}
	}
}

// apply applies an input. A change of the configuration or of the VMs takes effect
// at once, a change of leaf status with the next rebuild.
func (b *viewBuilder) apply(in viewInput) {
	switch {
	case in.topology != nil:
		b.setTopology(in.topology)
	case in.vms != nil:
		b.setVMs(*in.vms)
	case in.update != nil:
		b.applyUpdate(in.update)
	}
}

func (b *viewBuilder) setTopology(t *topology.Topology) {
	if b.current.topology != nil && t.Generation < b.current.topology.Generation {
		return
	}
	b.retainPartitionMaps(t)
	next := *b.current
	next.topology = t
	next.owners = newOwnerTable()
	b.current = &next
	b.table.retain(t)
	b.markAllDirty()
	b.rebuild()
}

func (b *viewBuilder) setVMs(vms topology.VMView) {
	if vms.Version < b.current.vms.Version {
		return
	}
	next := *b.current
	next.vms = vms
	next.owners = newOwnerTable()
	next.zoneVMs = make(map[topology.Zone][]topology.VM)
	for _, vm := range vms.VMs {
		next.zoneVMs[vm.Zone] = append(next.zoneVMs[vm.Zone], vm)
	}
	b.current = &next
	b.markAllDirty()
	b.rebuild()
}

func (b *viewBuilder) applyUpdate(r *leafUpdate) {
	changed, missed := b.table.put(b.now(), r)
	if missed {
		r.resync()
	}
	if b.current.topology == nil {
		return
	}
	b.markLeavesDirty(changed)
	if r.update.Draining {
		b.rebuild()
	}
}

// refresh marks the indexes of relays whose updates have stopped as dirty, and
// 1/refreshRounds of all indexes.
func (b *viewBuilder) refresh() {
	if b.current.topology == nil {
		return
	}
	b.markLeavesDirty(b.table.expireRelays(b.now()))
	n := 0
	for id := range b.current.topology.Indexes {
		n++
		if n*refreshRounds > len(b.current.topology.Indexes)+refreshRounds {
			return
		}
		b.dirty[id] = true
	}
}

func (b *viewBuilder) markLeavesDirty(ids []topology.LeafID) {
	for _, id := range ids {
		if leaf, ok := b.current.topology.Leaves[id]; ok {
			b.dirty[leaf.Index] = true
		}
	}
}

func (b *viewBuilder) markAllDirty() {
	if b.current.topology == nil {
		return
	}
	for id := range b.current.topology.Indexes {
		b.dirty[id] = true
	}
}

// rebuild replans the dirty indexes and publishes a new view.
func (b *viewBuilder) rebuild() {
	if len(b.dirty) == 0 || b.current.topology == nil {
		return
	}
	next := *b.current
	next.draining = b.table.drainingRelays()
	next.indexes = make(map[topology.IndexID]*indexView, len(next.topology.Indexes))
	for id, index := range next.topology.Indexes {
		if old, ok := b.current.indexes[id]; ok && !b.dirty[id] {
			next.indexes[id] = old
			continue
		}
		p := planner{view: &next, table: b.table, self: b.self, zone: b.zone, estimates: b.estimates, now: b.now()}
		next.indexes[id] = b.planRetained(&p, index)
	}
	clear(b.dirty)
	b.current = &next
	b.publish(&next)
}
