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
		if !named[id] && !p.unlisted {
			m.markUnlisted(now, p)
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

// restorePeer undoes markUnlisted. The platform does not list a VM again after it has
// removed it, but if it did, the VM's acknowledgement would be required.
func (m *Machine) restorePeer(p *peer) {
	if !p.unlisted {
		return
	}
	p.unlisted = false
	for _, l := range m.leases {
		if l.ackedSentAt(p.slot) != never {
			l.setAckedSentAt(p.slot, never)
		}
	}
}

// markUnlisted marks a peer that the list no longer names. Its process no longer
// runs, but its requests may run in leaves until the end of the fence, except in
// leaves that it has promised to this VM.
func (m *Machine) markUnlisted(now time.Duration, p *peer) {
	p.unlisted, p.unlistedAt = true, now
	for _, l := range m.leases {
		if l.ackedSentAt(p.slot)+m.cfg.Term > now {
			l.setAckedSentAt(p.slot, forever)
		}
	}
}

// removePeer deletes an unlisted peer and frees its slot.
func (m *Machine) removePeer(p *peer) {
	delete(m.peers, p.id)
	m.freeSlots = append(m.freeSlots, p.slot)
	m.lastUnlistedAt = max(m.lastUnlistedAt, p.unlistedAt)
	for _, l := range m.leases {
		if p.slot < len(l.ackedSentTimes) {
			l.ackedSentTimes[p.slot] = never
		}
	}
}

// ackRequired reports whether the lease of a leaf requires a peer's
// acknowledgement.
func (m *Machine) ackRequired(now time.Duration, p *peer, l *leaseState) bool {
	if p.unlisted {
		return now < p.unlistedAt+m.cfg.fence(l.runLimit)
	}
	return !p.evicted || now < p.evictedAt+m.cfg.fence(l.runLimit)
}
