package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTimeRuns is the number of runs of which the least CPU time is used, since
// contention for caches shared with other processes only adds to the CPU time.
const cpuTimeRuns = 5

// processCPUTime returns the user and system time of this process. Unlike the
// elapsed time it does not include the time spent waiting for a CPU.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // cannot fail: RUSAGE_SELF is valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// leastCPUTime returns the least CPU time, in microseconds, of cpuTimeRuns runs.
func leastCPUTime(run func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range cpuTimeRuns {
		runtime.GC() // so that a run does not collect the garbage of the previous one
		start := processCPUTime()
		run()
		least = min(least, processCPUTime()-start)
	}
	return float64(least.Nanoseconds()) / 1e3
}

// retainedBytes returns the heap and stack bytes that are still in use after
// build. The result of build must keep them reachable.
func retainedBytes(build func() any) float64 {
	before := bytesInUse()
	built := build()
	used := bytesInUse() - before
	runtime.KeepAlive(built)
	return float64(used)
}

func bytesInUse() int64 {
	runtime.GC()
	runtime.GC() // the first run may leave objects with finalizers and in pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTimeOnce returns the CPU time of one run in microseconds.
func cpuTimeOnce(run func()) float64 {
	start := processCPUTime()
	run()
	return float64((processCPUTime() - start).Nanoseconds()) / 1e3
}
