package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// Caller handles a datagram from a caller.
func (c *Core) HandleCaller(now ids.Time, e *CallerEvent, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	s := c.services[e.Service]
	if s == nil {
		c.counts.UnknownService++
		return
	}
	c.trace++
	c.receive(s, e.Caller, e.Message, c.trace, nil)
}

// receive handles a datagram of a caller; relay is nil unless another instance
// has relayed it.
func (c *Core) receive(s *service, caller ids.Endpoint, m *message.Message, trace uint64, relay *peerwire.Relay) {
	c.refresh(s)
	a := arrival{
		exchange: exchange{svc: s, caller: caller, kind: m.Type, id: m.ID, token: m.Token},
		m:        m, hash: ids.HashEndpoint(caller), trace: trace,
	}
	if relay != nil {
		a.hops, a.age, a.acked = max(1, relay.Hops), time.Duration(relay.AgeMS)*time.Millisecond, relay.Acked
	}
	switch {
	case m.Code == message.Empty:
		c.empty(&a)
	case m.Code.IsRequest() && (m.Type == message.Confirmable || m.Type == message.NonConfirmable):
		c.counts.Requests++
		c.span(Received, s, trace, c.now)
		c.request(&a)
	default:
		c.counts.Malformed++
	}
}

// empty handles an ACK, an RST or a ping.
func (c *Core) empty(a *arrival) {
	if a.m.Type == message.Confirmable { // ping, RFC 7252 section 4.3
		e := c.emit(ToCaller)
		e.Service, e.Endpoint = a.svc.name, a.caller
		e.Datagram = message.Outgoing{Type: message.Reset, ID: a.m.ID}
		return
	}
	k := flow.AckKey{FlowKey: ids.FlowKey{Caller: a.caller, Service: a.svc.name}, ID: a.m.ID}
	if q := c.confirms[k]; q != nil {
		c.confirmed(q, a.m.Type == message.Reset)
		return
	}
	if a.m.Type == message.Reset && c.cancel(a) {
		return
	}
	if a.hops >= maxHops {
		c.counts.LateAcks++
		return
	}
	if to, ok := c.ackRoutes.Get(c.now, k); ok && to != c.self.ID {
		c.relay(a, to)
		return
	}
	if home, ok := c.home(a.svc, a.hash); ok && home != c.self.ID && a.hops == 0 {
		c.relay(a, home)
		return
	}
	c.counts.LateAcks++
}

// cancel ends the request that the caller resets by its message id.
func (c *Core) cancel(a *arrival) bool {
	for _, r := range c.live {
		if r.svc == a.svc && r.caller == a.caller && r.id == a.m.ID && !r.isAdmitted {
			c.counts.Cancelled++
			c.abandon(r, spread.Cancelled)
			c.drop(r)
			c.dispatch(a.svc)
			return true
		}
	}
	return false
}

// unsynced reports whether this instance has just started, or resumed, and does
// not know the others yet.
func (c *Core) unsynced() bool {
	return c.view.State() == peerwire.Joining && !c.view.Synced()
}

func (c *Core) home(s *service, hash uint64) (ids.Instance, bool) {
	return c.routes.Home(s.name, hash)
}

// request decides on a request.
func (c *Core) request(a *arrival) {
	s, m := a.svc, a.m
	idempotent := s.idempotent&(1<<m.Code) != 0
	switch {
	case !idempotent && len(m.Echo) > 0:
		c.withToken(a)
	case s.removed:
		c.refuse(&a.exchange, !idempotent)
	case c.repeated(a):
	case m.HasObserve && m.Observe <= 1 && idempotent && m.Block2.Num == 0:
		c.observe(a)
	case m.Block2.Num > 0 || m.Block1.Num > 0:
		c.followUp(a, idempotent)
	case idempotent:
		c.place(a)
	default:
		c.mint(a)
	}
}

// repeated handles a retransmission of a request that is queued or in flight
// here.
func (c *Core) repeated(a *arrival) bool {
	r := c.requests[requestKey{ids.FlowKey{Caller: a.caller, Service: a.svc.name}, a.token}]
	if r == nil || r.code != a.m.Code || r.path != a.m.Path {
		return false
	}
	c.repeat(r, a)
	return true
}

// repeat sends the empty ACK that stops retransmission. The response follows
// the latest transmission, since the endpoint of a caller may have changed.
func (c *Core) repeat(r *request, a *arrival) {
	c.counts.Repeats++
	r.exchange = a.exchange
	if a.kind == message.Confirmable {
		c.ack(&r.exchange)
	}
}

