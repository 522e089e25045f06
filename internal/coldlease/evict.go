package coldlease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func (m *Machine) messageReceived(p *peer, boot topology.BootID, listVersion uint64) {
	if p.recordMessage(boot, listVersion) && len(m.evictions) > 0 {
		m.applyEvictions()
	}
}

func (m *Machine) evictionsReceived(now time.Duration, ev EvictionsRead) {
	if m.evictionsRead && ev.Version < m.evictionsVersion {
		return
	}
	m.evictionsRead, m.evictionsVersion = true, ev.Version
	read := make(map[Eviction]time.Duration, len(ev.Evictions))
	for _, e := range ev.Evictions {
		read[e] = now
		if first, ok := m.evictions[e]; ok {
			read[e] = first
		}
	}
	m.evictions = read
	m.evicted = m.isEvicted(m.cfg.Self, m.cfg.Boot)
	m.applyEvictions()
	m.scheduleRequests(now)
}

func (m *Machine) isEvicted(vm topology.VMID, boot topology.BootID) bool {
	for e := range m.evictions {
		if e.VM == vm && e.Boot == boot {
			return true
		}
	}
	return false
}

// applyEvictions marks the peers whose acknowledgements are not required because
// they are evicted. An eviction is in force only while its evictor is in this
// VM's list and is not evicted itself: then the leases of the evicted VM and
// those of this VM all need the acknowledgement of the evictor.
func (m *Machine) applyEvictions() {
	for _, p := range m.peers {
		p.evicted = false
		for e, readAt := range m.evictions {
			if !m.evictionMatches(e, p) || !m.evictorValid(e.By) {
				continue
			}
			if !p.evicted || readAt < p.evictedAt {
				p.evicted, p.evictedAt = true, readAt
			}
		}
	}
}

// evictionMatches reports whether an entry may refer to the boot that is running
// on a peer now.
func (m *Machine) evictionMatches(e Eviction, p *peer) bool {
	return e.VM == p.id && (p.boot == 0 || p.boot == e.Boot)
}

// evictorValid reports whether the evictions that a VM has written are in force.
func (m *Machine) evictorValid(by topology.VMID) bool {
	if by == m.cfg.Self {
		return true
	}
	p := m.peers[by]
	if p == nil || p.unlisted {
		return false
	}
	for e := range m.evictions {
		if m.evictionMatches(e, p) {
			return false
		}
	}
	return true
}

// proposeEviction proposes to evict an unresponsive peer if rule 7 allows it.
func (m *Machine) proposeEviction(now time.Duration, p *peer, out []Action) []Action {
	unresponsive := p.unanswered > maxUnanswered && now-p.unansweredSince >= m.cfg.Term+m.cfg.Margin
	confirmed := p.boot != 0 && m.firstListedVersion > 0 && p.listVersion >= m.firstListedVersion
	if !unresponsive || !confirmed || p.evicted || !m.evictionsRead || m.evicted || now < p.nextProposal {
		return out
	}
	p.nextProposal = now + proposalInterval
	return append(out, ProposeEviction{
		VM:        p.id,
		Boot:      p.boot,
		Evictions: m.withEviction(Eviction{VM: p.id, Boot: p.boot, By: m.cfg.Self}),
		IfVersion: m.evictionsVersion,
	})
}

// withEviction returns the current entries and an added one. It leaves out
// entries for VMs that are no longer listed or run another boot, which bounds the
// size of the store object. Removing an entry is always safe, since the
// acknowledgement of its VM is then required again.
func (m *Machine) withEviction(added Eviction) []Eviction {
	out := []Eviction{added}
	for e := range maps.Keys(m.evictions) {
		p := m.peers[e.VM]
		if e.VM != added.VM && p != nil && !p.unlisted && m.evictionMatches(e, p) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Eviction) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}
