package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// repeats of a processor time; the least counts, since waits for caches shared
// with other processes only add to it.
const repeats = 5

// processorTime returns the user and system time of this process. Unlike the
// elapsed time it does not include waits for a core.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the argument is a constant that Linux knows
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processor returns the least processor time, in microseconds, of several runs.
func processor(run func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range repeats {
		runtime.GC() // so that no run pays for the garbage of the one before
		start := processorTime()
		run()
		least = min(least, processorTime()-start)
	}
	return float64(least.Nanoseconds()) / 1e3
}

// retained returns the heap and stack bytes that build leaves in use. The
// result of build keeps them reachable.
func retained(build func() any) float64 {
	before := inUse()
	kept := build()
	used := inUse() - before
	runtime.KeepAlive(kept)
	return float64(used)
}

func inUse() int64 {
	runtime.GC()
	runtime.GC() // the first one may leave finalizers and pools behind
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processorOnce returns the processor time of one run in microseconds.
func processorOnce(run func()) float64 {
	start := processorTime()
	run()
	return float64((processorTime() - start).Nanoseconds()) / 1e3
}
