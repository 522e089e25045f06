package drainplan

import "time"

const (
	// smoothing makes an average follow about the last eight answers.
	smoothing = 1.0 / 8
	// maxAge is how long an average counts after its last answer. A burst of load that has
	// passed says nothing about the next request.
	maxAge = 10 * time.Second
)

// Durations holds the recent times of answered requests by route. It is not safe for
// concurrent use.
type Durations struct{ routes map[string]average }

// average is the moving average of a route.
type average struct {
	Expected
	// observedAt is the time of the last answer.
	observedAt time.Duration
}

// Expected is how long the next request of a route is expected to take. Zero means unknown.
type Expected struct {
	// Answer is the time from the arrival of a request to its answer, Reply the part of it
	// from sending it to a leaf to the reply.
	Answer, Reply time.Duration
}

// NewDurations returns an empty table.
func NewDurations() *Durations { return &Durations{routes: make(map[string]average)} }

// Observe records the times of a request that was answered.
func (d *Durations) Observe(now time.Duration, route string, took Expected) {
	previous, ok := d.recent(now, route)
	if !ok {
		previous.Expected = took
	}
	d.routes[route] = average{
		Expected: Expected{
			Answer: smooth(previous.Answer, took.Answer),
			Reply:  smooth(previous.Reply, took.Reply),
		},
		observedAt: now,
	}
}

// Expected returns how long the next request of a route is expected to take.
func (d *Durations) Expected(now time.Duration, route string) Expected {
	a, _ := d.recent(now, route)
	return a.Expected
}

// Retain removes the routes that keep does not report as present.
func (d *Durations) Retain(keep func(route string) bool) {
	for route := range d.routes {
		if !keep(route) {
			delete(d.routes, route)
		}
	}
}

// recent returns the average of a route, or false if its last answer is too long ago.
func (d *Durations) recent(now time.Duration, route string) (average, bool) {
	a, ok := d.routes[route]
	if !ok || now-a.observedAt > maxAge {
		return average{}, false
	}
	return a, true
}

func smooth(previous, took time.Duration) time.Duration {
	return previous + time.Duration(smoothing*float64(took-previous))
}
