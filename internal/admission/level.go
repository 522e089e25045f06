package admission

import (
	"sort"

	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// priorityLevel holds the waiting items of one priority.
type priorityLevel struct {
	priority  int
	admitHeap *indexheap.Heap[*item]
	shedHeap  *indexheap.Heap[*item]
	// lastAdmitted is the sequence number of the latest admission from this
	// level.
	lastAdmitted uint64
}

func newLevel(priority int) *priorityLevel {
	return &priorityLevel{priority: priority, admitHeap: newHeap(admitOrder), shedHeap: newHeap(shedOrder)}
}

func (l *priorityLevel) len() int { return l.admitHeap.Len() }

// levelFor returns the level of a priority and creates it if there is none.
// Empty levels are kept because their lastAdmitted is still needed. There are
// few, since priorities come from the configuration.
func (q *Queue) levelFor(priority int) *priorityLevel {
	i := sort.Search(len(q.levels), func(i int) bool { return q.levels[i].priority >= priority })
	if i < len(q.levels) && q.levels[i].priority == priority {
		return q.levels[i]
	}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = newLevel(priority)
	return q.levels[i]
}
