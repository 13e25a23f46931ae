package controlplanebench

import (
	"runtime"
	"syscall"
	"time"
)

// memoryInUseBytes returns the memory in use, heap and stacks, after two garbage collections: the first one only moves the contents of
// each sync.Pool to its victim cache.
func memoryInUseBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// cpuMilliseconds returns the processor time that this process has used.
func cpuMilliseconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil { // fails for invalid arguments only
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Millisecond)
}
