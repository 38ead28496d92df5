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
	settings Settings
	routes   routeTable
	targets  targetTable
	flows    flowTable
	openings openings
	random   uint64
	events   []Event
	checks   []Check
	gone     []removal            // targets whose cookies are kept for their open flows
	lengths  map[Endpoint]float64 // by route: smoothed number of requests of a flow

	instances int // that share the callers of the data centre

	lastLife  ids.Time // last sign of life of any target
	learned   ids.Time // when all targets were known for the first time
	outageEnd ids.Time // when the platform answered again after an outage
	swept     ids.Time
}

// removal is a target that was removed at a time.
type removal struct {
	name string
	born int64
	at   ids.Time
}

// New returns a core without configuration and targets.
func New(s Settings) *Core {
	return &Core{settings: s, targets: newTargetTable(s.DataCentre, s.Regions), lengths: map[Endpoint]float64{}, instances: 1, flows: newFlowTable(max(s.MaxFlows, 1)), random: s.Seed}
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
	reasons
)

// Reasons is the number of reasons.
const NumReasons = int(reasons)

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
	c.checkOpenings(now)
	if p.opening() {
		return c.open(now, p)
	}
	if p.Cookie == 0 {
		return Decision{Reason: NoCookie}
	}
	if c.routes.routes != nil {
		if _, ok := c.routes.routes[p.Flow.Service]; !ok {
			return c.dropped(p)
		}
	}
	t := c.targets.byCookie[p.Cookie]
	if t == nil {
		return Decision{Reason: UnknownCookie}
	}
	if reason, ok := t.unanswerable(now, p); ok {
		if f := c.flows.get(p.Flow); f != nil {
			c.release(f)
		}
		return Decision{Verdict: Reset, Reason: reason, Target: t.Name, Service: t.Service}
	}
	d := c.forward(t, KnownCookie)
	c.observe(now, p, t, &d)
	return d
}

// dropped ends an open flow whose route has been removed.
func (c *Core) dropped(p *Packet) Decision {
	if f := c.flows.get(p.Flow); f != nil {
		c.release(f)
	}
	if p.Flags.Has(RST) {
		return Decision{Reason: RouteDropped}
	}
	return Decision{Verdict: Reset, Reason: RouteDropped}
}

func (c *Core) forward(t *target, reason Reason) Decision {
	return Decision{
		Verdict: Forward, Reason: reason, Address: t.Address, Identity: t.Identity, Cookie: t.cookie,
		Target: t.Name, Service: t.Service, ActiveRequests: t.busy, Remote: t.DataCentre != c.settings.DataCentre,
	}
}

// open decides about an opening packet or a copy of one.
func (c *Core) open(now ids.Time, p *Packet) Decision {
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
		if t != nil && t.usable() && f.state == flowOpening && now.Sub(f.forwarded) < answerTime {
			// The answer may still be on its way: another target would give the
			// caller two answers for one flow.
			return c.forward(t, Repeated)
		}
		if t != nil && f.state == flowOpening {
			avoid = t
			c.failed(now, t, f.forwarded, "opening repeated")
			reason = Replaced
		}
		c.release(f)
	}
	t := c.choose(now, route.service(p.Flow), avoid, c.long(p.Flow.Service))
	if t == nil {
		return c.noTarget(now, route.service(p.Flow))
	}
	if t.trust.State() == chart.Suspected {
		t.retry(now) // one flow at a time tries a suspected target
	}
	d := c.forward(t, reason)
	f, evicted := c.flows.add(p.Flow)
	c.uncount(&evicted)
	f.state, f.target, f.run = flowOpening, t.index, t.run
	f.lastSeen, f.forwarded = now, now
	f.nextSeq = p.Seq + 1
	t.flows++
	c.openings.push(opening{flow: p.Flow, sent: now})
	return d
}

