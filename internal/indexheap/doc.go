// Package indexheap is a heap of items that know where they stand in it, so
// that any of them can be taken out. It builds on container/heap. An item may be
// in several heaps at the same time.
package indexheap
