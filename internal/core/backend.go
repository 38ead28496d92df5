package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// minAttempt is the least time without any answer after which a short
	// request is sent to a second backend server. It leaves time for two
	// retransmissions.
	minAttempt = 2 * time.Second
	// attemptRuns is the same in multiples of the run time above which a
	// request counts as long.
	attemptRuns = 4
	// defaultMaxAge is the Max-Age of a response without one, in seconds (RFC
	// 7252 section 5.10.5). It is no retry-after time of the backend server.
	defaultMaxAge = 60
)

// Backend handles a datagram from a backend server.
func (c *Core) HandleBackend(now ids.Time, e *BackendEvent, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	m := e.Message
	switch {
	case m.Code == message.Empty:
		c.backendEmpty(e)
	case m.Code.IsResponse():
		c.backendResponse(e)
	default:
		c.counts.Malformed++
	}
}

// backendEmpty handles an ACK or RST with the message id of a request.
func (c *Core) backendEmpty(e *BackendEvent) {
	m := e.Message
	token, ok := c.exchanges[m.ID]
	if !ok || m.Type == message.Confirmable || m.Type == message.NonConfirmable {
		return
	}
	u := c.upstreams[token]
	switch r, f := u.request, u.feed; {
	case r != nil && r.lease.Endpoint == e.From && r.upID == m.ID:
		if m.Type == message.Acknowledgement {
			r.upAcked = true
			return
		}
		c.failed(r, spread.Failure)
	case f != nil:
		if up := upstreamOf(f, token); up != nil && up.Endpoint == e.From && up.ID == m.ID {
			up.Acked = true
			if m.Type == message.Reset {
				c.registrationFailed(f, up, spread.Failure)
			}
		}
	}
}

// backendResponse matches a response with its request by the upstream token
// and the endpoint it was sent to. Late and crossed responses match nothing.
func (c *Core) backendResponse(e *BackendEvent) {
	m := e.Message
	token, ok := tokenValue(m.Token)
	u := c.upstreams[token]
	var up *flow.Upstream
	switch {
	case !ok:
	case u.request != nil:
		ok = u.request.lease.Endpoint == e.From
	case u.feed != nil:
		up = upstreamOf(u.feed, token)
		ok = up != nil && up.Endpoint == e.From
	default:
		ok = false
	}
	if !ok {
		c.counts.LateResponses++
		if m.Type == message.Confirmable || m.HasObserve && m.Type == message.NonConfirmable {
			c.reset("", "", e.From, m.ID) // also ends an Observe registration
		}
		return
	}
	if m.Type == message.Confirmable {
		a := c.emit(ToBackend)
		a.Endpoint, a.Datagram = e.From, message.Outgoing{Type: message.Acknowledgement, ID: m.ID}
	}
	if u.feed != nil {
		c.notified(u.feed, up, m)
		return
	}
	c.response(u.request, m)
}

// response passes the response of a backend server on to the caller.
func (c *Core) response(r *request, m *message.Message) {
	s := r.svc
	if m.Code == message.ServiceUnavailable {
		c.shed(r, m)
		return
	}
	c.retire(r, spread.Success)
	if m.Block2.More || r.block1.More {
		c.keepBlockRoute(r)
	}
	c.respond(&r.exchange, &message.Outgoing{Template: m.Raw})
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Answered, m.Raw, 0)
	}
	c.counts.Answered++
	c.span(Answered, s, r.trace, r.arrived)
	c.drop(r)
	c.dispatch(s)
}

// keepBlockRoute sends the follow-up blocks of the transfer to the same target.
func (c *Core) keepBlockRoute(r *request) {
	k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: r.caller, Service: r.svc.name}, Path: r.path}
	old, known := c.blocks.Get(c.now, k)
	c.blocks.Set(c.now, k, flow.BlockRoute{Target: r.lease.Target})
	if known && old.Target == r.lease.Target {
		return
	}
	if home, ok := c.home(r.svc, r.hash); ok && home != c.self.ID && r.path != 0 {
		c.ackRoute(r.svc, r.caller, 0, r.path, home)
	}
}

