package warmup

import "time"

const (
	// reportTTL bounds the effect of a report. The next report may never
	// arrive, and an outdated load value must not limit the leaf forever.
	reportTTL = 5 * time.Second
	// highLoad is the load from which the limit is halved. Other relays that
	// send to the leaf can use up the remaining capacity before the next report
	// arrives.
	highLoad = 0.85
	// fullLoad is the load from which the limit is one request.
	fullLoad = 1.0
)

// loadCap lowers the limit according to the latest load report. It never lowers
// it to 0, since a misleading report must not take the leaf out of service.
type loadCap struct {
	load   float64
	expiry time.Duration
}

func (c loadCap) apply(now time.Duration, limit int) int {
	switch {
	case now >= c.expiry || limit < 2 || c.load < highLoad:
		return limit
	case c.load < fullLoad:
		return limit / 2
	}
	return 1
}
