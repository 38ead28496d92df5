package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// repeats of a processor time; the least counts, since waits for caches shared
// with other processes only add to it.
const cpuTimeRuns = 5

// processorTime returns the user and system time of this process. Unlike the
// elapsed time it does not include waits for a core.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the argument is a constant that Linux knows
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processor returns the least processor time, in microseconds, of several runs.
func leastCPUTime(run func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range cpuTimeRuns {
		runtime.GC() // so that no run pays for the garbage of the one before
		start := processCPUTime()
		run()
		least = min(least, processCPUTime()-start)
	}
	return float64(least.Nanoseconds()) / 1e3
}

// retained returns the heap and stack bytes that build leaves in use. The
// result of build keeps them reachable.
func retainedBytes(build func() any) float64 {
	before := bytesInUse()
	kept := build()
	used := bytesInUse() - before
	runtime.KeepAlive(kept)
	return float64(used)
}

func bytesInUse() int64 {
	runtime.GC()
	runtime.GC() // the first one may leave finalizers and pools behind
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processorOnce returns the processor time of one run in microseconds.
func cpuTimeOnce(run func()) float64 {
	start := processCPUTime()
	run()
	return float64((processCPUTime() - start).Nanoseconds()) / 1e3
}
