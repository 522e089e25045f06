package warmup

import "time"

const (
	// recentWeight makes the average follow about the last 8 replies, the
	// number that a rise needs.
	recentWeight = 1.0 / 8
	// baselineWeight lets the warm baseline follow a slow change of the load,
	// but not the few slow replies that show a fall.
	baselineWeight = 1.0 / 64
	// slowFactor times the baseline is the bound for a reply's latency.
	slowFactor = 4
	// minSlowExcess is how far above the baseline a slow reply must be at
	// least. Scheduling delays of a loaded VM are several milliseconds, and
	// without it they made leaves with a baseline of 1 ms fall to cold.
	minSlowExcess = 10 * time.Millisecond
)

// latencies holds the measurements since the leaf was last cold.
type latencies struct {
	recent   average
	lowest   time.Duration
	baseline average
}

func newLatencies() latencies {
	return latencies{recent: average{weight: recentWeight}, baseline: average{weight: baselineWeight}}
}

// slow reports whether a latency is above the bound. The first reply has no
// bound.
func (l *latencies) slow(d time.Duration) bool {
	return l.normal() > 0 && d > l.longest()
}

// normal is the latency that replies are compared with, 0 before the first.
func (l *latencies) normal() time.Duration {
	if l.baseline.set {
		return l.baseline.value
	}
	if l.recent.set {
		return l.lowest
	}
	return 0
}

// longest is how long a reply may take and not be slow. Before the first reply
// it is a constant.
func (l *latencies) longest() time.Duration {
	normal := l.normal()
	if normal == 0 {
		return unmeasuredWait
	}
	return max(slowFactor*normal, normal+minSlowExcess)
}

// add takes in a latency. Slow replies do not move the warm baseline.
func (l *latencies) add(d time.Duration, slow bool) {
	first := !l.recent.set
	l.recent.add(d)
	if first || l.recent.value < l.lowest {
		l.lowest = l.recent.value
	}
	if l.baseline.set && !slow {
		l.baseline.add(d)
	}
}

// warm fixes the baseline that later replies are compared with.
func (l *latencies) warm() { l.baseline.add(l.recent.value) }
