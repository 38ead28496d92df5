package forwarder

import (
	"context"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"time"
)

const (
	// baseHeapLimit is the minimum memory limit of the Go runtime in bytes. At the
	// deployment size for which the system is designed, the published state keeps a
	// live heap of 22 MB, and the control functions may use 64 MB. With the default
	// garbage collector setting, which lets the heap double, and the garbage of a full
	// read, a process peaked at 103 MB.
	baseHeapLimit = 38 << 20
	// heapHeadroom is the minimum ratio of the limit to the live heap. With a lower
	// limit the garbage collector would run continuously.
	heapHeadroom = 1.5
	// heapCheckInterval is the interval at which the limit is adapted.
	heapCheckInterval = time.Second
	// liveHeapMetric is the name of the runtime metric of the live heap size.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// limitHeap adapts the memory limit of the Go runtime to the size of the live heap
// until ctx ends.
func (f *Forwarder) limitHeap(ctx context.Context) {
	sample := []runtimemetrics.Sample{{Name: liveHeapMetric}}
	current := int64(0)
	for {
		runtimemetrics.Read(sample)
		if limit := heapLimit(int64(sample[0].Value.Uint64()), f.settings.MemoryBytes); limit != current {
			debug.SetMemoryLimit(limit)
			current = limit
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heapCheckInterval):
		}
	}
}

// heapLimit returns the memory limit in bytes for a live heap of the given size.
// process is the memory limit of the process, 0 for none.
func heapLimit(live, process int64) int64 {
	limit := max(baseHeapLimit, int64(heapHeadroom*float64(live)))
	if process > 0 {
		limit = min(limit, process/2) // the other half is for socket buffers and code
	}
	return limit
}
