package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// expectedKey holds what the time of a request depends on besides its leaf.
type expectedKey struct {
	route string
	zone  fleet.Zone
}

// expectedTimes holds the moving average of reply times by route and zone.
type expectedTimes map[expectedKey]time.Duration

// of returns the expected time of a request. A zone without replies is assumed to
// be as fast as the fastest one, so that it is tried.
func (e expectedTimes) of(route string, zone fleet.Zone) time.Duration {
	if took, ok := e[expectedKey{route, zone}]; ok {
		return took
	}
	best := initialExpectedTime
	for key, took := range e {
		if key.route == route {
			best = min(best, took)
		}
	}
	return best
}

// observe adds the time of a reply to the average. A time far above the average is
// limited to outlierFactor times the average, since a pause of one leaf is no
// measure of the route or the zone.
func (e expectedTimes) observe(route string, zone fleet.Zone, took time.Duration) {
	key := expectedKey{route, zone}
	current, ok := e[key]
	if !ok {
		e[key] = took
		return
	}
	took = min(took, outlierFactor*current)
	e[key] = current + time.Duration(routeSmoothing*float64(took-current))
}

// retain removes the routes that the configuration does not have.
func (e expectedTimes) retain(c *fleet.Configuration) {
	for key := range e {
		if !c.HasRoute(key.route) {
			delete(e, key)
		}
	}
}
