package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// Settings of a Core.
type Settings struct {
	DataCentre        ids.DataCentre    // own data centre
	Regions           map[string]string // by data centre; one that is missing counts as near
	MaxFlows          int               // flows remembered, FlowBytes each
	FlowLifetime      time.Duration     // age after which a flow may be forgotten
	HeartbeatInterval time.Duration     // interval at which targets renew their records
	Seed              uint64            // of random choices
}

// Core is the decision logic of one instance.
type Core struct {
	settings        Settings
	routes          routeTable
	targets         targetTable
	flows           flowTable
	openings        openingQueue
	rngState        uint64
	events          []Event
	checks          []Check
	removals        []removal            // targets whose cookies are kept for their open flows
	requestsPerFlow map[Endpoint]float64 // by route: smoothed number of requests of a flow

	instanceCount int // that share the callers of the data centre

	lastAlive           ids.Time // last sign of life of any target
	listReceivedAt      ids.Time // when all targets were known for the first time
	platformRecoveredAt ids.Time // when the platform answered again after an outage
	lastSweep           ids.Time
}

// removal is a target that was removed at a time.
type removal struct {
	name      string
	startedAt int64
	removedAt ids.Time
}

// New returns a core without configuration and targets.
func New(s Settings) *Core {
	return &Core{settings: s, targets: newTargetTable(s.DataCentre, s.Regions), requestsPerFlow: map[Endpoint]float64{}, instanceCount: 1, flows: newFlowTable(max(s.MaxFlows, 1)), rngState: s.Seed}
}

// Verdict is what is to be done with a packet.
type Verdict uint8

// Verdicts.
const (
	Drop Verdict = iota
	Forward
	Reset // answer the caller with a reset
)

// Reason is the input that decided.
type Reason uint8

// Reasons.
const (
	KnownCookie       Reason = iota // the cookie names the target
	Placed                          // a new flow
	Replaced                        // a copy of an opening packet goes to another target
	Repeated                        // a copy of an opening packet goes to the same target
	NoConfig                        // no configuration yet
	NoRoute                         // no route for this address
	RouteDropped                    // the route of the open flow has been removed
	NoTarget                        // the service has no target
	UnknownCookie                   // the cookie names no known target
	NoCookie                        // not an opening packet, and without a cookie
	TargetGone                      // the target of the open flow has ended
	TargetUnreachable               // the target of the open flow is out of reach
	reasonCount
)

// Reasons is the number of reasons.
const NumReasons = int(reasonCount)

var reasonNames = [...]string{"known", "placed", "replaced", "repeated", "no_config", "no_route", "route_dropped", "no_target", "unknown_cookie", "no_cookie", "target_gone", "target_unreachable"}

func (r Reason) String() string { return reasonNames[r] }

// Decision says what is to be done with a packet. The packet goes to Address,
// addressed to Identity, with Cookie written into it if Reason is Placed,
// Replaced or Repeated.
type Decision struct {
	Verdict        Verdict
	Reason         Reason
	Address        Endpoint
	Identity       uint64
	Cookie         Cookie
	Target         string      // name of the target, for logs
	Service        ids.Service // for logs
	ActiveRequests int         // requests in progress at the target before a placement
	Remote         bool        // the target is in another data centre
	Adopted        bool        // the flow was not known here; it came from another instance

	// Answered is the time from an opening packet to the caller's packet that
	// follows the answer, Served that from a request to the acknowledgement of
	// the first answered byte. Both are 0 for other packets.
	HandshakeTime, ResponseTime time.Duration
	// Stalled is the time since a request whose data the caller repeats; 0 for
	// other packets.
	StalledFor time.Duration
}

// Packet decides about one packet of a caller.
func (c *Core) HandlePacket(now ids.Time, p *Packet) Decision {
	c.expireOpenings(now)
	if p.isOpening() {
		return c.placeFlow(now, p)
	}
	if p.Cookie == 0 {
		return Decision{Reason: NoCookie}
	}
	if c.routes.routes != nil {
		if _, ok := c.routes.routes[p.Flow.Service]; !ok {
			return c.resetRemovedRoute(p)
		}
	}
	t := c.targets.byCookie[p.Cookie]
	if t == nil {
		return Decision{Reason: UnknownCookie}
	}
	if reason, ok := t.resetReason(now, p); ok {
		if f := c.flows.get(p.Flow); f != nil {
			c.removeFlow(f)
		}
		return Decision{Verdict: Reset, Reason: reason, Target: t.Name, Service: t.Service}
	}
	d := c.forwardTo(t, KnownCookie)
	c.observePacket(now, p, t, &d)
	return d
}

// dropped ends an open flow whose route has been removed.
func (c *Core) resetRemovedRoute(p *Packet) Decision {
	if f := c.flows.get(p.Flow); f != nil {
		c.removeFlow(f)
	}
	if p.Flags.Has(RST) {
		return Decision{Reason: RouteDropped}
	}
	return Decision{Verdict: Reset, Reason: RouteDropped}
}

func (c *Core) forwardTo(t *target, reason Reason) Decision {
	return Decision{
		Verdict: Forward, Reason: reason, Address: t.Address, Identity: t.Identity, Cookie: t.cookie,
		Target: t.Name, Service: t.Service, ActiveRequests: t.activeRequests, Remote: t.DataCentre != c.settings.DataCentre,
	}
}

