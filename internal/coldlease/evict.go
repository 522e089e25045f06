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

// applyEvictions finds the peers to skip. An eviction is in force only while
// its evictor is in the own list and is not evicted itself: then each lease of
// the evicted VM and of this VM needs the same VM's acknowledgement.
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

// evictionMatches reports whether an entry may be for the boot that runs on a peer now.
func (m *Machine) evictionMatches(e Eviction, p *peer) bool {
	return e.VM == p.id && (p.boot == 0 || p.boot == e.Boot)
}

func (m *Machine) evictorValid(by topology.VMID) bool {
	if by == m.cfg.Self {
		return true
	}
	p := m.peers[by]
	if p == nil || p.dropped {
		return false
	}
	for e := range m.evictions {
		if m.evictionMatches(e, p) {
			return false
		}
	}
	return true
}

// proposeEviction evicts a peer that is silent, if rule 7 allows it.
func (m *Machine) proposeEviction(now time.Duration, p *peer, out []Action) []Action {
	silent := p.unanswered > maxUnanswered && now-p.unansweredSince >= m.cfg.Term+m.cfg.Margin
	confirmed := p.boot != 0 && m.firstListedVersion > 0 && p.listVersion >= m.firstListedVersion
	if !silent || !confirmed || p.evicted || !m.evictionsRead || m.evicted || now < p.nextProposal {
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

// withEviction returns the entries with one added. It leaves out those for VMs
// that are gone or run another boot, which bounds the object; dropping an entry
// is always safe, since its VM is then asked again.
func (m *Machine) withEviction(added Eviction) []Eviction {
	out := []Eviction{added}
	for e := range maps.Keys(m.evictions) {
		p := m.peers[e.VM]
		if e.VM != added.VM && p != nil && !p.dropped && m.evictionMatches(e, p) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Eviction) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}
