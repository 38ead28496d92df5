// Package eventqueue provides an event queue for simulations and tests that run
// on a virtual clock.
package eventqueue

import (
	"container/heap"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Queue holds functions, each with the virtual time at which to call it.
// Functions with the same time are returned in the order in which they were
// pushed. The zero value is an empty queue.
type Queue struct {
	events    eventHeap
	pushCount uint64
}

type event struct {
	at       ids.Time
	sequence uint64
	run      func()
}

// Push adds a function to call at the given time.
func (q *Queue) Push(at ids.Time, run func()) {
	q.pushCount++
	heap.Push(&q.events, event{at, q.pushCount, run})
}

// Next removes the earliest event and returns it. ok is false if there is no
// event at or before the time until.
func (q *Queue) Next(until ids.Time) (at ids.Time, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{} // release the function for garbage collection
	*h = old[:last]
	return e
}
