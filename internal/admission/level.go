package admission

import (
	"sort"

	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// level holds the waiting items of one priority.
type level struct {
	priority int
	first    *indexheap.Heap[*item]
	worst    *indexheap.Heap[*item]
	// lastAdmitted is the number of the latest admission from this level.
	lastAdmitted uint64
}

func newLevel(priority int) *level {
	return &level{priority: priority, first: newHeap(heapFirst), worst: newHeap(heapWorst)}
}

func (l *level) len() int { return l.first.Len() }

// level returns the level of a priority. Levels stay when they are empty,
// since lastAdmitted must outlive their items; priorities come from the
// configuration and are few.
func (q *Queue) level(priority int) *level {
	i := sort.Search(len(q.levels), func(i int) bool { return q.levels[i].priority >= priority })
	if i < len(q.levels) && q.levels[i].priority == priority {
		return q.levels[i]
	}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = newLevel(priority)
	return q.levels[i]
}
