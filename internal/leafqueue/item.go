package leafqueue

import "time"

// item is a queued request.
type item struct {
	id       uint64
	seq      uint64
	priority int
	startBy  time.Duration
	// at is the item's index in each heap.
	at [heaps]int
}

// before reports whether a is dispatched before b. The order of arrival
// breaks ties.
func before(a, b *item) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return expiresBefore(a, b)
}

func after(a, b *item) bool { return before(b, a) }

func expiresBefore(a, b *item) bool {
	if a.startBy != b.startBy {
		return a.startBy < b.startBy
	}
	return a.seq < b.seq
}
