package slopes

import "runtime"

// HeapBytes returns the memory that the result of build retains on the heap and
// on goroutine stacks.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return after - before
}

// heapInUse runs the garbage collector twice, since a sync.Pool releases its
// content only in the second collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
