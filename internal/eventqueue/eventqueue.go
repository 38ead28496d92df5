// Package eventqueue is the queue of events of models and tests that run on a
// virtual clock.
package eventqueue

import (
	"container/heap"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Queue holds functions to call at virtual times. Those of the same time keep the
// order in which they were pushed. The zero value is empty.
type Queue struct {
	events    eventHeap
	pushCount uint64
}

type event struct {
	at       ids.Time
	sequence uint64
	run      func()
}

// Push adds a function to call at a time.
func (q *Queue) Push(at ids.Time, run func()) {
	q.pushCount++
	heap.Push(&q.events, event{at, q.pushCount, run})
}

// Next removes the earliest event, if it is due at until or before.
func (q *Queue) Next(until ids.Time) (at ids.Time, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

// events implements heap.Interface.
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
	old[last] = event{} // lets go of the function
	*h = old[:last]
	return e
}