// place chooses where an idempotent request is served: here if a slot is
// free, else at a co-owner believed to have one, else at the home.
func (c *Core) place(a *arrival) {
	s := a.svc
	class, free := c.freeHere(s, a)
	if free {
		c.start(c.newRequest(a), class)
		return
	}
	if to, ok := c.elsewhere(a, class); ok {
		c.relay(a, to)
		return
	}
	if !c.accepting() || !c.fits(s, class, s.partnerOf(a.m.Host, a.caller)) {
		c.refuse(&a.exchange, false)
		return
	}
	c.enqueue(c.newRequest(a), class)
}

// serveHere starts, queues or rejects a request that no other instance may serve.
func (c *Core) serveHere(r *request) {
	s := r.svc
	class := spread.Short
	if s.pool != nil {
		class = s.pool.Classify(r.key)
	}
	switch {
	case c.accepting() && s.pool != nil && s.queues[class].Len() == 0 && c.mayStart(s, class):
		c.start(r, class)
	case c.accepting() && c.fits(s, class, r.partner):
		c.enqueue(r, class)
	default:
		c.reject(r)
	}
}

// freeHere returns the class of a request and whether it can start here now.
func (c *Core) freeHere(s *service, a *arrival) (spread.Class, bool) {
	if s.pool == nil {
		return spread.Short, false
	}
	class := s.pool.Classify(s.runKey(a.m))
	return class, c.accepting() && s.queues[class].Len() == 0 && c.mayStart(s, class)
}

// elsewhere returns the instance to which a request that cannot start here is
// relayed. A request that was relayed already only goes on to a free slot.
func (c *Core) elsewhere(a *arrival, class spread.Class) (ids.Instance, bool) {
	if a.hops >= maxHops {
		return "", false
	}
	if p := c.freePeer(a.svc, class); p != nil {
		return p.id, true
	}
	home, ok := c.home(a.svc, a.hash)
	if !ok || home == c.self.ID || c.refuses(a.svc, home) {
		return "", false
	}
	return home, a.hops == 0 || a.svc.owned() == 0 || !c.accepting()
}

// followUp sends a block after the first to the target that served the first.
func (c *Core) followUp(a *arrival, idempotent bool) {
	s := a.svc
	k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: a.caller, Service: s.name}, Path: a.m.Path}
	route, known := c.blocks.Get(c.now, k)
	if known && route.Instance != "" && route.Instance != c.self.ID && s.peer(route.Instance) == nil {
		known = false // that instance is lost or owns no slot any more
	}
	if !known {
		if home, ok := c.home(s, a.hash); ok && home != c.self.ID && a.hops == 0 {
			c.relay(a, home)
			return
		}
	}
	elsewhere := known && route.Instance != "" && route.Instance != c.self.ID
	switch {
	case !idempotent && elsewhere:
		if run, ok := c.runs[route.Instance]; ok {
			c.grant(a, route.Instance, run)
			return
		}
		c.mint(a)
	case !idempotent && known && c.accepting() && !c.admissions.MintingSuspended():
		c.grant(a, c.self.ID, c.self.Incarnation)
	case !idempotent:
		c.mint(a)
	case elsewhere && a.hops < maxHops:
		c.relay(a, route.Instance)
	case known && c.accepting() && s.owned() > 0:
		r := c.newRequest(a)
		r.pin = route.Target
		c.serveHere(r)
	default:
		c.place(a)
	}
}

// outcomeUnknown is the diagnostic payload of a response that says nothing
// about whether a request has run.
var outcomeUnknown = []byte("outcome unknown")

// withToken handles a non-idempotent request that carries an Echo option. Only
// the incarnation that the token names, or its successor, may let it run or
// tell that it has not run.
func (c *Core) withToken(a *arrival) {
	token, verdict := c.keys.Parse(a.m.Echo, a.svc.name)
	switch {
	case verdict == admission.NotIssued:
		c.mint(a)
	case verdict == admission.UnknownKey:
		c.unknown(&a.exchange)
	case c.admissions.AuthoritativeFor(token.Incarnation):
		c.admit(a, token)
	default:
		m, ok := c.view.Lookup(token.Incarnation)
		if !ok && c.unsynced() {
			// The incarnation may run: this instance does not know the others
			// yet. The caller's retransmission reaches one that does.
			c.counts.Unsynced++
			return
		}
		if !ok || m.ID == c.self.ID || a.hops >= maxHops {
			c.unknown(&a.exchange)
			return
		}
		c.relay(a, m.ID)
	}
}
