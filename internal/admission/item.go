package admission

import "time"

// item is a query that waits.
type item struct {
	id       uint64
	seq      uint64
	level    *level
	deadline time.Duration
	// latestStart is the last time at which the query can start and still
	// finish before its deadline.
	latestStart time.Duration
	// position holds the item's index in each heap, by the heap's number.
	position [heaps]int
}

// before orders items of a priority: earliest deadline first, then arrival.
func (i *item) before(j *item) bool {
	if i.deadline != j.deadline {
		return i.deadline < j.deadline
	}
	return i.seq < j.seq
}
