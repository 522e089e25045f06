package warmup

import "time"

const (
	// recentWeight makes the average follow about the last 8 replies, the
	// number of good replies that one step up takes.
	recentWeight = 1.0 / 8
	// baselineWeight lets the baseline follow a slow change of the load, but
	// not the few slow replies that demote the leaf.
	baselineWeight = 1.0 / 64
	// slowFactor times the reference latency is the bound above which a reply
	// is slow.
	slowFactor = 4
	// minSlowExcess is the least excess over the reference latency that makes a
	// reply slow. Without it, scheduling delays of several milliseconds on a
	// loaded VM made leaves with a baseline of 1 ms turn cold.
	minSlowExcess = 10 * time.Millisecond
)

// latencies holds the measurements since the leaf was last cold.
type latencies struct {
	recent   movingAverage
	lowest   time.Duration
	baseline movingAverage
}

func newLatencies() latencies {
	return latencies{recent: movingAverage{weight: recentWeight}, baseline: movingAverage{weight: baselineWeight}}
}

// slow reports whether d is above the bound. The first reply has no bound.
func (l *latencies) slow(d time.Duration) bool {
	return l.reference() > 0 && d > l.slowBound()
}

// reference returns the latency that replies are compared with, or 0 before the
// first reply.
func (l *latencies) reference() time.Duration {
	if l.baseline.initialized {
		return l.baseline.value
	}
	if l.recent.initialized {
		return l.lowest
	}
	return 0
}

// slowBound returns the longest latency of a reply that is not slow. Before the
// first reply it is unmeasuredReplyTimeout.
func (l *latencies) slowBound() time.Duration {
	reference := l.reference()
	if reference == 0 {
		return unmeasuredReplyTimeout
	}
	return max(slowFactor*reference, reference+minSlowExcess)
}

// add records a latency. Slow replies do not change the baseline.
func (l *latencies) add(d time.Duration, slow bool) {
	first := !l.recent.initialized
	l.recent.add(d)
	if first || l.recent.value < l.lowest {
		l.lowest = l.recent.value
	}
	if l.baseline.initialized && !slow {
		l.baseline.add(d)
	}
}

// initBaseline starts the baseline at the recent average when the leaf becomes
// warm.
func (l *latencies) initBaseline() { l.baseline.add(l.recent.value) }
