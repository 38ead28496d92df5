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

// HandleCaller handles a datagram from a caller.
func (c *Core) HandleCaller(now ids.Time, e *CallerEvent, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	s := c.services[e.Service]
	if s == nil {
		c.counters.UnknownService++
		return
	}
	c.lastTraceID++
	c.handleCallerDatagram(s, e.Caller, e.Message, c.lastTraceID, nil)
}

// handleCallerDatagram handles a datagram of a caller; relay is nil unless
// another instance has relayed it.
func (c *Core) handleCallerDatagram(s *service, caller ids.Endpoint, m *message.Message, traceID uint64, relay *peerwire.Relay) {
	c.refreshOwnership(s)
	d := callerDatagram{
		callerExchange: callerExchange{svc: s, caller: caller, messageType: m.Type, messageID: m.ID, token: m.Token},
		msg:            m, hash: ids.HashEndpoint(caller), traceID: traceID,
	}
	if relay != nil {
		d.hops, d.age, d.acked = max(1, relay.Hops), time.Duration(relay.AgeMS)*time.Millisecond, relay.Acked
	}
	switch {
	case m.Code == message.Empty:
		c.handleEmpty(&d)
	case m.Code.IsRequest() && (m.Type == message.Confirmable || m.Type == message.NonConfirmable):
		c.counters.Requests++
		c.emitSpan(Received, s, traceID, c.now)
		c.routeRequest(&d)
	default:
		c.counters.Malformed++
	}
}

// handleEmpty handles an ACK, an RST or a ping.
func (c *Core) handleEmpty(d *callerDatagram) {
	if d.msg.Type == message.Confirmable { // ping, RFC 7252 section 4.3
		e := c.emit(ToCaller)
		e.Service, e.Endpoint = d.svc.name, d.caller
		e.Datagram = message.Outgoing{Type: message.Reset, ID: d.msg.ID}
		return
	}
	k := flow.AckKey{FlowKey: ids.FlowKey{Caller: d.caller, Service: d.svc.name}, ID: d.msg.ID}
	if q := c.unacked[k]; q != nil {
		c.handleAck(q, d.msg.Type == message.Reset)
		return
	}
	if d.msg.Type == message.Reset && c.cancel(d) {
		return
	}
	if d.hops >= maxHops {
		c.counters.LateAcks++
		return
	}
	if to, ok := c.ackRoutes.Get(c.now, k); ok && to != c.self.ID {
		c.relay(d, to)
		return
	}
	if home, ok := c.homeInstance(d.svc, d.hash); ok && home != c.self.ID && d.hops == 0 {
		c.relay(d, home)
		return
	}
	c.counters.LateAcks++
}

// cancel ends the request whose message ID the caller has reset. It returns
// false if there is none.
func (c *Core) cancel(d *callerDatagram) bool {
	for _, r := range c.liveRequests {
		if r.svc == d.svc && r.caller == d.caller && r.messageID == d.msg.ID && !r.isAdmitted {
			c.counters.Cancelled++
			c.abandon(r, spread.Cancelled)
			c.remove(r)
			c.dispatch(d.svc)
			return true
		}
	}
	return false
}

// unsynced reports whether this instance has just started or resumed and has
// not yet received the membership list of the other instances.
func (c *Core) unsynced() bool {
	return c.membership.State() == peerwire.Joining && !c.membership.Synced()
}

// homeInstance returns the home instance of a flow, which keeps the state of the
// flow. A flow is the traffic between one caller endpoint and one service. hash
// is the hash of the caller endpoint.
func (c *Core) homeInstance(s *service, hash uint64) (ids.Instance, bool) {
	return c.routes.Home(s.name, hash)
}

// routeRequest selects the handling of a request by its method and options.
func (c *Core) routeRequest(d *callerDatagram) {
	s, m := d.svc, d.msg
	idempotent := s.idempotent&(1<<m.Code) != 0
	c.supersede(d)
	switch {
	case !idempotent && len(m.Echo) > 0:
		c.routeByToken(d)
	case s.removed:
		c.refuse(&d.callerExchange, !idempotent)
	case c.handleRepeat(d):
	case m.HasObserve && m.Observe <= 1 && idempotent && m.Block2.Num == 0:
		c.handleObserve(d)
	case m.Block2.Num > 0 || m.Block1.Num > 0:
		c.routeFollowUpBlock(d, idempotent)
	case idempotent:
		c.place(d)
	default:
		c.mint(d)
	}
}

// supersede ends what would still be sent for an earlier request of the caller with the
// token of d: an ACK may have been lost, or the caller has given that request up. RFC
// 7252 section 5.3.1 allows a token to be used again when no request of the caller
// waits for it.
func (c *Core) supersede(d *callerDatagram) {
	k := requestKey{ids.FlowKey{Caller: d.caller, Service: d.svc.name}, d.token}
	if q := c.unackedByToken[k]; q != nil {
		c.stopAwaitingAck(q)
	}
	r := c.requestsByKey[k]
	if r == nil || r.digest == d.msg.Digest {
		return
	}
	c.counters.Superseded++
	if r.isAdmitted {
		delete(c.requestsByKey, k)
		r.superseded = true // it runs once all the same, and its outcome can be asked for
		return
	}
	c.abandon(r, spread.Cancelled)
	c.remove(r)
	c.dispatch(d.svc)
}

// handleRepeat handles the retransmission of an idempotent request that is queued or in
// flight at this instance. It returns false if the request is not a retransmission of
// one.
func (c *Core) handleRepeat(d *callerDatagram) bool {
	r := c.requestsByKey[requestKey{ids.FlowKey{Caller: d.caller, Service: d.svc.name}, d.token}]
	if r == nil || r.isAdmitted {
		return false
	}
	c.acknowledgeRepeat(r, d)
	return true
}

