package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// initialResendInterval is the time after which an idempotent request that
	// the backend server has not acknowledged is sent to it again.
	initialResendInterval = 500 * time.Millisecond
	maxResends            = 2
	// maxAttempts is the maximum number of backend servers that a request is
	// sent to.
	maxAttempts = 2
	// targetWaitRunTimes limits the time for which a follow-up block waits for
	// the target that served the first block, as a multiple of the run time.
	targetWaitRunTimes = 4
)

// predictedSlotTime returns the slot time that a request of class is predicted
// to take.
func (s *service) predictedSlotTime(class spread.Class) time.Duration {
	runTime := max(s.pool.RunTime(), time.Microsecond)
	if class == spread.Long {
		runTime = time.Duration(float64(runTime) * max(1, s.config.Profile.Spread.LongFactor))
	}
	return runTime
}

// start sends a new request to a free slot. The queue of its class must be
// empty.
func (c *Core) start(r *request, class spread.Class) {
	r.class = class
	c.requestsByKey[r.requestKey()] = r
	switch lease, ok, waits := c.acquireSlot(r); {
	case ok:
		c.sendUpstream(r, lease)
	case !waits:
		c.enqueue(r, class)
	}
}

// enqueue queues a request until a slot is free.
func (c *Core) enqueue(r *request, class spread.Class) {
	s := r.svc
	r.class, r.state, r.predictedTime = class, queued, s.predictedSlotTime(class)
	c.requestsByKey[r.requestKey()] = r
	s.partners[r.partner].queued[class]++
	s.queues[class].Push(s.partners[r.partner].Name, r.predictedTime, r)
	c.counters.Queued++
	c.markBusy(s)
}

// dispatch sends queued requests to free slots, then offers the slots that
// remain to a co-owner.
func (c *Core) dispatch(s *service) {
	c.refreshOwnership(s)
	if s.pool == nil {
		return
	}
	c.dispatchWaitingForTarget(s)
	for {
		class, ok := c.nextClass(s)
		if !ok {
			break
		}
		r, _, _ := s.queues[class].Pop()
		s.partners[r.partner].queued[class]--
		if c.now.Add(s.pool.RunTime()) > r.deadline {
			c.reject(r)
			continue
		}
		lease, ok, waits := c.acquireSlot(r)
		if !ok && !waits {
			c.enqueue(r, class)
			break
		}
		r.charged = true
		if ok {
			c.sendUpstream(r, lease)
		}
	}
	c.offerFreeSlots(s)
}

// nextClass returns the class to dispatch next. While requests of both classes
// are queued, the classes get equal slot time, within the cap on long requests
// that Pool.Free applies, so that neither blocks the other.
func (c *Core) nextClass(s *service) (spread.Class, bool) {
	shortReady := s.queues[spread.Short].Len() > 0 && s.pool.Free(spread.Short) > 0
	longReady := s.queues[spread.Long].Len() > 0 && c.mayStart(s, spread.Long)
	if !shortReady || !longReady {
		if s.queues[spread.Short].Len() == 0 || s.queues[spread.Long].Len() == 0 {
			s.classTime = [2]time.Duration{}
		}
		if longReady {
			return spread.Long, true
		}
		return spread.Short, shortReady
	}
	class := spread.Short
	if s.classTime[spread.Long] <= s.classTime[spread.Short] {
		class = spread.Long
	}
	s.classTime[class] += s.predictedSlotTime(class)
	return class, true
}

// acquireSlot takes a slot for r. A follow-up block takes a slot of its pinned
// target. While that target has no free slot, r is added to waitingForTarget and
// waits is true; r does not pass through the fair queue again.
func (c *Core) acquireSlot(r *request) (lease spread.Lease, ok, waits bool) {
	s := r.svc
	if r.pinnedTarget != "" && (s.pool.OutOfService(r.pinnedTarget) || len(s.waitingForTarget) >= s.limiter.MaxLength) {
		r.pinnedTarget = ""
	}
	if r.pinnedTarget != "" {
		if lease, ok = s.pool.AcquireTarget(c.now, r.pinnedTarget); !ok {
			r.state = waitingForTarget
			s.waitingForTarget = append(s.waitingForTarget, r)
			c.markBusy(s)
		}
		return lease, ok, !ok
	}
	if lease, ok = s.pool.Acquire(c.now, r.class, r.avoidedTarget); !ok && r.avoidedTarget != "" {
		lease, ok = s.pool.Acquire(c.now, r.class, "")
	}
	return lease, ok, false
}

