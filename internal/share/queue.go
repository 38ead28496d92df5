// Package share divides the slot time of one owner among partners: a
// start-time fair queue for requests that wait, and weighted max-min fairness
// for dry runs. It performs no I/O and reads no clock.
package share

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Queue is a start-time fair queue over partners. Each partner has a first-in
// first-out queue and a virtual time that advances by cost ÷ weight for each
// item popped; Pop takes from the partner with the lowest virtual time. Tags
// are assigned when an item reaches the head, so a change of weights or a
// charge takes effect with the next Pop. The zero value is ready for use.
type Queue[T any] struct {
	partners    map[ids.Partner]*partner[T]
	list        []*partner[T] // all partners, oldest first
	heap        []*partner[T] // partners with items, lowest virtual time first
	virtualTime float64       // virtual time of the last pop
	weights     map[ids.Partner]uint32
	length      int
	activations uint64 // breaks ties in the order in which partners became active
}

// partner is the state of one partner. virtual counts seconds of slot time
// per unit of weight.
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

// SetWeights replaces the weights. A partner without a weight counts as 1.
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

// Push appends item to the queue of partner name. cost is the slot time that
// the item is predicted to take.
func (q *Queue[T]) Push(name ids.Partner, cost time.Duration, item T) {
	p := q.partner(name)
	p.items.push(entry[T]{item, cost})
	q.length++
	if p.heapIndex >= 0 {
		return
	}
	// A partner that was idle starts at the current virtual time: it neither
	// saves up unused share nor pays for share that was lent to it.
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

// Charge corrects the charge of partner name once the slot time of an item is
// known.
func (q *Queue[T]) Charge(name ids.Partner, actualMinusPredicted time.Duration) {
	p := q.partner(name)
	p.virtualTime += actualMinusPredicted.Seconds() / p.weight
	if p.heapIndex >= 0 {
		q.heapFix(p)
	}
}

// RemoveIf removes the items for which f returns true and passes each of them
// to removed. They are not charged.
func (q *Queue[T]) RemoveIf(f func(T) bool, removed func(T)) {
	for _, p := range q.list {
		if p.heapIndex < 0 {
			continue
		}
		q.length -= p.items.removeIf(f, removed)
		if p.items.len() == 0 {
			q.heapRemove(p)
		}
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }
