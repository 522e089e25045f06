package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// requestReceived applies the releases of a request and acknowledges the leaves
// whose leases it requests. An acknowledgement without leaves still shows that this VM
// is running.
func (m *Machine) requestReceived(now time.Duration, ev RequestReceived) []Action {
	if ev.From == m.cfg.Self {
		return nil
	}
	if p := m.peers[ev.From]; p != nil {
		m.messageReceived(p, ev.Boot, ev.ListVersion)
		// A later request that arrived first may have released the leaves of
		// this one. An acknowledgement sent now would block them until the
		// fence expires.
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
	for _, requested := range ev.Leaves {
		if m.mayPromise(now, ev, requested) {
			m.promise(now, ev, requested)
			ack.Leaves = append(ack.Leaves, requested.Leaf)
		}
	}
	return []Action{SendAck{To: ev.From, Ack: ack}}
}

// mayPromise reports whether rules 2, 4, 5 and 7 allow this VM to promise a leaf
// to the sender of a request.
func (m *Machine) mayPromise(now time.Duration, ev RequestReceived, requested RequestedLeaf) bool {
	if m.inFlight[requested.Leaf] > 0 || m.isEvicted(ev.From, ev.Boot) {
		return false
	}
	runLimit := requested.runLimit()
	l := m.leases[requested.Leaf]
	if l != nil {
		runLimit = max(runLimit, l.runLimit)
	}
	if now < m.cfg.StartedAt+m.cfg.fence(runLimit) {
		return false
	}
	if p, ok := m.promises[requested.Leaf]; ok && p.until > now {
		return p.vm == ev.From && p.boot == ev.Boot
	}
	return l == nil || !m.holds(now, l) && !m.ownRequestPrecedes(now, ev, l)
}

// ownRequestPrecedes reports whether this VM's own request for a leaf takes
// precedence over one received from another VM at the same time. The request
// with the newer VM list does, since an older list may name a VM that no longer
// exists and cannot reply. With equal lists the lower VM ID does.
func (m *Machine) ownRequestPrecedes(now time.Duration, ev RequestReceived, l *leaseState) bool {
	switch {
	case l.requestedAt+m.cfg.Term <= now:
		return false
	case m.listVersion != ev.ListVersion:
		return m.listVersion > ev.ListVersion
	}
	return m.cfg.Self < ev.From
}

// promise records a promise to the sender of a request. It also withdraws this
// VM's own request for the leaf, since acknowledgements that are still
// outstanding could otherwise complete a second lease.
func (m *Machine) promise(now time.Duration, ev RequestReceived, requested RequestedLeaf) {
	old := m.promises[requested.Leaf]
	m.maxRunLimit = max(m.maxRunLimit, requested.runLimit())
	m.promises[requested.Leaf] = promise{
		vm:    ev.From,
		boot:  ev.Boot,
		nonce: max(old.nonceFor(ev), ev.Nonce),
		until: max(old.until, now+m.cfg.fence(requested.runLimit())),
	}
	l := m.leases[requested.Leaf]
	if l == nil {
		return
	}
	if l.requestedAt != never {
		m.queuedReleases[l.id] = struct{}{}
		m.sendBy(now + batchDelay)
	}
	l.invalidateAcks(m.nonce + 1)
}

// nonceFor returns the nonce of a promise to the boot that sent the request, and
// 0 if the promise was made to another boot.
func (p promise) nonceFor(ev RequestReceived) uint64 {
	if p.vm != ev.From || p.boot != ev.Boot {
		return 0
	}
	return p.nonce
}

// releasePromise removes a promise that its requester has released. A promise for
// a request with the same or a higher nonce is kept.
func (m *Machine) releasePromise(now time.Duration, ev RequestReceived, id topology.LeafID) {
	p, ok := m.promises[id]
	if !ok || p.vm != ev.From || p.boot != ev.Boot || p.nonce >= ev.Nonce {
		return
	}
	delete(m.promises, id)
	if l := m.leases[id]; l != nil {
		l.nextRequestAt = min(l.nextRequestAt, now+batchDelay)
		m.sendBy(l.nextRequestAt)
	}
}