// open decides about an opening packet or a copy of one.
func (c *Core) placeFlow(now ids.Time, p *Packet) Decision {
	if c.routes.routes == nil {
		return Decision{Reason: NoConfig}
	}
	route := c.routes.routes[p.Flow.Service]
	if route == nil {
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	f := c.flows.get(p.Flow)
	reason := Placed
	var avoid *target
	if f != nil {
		t := c.target(f)
		if t != nil && t.usable() && f.state == flowOpening && now.Sub(f.forwardedAt) < openingTimeout {
			// The answer may still be on its way: another target would give the
			// caller two answers for one flow.
			return c.forwardTo(t, Repeated)
		}
		if t != nil && f.state == flowOpening {
			avoid = t
			c.recordFailure(now, t, f.forwardedAt, "opening repeated")
			reason = Replaced
		}
		c.removeFlow(f)
	}
	t := c.choose(now, route.service(p.Flow), avoid, c.hasLongFlows(p.Flow.Service))
	if t == nil {
		return c.noTargetDecision(now, route.service(p.Flow))
	}
	if t.suspicion.State() == chart.Suspected {
		t.scheduleRetry(now) // one flow at a time tries a suspected target
	}
	d := c.forwardTo(t, reason)
	f, evicted := c.flows.add(p.Flow)
	c.subtractLoad(&evicted)
	f.state, f.target, f.generation = flowOpening, t.index, t.generation
	f.lastSeen, f.forwardedAt = now, now
	f.nextSeq = p.Seq + 1
	t.flows++
	c.openings.push(pendingOpening{flow: p.Flow, sent: now})
	return d
}

// noTarget tells the caller at once that its flow cannot be served, unless the
// records of live targets may have lapsed: then one may be there for the next copy
// of the opening packet.
func (c *Core) noTargetDecision(now ids.Time, service ids.Service) Decision {
	d := Decision{Reason: NoTarget, Service: service}
	if c.listReceivedAt != 0 && now.Sub(max(c.listReceivedAt, c.platformRecoveredAt)) >= recordGracePeriod {
		d.Verdict = Reset
	}
	return d
}

// observe learns from a packet of an open flow and adds what it found to d.
func (c *Core) observePacket(now ids.Time, p *Packet, t *target, d *Decision) {
	f := c.flows.get(p.Flow)
	if f == nil {
		if p.Length == 0 || p.Flags.Has(FIN) || p.Flags.Has(RST) {
			return
		}
		// The flow came from another instance.
		var evicted flow
		f, evicted = c.flows.add(p.Flow)
		c.subtractLoad(&evicted)
		f.state, f.target, f.generation, f.nextSeq, f.ack = flowOpen, t.index, t.generation, p.Seq, p.Ack
		t.flows++
		d.Adopted = true
	}
	f.lastSeen = now
	if c.target(f) != t {
		c.reassignFlow(f, t)
	}
	if f.state == flowOpening {
		f.state, f.ack = flowOpen, p.Ack
		d.HandshakeTime = now.Sub(f.forwardedAt)
		c.markAlive(now, t)
	}
	if progress := int32(p.Ack - f.ack); progress > 0 && !p.Flags.Has(RST) {
		f.ack = p.Ack
		if f.requestActive {
			d.ResponseTime = now.Sub(f.requestedAt)
		}
		c.markAlive(now, t)
		c.finishRequest(f, t)
	}
	if p.Flags.Has(RST) || p.Flags.Has(FIN) {
		c.removeFlow(f)
		return
	}
	if p.Length > 0 {
		c.observeData(now, p, f, t, d)
	}
}

// data learns from a packet with request data.
func (c *Core) observeData(now ids.Time, p *Packet, f *flow, t *target, d *Decision) {
	end := p.Seq + uint32(p.Length)
	if int32(end-f.nextSeq) > 0 {
		f.nextSeq = end
		if !f.requestActive {
			f.requestActive, f.requestedAt = true, now
			f.requests++
			t.addBusy(1)
		}
		return
	}
	if !f.requestActive || now.Sub(f.requestedAt) < minRetransmitTime {
		return // its packets came out of order
	}
	d.StalledFor = now.Sub(f.requestedAt)
	if t.retransmits++; t.retransmits >= 2 {
		c.recordFailure(now, t, f.requestedAt, "data repeated")
	}
}

// repeatTime is the least time after which a caller repeats its data; its first
// repetition comes after 200 ms.
const minRetransmitTime = 150 * time.Millisecond

// move counts f for another target than before.
func (c *Core) reassignFlow(f *flow, t *target) {
	c.subtractLoad(f)
	f.target, f.generation, f.requestActive = t.index, t.generation, false
	t.flows++
}

// finish ends the request in progress on f.
func (c *Core) finishRequest(f *flow, t *target) {
	if f.requestActive {
		f.requestActive = false
		t.addBusy(-1)
	}
}

// uncount takes f off the load of its target.
func (c *Core) subtractLoad(f *flow) {
	if f.state == flowFree {
		return
	}
	if t := c.target(f); t != nil {
		c.finishRequest(f, t)
		t.flows--
	}
}

// target returns the target of f, nil if it was forgotten.
func (c *Core) target(f *flow) *target { return c.targets.byIndex(f.target, f.generation) }

// lengthWeight is the weight of one flow in the smoothed number of requests of
// the flows of a route, and longFlow the number above which its flows count as
// long.
const (
	requestsPerFlowWeight = 0.05
	longFlowRequests      = 1.5
)

// long reports whether flows to an address usually carry several requests. A
// route that is not known yet counts as long.
func (c *Core) hasLongFlows(to Endpoint) bool {
	length, known := c.requestsPerFlow[to]
	return !known || length > longFlowRequests
}

// release forgets f.
func (c *Core) removeFlow(f *flow) {
	if f.requests > 0 {
		length, known := c.requestsPerFlow[f.key.Service]
		if !known {
			length = float64(f.requests)
		}
		c.requestsPerFlow[f.key.Service] = length + requestsPerFlowWeight*(float64(f.requests)-length)
	}
	c.subtractLoad(f)
	c.flows.remove(f)
}
