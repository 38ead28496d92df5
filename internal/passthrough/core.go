package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/coldlimit"
	"arbutusdock.example/arbutusdock/internal/hedge"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/overload"
)

// Settings are the parameters of a Core.
type Settings struct {
	DataCentre        ids.DataCentre    // data centre of this instance
	Regions           map[string]string // region of each data centre; a data centre without one counts as the same region
	MaxFlows          int               // limit of the flow table, FlowBytes per entry
	FlowLifetime      time.Duration     // time after which the state of a flow may be removed
	HeartbeatInterval time.Duration     // interval at which targets refresh their records
	Seed              uint64            // seed of the pseudo-random choices
	// A cold target gets at most ColdExcess times the requests a second that it bears, and
	// ColdSlack more, from all instances together.
	ColdExcess, ColdSlack float64
	// ExtraOpenings is the largest number of openings to a second target for each new flow;
	// 0 for none.
	ExtraOpenings float64
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
	resets          []FlowReset          // not taken yet
	removals        []removal            // removed targets whose cookies are kept for their open flows
	requestsPerFlow map[Endpoint]float64 // by route address: moving average of the requests per flow

	isolation isolation

	overload map[ids.Service]*overload.Controller

	handshakes    hedge.Latency
	budget        hedge.Budget   // of openings to a second target
	extraOpenings []extraOpening // not taken yet

	instanceCount  int // instances that share the callers of the data centre
	members        coldlimit.View
	membersVersion uint32 // changes with members

	currentAt           ids.Time // nothing that was published before then is missing
	lastAlive           ids.Time // when any target last proved that it is alive
	listReceivedAt      ids.Time // when the first complete list of targets arrived
	platformRecoveredAt ids.Time // when the platform last answered again after an outage
	lastSweep           ids.Time
}

// removal records when a target was removed.
type removal struct {
	name      string
	startedAt int64
	removedAt ids.Time
}

// New returns a core that has no configuration and no targets.
func New(s Settings) *Core {
	return &Core{settings: s, targets: newTargetTable(s.DataCentre, s.Regions), requestsPerFlow: map[Endpoint]float64{}, overload: map[ids.Service]*overload.Controller{}, instanceCount: 1, budget: newBudget(&s), flows: newFlowTable(max(s.MaxFlows, 1)), rngState: s.Seed}
}

// Verdict is the action to take on a packet.
type Verdict uint8

// Possible verdicts on a packet.
const (
	Drop Verdict = iota
	Forward
	Reset // send a reset to the caller
)

// Reason is the cause of a decision.
type Reason uint8

// Possible reasons of a decision.
const (
	KnownCookie       Reason = iota // the cookie identifies the target
	Placed                          // a new flow was placed on a target
	Replaced                        // a copy of an opening packet is sent to another target
	Repeated                        // a copy of an opening packet is sent to the same target
	NoConfig                        // no configuration has been received yet
	NoRoute                         // there is no route for this address
	RouteDropped                    // the route of the open flow has been removed
	NoTarget                        // the service has no target
	RouteUnconfirmed                // no route for an address in use is known, but one may have been added
	UnknownCookie                   // the cookie identifies no known target
	NoCookie                        // the packet is not an opening packet and has no cookie
	TargetGone                      // the target of the open flow has terminated
	TargetUnreachable               // the target of the open flow is unreachable
	TargetUnconfirmed               // the target of the open flow seems gone or unreachable, but may have started again
	AllEvacuated                    // all targets of the service are in evacuated data centres
	NoTargetInRegion                // no target of the service is in a region that the route allows
	ColdLimited                     // all targets of the service are cold and get no more requests now
	Overloaded                      // requests of the service miss their goals, and this one is less urgent than others
	Extra                           // an opening is sent to a second target, as the first one has not answered
	reasonCount
)

// NumReasons is the number of reasons.
const NumReasons = int(reasonCount)

