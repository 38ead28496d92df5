// Package share divides the slot time of one slot owner among partners. It provides a
// start-time fair queue for waiting requests, the weighted max-min fair allocation to
// predict the effect of a change of weights, and retry times for refused callers. It
// performs no I/O and reads no clock.
package share

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Queue is a start-time fair queue over partners. Each partner has a first-in
// first-out queue and a virtual time that advances by cost ÷ weight for each
// item popped; Pop takes from the partner with the lowest virtual time. Start tags
// are assigned when an item reaches the head of its queue, so SetWeights and Charge
// take effect with the next Pop. The zero value is ready for use.
type Queue[T any] struct {
	partners    map[ids.Partner]*partner[T]
	list        []*partner[T] // all partners, oldest first
	heap        []*partner[T] // partners with items, lowest virtual time first
	virtualTime float64       // virtual time of the last pop
	weights     map[ids.Partner]uint32
	length      int
	activations uint64 // number of times that a partner became active; breaks ties of virtual time
}

// partner is the state of one partner. virtualTime is in seconds of slot time per unit
// of weight.
type partner[T any] struct {
	name        ids.Partner
	weight      float64
	virtualTime float64
	activation  uint64
	heapIndex   int // position in the heap, -1 when idle
	items       ring[T]
}

// entry is one queued item with its predicted slot time.
type entry[T any] struct {
	item T
	cost time.Duration
}

// SetWeights replaces the weights. The weight of a partner that is missing from w is 1.
func (q *Queue[T]) SetWeights(w map[ids.Partner]uint32) {
	q.weights = make(map[ids.Partner]uint32, len(w))
	for name, weight := range w {
		q.weights[name] = weight
	}
	q.list = slices.DeleteFunc(q.list, func(p *partner[T]) bool {
		p.weight = q.weight(p.name)
		if _, listed := w[p.name]; listed || p.heapIndex >= 0 {
			return false
		}
		delete(q.partners, p.name)
		return true
	})
}

func (q *Queue[T]) weight(name ids.Partner) float64 {
	if w := q.weights[name]; w > 0 {
		return float64(w)
	}
	return 1
}

func (q *Queue[T]) partner(name ids.Partner) *partner[T] {
	p := q.partners[name]
	if p == nil {
		if q.partners == nil {
			q.partners = make(map[ids.Partner]*partner[T])
		}
		p = &partner[T]{name: name, weight: q.weight(name), virtualTime: q.virtualTime, heapIndex: -1}
		q.partners[name] = p
		q.list = append(q.list, p)
	}
	return p
}

// Push appends item to the queue of partner name. cost is the predicted slot time of
// the item.
func (q *Queue[T]) Push(name ids.Partner, cost time.Duration, item T) {
	p := q.partner(name)
	p.items.push(entry[T]{item, cost})
	q.length++
	if p.heapIndex >= 0 {
		return
	}
	// A partner that was idle starts at the current virtual time: it gets no credit
	// for the share that it did not use, and the others are not charged for it.
	p.virtualTime = max(p.virtualTime, q.virtualTime)
	p.activation = q.activations
	q.activations++
	q.heapPush(p)
}

// Pop takes the next item and charges its predicted cost to its partner. ok is
// false when the queue is empty.
func (q *Queue[T]) Pop() (item T, name ids.Partner, ok bool) {
	if len(q.heap) == 0 {
		return item, "", false
	}
	p := q.heap[0]
	e := p.items.pop()
	q.length--
	q.virtualTime = max(q.virtualTime, p.virtualTime)
	p.virtualTime += e.cost.Seconds() / p.weight
	if p.items.len() == 0 {
		q.heapRemove(p)
	} else {
		q.heapFix(p)
	}
	return e.item, p.name, true
}

// Charge corrects the slot time charged to partner name by the difference between the
// actual and the predicted slot time of an item.
func (q *Queue[T]) Charge(name ids.Partner, actualMinusPredicted time.Duration) {
	p := q.partner(name)
	p.virtualTime += actualMinusPredicted.Seconds() / p.weight
	if p.heapIndex >= 0 {
		q.heapFix(p)
	}
}

// RemoveIf removes the items for which match returns true and calls removed with each
// of them. Removed items are not charged.
func (q *Queue[T]) RemoveIf(match func(T) bool, removed func(T)) {
	for _, p := range q.list {
		if p.heapIndex < 0 {
			continue
		}
		q.length -= p.items.removeIf(match, removed)
		if p.items.len() == 0 {
			q.heapRemove(p)
		}
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }
