package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// resendAfter is the time after which an idempotent request that the
	// backend server has not acknowledged is sent to it again.
	resendAfter = 500 * time.Millisecond
	maxResends  = 2
	// maxAttempts bounds the backend servers that a request is sent to.
	maxAttempts = 2
	// pinRunTimes is the number of run times for which a follow-up block waits
	// for the target that served the first.
	pinRunTimes = 4
)

// cost returns the slot time that a request of class is predicted to take.
func (s *service) cost(class spread.Class) time.Duration {
	run := max(s.pool.RunTime(), time.Microsecond)
	if class == spread.Long {
		run = time.Duration(float64(run) * max(1, s.config.Profile.Spread.LongFactor))
	}
	return run
}

// start sends a new request to a free slot. The queue of its class is empty.
func (c *Core) start(r *request, class spread.Class) {
	r.class = class
	if !r.isAdmitted {
		c.requests[r.requestKey()] = r
	}
	switch lease, ok, waits := c.acquire(r); {
	case ok:
		c.sendUpstream(r, lease)
	case !waits:
		c.enqueue(r, class)
	}
}

// enqueue queues a request until a slot is free.
func (c *Core) enqueue(r *request, class spread.Class) {
	s := r.svc
	r.class, r.state, r.cost = class, queued, s.cost(class)
	if !r.isAdmitted {
		c.requests[r.requestKey()] = r
	}
	s.partners[r.partner].queued[class]++
	s.queues[class].Push(s.partners[r.partner].Name, r.cost, r)
	c.counts.Queued++
	c.wake(s)
}

// dispatch sends queued requests to free slots, then offers the slots that
// remain to a co-owner.
func (c *Core) dispatch(s *service) {
	c.refresh(s)
	if s.pool == nil {
		return
	}
	c.dispatchPinned(s)
	for {
		class, ok := c.next(s)
		if !ok {
			break
		}
		r, _, _ := s.queues[class].Pop()
		s.partners[r.partner].queued[class]--
		if c.now.Add(s.pool.RunTime()) > r.deadline {
			c.reject(r)
			continue
		}
		lease, ok, waits := c.acquire(r)
		if !ok && !waits {
			c.enqueue(r, class)
			break
		}
		r.charged = true
		if ok {
			c.sendUpstream(r, lease)
		}
	}
	c.offerSlots(s)
}

// next returns the class whose turn it is. While both classes wait they get
// equal slot time, within the cap on long requests that Free applies: neither
// blocks the other.
func (c *Core) next(s *service) (spread.Class, bool) {
	short := s.queues[spread.Short].Len() > 0 && s.pool.Free(spread.Short) > 0
	long := s.queues[spread.Long].Len() > 0 && c.mayStart(s, spread.Long)
	if !short || !long {
		if s.queues[spread.Short].Len() == 0 || s.queues[spread.Long].Len() == 0 {
			s.turns = [2]time.Duration{}
		}
		if long {
			return spread.Long, true
		}
		return spread.Short, short
	}
	class := spread.Short
	if s.turns[spread.Long] <= s.turns[spread.Short] {
		class = spread.Long
	}
	s.turns[class] += s.cost(class)
	return class, true
}

// acquire takes a slot for r, of its target if it is a follow-up block. While
// that target is busy r waits for it: it has had its turn in the fair queue.
func (c *Core) acquire(r *request) (lease spread.Lease, ok, waits bool) {
	s := r.svc
	if r.pin != "" && (s.pool.OutOfService(r.pin) || len(s.pinned) >= s.limiter.MaxLength) {
		r.pin = ""
	}
	if r.pin != "" {
		if lease, ok = s.pool.AcquireTarget(c.now, r.pin); !ok {
			r.state = waiting
			s.pinned = append(s.pinned, r)
			c.wake(s)
		}
		return lease, ok, !ok
	}
	if lease, ok = s.pool.Acquire(c.now, r.class, r.avoid); !ok && r.avoid != "" {
		lease, ok = s.pool.Acquire(c.now, r.class, "")
	}
	return lease, ok, false
}

// pinWait is the longest time for which a follow-up block waits for its target.
// Another target must produce the content again, which takes about a run time.
func (s *service) pinWait(r *request) time.Duration {
	if s.pool.Classify(r.content) == spread.Long {
		return s.limiter.MaxQueueTime
	}
	return min(s.limiter.MaxQueueTime, pinRunTimes*s.pool.RunTime())
}

// dispatchPinned sends the follow-up blocks whose target has become free, and
// releases those that have waited too long to any target.
func (c *Core) dispatchPinned(s *service) {
	kept := s.pinned[:0]
	for _, r := range s.pinned {
		if c.now.Add(s.pool.RunTime()) > r.deadline {
			c.reject(r)
			continue
		}
		switch lease, ok := s.pool.AcquireTarget(c.now, r.pin); {
		case ok:
			c.sendUpstream(r, lease)
		case s.pool.OutOfService(r.pin) || c.now.Sub(r.arrived) > s.pinWait(r):
			r.pin = ""
			c.startOrQueue(r)
		default:
			kept = append(kept, r)
		}
	}
	clear(s.pinned[len(kept):])
	s.pinned = kept
}

// startOrQueue starts a request that was accepted before.
func (c *Core) startOrQueue(r *request) {
	class := r.svc.pool.Classify(r.key)
	if r.svc.queues[class].Len() == 0 && c.mayStart(r.svc, class) {
		c.start(r, class)
		return
	}
	c.enqueue(r, class)
}

// sendUpstream sends r to the backend server of lease.
func (c *Core) sendUpstream(r *request, lease spread.Lease) {
	s := r.svc
	r.state, r.lease, r.pool, r.dispatched = inFlight, lease, s.pool, c.now
	r.up, r.upID = c.newUpstream(upstream{request: r})
	r.upAcked, r.resent, r.resendAt = false, 0, c.now.Add(resendAfter)
	if r.attempts == 0 {
		s.budget.Deposit()
	}
	r.attempts++
	if r.class == spread.Long {
		s.longWaits = 0
		c.reportLongs(s)
	}
	c.counts.Dispatched++
	c.transmit(r)
	c.span(Dispatched, s, r.trace, r.arrived)
	c.wake(s)
}

func (c *Core) transmit(r *request) {
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = r.svc.name, r.lease.Target, r.lease.Endpoint
	e.Datagram = message.Outgoing{
		Template: r.raw, Type: message.Confirmable, ID: r.upID, Token: tokenOf(r.up),
		DropEcho:   r.isAdmitted,
		DeadlineMS: uint32(max(1, r.deadline.Sub(c.now)/time.Millisecond)),
	}
}

// abandon ends the work on r: a backend server that may be running it is told
// to cancel.
func (c *Core) abandon(r *request, o spread.Outcome) {
	switch r.state {
	case inFlight:
		c.reset(r.svc.name, r.lease.Target, r.lease.Endpoint, r.upID)
		c.retire(r, o)
	case queued:
		r.svc.queues[r.class].RemoveIf(func(q *request) bool { return q == r }, func(*request) {})
		r.svc.partners[r.partner].queued[r.class]--
	case waiting:
		for i, q := range r.svc.pinned {
			if q == r {
				r.svc.pinned = append(r.svc.pinned[:i], r.svc.pinned[i+1:]...)
				return
			}
		}
	}
}

// reset sends an RST with the message id of a request, which cancels it, or of
// a message that matches nothing.
func (c *Core) reset(s ids.Service, t ids.Target, to ids.Endpoint, id uint16) {
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = s, t, to
	e.Datagram = message.Outgoing{Type: message.Reset, ID: id}
}
