package admission

import "container/heap"

// Numbers of the heaps that an item is in at the same time.
const (
	heapFirst = iota
	heapWorst
	heapExpiry
	heaps
)

// itemHeap is a heap of items that knows where each item is. Its number tells
// which order it keeps.
type itemHeap struct {
	number int
	items  []*item
}

func (h *itemHeap) add(it *item)    { heap.Push(h, it) }
func (h *itemHeap) remove(it *item) { heap.Remove(h, it.position[h.number]) }
func (h *itemHeap) top() *item      { return h.items[0] }

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(a, b int) bool {
	i, j := h.items[a], h.items[b]
	switch h.number {
	case heapWorst:
		return j.before(i)
	case heapExpiry:
		return i.latestStart < j.latestStart
	default:
		return i.before(j)
	}
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.items[a].position[h.number] = a
	h.items[b].position[h.number] = b
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.position[h.number] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}
