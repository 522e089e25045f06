package warmup

import "time"

// longRunFactor times the reference latency is a run time that requests of a
// healthy leaf seldom reach.
const longRunFactor = 2

// Cancelled reports that the caller withdrew a running request, for example the
// slower attempt of a hedge. It does not count as a refusal, because the leaf
// shed no load.
type Cancelled struct {
	// RunTime is how long the request ran before it was cancelled.
	RunTime time.Duration
}

func (Cancelled) event() {}

// cancelled counts a request that ran for long as a slow reply. Otherwise a
// leaf whose slow requests are all hedged would never turn cold.
func (t *Tracker) cancelled(ev Cancelled) {
	if !t.requestCompleted() || (t.state != Warming && t.state != Warm) {
		return
	}
	if reference := t.latencies.reference(); reference > 0 && ev.RunTime > longRunFactor*reference && ev.RunTime > reference+minSlowExcess {
		t.responsiveness.unanswered++
		t.countSlow()
	}
}
