package forwarder

import (
	"context"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"time"
)

const (
	// controlHeap is the memory, in bytes, that the Go runtime may use while less
	// is alive. What is published at the target size keeps 22 MB alive, and control
	// may take 64 MB there: with the collector's usual reserve of as much again, and
	// what a full read leaves behind, a process peaked at 103 MB.
	controlHeap = 38 << 20
	// heapReserve is the least limit, as a factor of what is alive: closer to that
	// the collector would run all the time.
	heapReserve = 1.5
	// heapCheck is the interval at which the limit is adapted.
	heapCheck = time.Second
	// liveHeap is the name of the figure of the runtime.
	liveHeap = "/gc/heap/live:bytes"
)

// limitHeap keeps the memory of the process close to what is alive, until ctx ends.
func (f *Forwarder) limitHeap(ctx context.Context) {
	sample := []runtimemetrics.Sample{{Name: liveHeap}}
	set := int64(0)
	for {
		runtimemetrics.Read(sample)
		if limit := heapLimit(int64(sample[0].Value.Uint64()), f.settings.MemoryBytes); limit != set {
			debug.SetMemoryLimit(limit)
			set = limit
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heapCheck):
		}
	}
}

// heapLimit returns the limit for a live heap, in bytes, of a process that may
// take process bytes, or any number if that is 0.
func heapLimit(live, process int64) int64 {
	limit := max(controlHeap, int64(heapReserve*float64(live)))
	if process > 0 {
		limit = min(limit, process/2) // the rest is for sockets and the code
	}
	return limit
}
