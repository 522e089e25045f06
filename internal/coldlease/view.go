package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func (m *Machine) viewChanged(now time.Duration, ev ViewChanged) {
	if ev.Version <= m.listVersion {
		return
	}
	m.listVersion = ev.Version
	m.listed = false
	named := make(map[topology.VMID]bool, len(ev.VMs))
	for _, id := range ev.VMs {
		named[id] = true
		if id == m.cfg.Self {
			m.listed = true
		} else {
			m.addPeer(id)
		}
	}
	for id, p := range m.peers {
		if !named[id] && !p.dropped {
			m.dropPeer(now, p)
		}
	}
	if m.listed && m.firstListedVersion == 0 {
		m.firstListedVersion, m.firstListedAt = ev.Version, now
	}
	m.applyEvictions()
	m.scheduleRequests(now)
}

func (m *Machine) addPeer(id topology.VMID) {
	if p := m.peers[id]; p != nil {
		m.restorePeer(p)
		return
	}
	p := &peer{id: id, slot: m.slotCount}
	if n := len(m.freeSlots); n > 0 {
		p.slot = m.freeSlots[n-1]
		m.freeSlots = m.freeSlots[:n-1]
	} else {
		m.slotCount++
	}
	m.peers[id] = p
}

// restorePeer undoes dropPeer. The platform does not list a VM again after it has
// removed it, but if it did, the VM's acknowledgement would be required.
func (m *Machine) restorePeer(p *peer) {
	if !p.dropped {
		return
	}
	p.dropped = false
	for _, l := range m.leases {
		if l.ackedAt(p.slot) != never {
			l.setAcked(p.slot, never)
		}
	}
}

// dropPeer marks a peer that the list no longer names. Its process no longer
// runs, but its requests may run in leaves until the end of the fence. Leaves
// that it has promised to this VM are the exception, since it has no requests
// there.
func (m *Machine) dropPeer(now time.Duration, p *peer) {
	p.dropped, p.droppedAt = true, now
	for _, l := range m.leases {
		if l.ackedAt(p.slot)+m.cfg.Term > now {
			l.setAcked(p.slot, forever)
		}
	}
}

// removePeer deletes a dropped peer and frees its slot.
func (m *Machine) removePeer(p *peer) {
	delete(m.peers, p.id)
	m.freeSlots = append(m.freeSlots, p.slot)
	m.lastDropAt = max(m.lastDropAt, p.droppedAt)
	for _, l := range m.leases {
		if p.slot < len(l.acked) {
			l.acked[p.slot] = never
		}
	}
}

// ackRequired reports whether the lease of a leaf requires a peer's
// acknowledgement.
func (m *Machine) ackRequired(now time.Duration, p *peer, l *leaseState) bool {
	if p.dropped {
		return now < p.droppedAt+m.cfg.fence(l.runLimit)
	}
	return !p.evicted || now < p.evictedAt+m.cfg.fence(l.runLimit)
}
