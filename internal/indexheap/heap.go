package indexheap

import "container/heap"

// Heap is a heap ordered by a less function. It is not safe for concurrent use.
type Heap[T any] struct {
	inner inner[T]
}

// New returns an empty heap. position returns a pointer to the field in which an
// item stores its index in this heap.
func New[T any](less func(a, b T) bool, position func(item T) *int) *Heap[T] {
	return &Heap[T]{inner: inner[T]{less: less, position: position}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return h.inner.Len() }

// Peek returns the least item. The heap must not be empty.
func (h *Heap[T]) Peek() T { return h.inner.items[0] }

// Add inserts an item.
func (h *Heap[T]) Add(item T) { heap.Push(&h.inner, item) }

// Remove removes an item, which must be in the heap.
func (h *Heap[T]) Remove(item T) { heap.Remove(&h.inner, *h.inner.position(item)) }

// inner implements heap.Interface.
type inner[T any] struct {
	less     func(a, b T) bool
	position func(item T) *int
	items    []T
}

func (h *inner[T]) Len() int           { return len(h.items) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

func (h *inner[T]) Push(x any) {
	item := x.(T)
	*h.position(item) = len(h.items)
	h.items = append(h.items, item)
}

func (h *inner[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}
