package admission

import "github.com/medlarswitch/medlarswitch/internal/indexheap"

// Orders of the heaps that hold an item at the same time.
const (
	admitOrder = iota
	shedOrder
	expiryOrder
	heapCount
)

// newHeap returns an empty heap with the given order.
func newHeap(order int) *indexheap.Heap[*item] {
	less := (*item).before
	switch order {
	case shedOrder:
		less = func(a, b *item) bool { return b.before(a) }
	case expiryOrder:
		less = func(a, b *item) bool { return a.latestStart < b.latestStart }
	}
	return indexheap.New(less, func(it *item) *int { return &it.heapIndex[order] })
}
