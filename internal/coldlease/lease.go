package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leaseEnd returns when the lease of a leaf ends, never if it is not held.
func (m *Machine) leaseEnd(now time.Duration, l *leaf) time.Duration {
	if m.mayAskAt(now, l) > now {
		return never
	}
	end := now + m.cfg.Term
	for _, p := range m.peers {
		acked := l.ackedAt(p.slot)
		if acked+m.cfg.Term < end && m.needed(now, p, l) {
			end = acked + m.cfg.Term
		}
	}
	return end
}

// holds reports whether the lease has not ended, including its last part in
// which no request may be sent.
func (m *Machine) holds(now time.Duration, l *leaf) bool { return m.leaseEnd(now, l) > now }

// mayAskAt returns from when this VM may ask for a leaf, as far as it knows,
// and forever if that depends on an event.
func (m *Machine) mayAskAt(now time.Duration, l *leaf) time.Duration {
	if !m.listed || m.evicted {
		return forever
	}
	fence := m.cfg.fence(l.runLimit)
	// A VM that this process never saw in a list can have held the lease under
	// a list without this VM, so the fence starts with the first own list.
	at := max(m.cfg.StartedAt, m.firstListedAt, m.lastDropAt) + fence
	if p, ok := m.promises[l.id]; ok && p.until > now {
		at = max(at, p.until)
	}
	return at
}

func (m *Machine) want(now time.Duration, ev Acquire) {
	l := m.leaves[ev.Leaf]
	m.maxRunLimit = max(m.maxRunLimit, ev.RunLimit)
	if l != nil && ev.RunLimit <= l.runLimit {
		return
	}
	if l == nil {
		l = &leaf{id: ev.Leaf}
		m.leaves[ev.Leaf] = l
	}
	// Promises for a shorter run limit end too early for a longer one.
	l.runLimit = ev.RunLimit
	l.void(m.nonce + 1)
	l.nextAsk = now + batchDelay
	m.wakeAt(l.nextAsk)
}

func (m *Machine) unwant(now time.Duration, id topology.LeafID) {
	l := m.leaves[id]
	if l == nil {
		return
	}
	delete(m.leaves, id)
	if l.askedAt == never {
		return
	}
	m.owed[id] = l.askedAt + m.cfg.fence(l.runLimit)
	m.release(now, id)
}

func (m *Machine) ended(now time.Duration, id topology.LeafID) {
	m.inFlight[id]--
	if m.inFlight[id] > 0 {
		return
	}
	delete(m.inFlight, id)
	m.release(now, id)
}

// release gives back the promises of an unwanted leaf once none of this VM's
// requests runs in it.
func (m *Machine) release(now time.Duration, id topology.LeafID) {
	if _, ok := m.owed[id]; !ok || m.inFlight[id] > 0 {
		return
	}
	delete(m.owed, id)
	m.releases[id] = struct{}{}
	m.wakeAt(now + batchDelay)
}
