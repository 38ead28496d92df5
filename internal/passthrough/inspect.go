package passthrough

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// TargetState is the state that a core holds of a target.
type TargetState struct {
	Name       string
	Service    ids.Service
	Address    string
	DataCentre ids.DataCentre
	Cookie     Cookie
	Lifecycle  string
	Suspected  bool
	RetryIn    time.Duration // time until a suspected target may get a flow again
	Cold       time.Duration // remaining time of the slow start
	Shadowed   bool          // gets no flows because an older target has the same cookie
	Withheld   string        // why it gets no new flows; empty if it may get some
	Busy       int           // active requests from this instance
	Flows      int           // open flows from this instance
	Load       float64       // load per slot; the candidate with the lowest load is chosen
}

// Snapshot is a copy of the state of a core.
type Snapshot struct {
	Version uint64 // version of the configuration; 0 for none
	Routes  int
	Flows   int // entries of the flow table
	// CurrentAge is the time since the state was known to be the current one. Flows of other
	// instances whose first packet arrived since then are not reset.
	CurrentAge time.Duration
	Targets    []TargetState
	// Evacuations are the evacuations in force, by data centre.
	Evacuations []EvacuationState
	Overload    []OverloadState
	ExtraDelay  time.Duration // time after which an opening is sent to a second target; 0 if it is not
}

// EvacuationState describes an evacuation in force.
type EvacuationState struct {
	Evacuation
	Age time.Duration // since this instance learned of it
}

// Snapshot returns a copy of the state of the core.
func (c *Core) Snapshot(now ids.Time) Snapshot {
	s := Snapshot{Version: c.routes.version, Routes: len(c.routes.routes), Flows: len(c.flows.index), CurrentAge: now.Sub(c.currentAt), Overload: c.overloadStates(), ExtraDelay: c.extraDelay()}
	for _, e := range c.targets.evacuated {
		s.Evacuations = append(s.Evacuations, EvacuationState{e.Evacuation, now.Sub(e.since)})
	}
	slices.SortFunc(s.Evacuations, func(a, b EvacuationState) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	for _, t := range c.targets.slots {
		if t != nil {
			s.Targets = append(s.Targets, c.targetState(now, t))
		}
	}
	return s
}

func (c *Core) targetState(now ids.Time, t *target) TargetState {
	return TargetState{
		Name: t.Name, Service: t.Service, Address: t.Address.String(), DataCentre: t.DataCentre, Cookie: t.cookie,
		Lifecycle: c.lifecycleName(t), Suspected: t.suspicion.State() == chart.Suspected, RetryIn: max(t.retryAt.Sub(now), 0),
		Cold: max(t.coldUntil().Sub(now), 0), Shadowed: t.shadowed, Withheld: c.withheldReason(now, t), Busy: t.activeRequests, Flows: t.flows, Load: t.load(now),
	}
}

// withheldReason returns why t gets no new flows, or "" if it may get some.
func (c *Core) withheldReason(now ids.Time, t *target) string {
	switch {
	case t.shadowed:
		return "cookie of an older target"
	case t.addressReused:
		return "another target has its address"
	case !t.serving():
		return c.lifecycleName(t)
	case t.evacuated:
		return "data centre evacuated"
	case t.excluded(now):
		return "suspected"
	}
	return c.coldReason(now, t)
}

// Explanation describes the decision that a packet would get now.
type Explanation struct {
	Verdict    string
	Reason     string
	Route      string
	Service    ids.Service
	Version    uint64
	Pressure   float64       // smoothed number of active requests per slot of the local data centre
	Target     string        // target that the packet would be forwarded to
	Candidates []TargetState // all targets of the service, for a new flow
}

var verdictNames = [...]string{Drop: "drop", Forward: "forward", Reset: "reset"}

func (v Verdict) String() string { return verdictNames[v] }

// Explain returns the decision that a packet of a flow would get now: its opening packet
// for a cookie of 0, otherwise a packet with request data. It changes no state.
func (c *Core) Explain(now ids.Time, flow FlowKey, cookie Cookie) Explanation {
	e := Explanation{Version: c.routes.version, Verdict: Drop.String()}
	set := func(v Verdict, r Reason) { e.Verdict, e.Reason = v.String(), r.String() }
	route := c.routes.routes[flow.Service]
	if route != nil {
		e.Route = route.Name
	}
	switch {
	case c.routes.routes == nil:
		set(Drop, NoConfig)
	case route == nil && cookie == 0:
		set(Reset, NoRoute)
	case cookie != 0:
		t := c.targets.byCookie[cookie]
		if t != nil {
			e.Target, e.Service = t.Name, t.Service
		}
		set(c.judge(now, &Packet{Flow: flow, Cookie: cookie, Length: 1}, c.flows.get(flow), t))
	default:
		c.explainPlacement(now, flow, route, &e)
	}
	return e
}

// explainPlacement sets the decision on the opening packet of a flow.
func (c *Core) explainPlacement(now ids.Time, flow FlowKey, route *Route, e *Explanation) {
	e.Service = route.service(flow)
	p := c.targets.pools[e.Service]
	if p != nil {
		e.Pressure = p.pressure
	}
	for _, t := range c.targets.slots {
		if t == nil || t.Service != e.Service {
			continue
		}
		s := c.targetState(now, t)
		if s.Withheld == "" && !route.allows(c.targets.regionOf(t)) {
			s.Withheld = "region not allowed"
		}
		e.Candidates = append(e.Candidates, s)
	}
	reason, wanted := Placed, placement{route: route, service: e.Service, long: c.hasLongFlows(flow.Service)}
	if f := c.flows.get(flow); f != nil {
		t := c.target(f)
		switch {
		case f.state != flowOpening || t == nil:
		case t.usable() && route.allows(c.targets.regionOf(t)) && now.Sub(f.forwardedAt) < openingTimeout:
			e.Verdict, e.Reason, e.Target = Forward.String(), Repeated.String(), t.Name
			return
		default:
			reason, wanted.avoid = Replaced, t
		}
		if f.requests > 0 {
			wanted.long = c.averageWith(f) > longFlowRequests
		}
		if t != nil && f.state != flowReset { // the flow ends with a new opening
			defer t.withoutFlow(f)()
		}
	}
	if o, class := c.admissionClass(&wanted); o != nil && reason == Placed && drawOf(flow) < o.RejectedShare(class) {
		e.Verdict, e.Reason = Reset.String(), Overloaded.String()
		return
	}
	random := c.rngState
	var pressure float64
	var updatedAt ids.Time
	if p != nil {
		pressure, updatedAt = p.pressure, p.updatedAt
	}
	t := c.choose(now, &wanted)
	c.rngState = random
	if p != nil {
		p.pressure, p.updatedAt = pressure, updatedAt
	}
	if t == nil {
		d := c.noTargetDecision(now, &wanted, 0)
		e.Verdict, e.Reason = d.Verdict.String(), d.Reason.String()
		return
	}
	e.Verdict, e.Reason, e.Target = Forward.String(), reason.String(), t.Name
}

// withoutFlow removes the load of f from t and returns a function that adds it again.
func (t *target) withoutFlow(f *flow) (undo func()) {
	requests := 0
	if f.requestActive {
		requests = 1
	}
	t.flows--
	t.addActiveRequests(-requests)
	return func() {
		t.flows++
		t.addActiveRequests(requests)
	}
}
