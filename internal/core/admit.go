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
	// returnPart is the part of the service rate at which rejected callers are
	// told to return. The model (make experiment) stays below 1.1
	// transmissions per request with it at three times the capacity.
	returnPart = 0.25
	// returnRate is used instead of the service rate, in requests a second,
	// where no slot is owned, so that the rate is not known.
	returnRate = 10.0
)

// mint responds to a non-idempotent request with a token that names the
// instance where it should run, or rejects it. The choice of the instance
// steers the load, as the request itself cannot be moved later.
func (c *Core) mint(a *arrival) {
	s := a.svc
	here := c.accepting() && !c.admissions.MintingSuspended()
	class, free := c.freeHere(s, a)
	if here && free {
		c.grant(a, c.self.ID, c.self.Incarnation)
		return
	}
	if p := c.freePeer(s, class); p != nil {
		if run, ok := c.runs[p.id]; ok {
			p.free--
			c.grant(a, p.id, run)
			return
		}
	}
	home, ok := c.home(s, a.hash)
	if run, known := c.runs[home]; ok && known && home != c.self.ID && !c.refuses(s, home) {
		c.grant(a, home, run)
		return
	}
	if here && c.fits(s, class, s.partnerOf(a.m.Host, a.caller)) {
		c.grant(a, c.self.ID, c.self.Incarnation)
		return
	}
	c.refuse(&a.exchange, true)
}

// grant responds 4.01 with a token that names an incarnation. The issue time
// is on the clock of the named instance.
func (c *Core) grant(a *arrival, id ids.Instance, run ids.Incarnation) {
	clock := c.now
	if id != c.self.ID {
		clock = clock.Add(c.view.ClockOffset(id))
	}
	t := admission.Token{Incarnation: run, IssuedMS: uint64(clock / ids.Time(time.Millisecond))}
	var random [16]byte
	binary.LittleEndian.PutUint64(random[:], c.nonces.Uint64())
	binary.LittleEndian.PutUint64(random[8:], c.nonces.Uint64())
	copy(t.Nonce[:], random[:])
	echo := c.arena.token()
	c.keys.Mint(echo, t, a.svc.name)
	c.counts.Minted++
	c.respond(&a.exchange, &message.Outgoing{Code: message.Unauthorized, Echo: echo[:]})
}

// admit handles a request whose token this instance decides on.
func (c *Core) admit(a *arrival, t admission.Token) {
	e, decision := c.admissions.Admit(c.now, t, a.m.Digest)
	switch decision {
	case admission.Admit:
		c.admitNew(a, e.ID)
	case admission.Duplicate:
		c.duplicate(a, e)
	case admission.NotRun:
		c.counts.Reminted++
		c.mint(a)
	default:
		c.unknown(&a.exchange)
	}
}

func (c *Core) admitNew(a *arrival, id admission.ID) {
	s := a.svc
	c.counts.Admitted++
	c.span(Admitted, s, a.trace, c.now)
	r := c.newRequest(a)
	r.isAdmitted, r.admission = true, id
	c.admitted[id] = r
	if a.m.Block1.Num > 0 || a.m.Block2.Num > 0 {
		k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: a.caller, Service: s.name}, Path: a.m.Path}
		route, _ := c.blocks.Get(c.now, k)
		r.pin = route.Target
	}
	c.serveHere(r)
}

// duplicate responds to a repeated request with what is known of the first.
func (c *Core) duplicate(a *arrival, e *admission.Entry) {
	c.counts.Duplicates++
	switch e.State {
	case admission.Running:
		if r := c.admitted[e.ID]; r != nil {
			c.repeat(r, a)
		}
	case admission.Answered:
		c.respond(&a.exchange, &message.Outgoing{Template: e.Response})
	case admission.Refused:
		c.respond(&a.exchange, &message.Outgoing{Code: message.ServiceUnavailable, SetMaxAge: true, MaxAge: e.RetryAfter, Payload: notRun})
	default:
		c.unknown(&a.exchange)
	}
}

// notRun is the diagnostic payload of a rejection that says that the request
// has not run.
var notRun = []byte("not run")

// refuse responds "retry later" at once. It says "not run" only if that is
// known: an idempotent request may be a retransmission that another instance
// has run.
func (c *Core) refuse(x *exchange, known bool) uint32 {
	c.counts.Refused++
	after := c.retryAfter(x.svc)
	o := message.Outgoing{Code: message.ServiceUnavailable, SetMaxAge: true, MaxAge: after}
	if known {
		o.Payload = notRun
	}
	c.respond(x, &o)
	return after
}

// retryAfter books the return of a rejected caller.
func (c *Core) retryAfter(s *service) uint32 {
	rate := returnRate
	if s.owned() > 0 {
		rate = s.pool.ServiceRate()
	}
	return s.returns.RetryAfter(c.now, rate, c.rng)
}

// unknown responds that the outcome is unknown.
func (c *Core) unknown(x *exchange) {
	c.counts.Unknown++
	c.respond(x, &message.Outgoing{Code: message.GatewayTimeout, Payload: outcomeUnknown})
}

// reject rejects a request that is not in flight. The rejection is recorded,
// so that a duplicate does not run later.
func (c *Core) reject(r *request) {
	if r.mayHaveRun {
		c.giveUp(r)
		return
	}
	after := c.refuse(&r.exchange, r.isAdmitted)
	if r.isAdmitted {
		c.admissions.Finish(r.admission, admission.Refused, nil, after)
	}
	c.span(Answered, r.svc, r.trace, r.arrived)
	c.drop(r)
}

// fits reports whether a request may be queued. A partner that sends more than
// its share fills only its own part of the queue: its backlog is compared with
// its share of the slots among the partners that wait.
func (c *Core) fits(s *service, class spread.Class, partner int) bool {
	owned := s.owned()
	if owned == 0 {
		return false
	}
	own := &s.partners[partner]
	waiting := float64(own.Weight)
	for i := range s.partners {
		if p := &s.partners[i]; i != partner && p.queued[class] > 0 {
			waiting += float64(p.Weight)
		}
	}
	part := 1.0
	if waiting > 0 {
		part = float64(own.Weight) / waiting
	}
	l, run, slots := s.limiter, s.pool.RunTime(), float64(owned)
	if class == spread.Long {
		// Long requests wait until their deadline: some delay is acceptable
		// for them, and the short ones pass by in their own queue.
		profile := &s.config.Profile.Spread
		l.MaxQueueTime = l.Deadline
		run = time.Duration(float64(run) * max(1, profile.LongFactor))
		slots = max(1, slots*profile.LongShare)
	}
	l.MaxLength = max(1, int(float64(l.MaxLength)*part))
	return l.CanQueue(own.queued[class], run, slots*part)
}
