package fakes

import "runtime"

// HeapBytes returns the size of what is reachable.
func HeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
