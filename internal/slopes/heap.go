package slopes

import "runtime"

// HeapBytes returns the heap memory that the result of build keeps.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return after - before
}

// heapInUse collects twice, since pools give their content up only in the
// second collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
