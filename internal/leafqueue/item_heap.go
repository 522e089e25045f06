package leafqueue

// Heaps of a queue. Each holds all queued items.
const (
	byBest = iota
	byWorst
	byExpiry
	heaps
)

// itemHeap implements heap.Interface and keeps each item's index in it.
type itemHeap struct {
	which int
	less  func(a, b *item) bool
	items []*item
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].at[h.which] = i
	h.items[j].at[h.which] = j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.at[h.which] = len(h.items)
	h.items = append(h.items, it)
}

func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}
