package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// updateShares recalculates this VM's share of the connections, of the cold rate limit and
// of the stated limit of each leaf.
func (t *Table) updateShares() {
	for _, l := range t.leaves {
		service := t.services[l.Service]
		l.connections = t.connectionShare(service)
		l.cold.limit = t.coldLimit(service)
		if l.stated.Limited {
			t.updateStatedShare(l)
		}
	}
}

// SetSharers sets the VMs that share the limits which leaves state.
func (t *Table) SetSharers(s Sharers) {
	t.sharers = s
	t.updateShares()
}

// updateStatedShare recalculates this VM's share of the limit that a leaf states.
func (t *Table) updateStatedShare(l *leaf) {
	if l.unheard {
		l.limiter.setRate(t.sharers.equalRate(l.stated.Limit))
		return
	}
	l.limiter.setRate(t.sharers.rate(l.ID, l.stated.Limit, t.fansOut[l.Service]))
}

// refreshStatedShare gives each VM the same share of a limit that none has heard of lately.
// The VMs that had no share begin at different times, so that few requests arrive before
// one of them hears whether the limit is still in force.
func (t *Table) refreshStatedShare(now time.Duration, l *leaf) {
	if l.unheard || !l.limited() || now-l.statedAt < unheardAfter {
		return
	}
	l.limiter.fill(now)
	hadShare := l.limiter.rate > 0
	l.unheard = true
	t.updateStatedShare(l)
	if !hadShare {
		l.limiter.tokens = t.leafFraction(l.ID)
	}
}

// connectionShare returns how many connections this VM may have to a leaf.
func (t *Table) connectionShare(s fleet.Service) int {
	if t.members == 0 {
		return minConnections
	}
	n := int(connectionFraction * float64(s.MaxConnections) / float64(t.members+spareMembers))
	return min(max(n, minConnections), maxConnections)
}

// coldLimit returns this VM's share of the rate limit of a cold leaf, or -1 if the
// service has none.
func (t *Table) coldLimit(s fleet.Service) int {
	if s.WarmUpRate <= 0 {
		return -1
	}
	if t.members == 0 {
		return 0
	}
	bound := s.WarmUpRate*t.config.ColdFactor + t.config.ColdSlack
	return int(bound) / (t.members + spareMembers)
}