// acknowledgeRepeat sends the empty ACK that stops retransmission. The response
// is sent to the source of the latest transmission, since the endpoint of a
// caller may have changed.
func (c *Core) acknowledgeRepeat(r *request, d *callerDatagram) {
	c.counters.Repeats++
	r.callerExchange = d.callerExchange
	if d.messageType == message.Confirmable {
		c.sendEmptyAck(&r.callerExchange)
	}
}

// place chooses where an idempotent request is served: at this instance if it
// has a free slot, else at a co-owner that reported one, else at the home
// instance.
func (c *Core) place(d *callerDatagram) {
	s := d.svc
	class, free := c.canStartHere(s, d)
	if free {
		c.start(c.newRequest(d), class)
		return
	}
	if to, ok := c.relayDestination(d, class); ok {
		c.relay(d, to)
		return
	}
	if !c.accepting() || !c.fitsQueue(s, class, s.partnerOf(d.msg.Host, d.caller)) {
		c.refuse(&d.callerExchange, false)
		return
	}
	c.enqueue(c.newRequest(d), class)
}

// serveHere starts, queues or rejects a request that no other instance may
// serve.
func (c *Core) serveHere(r *request) {
	s := r.svc
	class := spread.Short
	if s.pool != nil {
		class = s.pool.Classify(r.runTimeKey)
	}
	switch {
	case c.accepting() && s.pool != nil && s.queues[class].Len() == 0 && c.mayStart(s, class):
		c.start(r, class)
	case c.accepting() && c.fitsQueue(s, class, r.partner):
		c.enqueue(r, class)
	default:
		c.reject(r)
	}
}

// canStartHere returns the class of a request and whether it can start at this
// instance now.
func (c *Core) canStartHere(s *service, d *callerDatagram) (spread.Class, bool) {
	if s.pool == nil {
		return spread.Short, false
	}
	class := s.pool.Classify(s.runTimeKey(d.msg))
	return class, c.accepting() && s.queues[class].Len() == 0 && c.mayStart(s, class)
}

// relayDestination returns the instance to which a request that cannot start
// here is relayed. A request that was already relayed is relayed again only to
// a free slot, or to its home instance if this instance cannot serve it.
func (c *Core) relayDestination(d *callerDatagram, class spread.Class) (ids.Instance, bool) {
	if d.hops >= maxHops {
		return "", false
	}
	if p := c.freePeer(d.svc, class); p != nil {
		return p.id, true
	}
	home, ok := c.homeInstance(d.svc, d.hash)
	if !ok || home == c.self.ID || c.isRefusing(d.svc, home) {
		return "", false
	}
	return home, d.hops == 0 || d.svc.ownedSlots() == 0 || !c.accepting()
}

// routeFollowUpBlock sends a block after the first one to the target that
// served the first.
func (c *Core) routeFollowUpBlock(d *callerDatagram, idempotent bool) {
	s := d.svc
	k := flow.BlockKey{FlowKey: ids.FlowKey{Caller: d.caller, Service: s.name}, Path: d.msg.PathHash}
	route, known := c.blockRoutes.Get(c.now, k)
	if known && route.Instance != "" && route.Instance != c.self.ID && s.peer(route.Instance) == nil {
		known = false // that instance has failed or no longer owns a slot
	}
	if !known {
		if home, ok := c.homeInstance(s, d.hash); ok && home != c.self.ID && d.hops == 0 {
			c.relay(d, home)
			return
		}
	}
	servedElsewhere := known && route.Instance != "" && route.Instance != c.self.ID
	switch {
	case !idempotent && servedElsewhere:
		if incarnation, ok := c.incarnations[route.Instance]; ok {
			c.grant(d, route.Instance, incarnation)
			return
		}
		c.mint(d)
	case !idempotent && known && c.accepting() && !c.admissions.MintingSuspended():
		c.grant(d, c.self.ID, c.self.Incarnation)
	case !idempotent:
		c.mint(d)
	case servedElsewhere && d.hops < maxHops:
		c.relay(d, route.Instance)
	case known && c.accepting() && s.ownedSlots() > 0:
		r := c.newRequest(d)
		r.pinnedTarget = route.Target
		c.serveHere(r)
	default:
		c.place(d)
	}
}

// outcomeUnknownPayload is the diagnostic payload of a response that does not
// state whether the request has run.
var outcomeUnknownPayload = []byte("outcome unknown")

// routeByToken handles a non-idempotent request that carries an Echo option.
// Only the incarnation named in the token, or its successor, may run the
// request or state that it has not run.
func (c *Core) routeByToken(d *callerDatagram) {
	token, verdict := c.keys.Parse(d.msg.Echo, d.svc.name)
	switch {
	case verdict == admission.NotIssued:
		c.mint(d)
	case verdict == admission.UnknownKey:
		c.respondOutcomeUnknown(&d.callerExchange)
	case c.admissions.AuthoritativeFor(token.Incarnation):
		c.admit(d, token)
	default:
		m, ok := c.membership.Lookup(token.Incarnation)
		if !ok && c.unsynced() {
			// The named incarnation may still be running, but this instance
			// does not have the membership list yet. The caller's
			// retransmission is expected to reach an instance that has it.
			c.counters.Unsynced++
			return
		}
		if !ok || m.ID == c.self.ID || d.hops >= maxHops {
			c.respondOutcomeUnknown(&d.callerExchange)
			return
		}
		c.relay(d, m.ID)
	}
}
