package warmup

import "time"

// Limit is what a leaf may get now.
type Limit struct {
	// InFlight is the number of requests that may run at a time.
	InFlight int
	// NotBefore is when the next one may start.
	NotBefore time.Duration
}
