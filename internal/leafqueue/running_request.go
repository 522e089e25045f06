package leafqueue

import "time"

// runningRequest is a dispatched request that still occupies a slot.
type runningRequest struct {
	dispatchedAt time.Duration
	// unwanted is set once the request was cancelled or answered. Abort is
	// returned at most once per request.
	unwanted bool
}
