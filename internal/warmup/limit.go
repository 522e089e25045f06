package warmup

import "time"

// Limit bounds the requests that may be sent to a leaf now.
type Limit struct {
	// InFlight is the number of requests that may run concurrently.
	InFlight int
	// NotBefore is the earliest time at which the next request may be sent.
	NotBefore time.Duration
}
