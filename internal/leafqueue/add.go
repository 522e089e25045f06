package leafqueue

import "time"

// Add queues a request. The shell gives every request an ID of its own; an ID
// that is queued or running is ignored, since its answer could not be told
// from that of the first.
type Add struct {
	ID uint64
	// Priority orders requests; the lowest goes first.
	Priority int
	// StartBy is when the request may no longer be dispatched.
	StartBy time.Duration
	// RepeatOf is the ID of a request that this one repeats, or 0. A repeat
	// runs only while that request has been running for long, and is refused
	// when it has ended.
	RepeatOf uint64
}

func (Add) event() {}
