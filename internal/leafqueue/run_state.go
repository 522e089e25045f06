package leafqueue

import "time"

// runState is a request that is dispatched and not done.
type runState struct {
	since time.Duration
	// unwanted is set once the request was cancelled or answered. The shell is
	// told to cancel it at most once.
	unwanted bool
}
