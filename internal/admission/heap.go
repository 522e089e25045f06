package admission

import "github.com/medlarswitch/medlarswitch/internal/indexheap"

// Numbers of the heaps that an item is in at the same time.
const (
	heapFirst = iota
	heapWorst
	heapExpiry
	heaps
)

// newHeap returns the empty heap of a number.
func newHeap(number int) *indexheap.Heap[*item] {
	less := (*item).before
	switch number {
	case heapWorst:
		less = func(a, b *item) bool { return b.before(a) }
	case heapExpiry:
		less = func(a, b *item) bool { return a.latestStart < b.latestStart }
	}
	return indexheap.New(less, func(it *item) *int { return &it.position[number] })
}
