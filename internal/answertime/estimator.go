package answertime

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// replyMargin is reserved within the latency target for the network round trip
	// to the caller and for merging.
	replyMargin = 20 * time.Millisecond
	// minTargetFraction is the fraction of the latency target that must remain for
	// an answer within it. Leaves need about a third of the target.
	minTargetFraction = 0.35
)

// Estimator derives the time that callers have already waited from the longest
// remaining time seen on each route, which it assumes to be the full timeout of
// all callers of the route. It is not safe for concurrent use.
type Estimator struct{ limits map[string]time.Duration }

// New returns an estimator without any observed callers.
func New() *Estimator { return &Estimator{limits: make(map[string]time.Duration)} }

// Target returns the time from now after which a query answers with the replies
// received so far. timeLeft is how long the caller will still wait; 0 means
// unknown. If too little of the latency target remains, Target returns the whole
// latency target, so that the late answer is at least complete.
func (e *Estimator) Target(r *fleet.Route, timeLeft time.Duration) time.Duration {
	full := max(r.LatencyTarget-replyMargin, r.LatencyTarget/2)
	limit := max(e.limits[r.Name], timeLeft)
	e.limits[r.Name] = limit
	if timeLeft <= 0 {
		return full
	}
	left := full - (limit - timeLeft)
	if left < time.Duration(minTargetFraction*float64(r.LatencyTarget)) {
		return r.LatencyTarget
	}
	return left
}

// Retain drops the routes that are not in the configuration.
func (e *Estimator) Retain(c *fleet.Configuration) {
	for name := range e.limits {
		if !c.HasRoute(name) {
			delete(e.limits, name)
		}
	}
}
