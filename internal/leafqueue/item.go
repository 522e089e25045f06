package leafqueue

import "time"

// item is a queued request.
type item struct {
	id       uint64
	seq      uint64
	priority int
	startBy  time.Duration
	// heapIndex holds the item's index in each heap.
	heapIndex [heapCount]int
}

// dispatchedBefore reports whether a is dispatched before b: by priority, then
// by start-by, then by order of arrival.
func dispatchedBefore(a, b *item) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return expiresBefore(a, b)
}

func dispatchedAfter(a, b *item) bool { return dispatchedBefore(b, a) }

func expiresBefore(a, b *item) bool {
	if a.startBy != b.startBy {
		return a.startBy < b.startBy
	}
	return a.seq < b.seq
}
