package warmup

import "time"

// longRun times the normal latency is what a request of a healthy leaf seldom
// takes.
const longRun = 2

// Cancelled says that the caller withdrew a request while it ran, as the loser
// of a hedge. It is no refusal: the leaf has not shed anything.
type Cancelled struct {
	// RunTime is how long the request had run.
	RunTime time.Duration
}

func (Cancelled) event() {}

// cancelled counts a request that had run for long as too slow: without that a
// leaf whose slow requests are all hedged would never fall to cold.
func (t *Tracker) cancelled(ev Cancelled) {
	if !t.ended() || (t.state != Warming && t.state != Warm) {
		return
	}
	if normal := t.times.normal(); normal > 0 && ev.RunTime > longRun*normal && ev.RunTime > normal+minSlowExcess {
		t.silence.unanswered++
		t.countSlow()
	}
}
