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
	events events
	pushed uint64
}

type event struct {
	at     ids.Time
	number uint64
	do     func()
}

// Push adds a function to call at a time.
func (q *Queue) Push(at ids.Time, do func()) {
	q.pushed++
	heap.Push(&q.events, event{at, q.pushed, do})
}

// Next removes the earliest event, if it is due at until or before.
func (q *Queue) Next(until ids.Time) (at ids.Time, do func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

// events implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{} // lets go of the function
	*h = old[:last]
	return e
}
