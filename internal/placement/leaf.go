package placement

import (
	"math"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// leaf is what this VM knows of one leaf.
type leaf struct {
	fleet.Leaf
	// coldUntil is when the leaf stops being cold.
	coldUntil time.Duration
	// started holds the start times of requests in flight, oldest first.
	started []time.Duration
	// connections is how many requests this VM may have in flight there.
	connections int
	cold        coldShare

	// slowness is the leaf's time per request against the expected one.
	slowness   float64
	slownessAt time.Duration
	// heard is the slowness that other VMs found, heardAt when.
	heard   float64
	heardAt time.Duration
	// failures is the recent share of failed requests.
	failures   float64
	failuresAt time.Duration

	// load is what the last reply stated, reported when.
	load     Load
	loadAt   time.Duration
	hasLoad  bool
	unusable int
	// retryAt is when a leaf that could not be reached may be tried again.
	retryAt time.Duration
	// unanswered counts requests in a row that got no reply in time; silentUntil
	// is until when the leaf is not sound because of them.
	unanswered  int
	silentUntil time.Duration
	// connectedUntil is until when an idle connection to the leaf is kept.
	connectedUntil time.Duration
	// replaced is set when another leaf answered at the address.
	replaced bool
}

// Load is what a leaf states of its work.
type Load struct{ Running, Waiting, Slots int }

func newLeaf(f fleet.Leaf, now time.Duration) *leaf {
	l := &leaf{Leaf: f, slowness: 1}
	l.stayCold(now, f.ColdFor)
	return l
}

func (l *leaf) stayCold(now, left time.Duration) {
	if left > 0 {
		l.coldUntil = max(l.coldUntil, now+left)
	}
}

func (l *leaf) isCold(now time.Duration) bool { return now < l.coldUntil }

// age is how long the oldest request in flight has been running.
func (l *leaf) age(now time.Duration) time.Duration {
	if len(l.started) == 0 {
		return 0
	}
	return now - l.started[0]
}

func (l *leaf) begin(now time.Duration) { l.started = append(l.started, now) }

func (l *leaf) end(at time.Duration) {
	for i, started := range l.started {
		if started == at {
			l.started = append(l.started[:i], l.started[i+1:]...)
			return
		}
	}
}

// observe takes in the time of a request against the expected one.
func (l *leaf) observe(now time.Duration, ratio float64) {
	current := l.ownSlowness(now)
	l.slowness = current + smoothing*(min(ratio, maxSlowness)-current)
	l.slownessAt = now
}

// ownSlowness is what this VM itself found. It fades to 1, so that a leaf that got
// no requests because it was slow is tried again.
func (l *leaf) ownSlowness(now time.Duration) float64 {
	return 1 + (l.slowness-1)*fade(now-l.slownessAt)
}

// slownessNow is what is known of the leaf. Own replies that are newer count more
// than what other VMs found.
func (l *leaf) slownessNow(now time.Duration) float64 {
	own := l.ownSlowness(now)
	if l.heard <= 1 || l.slownessAt > l.heardAt {
		return own
	}
	return max(own, 1+(l.heard-1)*fade(now-l.heardAt))
}

func (l *leaf) fail(now time.Duration, failed float64) {
	current := l.failuresNow(now)
	l.failures = current + smoothing*(failed-current)
	l.failuresAt = now
}

func (l *leaf) failuresNow(now time.Duration) float64 {
	return l.failures * fade(now-l.failuresAt)
}

// queued is the work at the leaf that is known here: what it stated last, if
// that is fresh, and at least what this VM has in flight.
func (l *leaf) queued(now time.Duration) int {
	n := len(l.started)
	if l.hasLoad && now-l.loadAt < loadLifetime {
		n = max(n, l.load.Running+l.load.Waiting)
	}
	return n
}

func fade(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(memory))
}
