package coldlease

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ask sends one request to each peer for all leaves that are due.
func (m *Machine) ask(now time.Duration, out []Action) []Action {
	if now < m.wake {
		return out
	}
	asked, released := m.due(now), m.dueReleases()
	m.setWake()
	if len(asked) == 0 && len(released) == 0 {
		return out
	}
	m.nonce++
	if len(asked) > 0 {
		m.rounds = append(m.rounds, round{nonce: m.nonce, sentAt: now})
	}
	req := Request{Nonce: m.nonce, ListVersion: m.listVersion, Leaves: asked, Released: released}
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if p.dropped {
			continue
		}
		out = append(out, SendRequest{To: id, Request: req})
		if len(asked) > 0 {
			p.requested(now)
			out = m.proposeEviction(now, p, out)
		}
	}
	return out
}

// due returns the leaves to ask for, and sets when they are next due. Leaves
// that are due soon go along, so that they stay in one batch.
func (m *Machine) due(now time.Duration) []RequestedLeaf {
	var asked []RequestedLeaf
	soon := now + m.askInterval()/2
	for _, l := range m.leaves {
		if l.nextAsk > soon {
			continue
		}
		if at := m.mayAskAt(now, l); at > now {
			l.nextAsk = at
			continue
		}
		l.askedAt = now
		l.nextAsk = now + m.askInterval()
		asked = append(asked, askFor(l.id, l.runLimit))
	}
	slices.SortFunc(asked, func(a, b RequestedLeaf) int { return strings.Compare(string(a.Leaf), string(b.Leaf)) })
	return asked
}

// dueReleases returns the leaves to give back. One that is asked for again
// keeps its promises.
func (m *Machine) dueReleases() []topology.LeafID {
	var out []topology.LeafID
	for id := range m.releases {
		if l := m.leaves[id]; l == nil || l.askedAt == never {
			out = append(out, id)
		}
	}
	clear(m.releases)
	slices.Sort(out)
	return out
}

func (m *Machine) setWake() {
	m.wake = forever
	for _, l := range m.leaves {
		m.wake = min(m.wake, l.nextAsk)
	}
}

// askSoon makes all leaves due that this VM may ask for.
func (m *Machine) askSoon(now time.Duration) {
	for _, l := range m.leaves {
		l.nextAsk = min(l.nextAsk, now+batchDelay)
		m.wakeAt(l.nextAsk)
	}
}

func (m *Machine) peerIDs() []topology.VMID {
	ids := make([]topology.VMID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ackReceived records which requests the peer answered. The lease counts from
// when the request was sent, so a late answer gives no more than it should.
func (m *Machine) ackReceived(now time.Duration, ev AckReceived) {
	p := m.peers[ev.From]
	if p == nil || ev.Requester != m.cfg.Boot {
		return
	}
	m.heard(p, ev.Boot, ev.ListVersion)
	i := slices.IndexFunc(m.rounds, func(r round) bool { return r.nonce == ev.Nonce })
	if i < 0 || p.dropped {
		return
	}
	sentAt := m.rounds[i].sentAt
	for _, id := range ev.Leaves {
		l := m.leaves[id]
		if l != nil && ev.Nonce >= l.floor && sentAt > l.ackedAt(p.slot) {
			l.setAcked(p.slot, sentAt)
		}
	}
}