var reasonNames = [...]string{"known", "placed", "replaced", "repeated", "no_config", "no_route", "route_dropped", "no_target", "route_unconfirmed", "unknown_cookie", "no_cookie", "target_gone", "target_unreachable", "target_unconfirmed", "all_evacuated", "no_target_in_region", "cold_limited", "overloaded", "extra"}

func (r Reason) String() string { return reasonNames[r] }

// Decision specifies how to handle a packet. A forwarded packet is sent to Address
// with Identity as its destination. If Reason is Placed, Replaced or Repeated,
// Cookie is written into the packet.
type Decision struct {
	Verdict        Verdict
	Reason         Reason
	Address        Endpoint
	Identity       uint64
	Cookie         Cookie
	Target         string      // name of the target, for logs
	Service        ids.Service // service of the target, for logs
	ActiveRequests int         // active requests of this instance at the target before this decision
	Remote         bool        // the target is in another data centre
	Adopted        bool        // the flow had no entry in the flow table: another instance forwarded its earlier packets

	// OpenedElsewhere is set when another target than the one chosen first has answered the
	// opening of the flow.
	OpenedElsewhere bool

	// HandshakeTime is the time from the opening packet to the caller's first
	// packet after the target's answer. ResponseTime is the time from a request to
	// the caller's acknowledgement of the first response byte. Both are 0 for
	// other packets.
	HandshakeTime, ResponseTime time.Duration
	// StalledFor is the time since the request whose data the caller retransmits
	// with this packet; 0 for other packets.
	StalledFor time.Duration
}

// HandlePacket returns the decision on one packet of a caller.
func (c *Core) HandlePacket(now ids.Time, p *Packet) Decision {
	c.expireOpenings(now)
	if p.isOpening() {
		return c.placeFlow(now, p)
	}
	if p.Cookie == 0 {
		return Decision{Reason: NoCookie}
	}
	f, t := c.flows.get(p.Flow), c.targets.byCookie[p.Cookie]
	verdict, reason := c.judge(now, p, f, t)
	if verdict == Reset {
		return c.resetFlow(now, f, t, reason)
	}
	if f == nil && reason.unconfirmed() {
		f = c.adopt(now, p, t) // remembers when its first packet arrived
	}
	if verdict == Drop {
		return Decision{Reason: reason}
	}
	d := c.forwardTo(t, reason)
	c.observePacket(now, p, f, t, &d)
	return d
}

func (c *Core) forwardTo(t *target, reason Reason) Decision {
	return Decision{
		Verdict: Forward, Reason: reason, Address: t.Address, Identity: t.Identity, Cookie: t.cookie,
		Target: t.Name, Service: t.Service, ActiveRequests: t.activeRequests, Remote: t.DataCentre != c.settings.DataCentre,
	}
}

