package relay

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// SetTopology brings a configuration into force. Lower generations are ignored.
func (s *Server) SetTopology(ctx context.Context, t *topology.Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topology != nil && t.Generation <= s.topology.Generation {
		return
	}
	s.recordZones(t)
	s.topology = t
	s.proc.Events.Add(timeline.KindConfigInForce, "", "generation", itoa(t.Generation))
	s.reconcile(ctx)
}

// recordZones records zones that this generation takes out or brings back.
func (s *Server) recordZones(next *topology.Topology) {
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

// SetVMs brings a VM list into force. Lower versions are ignored.
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

// linkRelays connects to the other relays of the zone, for leases and facts.
func (s *Server) linkRelays(ctx context.Context, v topology.VMView) {
	var addrs []string
	for _, vm := range v.InZone(s.proc.Self.Zone) {
		if vm.ID != s.proc.Self.VM {
			addrs = append(addrs, vm.RelayAddress)
		}
	}
	s.links.Set(ctx, addrs)
}

// reconcile starts a worker for each leaf that this relay may serve, stops the
// others, and opens or closes each by the state of the zone.
func (s *Server) reconcile(ctx context.Context) {
	if s.topology == nil {
		return
	}
	for id, w := range s.workers {
		leaf, ok := s.topology.Leaves[id]
		if !ok || !sameServer(leaf, w.leaf) || !s.ranks(leaf) {
			w.mustPost(ctx, retired{})
			delete(s.workers, id)
			s.hub.drop(id)
		}
	}
	for id, leaf := range s.topology.Leaves {
		if leaf.Zone == s.proc.Self.Zone && s.workers[id] == nil && s.ranks(leaf) {
			s.startWorker(ctx, leaf)
		}
	}
	for _, w := range s.workers {
		w.mustPost(ctx, accepting{inService: s.topology.InService(w.leaf.Zone)})
		w.mustPost(ctx, ranked{serving: s.serving(w.leaf)})
	}
}

// sameServer reports whether two generations mean the same upstream server. A
// repartition changes its shard only; what was measured of it still holds.
func sameServer(a, b *topology.Leaf) bool {
	return a.ID == b.ID && a.Index == b.Index && a.Zone == b.Zone && a.Address == b.Address
}

// ranks reports whether this relay is rank 1 or 2 for a leaf under the current
// or the previous VM list.
func (s *Server) ranks(leaf *topology.Leaf) bool {
	for _, view := range s.views {
		for _, vm := range ownership.Owners(leaf.ID, view.InZone(leaf.Zone)) {
			if vm.ID == s.proc.Self.VM {
				return true
			}
		}
	}
	return false
}

// serving reports whether this relay serves a leaf now: as rank 1, or as rank
// 2 while there is no connection to rank 1.
func (s *Server) serving(leaf *topology.Leaf) bool {
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
	w := newLeafWorker(s.proc, leaf, index, ownership.ConnectionShare(index.Connections), s.leases, s.hub.publish)
	s.workers[leaf.ID] = w
	go w.run(ctx)
}
