package core

import (
	"encoding/binary"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// callerRetryFraction is the fraction of the service rate at which rejected
	// callers are told to retry. With it, the model (make experiment) stays
	// below 1.1 transmissions per request at three times the capacity.
	callerRetryFraction = 0.25
	// defaultCallerRetryRate replaces the service rate, in requests per second,
	// where this instance owns no slot and the service rate is therefore
	// unknown.
	defaultCallerRetryRate = 10.0
)

// mint responds to a non-idempotent request with a token that names the
// instance where the request should run, or rejects it. The choice of the
// instance balances the load, since a request with a token cannot be moved
// later.
func (c *Core) mint(d *callerDatagram) {
	s := d.svc
	canAdmit := c.accepting() && !c.admissions.MintingSuspended()
	class, free := c.canStartHere(s, d)
	if canAdmit && free {
		c.grant(d, c.self.ID, c.self.Incarnation)
		return
	}
	if p := c.freePeer(s, class); p != nil {
		if incarnation, ok := c.incarnations[p.id]; ok {
			p.freeSlots--
			c.grant(d, p.id, incarnation)
			return
		}
	}
	home, ok := c.homeInstance(s, d.hash)
	if incarnation, known := c.incarnations[home]; ok && known && home != c.self.ID && !c.isRefusing(s, home) {
		c.grant(d, home, incarnation)
		return
	}
	if canAdmit && c.fitsQueue(s, class, s.partnerOf(d.msg.Host, d.caller)) {
		c.grant(d, c.self.ID, c.self.Incarnation)
		return
	}
	c.refuse(&d.callerExchange, true)
}

// grant responds 4.01 with a token that names an incarnation of instance id.
// The issue time is given by the clock of that instance.
func (c *Core) grant(d *callerDatagram, id ids.Instance, incarnation ids.Incarnation) {
	clock := c.now
	if id != c.self.ID {
		clock = clock.Add(c.membership.ClockOffset(id))
	}
	t := admission.Token{Incarnation: incarnation, IssuedMS: uint64(clock / ids.Time(time.Millisecond))}
	var random [16]byte
	binary.LittleEndian.PutUint64(random[:], c.nonces.Uint64())
	binary.LittleEndian.PutUint64(random[8:], c.nonces.Uint64())
	copy(t.Nonce[:], random[:])
	echo := c.arena.newToken()
	c.keys.Mint(echo, t, d.svc.name)
	c.counters.Minted++
	c.respond(&d.callerExchange, &message.Outgoing{Code: message.Unauthorized, Echo: echo[:]})
}

// admit handles a request whose token names this incarnation, or one whose
// admission table this instance has taken over.
func (c *Core) admit(d *callerDatagram, t admission.Token) {
	e, decision := c.admissions.Admit(c.now, t, d.msg.Digest)
	switch decision {
	case admission.Admit:
		c.admitNew(d, e.ID)
	case admission.Duplicate:
		c.handleDuplicate(d, e)
	case admission.NotRun:
		c.counters.Reminted++
		c.mint(d)
	default:
		c.respondOutcomeUnknown(&d.callerExchange)
	}
}

func (c *Core) admitNew(d *callerDatagram, id admission.ID) {
	s := d.svc
	c.counters.Admitted++
	c.emitSpan(Admitted, s, d.traceID, c.now)
	r := c.newRequest(d)
	r.isAdmitted, r.admission = true, id
	c.requestsByAdmission[id] = r
	if d.msg.Block1.Num > 0 || d.msg.Block2.Num > 0 {
		k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: d.caller, Service: s.name}, Path: d.msg.PathHash}
		route, _ := c.blockRoutes.Get(c.now, k)
		r.pinnedTarget = route.Target
	}
	c.serveHere(r)
}

// handleDuplicate responds to a repeated request according to the recorded
// state of the first.
func (c *Core) handleDuplicate(d *callerDatagram, e *admission.Entry) {
	c.counters.Duplicates++
	switch e.State {
	case admission.Running:
		if r := c.requestsByAdmission[e.ID]; r != nil {
			c.acknowledgeRepeat(r, d)
		}
	case admission.Answered:
		c.respond(&d.callerExchange, &message.Outgoing{Template: e.Response})
	case admission.Refused:
		c.respond(&d.callerExchange, &message.Outgoing{Code: message.ServiceUnavailable, SetMaxAge: true, MaxAge: e.RetryAfter, Payload: notRunPayload})
	default:
		c.respondOutcomeUnknown(&d.callerExchange)
	}
}

// notRunPayload is the diagnostic payload of a rejection which states that the
// request has not run.
var notRunPayload = []byte("not run")

// refuse responds 5.03 at once and returns the retry time in seconds. The
// response states that the request has not run only if that is certain: an
// idempotent request may be a retransmission of one that another instance has
// run.
func (c *Core) refuse(x *callerExchange, notRun bool) uint32 {
	c.counters.Refused++
	after := c.retryAfter(x.svc)
	o := message.Outgoing{Code: message.ServiceUnavailable, SetMaxAge: true, MaxAge: after}
	if notRun {
		o.Payload = notRunPayload
	}
	c.respond(x, &o)
	return after
}

// retryAfter returns the retry time of a rejected caller, in seconds, and
// reserves that time in the retry schedule.
func (c *Core) retryAfter(s *service) uint32 {
	rate := defaultCallerRetryRate
	if s.ownedSlots() > 0 {
		rate = s.pool.ServiceRate()
	}
	return s.retrySchedule.RetryAfter(c.now, rate, c.rng)
}

// respondOutcomeUnknown responds that the outcome of the request is unknown.
func (c *Core) respondOutcomeUnknown(x *callerExchange) {
	c.counters.Unknown++
	c.respond(x, &message.Outgoing{Code: message.GatewayTimeout, Payload: outcomeUnknownPayload})
}

// reject rejects a request that is not in flight. The rejection is recorded,
// so that a duplicate does not run later.
func (c *Core) reject(r *request) {
	if r.mayHaveRun {
		c.finishOutcomeUnknown(r)
		return
	}
	after := c.refuse(&r.callerExchange, r.isAdmitted)
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Refused, nil, after)
	}
	c.emitSpan(Answered, r.svc, r.traceID, r.arrived)
	c.remove(r)
}

// fitsQueue reports whether a request may be queued. A partner that sends more
// than its share fills only its own part of the queue: its backlog is compared
// with its share of the slots among the partners with queued requests.
func (c *Core) fitsQueue(s *service, class spread.Class, partner int) bool {
	owned := s.ownedSlots()
	if owned == 0 {
		return false
	}
	requestPartner := &s.partners[partner]
	waitingWeight := float64(requestPartner.Weight)
	for i := range s.partners {
		if p := &s.partners[i]; i != partner && p.queued[class] > 0 {
			waitingWeight += float64(p.Weight)
		}
	}
	share := 1.0
	if waitingWeight > 0 {
		share = float64(requestPartner.Weight) / waitingWeight
	}
	limiter, runTime, slots := s.limiter, s.pool.RunTime(), float64(owned)
	if class == spread.Long {
		// Long requests may wait until their deadline: some delay is acceptable
		// for them, and they do not delay short requests, which have their own
		// queue.
		profile := &s.config.Profile.Spread
		limiter.MaxQueueTime = limiter.Deadline
		runTime = time.Duration(float64(runTime) * max(1, profile.LongFactor))
		slots = max(1, slots*profile.LongShare)
	}
	limiter.MaxLength = max(1, int(float64(limiter.MaxLength)*share))
	return limiter.CanQueue(requestPartner.queued[class], runTime, slots*share)
}
