package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// requestReceived answers each request, if only to show that this VM runs.
func (m *Machine) requestReceived(now time.Duration, ev RequestReceived) []Action {
	if ev.From == m.cfg.Self {
		return nil
	}
	if p := m.peers[ev.From]; p != nil {
		m.messageReceived(p, ev.Boot, ev.ListVersion)
		// A request that a later one overtook may have been released by it;
		// its promise would then block the leaf for the whole fence.
		if ev.Nonce < p.lastNonce {
			return nil
		}
		p.lastNonce = ev.Nonce
	}
	for _, id := range ev.Released {
		m.releasePromise(now, ev, id)
	}
	if len(ev.Leaves) == 0 {
		return nil
	}
	ack := Ack{Nonce: ev.Nonce, Requester: ev.Boot, ListVersion: m.listVersion}
	for _, asked := range ev.Leaves {
		if m.mayPromise(now, ev, asked) {
			m.promise(now, ev, asked)
			ack.Leaves = append(ack.Leaves, asked.Leaf)
		}
	}
	return []Action{SendAck{To: ev.From, Ack: ack}}
}

// mayPromise applies rules 2, 4, 5 and 7.
func (m *Machine) mayPromise(now time.Duration, ev RequestReceived, asked RequestedLeaf) bool {
	if m.inFlight[asked.Leaf] > 0 || m.isEvicted(ev.From, ev.Boot) {
		return false
	}
	runLimit := asked.runLimit()
	l := m.leases[asked.Leaf]
	if l != nil {
		runLimit = max(runLimit, l.runLimit)
	}
	if now < m.cfg.StartedAt+m.cfg.fence(runLimit) {
		return false
	}
	if p, ok := m.promises[asked.Leaf]; ok && p.until > now {
		return p.vm == ev.From && p.boot == ev.Boot
	}
	return l == nil || !m.holds(now, l) && !m.ownRequestPrecedes(now, ev, l)
}

// ownRequestPrecedes decides between two VMs that ask at the same time. The newer list
// goes first, since an older one may name a VM that is gone and cannot answer.
func (m *Machine) ownRequestPrecedes(now time.Duration, ev RequestReceived, l *leaseState) bool {
	switch {
	case l.requestedAt+m.cfg.Term <= now:
		return false
	case m.listVersion != ev.ListVersion:
		return m.listVersion > ev.ListVersion
	}
	return m.cfg.Self < ev.From
}

// promise records the acknowledgement and gives up an own request for the leaf,
// whose outstanding answers could otherwise still complete a lease.
func (m *Machine) promise(now time.Duration, ev RequestReceived, asked RequestedLeaf) {
	old := m.promises[asked.Leaf]
	m.maxRunLimit = max(m.maxRunLimit, asked.runLimit())
	m.promises[asked.Leaf] = promise{
		vm:    ev.From,
		boot:  ev.Boot,
		nonce: max(old.nonceFor(ev), ev.Nonce),
		until: max(old.until, now+m.cfg.fence(asked.runLimit())),
	}
	l := m.leases[asked.Leaf]
	if l == nil {
		return
	}
	if l.requestedAt != never {
		m.queuedReleases[l.id] = struct{}{}
		m.wakeAt(now + batchDelay)
	}
	l.invalidateAcks(m.nonce + 1)
}

// nonceFor returns the nonce of a promise to the sender's boot.
func (p promise) nonceFor(ev RequestReceived) uint64 {
	if p.vm != ev.From || p.boot != ev.Boot {
		return 0
	}
	return p.nonce
}

// releasePromise ends a promise whose requester has given the leaf back. A request
// that the requester sent later keeps its promise.
func (m *Machine) releasePromise(now time.Duration, ev RequestReceived, id topology.LeafID) {
	p, ok := m.promises[id]
	if !ok || p.vm != ev.From || p.boot != ev.Boot || p.nonce >= ev.Nonce {
		return
	}
	delete(m.promises, id)
	if l := m.leases[id]; l != nil {
		l.nextRequestAt = min(l.nextRequestAt, now+batchDelay)
		m.wakeAt(l.nextRequestAt)
	}
}
