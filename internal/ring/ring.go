// Package ring provides the bounded ring that joins two goroutines of the
// daemon. A full ring drops the new entry and counts it, so that a slow
// consumer never blocks a socket reader.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out buffer for any number of producers and
// consumers. It is a buffered channel with counters.
type Ring[T any] struct {
	entries chan T
	pushed  atomic.Uint64
	dropped atomic.Uint64
	peak    atomic.Int64
}

// Stats is a reading of the counters of a ring.
type Stats struct {
	Depth    int    // entries waiting now
	Peak     int    // greatest depth so far, seen by producers
	Capacity int    // entries that fit
	Pushed   uint64 // entries accepted so far
	Dropped  uint64 // entries refused because the ring was full
}

// New returns a ring for capacity entries, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{entries: make(chan T, max(capacity, 1))}
}

// Push adds v and reports whether there was room. It never blocks.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.entries <- v:
		r.pushed.Add(1)
		if depth := int64(len(r.entries)); depth > r.peak.Load() {
			r.peak.Store(depth) // a concurrent producer may win; the peak is a metric only
		}
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Out returns the channel from which entries are taken. It is never closed:
// the consumer stops with its context.
func (r *Ring[T]) Out() <-chan T { return r.entries }

// Stats returns the present counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:    len(r.entries),
		Peak:     int(r.peak.Load()),
		Capacity: cap(r.entries),
		Pushed:   r.pushed.Load(),
		Dropped:  r.dropped.Load(),
	}
}
