package outage

import "time"

// Grace is the time after an outage in which leaves stay in use although their entries are
// missing.
type Grace struct {
	// Until is the end of the grace period after an outage that is certain; SuspectedUntil
	// after one that is not.
	Until, SuspectedUntil time.Duration
}
