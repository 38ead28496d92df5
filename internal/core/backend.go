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
	// minAttemptTime is the minimum time without any answer after which a short
	// request is sent to a second backend server. It leaves time for two
	// retransmissions.
	minAttemptTime = 2 * time.Second
	// attemptRunTimes is the same limit as a multiple of the run time above
	// which a request is classified as long.
	attemptRunTimes = 4
	// defaultMaxAge is the Max-Age, in seconds, of a response without that
	// option (RFC 7252 section 5.10.5). A response with this value is treated
	// as one without a retry time.
	defaultMaxAge = 60
)

// HandleBackend handles a datagram from a backend server.
func (c *Core) HandleBackend(now ids.Time, e *BackendEvent, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	m := e.Message
	switch {
	case m.Code == message.Empty:
		c.handleBackendEmpty(e)
	case m.Code.IsResponse():
		c.handleBackendResponse(e)
	default:
		c.counters.Malformed++
	}
}

// handleBackendEmpty handles an ACK or RST with the message ID of a request or
// registration.
func (c *Core) handleBackendEmpty(e *BackendEvent) {
	m := e.Message
	token, ok := c.upstreamTokens[m.ID]
	if !ok || m.Type == message.Confirmable || m.Type == message.NonConfirmable {
		return
	}
	u := c.upstreams[token]
	switch r, f := u.request, u.feed; {
	case r != nil && r.lease.Endpoint == e.From && r.upstreamMessageID == m.ID:
		if m.Type == message.Acknowledgement {
			r.upstreamAcked = true
			return
		}
		c.handleBackendFailure(r, spread.Failure)
	case f != nil:
		if up := upstreamByToken(f, token); up != nil && up.Endpoint == e.From && up.ID == m.ID {
			up.Acked = true
			if m.Type == message.Reset {
				c.registrationFailed(f, up, spread.Failure)
			}
		}
	}
}

// handleBackendResponse matches a response with its request or feed by the
// upstream token and the endpoint that the request was sent to. Late responses
// and responses from another endpoint are discarded.
func (c *Core) handleBackendResponse(e *BackendEvent) {
	m := e.Message
	token, ok := decodeUpstreamToken(m.Token)
	u := c.upstreams[token]
	var up *flow.Upstream
	switch {
	case !ok:
	case u.request != nil:
		ok = u.request.lease.Endpoint == e.From
	case u.feed != nil:
		up = upstreamByToken(u.feed, token)
		ok = up != nil && up.Endpoint == e.From
	default:
		ok = false
	}
	if !ok {
		c.counters.LateResponses++
		if m.Type == message.Confirmable || m.HasObserve && m.Type == message.NonConfirmable {
			c.sendReset("", "", e.From, m.ID) // also ends an Observe registration
		}
		return
	}
	if m.Type == message.Confirmable {
		a := c.emit(ToBackend)
		a.Endpoint, a.Datagram = e.From, message.Outgoing{Type: message.Acknowledgement, ID: m.ID}
	}
	if u.feed != nil {
		c.handleNotification(u.feed, up, m)
		return
	}
	c.forwardResponse(u.request, m)
}

// forwardResponse forwards the response of a backend server to the caller.
func (c *Core) forwardResponse(r *request, m *message.Message) {
	s := r.svc
	if m.Code == message.ServiceUnavailable {
		c.handleShed(r, m)
		return
	}
	c.endUpstreamExchange(r, spread.Success)
	if m.Block2.More || r.block1.More {
		c.recordBlockRoute(r)
	}
	c.respond(&r.callerExchange, &message.Outgoing{Template: m.Raw})
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Answered, m.Raw, 0)
	}
	c.counters.Answered++
	c.emitSpan(Answered, s, r.traceID, r.arrived)
	c.remove(r)
	c.dispatch(s)
}

// recordBlockRoute records the target of r, so that the follow-up blocks of the
// transfer are sent to the same target.
func (c *Core) recordBlockRoute(r *request) {
	k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: r.caller, Service: r.svc.name}, Path: r.path}
	old, known := c.blockRoutes.Get(c.now, k)
	c.blockRoutes.Set(c.now, k, flow.BlockRoute{Target: r.lease.Target})
	if known && old.Target == r.lease.Target {
		return
	}
	if home, ok := c.homeInstance(r.svc, r.hash); ok && home != c.self.ID && r.path != 0 {
		c.sendAckRoute(r.svc, r.caller, 0, r.path, home)
	}
}

