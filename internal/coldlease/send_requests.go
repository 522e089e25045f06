package coldlease

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// sendRequests sends one request to each peer with all leases and releases that
// are due.
func (m *Machine) sendRequests(now time.Duration, out []Action) []Action {
	if now < m.wake {
		return out
	}
	requested, released := m.dueLeaves(now), m.dueReleases()
	m.setWake()
	if len(requested) == 0 && len(released) == 0 {
		return out
	}
	m.nonce++
	if len(requested) > 0 {
		m.rounds = append(m.rounds, round{nonce: m.nonce, sentAt: now})
	}
	req := Request{Nonce: m.nonce, ListVersion: m.listVersion, Leaves: requested, Released: released}
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if p.dropped {
			continue
		}
		out = append(out, SendRequest{To: id, Request: req})
		if len(requested) > 0 {
			p.recordRequest(now)
			out = m.proposeEviction(now, p, out)
		}
	}
	return out
}

// dueLeaves returns the leaves whose leases are to be requested now, and sets when
// they are next due. It includes leaves that are due within half an interval, so
// that they stay in one batch.
func (m *Machine) dueLeaves(now time.Duration) []RequestedLeaf {
	var requested []RequestedLeaf
	soon := now + m.requestInterval()/2
	for _, l := range m.leases {
		if l.nextRequestAt > soon {
			continue
		}
		if at := m.requestAllowedAt(now, l); at > now {
			l.nextRequestAt = at
			continue
		}
		l.requestedAt = now
		l.nextRequestAt = now + m.requestInterval()
		requested = append(requested, newRequestedLeaf(l.id, l.runLimit))
	}
	slices.SortFunc(requested, func(a, b RequestedLeaf) int { return strings.Compare(string(a.Leaf), string(b.Leaf)) })
	return requested
}

// dueReleases returns the leaves whose promises are to be released now. A leaf
// whose lease has been requested again keeps its promises.
func (m *Machine) dueReleases() []topology.LeafID {
	var out []topology.LeafID
	for id := range m.queuedReleases {
		if l := m.leases[id]; l == nil || l.requestedAt == never {
			out = append(out, id)
		}
	}
	clear(m.queuedReleases)
	slices.Sort(out)
	return out
}

func (m *Machine) setWake() {
	m.wake = forever
	for _, l := range m.leases {
		m.wake = min(m.wake, l.nextRequestAt)
	}
}

// scheduleRequests makes the requests for all leases due after batchDelay. Those
// that are not allowed yet wait until they are.
func (m *Machine) scheduleRequests(now time.Duration) {
	for _, l := range m.leases {
		l.nextRequestAt = min(l.nextRequestAt, now+batchDelay)
		m.wakeAt(l.nextRequestAt)
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

// ackReceived records which request a peer has acknowledged. The term counts from
// when the request was sent, so that a late acknowledgement does not extend it.
func (m *Machine) ackReceived(now time.Duration, ev AckReceived) {
	p := m.peers[ev.From]
	if p == nil || ev.Requester != m.cfg.Boot {
		return
	}
	m.messageReceived(p, ev.Boot, ev.ListVersion)
	i := slices.IndexFunc(m.rounds, func(r round) bool { return r.nonce == ev.Nonce })
	if i < 0 || p.dropped {
		return
	}
	sentAt := m.rounds[i].sentAt
	for _, id := range ev.Leaves {
		l := m.leases[id]
		if l != nil && ev.Nonce >= l.minNonce && sentAt > l.ackedAt(p.slot) {
			l.setAcked(p.slot, sentAt)
		}
	}
}
