package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// expectedKey is what the time of a request depends on besides its leaf.
type expectedKey struct {
	route string
	zone  fleet.Zone
}

// expectedTimes averages the times of replies by route and zone.
type expectedTimes map[expectedKey]time.Duration

// of returns the expected time. A zone that has not replied yet counts as the
// fastest one, so that it is tried.
func (e expectedTimes) of(route string, zone fleet.Zone) time.Duration {
	if took, ok := e[expectedKey{route, zone}]; ok {
		return took
	}
	best := unknownTime
	for key, took := range e {
		if key.route == route {
			best = min(best, took)
		}
	}
	return best
}

// observe takes in the time of a reply. A time far above the average counts
// only as a multiple of it, since pauses are the leaf's.
func (e expectedTimes) observe(route string, zone fleet.Zone, took time.Duration) {
	key := expectedKey{route, zone}
	current, ok := e[key]
	if !ok {
		e[key] = took
		return
	}
	took = min(took, outlier*current)
	e[key] = current + time.Duration(routeSmoothing*float64(took-current))
}

func (e expectedTimes) retain(c *fleet.Configuration) {
	for key := range e {
		if !c.HasRoute(key.route) {
			delete(e, key)
		}
	}
}