// shed handles a 5.03: the backend server has not run the request, so that
// even a non-idempotent one may be sent to another.
func (c *Core) shed(r *request, m *message.Message) {
	s := r.svc
	c.counts.Shed++
	r.avoid = r.lease.Target
	c.retire(r, spread.Shed)
	switch {
	case c.retryable(r):
		c.startOrQueue(r)
	case r.mayHaveRun:
		c.giveUp(r)
	default:
		after := c.retryAfter(s)
		if m.MaxAge != defaultMaxAge {
			after = max(after, m.MaxAge)
		}
		c.counts.Refused++
		c.respond(&r.exchange, &message.Outgoing{Template: m.Raw, SetMaxAge: true, MaxAge: after})
		if r.isAdmitted {
			c.admissions.Finish(r.admission, admission.Refused, nil, after)
		}
		c.span(Answered, s, r.trace, r.arrived)
		c.drop(r)
	}
	c.dispatch(s)
}

// retryable takes a further attempt from the retry budget.
func (c *Core) retryable(r *request) bool {
	s := r.svc
	return !s.removed && s.owned() > 0 && r.attempts < maxAttempts &&
		c.now.Add(s.pool.RunTime()) < r.deadline && s.budget.TryWithdraw()
}

// failed handles a request whose backend server failed. It may have run, so
// only an idempotent one is sent to another.
func (c *Core) failed(r *request, o spread.Outcome) {
	s := r.svc
	r.avoid, r.mayHaveRun = r.lease.Target, true
	c.retire(r, o)
	if r.idempotent && !r.isAdmitted && c.retryable(r) {
		c.counts.Retries++
		r.pin = ""
		c.startOrQueue(r)
	} else {
		c.giveUp(r)
	}
	c.dispatch(s)
}

// giveUp responds that a request which was sent to a backend server has no
// known outcome.
func (c *Core) giveUp(r *request) {
	c.unknown(&r.exchange)
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Unknown, nil, 0)
	}
	c.span(Answered, r.svc, r.trace, r.arrived)
	c.drop(r)
}

// checkRequest applies the timers of a request.
func (c *Core) checkRequest(r *request) {
	if r.kind == message.Confirmable && !r.acked && c.now.Sub(r.arrived) >= ackAfter {
		c.ack(&r.exchange)
	}
	switch r.state {
	case inFlight:
		c.checkInFlight(r)
	case waiting:
		if c.now >= r.deadline {
			c.abandon(r, spread.Cancelled)
			c.reject(r)
		}
	}
}

func (c *Core) checkInFlight(r *request) {
	// Time is left for a second backend server. A long request may still be
	// running then, so it gets no second one.
	expected := time.Duration(attemptRuns * max(1, r.svc.config.Profile.Spread.LongFactor) * float64(r.pool.RunTime()))
	attempt := min(r.deadline.Sub(r.arrived)/2, max(minAttempt, expected))
	switch {
	case c.now >= r.deadline:
		c.counts.Timeouts++
		c.abandon(r, spread.Timeout)
		s := r.svc
		c.giveUp(r)
		c.dispatch(s)
	case r.idempotent && !r.isAdmitted && r.attempts < maxAttempts && !r.upAcked &&
		r.class == spread.Short && c.now.Sub(r.dispatched) >= attempt && c.retryable(r):
		c.counts.Retries++
		r.avoid, r.pin, r.mayHaveRun = r.lease.Target, "", true
		c.abandon(r, spread.Timeout)
		s := r.svc
		c.startOrQueue(r)
		c.dispatch(s)
	case r.idempotent && !r.isAdmitted && !r.upAcked && r.resent < maxResends && c.now >= r.resendAt:
		r.resent++
		r.resendAt = c.now.Add(resendAfter << r.resent)
		if r.svc.budget.TryWithdraw() {
			c.counts.Resends++
			c.transmit(r)
		}
	}
}

// queueExpired reports whether the deadline of a queued request can no longer
// be met, or a short one has waited for the queue time.
func (c *Core) queueExpired(r *request) bool {
	s := r.svc
	run := time.Duration(0)
	if s.pool != nil {
		run = s.pool.RunTime()
	}
	return c.now.Add(run) >= r.deadline ||
		r.class == spread.Short && c.now.Sub(r.arrived) > s.limiter.MaxQueueTime && r.attempts == 0
}

// rejectQueued rejects a request that was taken out of its queue.
func (c *Core) rejectQueued(r *request) {
	r.svc.partners[r.partner].queued[r.class]--
	c.counts.Expired++
	c.reject(r)
}