// maxTargetWait returns the longest time for which a follow-up block waits for
// its target. Another target must produce the content again, which takes about
// one run time.
func (s *service) maxTargetWait(r *request) time.Duration {
	if s.pool.Classify(r.contentKey) == spread.Long {
		return s.limiter.MaxQueueTime
	}
	return min(s.limiter.MaxQueueTime, targetWaitRunTimes*s.pool.RunTime())
}

// dispatchWaitingForTarget sends the follow-up blocks whose target has a free
// slot, and sends those that have waited too long to any target.
func (c *Core) dispatchWaitingForTarget(s *service) {
	stillWaiting := s.waitingForTarget[:0]
	for _, r := range s.waitingForTarget {
		if c.now.Add(s.pool.RunTime()) > r.deadline {
			c.reject(r)
			continue
		}
		switch lease, ok := s.pool.AcquireTarget(c.now, r.pinnedTarget); {
		case ok:
			c.sendUpstream(r, lease)
		case s.pool.OutOfService(r.pinnedTarget) || c.now.Sub(r.arrived) > s.maxTargetWait(r):
			r.pinnedTarget = ""
			c.startOrQueue(r)
		default:
			stillWaiting = append(stillWaiting, r)
		}
	}
	clear(s.waitingForTarget[len(stillWaiting):])
	s.waitingForTarget = stillWaiting
}

// startOrQueue starts or queues a request that was accepted before.
func (c *Core) startOrQueue(r *request) {
	class := r.svc.pool.Classify(r.runTimeKey)
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
	r.upstreamToken, r.upstreamMessageID = c.newUpstream(upstream{request: r})
	r.upstreamAcked, r.resends, r.resendAt = false, 0, c.now.Add(initialResendInterval)
	if r.attempts == 0 {
		s.budget.Deposit()
	}
	r.attempts++
	if r.class == spread.Long {
		s.longWaitingSince = 0
		c.reportLongCount(s)
	}
	c.counters.Dispatched++
	c.transmit(r)
	c.emitSpan(Dispatched, s, r.traceID, r.arrived)
	c.markBusy(s)
}

func (c *Core) transmit(r *request) {
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = r.svc.name, r.lease.Target, r.lease.Endpoint
	e.Datagram = message.Outgoing{
		Template: r.datagram, Type: message.Confirmable, ID: r.upstreamMessageID, Token: encodeUpstreamToken(r.upstreamToken),
		DropEcho:   r.isAdmitted,
		DeadlineMS: uint32(max(1, r.deadline.Sub(c.now)/time.Millisecond)),
	}
}

// abandon stops the work on r. A backend server that may be running it gets an
// RST, which cancels it.
func (c *Core) abandon(r *request, o spread.Outcome) {
	switch r.state {
	case inFlight:
		c.sendReset(r.svc.name, r.lease.Target, r.lease.Endpoint, r.upstreamMessageID)
		c.endUpstreamExchange(r, o)
	case queued:
		r.svc.queues[r.class].RemoveIf(func(q *request) bool { return q == r }, func(*request) {})
		r.svc.partners[r.partner].queued[r.class]--
	case waitingForTarget:
		for i, q := range r.svc.waitingForTarget {
			if q == r {
				r.svc.waitingForTarget = append(r.svc.waitingForTarget[:i], r.svc.waitingForTarget[i+1:]...)
				return
			}
		}
	}
}

// sendReset sends an RST to a backend server, either to cancel the request with
// the given message ID or to reject a message that belongs to no request.
func (c *Core) sendReset(s ids.Service, t ids.Target, to ids.Endpoint, id uint16) {
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = s, t, to
	e.Datagram = message.Outgoing{Type: message.Reset, ID: id}
}
