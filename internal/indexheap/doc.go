// Package indexheap implements a heap on container/heap whose items store their
// index, so that any item can be removed. An item may be in several heaps at the
// same time.
package indexheap
