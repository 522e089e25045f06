package relay

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// SetTopology applies a configuration. It is ignored unless its generation is
// higher than the current one.
func (s *Server) SetTopology(ctx context.Context, t *topology.Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topology != nil && t.Generation <= s.topology.Generation {
		return
	}
	s.recordZoneChanges(t)
	s.topology = t
	s.proc.Events.Add(timeline.KindConfigActive, "", "generation", itoa(t.Generation))
	s.reconcile(ctx)
}

// recordZoneChanges adds an event to the time line for each zone that the next
// generation takes out of service or returns to service.
func (s *Server) recordZoneChanges(next *topology.Topology) {
	if s.topology == nil {
		return
	}
	for name, zone := range next.Zones {
		old, ok := s.topology.Zones[name]
		switch {
		case !ok || old.OutOfService == zone.OutOfService:
		case zone.OutOfService:
			s.proc.Events.Add(timeline.KindZoneOut, "", string(name), "generation "+itoa(next.Generation))
		default:
			s.proc.Events.Add(timeline.KindZoneIn, "", string(name), "generation "+itoa(next.Generation))
		}
	}
}

// SetVMs applies a VM list. The server ignores it unless its version is higher
// than the current one.
func (s *Server) SetVMs(ctx context.Context, v topology.VMView) {
	s.leases.setVMs(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Version <= s.views[0].Version {
		return
	}
	s.views[1], s.views[0] = s.views[0], v
	s.linkRelays(ctx, v)
	s.reconcile(ctx)
}

// linkRelays connects to the other relays of the zone, for lease messages and the
// statuses of leaves.
func (s *Server) linkRelays(ctx context.Context, v topology.VMView) {
	var addrs []string
	for _, vm := range v.InZone(s.proc.Self.Zone) {
		if vm.ID != s.proc.Self.VM {
			addrs = append(addrs, vm.RelayAddress)
		}
	}
	s.links.Set(ctx, addrs)
}

// reconcile starts a worker for each leaf that this relay may serve, retires the
// other workers, and passes to each whether its zone is in service and whether
// this relay serves the leaf now.
func (s *Server) reconcile(ctx context.Context) {
	if s.topology == nil {
		return
	}
	for id, w := range s.workers {
		leaf, ok := s.topology.Leaves[id]
		if !ok || !sameUpstream(leaf, w.leaf) || !s.isOwner(leaf) {
			w.postBlocking(ctx, retired{})
			delete(s.workers, id)
			s.publisher.remove(id)
		}
	}
	for id, leaf := range s.topology.Leaves {
		if leaf.Zone == s.proc.Self.Zone && s.workers[id] == nil && s.isOwner(leaf) {
			s.startWorker(ctx, leaf)
		}
	}
	for _, w := range s.workers {
		w.postBlocking(ctx, zoneState{inService: s.topology.InService(w.leaf.Zone)})
		w.postBlocking(ctx, servingState{serving: s.servesLeaf(w.leaf)})
	}
}

// sameUpstream reports whether the leaves of two generations are the same upstream
// server. A repartition changes only its shard, so its measurements stay valid.
func sameUpstream(a, b *topology.Leaf) bool {
	return a.ID == b.ID && a.Index == b.Index && a.Zone == b.Zone && a.Address == b.Address
}

// isOwner reports whether this relay is rank 1 or 2 for a leaf in the current or
// the previous VM list.
func (s *Server) isOwner(leaf *topology.Leaf) bool {
	for _, view := range s.views {
		for _, vm := range ownership.Owners(leaf.ID, view.InZone(leaf.Zone)) {
			if vm.ID == s.proc.Self.VM {
				return true
			}
		}
	}
	return false
}

// servesLeaf reports whether this relay serves a leaf now: as rank 1, or as rank
// 2 while rank 1 is draining or there is no connection to it.
func (s *Server) servesLeaf(leaf *topology.Leaf) bool {
	for _, vm := range ownership.Owners(leaf.ID, s.views[0].InZone(leaf.Zone)) {
		if vm.ID == s.proc.Self.VM {
			return true
		}
		if s.links.Get(vm.RelayAddress) != nil && !s.draining[vm.ID] {
			return false
		}
	}
	return false
}

func (s *Server) startWorker(ctx context.Context, leaf *topology.Leaf) {
	index := s.topology.Indexes[leaf.Index]
	w := newLeafWorker(s.proc, leaf, index, ownership.ConnectionShare(index.Connections), s.leases, s.agent.MayAccept, s.publisher.publish)
	s.workers[leaf.ID] = w
	go w.run(ctx)
}
