package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leaseExpiry returns when the lease of a leaf expires. For a lease that is not
// held, it returns the constant never, which is in the distant past.
func (m *Machine) leaseExpiry(now time.Duration, l *leaseState) time.Duration {
	if m.requestAllowedAt(now, l) > now {
		return never
	}
	expiry := now + m.cfg.Term
	for _, p := range m.peers {
		acked := l.ackedSentAt(p.slot)
		if acked+m.cfg.Term < expiry && m.ackRequired(now, p, l) {
			expiry = acked + m.cfg.Term
		}
	}
	return expiry
}

// holds reports whether the lease has not expired. Unlike Held, it includes the
// last ClockMargin of the lease, in which no request may be sent.
func (m *Machine) holds(now time.Duration, l *leaseState) bool { return m.leaseExpiry(now, l) > now }

// requestAllowedAt returns the earliest time at which this VM may request the
// lease of a leaf, and forever if that depends on an event to come.
func (m *Machine) requestAllowedAt(now time.Duration, l *leaseState) time.Duration {
	if !m.listed || m.evicted {
		return forever
	}
	fence := m.cfg.fence(l.runLimit)
	// A VM that this process has never seen in a list may have held the lease
	// under a list without this VM, so the fence also counts from the first list
	// that names this VM.
	at := max(m.cfg.StartedAt, m.firstListedAt, m.lastUnlistedAt) + fence
	if p, ok := m.promises[l.id]; ok && p.until > now {
		at = max(at, p.until)
	}
	return at
}

func (m *Machine) acquire(now time.Duration, ev Acquire) {
	l := m.leases[ev.Leaf]
	m.maxRunLimit = max(m.maxRunLimit, ev.RunLimit)
	if l != nil && ev.RunLimit <= l.runLimit {
		return
	}
	if l == nil {
		l = &leaseState{id: ev.Leaf}
		m.leases[ev.Leaf] = l
	}
	// Promises for a shorter run limit expire too early for a longer one.
	l.runLimit = ev.RunLimit
	l.invalidateAcks(m.nonce + 1)
	l.nextRequestAt = now + batchDelay
	m.sendBy(l.nextRequestAt)
}

func (m *Machine) release(now time.Duration, id topology.LeafID) {
	l := m.leases[id]
	if l == nil {
		return
	}
	delete(m.leases, id)
	if l.requestedAt == never {
		return
	}
	m.unreleased[id] = l.requestedAt + m.cfg.fence(l.runLimit)
	m.queueRelease(now, id)
}

func (m *Machine) leafRequestFinished(now time.Duration, id topology.LeafID) {
	m.inFlight[id]--
	if m.inFlight[id] > 0 {
		return
	}
	delete(m.inFlight, id)
	m.queueRelease(now, id)
}

// queueRelease releases the promises of peers for a released lease once none of
// this VM's requests runs in the leaf.
func (m *Machine) queueRelease(now time.Duration, id topology.LeafID) {
	if _, ok := m.unreleased[id]; !ok || m.inFlight[id] > 0 {
		return
	}
	delete(m.unreleased, id)
	m.queuedReleases[id] = struct{}{}
	m.sendBy(now + batchDelay)
}