// placeFlow returns the decision on an opening packet or a copy of one.
func (c *Core) placeFlow(now ids.Time, p *Packet) Decision {
	if c.routes.routes == nil {
		return Decision{Reason: NoConfig}
	}
	route := c.routes.routes[p.Flow.Service]
	if route == nil {
		if p.Ack > 0 {
			// Another instance may have forwarded the first one, and its target may
			// answer yet.
			return Decision{Reason: RouteUnconfirmed}
		}
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	f := c.flows.get(p.Flow)
	reason := Placed
	var avoid *target
	if f != nil {
		t := c.target(f)
		if t != nil && t.usable() && route.allows(c.targets.regionOf(t)) && f.state == flowOpening && now.Sub(f.forwardedAt) < openingTimeout {
			// The answer may still be in transit. With a second target the caller
			// would get two answers for one flow.
			return c.forwardTo(t, Repeated)
		}
		if t != nil && f.state == flowOpening {
			avoid = t
			c.recordFailure(now, t, f.forwardedAt, "opening repeated")
			reason = Replaced
		}
		c.removeFlow(f)
	}
	wanted := placement{route, route.service(p.Flow), avoid, c.hasLongFlows(p.Flow.Service)}
	if reason == Placed && c.overloaded(now, &wanted, p.Flow) {
		return Decision{Verdict: Reset, Reason: Overloaded, Service: wanted.service}
	}
	t := c.choose(now, &wanted)
	if t == nil {
		return c.noTargetDecision(now, &wanted, p.Ack)
	}
	if t.suspicion.State() == chart.Suspected {
		t.scheduleRetry(now) // only one flow at a time is placed on a suspected target
	}
	c.countColdRequests(now, t, route)
	d := c.forwardTo(t, reason)
	f, evicted := c.flows.add(p.Flow)
	c.subtractLoad(&evicted)
	f.state, f.target, f.generation = flowOpening, t.index, t.generation
	f.lastSeen, f.forwardedAt = now, now
	f.nextSeq = p.Seq + 1
	t.flows++
	o := pendingOpening{flow: p.Flow, sentAt: now}
	if len(p.Raw) <= MaxOpeningBytes {
		o.size = uint8(copy(o.raw[:], p.Raw))
	}
	c.openings.push(o)
	c.budget.Earn()
	return d
}

// noTargetDecision resets a new flow whose service has no target. Within
// recordGracePeriod after the first list of targets or after an outage of the
// platform it drops the packet instead: the records of live targets may have
// expired, and one may have been published again when the next copy of the opening
// packet arrives. It also drops it while a cold target may get the next copy. attempt is
// the number of the copy.
func (c *Core) noTargetDecision(now ids.Time, flow *placement, attempt uint32) Decision {
	d := Decision{Reason: NoTarget, Service: flow.service}
	if p := c.targets.pools[flow.service]; p != nil {
		if room, limited := c.nextColdRoom(now, p, flow.route); limited {
			d.Reason = ColdLimited
			if room.Sub(now) > timeToLastCopy(attempt) {
				d.Verdict = Reset
			}
			return d
		}
		switch {
		case len(flow.route.Regions) > 0 && !p.empty():
			d.Reason = NoTargetInRegion
		case p.evacuated > 0:
			d.Reason = AllEvacuated
		}
	}
	if c.listReceivedAt != 0 && now.Sub(max(c.listReceivedAt, c.platformRecoveredAt)) >= recordGracePeriod {
		d.Verdict = Reset
	}
	return d
}

// observePacket updates the state of a flow and its target t from a packet of an
// open flow, and fills in the measurements in d. f is the flow, or nil if the table does
// not have it.
func (c *Core) observePacket(now ids.Time, p *Packet, f *flow, t *target, d *Decision) {
	if f == nil || f.state == flowReset {
		if p.Length == 0 || p.Flags.Has(FIN) || p.Flags.Has(RST) {
			return
		}
		f = c.adopt(now, p, t)
		d.Adopted = true
	}
	f.lastSeen = now
	if f.state == flowOpening {
		f.state, f.ack = flowOpen, p.Ack
		c.recordHandshake(now, f, t, d)
		c.markAlive(now, t)
	}
	if c.target(f) != t {
		c.reassignFlow(now, f, t)
	}
	if progress := int32(p.Ack - f.ack); progress > 0 && !p.Flags.Has(RST) {
		f.ack = p.Ack
		if f.requestActive {
			d.ResponseTime = now.Sub(f.requestedAt)
			c.observeResponse(now, f, t, d.ResponseTime)
		}
		c.markAlive(now, t)
		c.finishRequest(f, t)
	}
	if p.Flags.Has(RST) || p.Flags.Has(FIN) {
		if !d.Reason.unconfirmed() { // the caller's next FIN may have to be reset
			c.removeFlow(f)
		}
		return
	}
	if p.Length > 0 {
		c.observeData(now, p, f, t, d)
	}
}

// observeData updates the state of f and t from a packet with request data.
func (c *Core) observeData(now ids.Time, p *Packet, f *flow, t *target, d *Decision) {
	end := p.Seq + uint32(p.Length)
	if int32(end-f.nextSeq) > 0 {
		f.nextSeq = end
		if !f.requestActive {
			f.requestActive, f.requestedAt = true, now
			f.requests++
			t.addActiveRequests(1)
		}
		return
	}
	if !f.requestActive || now.Sub(f.requestedAt) < minRetransmitTime {
		return // the packets of the request arrived out of order
	}
	d.StalledFor = now.Sub(f.requestedAt)
	t.addStalled(c.routes.routes[f.key.Service], f.key)
	if t.retransmits++; t.retransmits >= 2 {
		c.recordFailure(now, t, f.requestedAt, "data repeated")
	}
}

// minRetransmitTime is the age of a request from which old data counts as a
// retransmission instead of reordering. Callers first retransmit after 200 ms.
const minRetransmitTime = 150 * time.Millisecond

// adopt adds a flow that was opened at another instance, or replaces its entry. t is its
// target, or nil if its cookie is unknown.
func (c *Core) adopt(now ids.Time, p *Packet, t *target) *flow {
	if f := c.flows.get(p.Flow); f != nil {
		c.removeFlow(f)
	}
	f, evicted := c.flows.add(p.Flow)
	c.subtractLoad(&evicted)
	f.state, f.nextSeq, f.ack = flowAdopted, p.Seq, p.Ack
	f.lastSeen, f.forwardedAt = now, now
	if t != nil {
		f.target, f.generation = t.index, t.generation
		t.flows++
	}
	return f
}

// reassignFlow moves the load of f from its former target to t, which another instance
// has chosen.
func (c *Core) reassignFlow(now ids.Time, f *flow, t *target) {
	c.subtractLoad(f)
	f.target, f.generation, f.requestActive = t.index, t.generation, false
	t.flows++
	if f.state != flowAdopted {
		f.state, f.forwardedAt = flowAdopted, now
	}
}

// finishRequest ends the active request of f.
func (c *Core) finishRequest(f *flow, t *target) {
	if f.requestActive {
		f.requestActive = false
		t.addActiveRequests(-1)
	}
}

// subtractLoad removes f from the load of its target.
func (c *Core) subtractLoad(f *flow) {
	if f.state == flowFree || f.state == flowReset {
		return
	}
	if t := c.target(f); t != nil {
		c.finishRequest(f, t)
		t.flows--
	}
}

// target returns the target of f, or nil if the target's state has been deleted.
func (c *Core) target(f *flow) *target { return c.targets.byIndex(f.target, f.generation) }

// requestsPerFlowWeight is the weight of one flow in the moving average of the
// requests per flow of a route. Above longFlowRequests the flows of a route count
// as long.
const (
	requestsPerFlowWeight = 0.05
	longFlowRequests      = 1.5
)

// hasLongFlows reports whether flows to an address usually carry several
// requests. It returns true for an address without an average yet.
func (c *Core) hasLongFlows(to Endpoint) bool {
	average, known := c.requestsPerFlow[to]
	return !known || average > longFlowRequests
}

// averageWith returns the average number of requests per flow of the route of f once f,
// which has had some, has ended.
func (c *Core) averageWith(f *flow) float64 {
	average, known := c.requestsPerFlow[f.key.Service]
	if !known {
		return float64(f.requests)
	}
	return average + requestsPerFlowWeight*(float64(f.requests)-average)
}

// removeFlow removes f from the flow table and from the load of its target, and
// adds it to the average number of requests per flow.
func (c *Core) removeFlow(f *flow) {
	c.endFlow(f)
	c.flows.remove(f)
}

// endFlow removes f from the load of its target, and adds it to the average number of
// requests per flow. The entry of f remains.
func (c *Core) endFlow(f *flow) {
	if f.requests > 0 && c.routes.routes[f.key.Service] != nil {
		c.requestsPerFlow[f.key.Service] = c.averageWith(f)
	}
	c.subtractLoad(f)
	f.requests, f.state = 0, flowReset
}
