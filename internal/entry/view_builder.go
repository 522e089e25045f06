package entry

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// rebuildInterval bounds how often a view is built from changing facts.
	rebuildInterval = 20 * time.Millisecond
	inputQueueSize  = 4096
	// refreshInterval is how often silent relays are looked for, and
	// refreshRounds in how many rounds each index is planned again for new
	// hedge delays and another order of its leaves.
	refreshInterval = time.Second
	refreshRounds   = 10
)

// viewInput is one change that a view is built from; exactly one field is set.
type viewInput struct {
	topology *topology.Topology
	vms      *topology.VMView
	facts    *leafReport
}

// leafReport is what one relay says about its leaves.
type leafReport struct {
	from   topology.VMID
	update message.LeafStatusUpdate
	// resync asks the relay for all its facts.
	resync func()
}

// viewBuilder collects inputs and publishes views. Its state belongs to the
// goroutine that runs it.
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
	// retained holds partition maps that were replaced but are still served.
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

// run builds views until the context is done.
func (b *viewBuilder) run(ctx context.Context) {
	tick := time.NewTicker(rebuildInterval)
	defer tick.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case in := <-b.inputs:
			b.take(in)
		case <-tick.C:
			b.rebuild()
		case <-refresh.C:
			b.refresh()
		case <-ctx.Done():
			return
		}
	}
}

// take stores an input. A change of the configuration or of the VMs takes
// effect at once, a change of facts with the next rebuild.
func (b *viewBuilder) take(in viewInput) {
	switch {
	case in.topology != nil:
		b.takeTopology(in.topology)
	case in.vms != nil:
		b.takeVMs(*in.vms)
	case in.facts != nil:
		b.takeFacts(in.facts)
	}
}

func (b *viewBuilder) takeTopology(t *topology.Topology) {
	if b.current.topology != nil && t.Generation < b.current.topology.Generation {
		return
	}
	b.retain(t)
	next := *b.current
	next.topology = t
	next.owners = newOwnerTable()
	b.current = &next
	b.table.keepOnly(t)
	b.markAll()
	b.rebuild()
}

func (b *viewBuilder) takeVMs(vms topology.VMView) {
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
	b.markAll()
	b.rebuild()
}

func (b *viewBuilder) takeFacts(r *leafReport) {
	changed, missed := b.table.put(b.now(), r)
	if missed {
		r.resync()
	}
	if b.current.topology == nil {
		return
	}
	b.markLeaves(changed)
	if r.update.Draining {
		b.rebuild()
	}
}

// refresh marks the indexes of relays that have fallen silent, and one part of
// the others.
func (b *viewBuilder) refresh() {
	if b.current.topology == nil {
		return
	}
	b.markLeaves(b.table.silenced(b.now()))
	n := 0
	for id := range b.current.topology.Indexes {
		n++
		if n*refreshRounds > len(b.current.topology.Indexes)+refreshRounds {
			return
		}
		b.dirty[id] = true
	}
}

func (b *viewBuilder) markLeaves(ids []topology.LeafID) {
	for _, id := range ids {
		if leaf, ok := b.current.topology.Leaves[id]; ok {
			b.dirty[leaf.Index] = true
		}
	}
}

func (b *viewBuilder) markAll() {
	if b.current.topology == nil {
		return
	}
	for id := range b.current.topology.Indexes {
		b.dirty[id] = true
	}
}

// rebuild replans the indexes that changed and publishes the new view.
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
