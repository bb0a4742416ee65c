package profiler

import (
	"runtime"
	"syscall"
	"time"
)

// heapInUse returns the bytes that heap objects use after two garbage collections.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc)
}

// processCPUTime returns the user and system CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// addCPUTime calls run and adds the CPU time that the whole process used meanwhile to the
// usage, in seconds.
func addCPUTime(usage *ComponentUsage, run func()) {
	before := processCPUTime()
	run()
	usage.CPUSeconds += (processCPUTime() - before).Seconds()
}
