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
	if now < m.nextSendAt {
		return out
	}
	requested, released := m.dueLeaves(now), m.dueReleases()
	m.updateNextSend()
	if len(requested) == 0 && len(released) == 0 {
		return out
	}
	m.nonce++
	if len(requested) > 0 {
		m.sentRequests = append(m.sentRequests, sentRequest{nonce: m.nonce, sentAt: now})
	}
	req := Request{Nonce: m.nonce, ListVersion: m.listVersion, Leaves: requested, Released: released}
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if p.unlisted {
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

// dueLeaves returns the leaves whose leases are to be requested now, and schedules
// the next request of each. It includes leaves that are due within half an
// interval, so that they stay in one batch. Leaves that this VM may not request
// yet are postponed.
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

// dueReleases returns the leaves whose promises the peers should release now. The
// promises for a leaf whose lease has been requested again are kept.
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

func (m *Machine) updateNextSend() {
	m.nextSendAt = forever
	for _, l := range m.leases {
		m.nextSendAt = min(m.nextSendAt, l.nextRequestAt)
	}
}

// scheduleRequests moves the next request for each lease forward to batchDelay
// from now. dueLeaves postpones those that are not allowed yet.
func (m *Machine) scheduleRequests(now time.Duration) {
	for _, l := range m.leases {
		l.nextRequestAt = min(l.nextRequestAt, now+batchDelay)
		m.sendBy(l.nextRequestAt)
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

// ackReceived records when the request that a peer has acknowledged was sent. The
// term counts from that time, so that a late acknowledgement does not extend it.
func (m *Machine) ackReceived(now time.Duration, ev AckReceived) {
	p := m.peers[ev.From]
	if p == nil || ev.Requester != m.cfg.Boot {
		return
	}
	m.messageReceived(p, ev.Boot, ev.ListVersion)
	i := slices.IndexFunc(m.sentRequests, func(r sentRequest) bool { return r.nonce == ev.Nonce })
	if i < 0 || p.unlisted {
		return
	}
	sentAt := m.sentRequests[i].sentAt
	for _, id := range ev.Leaves {
		l := m.leases[id]
		if l != nil && ev.Nonce >= l.minNonce && sentAt > l.ackedSentAt(p.slot) {
			l.setAckedSentAt(p.slot, sentAt)
		}
	}
}
