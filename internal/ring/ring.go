// Package ring provides a bounded queue between goroutines of the daemon. A full
// queue drops the new entry and counts it, so that a slow consumer never blocks a
// socket reader.
package ring

import "sync/atomic"

// Ring is a bounded FIFO queue for any number of producers and consumers. It is
// implemented as a buffered channel with counters.
type Ring[T any] struct {
	entries chan T
	pushed  atomic.Uint64
	dropped atomic.Uint64
	peak    atomic.Int64
}

// Stats is a snapshot of the counters of a ring.
type Stats struct {
	Depth    int    // number of entries queued now
	Peak     int    // largest depth that a producer has observed so far
	Capacity int    // maximum number of queued entries
	Pushed   uint64 // number of entries queued so far
	Dropped  uint64 // number of entries dropped because the ring was full
}

// New returns a ring with room for the given number of entries, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{entries: make(chan T, max(capacity, 1))}
}

// Push appends v and reports whether there was room. It never blocks.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.entries <- v:
		r.pushed.Add(1)
		if depth := int64(len(r.entries)); depth > r.peak.Load() {
			r.peak.Store(depth) // a concurrent producer may store a lower value, which is acceptable for a metric
		}
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Out returns the channel from which consumers receive the entries. It is never
// closed; consumers must stop by other means, such as their context.
func (r *Ring[T]) Out() <-chan T { return r.entries }

// Stats returns the current values of the counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:    len(r.entries),
		Peak:     int(r.peak.Load()),
		Capacity: cap(r.entries),
		Pushed:   r.pushed.Load(),
		Dropped:  r.dropped.Load(),
	}
}