// noTarget tells the caller at once that its flow cannot be served, unless the
// records of live targets may have lapsed: then one may be there for the next copy
// of the opening packet.
func (c *Core) noTarget(now ids.Time, service ids.Service) Decision {
	d := Decision{Reason: NoTarget, Service: service}
	if c.learned != 0 && now.Sub(max(c.learned, c.outageEnd)) >= lapseGrace {
		d.Verdict = Reset
	}
	return d
}

// observe learns from a packet of an open flow and adds what it found to d.
func (c *Core) observe(now ids.Time, p *Packet, t *target, d *Decision) {
	f := c.flows.get(p.Flow)
	if f == nil {
		if p.Length == 0 || p.Flags.Has(FIN) || p.Flags.Has(RST) {
			return
		}
		// The flow came from another instance.
		var evicted flow
		f, evicted = c.flows.add(p.Flow)
		c.uncount(&evicted)
		f.state, f.target, f.run, f.nextSeq, f.ack = flowOpen, t.index, t.run, p.Seq, p.Ack
		t.flows++
		d.Adopted = true
	}
	f.lastSeen = now
	if c.target(f) != t {
		c.move(f, t)
	}
	if f.state == flowOpening {
		f.state, f.ack = flowOpen, p.Ack
		d.HandshakeTime = now.Sub(f.forwarded)
		c.alive(now, t)
	}
	if progress := int32(p.Ack - f.ack); progress > 0 && !p.Flags.Has(RST) {
		f.ack = p.Ack
		if f.busy {
			d.ResponseTime = now.Sub(f.requested)
		}
		c.alive(now, t)
		c.finish(f, t)
	}
	if p.Flags.Has(RST) || p.Flags.Has(FIN) {
		c.release(f)
		return
	}
	if p.Length > 0 {
		c.data(now, p, f, t, d)
	}
}

// data learns from a packet with request data.
func (c *Core) data(now ids.Time, p *Packet, f *flow, t *target, d *Decision) {
	end := p.Seq + uint32(p.Length)
	if int32(end-f.nextSeq) > 0 {
		f.nextSeq = end
		if !f.busy {
			f.busy, f.requested = true, now
			f.requests++
			t.addBusy(1)
		}
		return
	}
	if !f.busy || now.Sub(f.requested) < repeatTime {
		return // its packets came out of order
	}
	d.StalledFor = now.Sub(f.requested)
	if t.repeats++; t.repeats >= 2 {
		c.failed(now, t, f.requested, "data repeated")
	}
}

// repeatTime is the least time after which a caller repeats its data; its first
// repetition comes after 200 ms.
const repeatTime = 150 * time.Millisecond

// move counts f for another target than before.
func (c *Core) move(f *flow, t *target) {
	c.uncount(f)
	f.target, f.run, f.busy = t.index, t.run, false
	t.flows++
}

// finish ends the request in progress on f.
func (c *Core) finish(f *flow, t *target) {
	if f.busy {
		f.busy = false
		t.addBusy(-1)
	}
}

// uncount takes f off the load of its target.
func (c *Core) uncount(f *flow) {
	if f.state == flowFree {
		return
	}
	if t := c.target(f); t != nil {
		c.finish(f, t)
		t.flows--
	}
}

// target returns the target of f, nil if it was forgotten.
func (c *Core) target(f *flow) *target { return c.targets.at(f.target, f.run) }

// lengthWeight is the weight of one flow in the smoothed number of requests of
// the flows of a route, and longFlow the number above which its flows count as
// long.
const (
	lengthWeight = 0.05
	longFlow     = 1.5
)

// long reports whether flows to an address usually carry several requests. A
// route that is not known yet counts as long.
func (c *Core) long(to Endpoint) bool {
	length, known := c.lengths[to]
	return !known || length > longFlow
}

// release forgets f.
func (c *Core) release(f *flow) {
	if f.requests > 0 {
		length, known := c.lengths[f.key.Service]
		if !known {
			length = float64(f.requests)
		}
		c.lengths[f.key.Service] = length + lengthWeight*(float64(f.requests)-length)
	}
	c.uncount(f)
	c.flows.remove(f)
}
