package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// resumeSpread is over how long the VMs return to a leaf that has rested: it told all
	// of them the same time. It is shorter for a short rest, by resumeSpreadFraction.
	resumeSpread         = time.Second
	resumeSpreadFraction = 0.5
)

// rest keeps requests from a leaf for a time that it stated. A later statement cannot
// shorten it.
func (t *Table) rest(now time.Duration, l *leaf, d time.Duration) {
	until := now + d
	if until <= l.restUntil {
		return
	}
	spread := min(resumeSpread, time.Duration(resumeSpreadFraction*float64(d)))
	l.restUntil, l.resumeAt, l.resuming = until, until+time.Duration(t.leafFraction(l.ID)*float64(spread)), true
}

// leafFraction returns a number from 0 to 1 that differs between VMs and leaves. It spreads
// what many VMs would do at the same time.
func (t *Table) leafFraction(id fleet.LeafID) float64 {
	return float64(xxhash.Sum64String(t.sharers.Self+" "+string(id))>>11) / (1 << 53)
}

// rested reports whether a leaf may get a request as far as it stated a rest. After a rest
// it gets one request at a time until it has answered one without stating another rest.
func (l *leaf) rested(now time.Duration) bool {
	return now >= l.resumeAt && (!l.resuming || len(l.started) == 0)
}

// endResuming ends the time with one request at a time, after a reply to a request that
// was sent at a given time.
func (l *leaf) endResuming(sentAt time.Duration) {
	if sentAt >= l.resumeAt {
		l.resuming = false
	}
}
