package leafqueue

import "github.com/medlarswitch/medlarswitch/internal/indexheap"

// Heaps of a queue. Each holds all queued items.
const (
	byBest = iota
	byWorst
	byExpiry
	heaps
)

// newHeaps returns the empty heaps of a queue.
func newHeaps() [heaps]*indexheap.Heap[*item] {
	var out [heaps]*indexheap.Heap[*item]
	for which, less := range [heaps]func(a, b *item) bool{before, after, expiresBefore} {
		out[which] = indexheap.New(less, func(it *item) *int { return &it.at[which] })
	}
	return out
}
