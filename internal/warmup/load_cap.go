package warmup

import "time"

const (
	// reportTTL bounds the effect of a report, since the next one may not come
	// and a stuck load value must not hold the leaf back forever.
	reportTTL = 5 * time.Second
	// highLoad is the load from which the limit is halved: the leaf's other
	// holders can use the rest within the delay of a report.
	highLoad = 0.85
	// fullLoad is the load from which one request runs at a time.
	fullLoad = 1.0
)

// loadCap is the limit that the latest report sets. It never reaches 0, since
// a misleading report must not take the leaf out of service.
type loadCap struct {
	load  float64
	until time.Duration
}

func (c loadCap) lower(now time.Duration, limit int) int {
	switch {
	case now >= c.until || limit < 2 || c.load < highLoad:
		return limit
	case c.load < fullLoad:
		return limit / 2
	}
	return 1
}
