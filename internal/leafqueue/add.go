package leafqueue

import "time"

// Add queues a request. The worker gives every request an ID of its own. An Add
// whose ID is queued or running is ignored, since its answer could not be
// distinguished from that of the first request.
type Add struct {
	ID uint64
	// Priority orders requests; the lowest number goes first.
	Priority int
	// StartBy is the time from which the request may no longer be dispatched.
	StartBy time.Duration
	// RepeatOf is the ID of the request that this one repeats, or 0. A repeat
	// is dispatched only once that request has been running for long. It is
	// refused if that request completes, or is answered or cancelled, before
	// then.
	RepeatOf uint64
}

func (Add) event() {}
