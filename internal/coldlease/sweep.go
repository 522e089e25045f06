package coldlease

import (
	"slices"
	"time"
)

// sweep removes expired entries once per term, so that memory is bounded by the
// number of current leaves and peers.
func (m *Machine) sweep(now time.Duration) {
	if now < m.nextSweep {
		return
	}
	m.nextSweep = now + m.cfg.Term
	for id, p := range m.promises {
		if p.until <= now {
			delete(m.promises, id)
		}
	}
	for id, until := range m.unreleased {
		if until <= now {
			delete(m.unreleased, id)
		}
	}
	for _, p := range m.peers {
		if p.unlisted && now >= p.unlistedAt+m.cfg.fence(m.maxRunLimit) {
			m.removePeer(p)
		}
	}
	m.sentRequests = slices.DeleteFunc(m.sentRequests, func(r sentRequest) bool { return r.sentAt+m.cfg.Term <= now })
}
