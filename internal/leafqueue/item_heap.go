package leafqueue

import "github.com/medlarswitch/medlarswitch/internal/indexheap"

// Heaps of a queue. Each holds all queued items.
const (
	byDispatchOrder = iota
	byReverseDispatchOrder
	byExpiry
	heapCount
)

// newHeaps returns the empty heaps of a queue.
func newHeaps() [heapCount]*indexheap.Heap[*item] {
	var out [heapCount]*indexheap.Heap[*item]
	for which, less := range [heapCount]func(a, b *item) bool{dispatchedBefore, dispatchedAfter, expiresBefore} {
		out[which] = indexheap.New(less, func(it *item) *int { return &it.heapIndex[which] })
	}
	return out
}