// handleShed handles a 5.03 response. The backend server has not run the
// request, so even a non-idempotent one may be sent to another.
func (c *Core) handleShed(r *request, m *message.Message) {
	s := r.svc
	c.counters.Shed++
	r.avoidedTarget = r.lease.Target
	c.endUpstreamExchange(r, spread.Shed)
	switch {
	case c.takeRetry(r):
		c.startOrQueue(r)
	case r.mayHaveRun:
		c.finishOutcomeUnknown(r)
	default:
		after := c.retryAfter(s)
		if m.MaxAge != defaultMaxAge {
			after = max(after, m.MaxAge)
		}
		c.counters.Refused++
		c.respond(&r.callerExchange, &message.Outgoing{Template: m.Raw, SetMaxAge: true, MaxAge: after})
		if r.isAdmitted {
			c.admissions.Finish(r.admission, admission.Refused, nil, after)
		}
		c.emitSpan(Answered, s, r.traceID, r.arrived)
		c.remove(r)
	}
	c.dispatch(s)
}

// takeRetry reports whether r may be sent to another backend server. If so, it
// takes the attempt from the retry budget.
func (c *Core) takeRetry(r *request) bool {
	s := r.svc
	return !s.removed && s.ownedSlots() > 0 && r.attempts < maxAttempts &&
		c.now.Add(s.pool.RunTime()) < r.deadline && s.budget.TryWithdraw()
}

// handleBackendFailure handles a request whose backend server failed. The
// request may have run, so only an idempotent one is sent to another.
func (c *Core) handleBackendFailure(r *request, o spread.Outcome) {
	s := r.svc
	r.avoidedTarget, r.mayHaveRun = r.lease.Target, true
	c.endUpstreamExchange(r, o)
	if r.idempotent && !r.isAdmitted && c.takeRetry(r) {
		c.counters.Retries++
		r.pinnedTarget = ""
		c.startOrQueue(r)
	} else {
		c.finishOutcomeUnknown(r)
	}
	c.dispatch(s)
}

// finishOutcomeUnknown ends a request that was sent to a backend server with
// the response that its outcome is unknown.
func (c *Core) finishOutcomeUnknown(r *request) {
	c.respondOutcomeUnknown(&r.callerExchange)
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Unknown, nil, 0)
	}
	c.emitSpan(Answered, r.svc, r.traceID, r.arrived)
	c.remove(r)
}

// checkRequest handles the expired timers of a request.
func (c *Core) checkRequest(r *request) {
	if r.messageType == message.Confirmable && !r.acked && c.now.Sub(r.arrived) >= emptyAckDelay {
		c.sendEmptyAck(&r.callerExchange)
	}
	switch r.state {
	case inFlight:
		c.checkInFlight(r)
	case waitingForTarget:
		if c.now >= r.deadline {
			c.abandon(r, spread.Cancelled)
			c.reject(r)
		}
	}
}

func (c *Core) checkInFlight(r *request) {
	// The first attempt ends early enough to leave time for a second backend
	// server. A long request may still be running at that point, so it is not
	// sent to a second one.
	expected := time.Duration(attemptRunTimes * max(1, r.svc.config.Profile.Spread.LongFactor) * float64(r.pool.RunTime()))
	attempt := min(r.deadline.Sub(r.arrived)/2, max(minAttemptTime, expected))
	switch {
	case c.now >= r.deadline:
		c.counters.Timeouts++
		c.abandon(r, spread.Timeout)
		s := r.svc
		c.finishOutcomeUnknown(r)
		c.dispatch(s)
	case r.idempotent && !r.isAdmitted && r.attempts < maxAttempts && !r.upstreamAcked &&
		r.class == spread.Short && c.now.Sub(r.dispatched) >= attempt && c.takeRetry(r):
		c.counters.Retries++
		r.avoidedTarget, r.pinnedTarget, r.mayHaveRun = r.lease.Target, "", true
		c.abandon(r, spread.Timeout)
		s := r.svc
		c.startOrQueue(r)
		c.dispatch(s)
	case r.idempotent && !r.isAdmitted && !r.upstreamAcked && r.resends < maxResends && c.now >= r.resendAt:
		r.resends++
		r.resendAt = c.now.Add(initialResendInterval << r.resends)
		if r.svc.budget.TryWithdraw() {
			c.counters.Resends++
			c.transmit(r)
		}
	}
}

// queueExpired reports whether the deadline of a queued request can no longer
// be met, or a short request has waited longer than the queue time.
func (c *Core) queueExpired(r *request) bool {
	s := r.svc
	runTime := time.Duration(0)
	if s.pool != nil {
		runTime = s.pool.RunTime()
	}
	return c.now.Add(runTime) >= r.deadline ||
		r.class == spread.Short && c.now.Sub(r.arrived) > s.limiter.MaxQueueTime && r.attempts == 0
}

// rejectQueued rejects a request that was taken out of its queue.
func (c *Core) rejectQueued(r *request) {
	r.svc.partners[r.partner].queued[r.class]--
	c.counters.Expired++
	c.reject(r)
}
