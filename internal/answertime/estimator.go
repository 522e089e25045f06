package answertime

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// margin is kept of the latency target for the way to the caller and back and
	// for merging.
	margin = 20 * time.Millisecond
	// leastPart of the target must be left for an answer to be made in time.
	// Leaves need about a third of it.
	leastPart = 0.35
)

// Estimator knows the time limits of callers by route. It is not safe for concurrent
// use.
type Estimator struct{ limits map[string]time.Duration }

// New returns a table that has seen no callers.
func New() *Estimator { return &Estimator{limits: make(map[string]time.Duration)} }

// Target takes in how long a caller still waits and returns the time from now at
// which its query answers with what has arrived. A caller whose target has passed
// gets the whole target once more, for a late answer that is complete.
func (t *Estimator) Target(r *fleet.Route, timeLeft time.Duration) time.Duration {
	full := max(r.LatencyTarget-margin, r.LatencyTarget/2)
	limit := max(t.limits[r.Name], timeLeft)
	t.limits[r.Name] = limit
	if timeLeft <= 0 {
		return full
	}
	left := full - (limit - timeLeft)
	if left < time.Duration(leastPart*float64(r.LatencyTarget)) {
		return r.LatencyTarget
	}
	return left
}

// Retain drops the routes that the configuration does not have.
func (t *Estimator) Retain(c *fleet.Configuration) {
	for name := range t.limits {
		if !c.HasRoute(name) {
			delete(t.limits, name)
		}
	}
}
