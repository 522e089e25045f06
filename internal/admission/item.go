package admission

import "time"

// item is a waiting query.
type item struct {
	id       uint64
	seq      uint64
	level    *priorityLevel
	deadline time.Duration
	// latestStart is the latest time at which the query can start and still
	// complete before its deadline.
	latestStart time.Duration
	// heapIndex holds the item's index in each heap, by the heap's order.
	heapIndex [heapCount]int
}

// before orders the items of one priority by deadline, then by arrival.
func (i *item) before(j *item) bool {
	if i.deadline != j.deadline {
		return i.deadline < j.deadline
	}
	return i.seq < j.seq
}
