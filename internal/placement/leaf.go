package placement

import (
	"math"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// leaf holds the state of one leaf as this VM observes it.
type leaf struct {
	fleet.Leaf
	// knownSince is when this VM learned of the process.
	knownSince time.Duration
	// coldUntil is when the leaf stops being cold.
	coldUntil time.Duration
	// started holds the start times of requests in flight, oldest first.
	started []time.Duration
	// connections is how many requests this VM may have in flight at the leaf.
	connections int
	cold        coldLimiter

	// slowness is the moving average of the time of a request divided by its
	// expected time.
	slowness   float64
	slownessAt time.Duration
	// reportedSlowness is the slowness that other VMs observed at reportedAt.
	reportedSlowness float64
	reportedAt       time.Duration
	// failureRate is the moving average of the share of failed requests.
	failureRate   float64
	failureRateAt time.Duration

	// load is the load that the leaf last reported, at loadAt.
	load    Load
	loadAt  time.Duration
	hasLoad bool
	// connectFailures counts consecutive connections that could not be opened.
	connectFailures int
	// retryAt is when an unreachable leaf may be tried again.
	retryAt time.Duration
	// unanswered counts consecutive requests without a reply in time. Because of
	// them, the leaf is not healthy before unresponsiveUntil.
	unanswered        int
	unresponsiveUntil time.Duration
	// connectedUntil is when an idle connection to the leaf will be closed.
	connectedUntil time.Duration
	// replaced is set when another leaf has replied at the address.
	replaced bool
	// stated is the limit that the leaf states, statedAt when it last stated it, to this
	// VM or to another one that reported it; before, when this VM learned of the process.
	stated   Statement
	statedAt time.Duration
	// limitedSince is since when this VM has known of the limit in force.
	limitedSince time.Duration
	// statedLeaving is set once the leaf has stated that it is about to stop.
	statedLeaving bool
	// restUntil is until when the leaf wants no requests from this VM; resumeAt is when
	// this VM begins to send again, with one request at a time while resuming is true.
	restUntil, resumeAt time.Duration
	resuming            bool
	// heardAt is when the leaf last stated a limit, or that it has none any more, to this
	// VM itself; 0 if it never stated one.
	heardAt time.Duration
	limiter statedLimiter
	// unheard is set once no VM has heard of the limit for unheardAfter.
	unheard bool
	// unreadable is set once the leaf has stated something that cannot be decoded.
	unreadable bool
}

// Load is the number of running and waiting requests and of slots that a leaf
// reports.
type Load struct{ Running, Waiting, Slots int }

func newLeaf(f fleet.Leaf, now time.Duration) *leaf {
	l := &leaf{Leaf: f, knownSince: now, slowness: 1, statedAt: now}
	l.extendCold(now, f.ColdFor)
	return l
}

// extendCold keeps the leaf cold for at least the time left.
func (l *leaf) extendCold(now, left time.Duration) {
	if left > 0 {
		l.coldUntil = max(l.coldUntil, now+left)
	}
}

// limited reports whether a limit that the leaf stated is in force: until it replies without
// one, since all VMs would return at once if it ended by time.
func (l *leaf) limited() bool { return l.stated.Limited }

// isLeaving reports whether the leaf is about to stop, by its entry or its own statement.
func (l *leaf) isLeaving() bool { return l.Leaving || l.statedLeaving }

func (l *leaf) isCold(now time.Duration) bool { return now < l.coldUntil }

// oldestAge returns how long the oldest request has been in flight.
func (l *leaf) oldestAge(now time.Duration) time.Duration {
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

// observeSlowness adds the ratio of a request's time to its expected time to the
// moving average.
func (l *leaf) observeSlowness(now time.Duration, ratio float64) {
	current := l.ownSlowness(now)
	l.slowness = current + leafSmoothing*(min(ratio, maxSlowness)-current)
	l.slownessAt = now
}

// ownSlowness returns the slowness that this VM itself observed. It decays to 1, so
// that a leaf that gets no requests because it was slow is tried again.
func (l *leaf) ownSlowness(now time.Duration) float64 {
	return 1 + (l.slowness-1)*decay(now-l.slownessAt)
}

// currentSlowness returns the larger of this VM's own observation and the report of
// other VMs. A report older than the own observation is ignored.
func (l *leaf) currentSlowness(now time.Duration) float64 {
	own := l.ownSlowness(now)
	if l.reportedSlowness <= 1 || l.slownessAt > l.reportedAt {
		return own
	}
	return max(own, 1+(l.reportedSlowness-1)*decay(now-l.reportedAt))
}

// recordResult adds a request to the failure rate; failed is 1 for a failure and 0
// otherwise.
func (l *leaf) recordResult(now time.Duration, failed float64) {
	current := l.currentFailureRate(now)
	l.failureRate = current + leafSmoothing*(failed-current)
	l.failureRateAt = now
}

func (l *leaf) currentFailureRate(now time.Duration) float64 {
	return l.failureRate * decay(now-l.failureRateAt)
}

// queued returns the number of requests at the leaf: the load that it last
// reported, if that is recent, and at least this VM's requests in flight.
func (l *leaf) queued(now time.Duration) int {
	n := len(l.started)
	if l.hasLoad && now-l.loadAt < loadLifetime {
		n = max(n, l.load.Running+l.load.Waiting)
	}
	return n
}

// decay returns the weight of an observation of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(decayTime))
}
