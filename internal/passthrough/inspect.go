package passthrough

import (
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
	Busy       int           // active requests from this instance
	Flows      int           // open flows from this instance
	Load       float64       // load per slot; the candidate with the lowest load is chosen
}

// Snapshot is a copy of the state of a core.
type Snapshot struct {
	Version uint64 // version of the configuration; 0 for none
	Routes  int
	Flows   int // entries of the flow table
	Targets []TargetState
}

// Snapshot returns a copy of the state of the core.
func (c *Core) Snapshot(now ids.Time) Snapshot {
	s := Snapshot{Version: c.routes.version, Routes: len(c.routes.routes), Flows: len(c.flows.index)}
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
		Cold: max(t.slowStartUntil.Sub(now), 0), Shadowed: t.shadowed, Busy: t.activeRequests, Flows: t.flows, Load: t.load(now),
	}
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
	Candidates []TargetState // all candidates for a new flow
}

var verdictNames = [...]string{Drop: "drop", Forward: "forward", Reset: "reset"}

func (v Verdict) String() string { return verdictNames[v] }

// Explain returns the decision that a packet of a flow would get now. A cookie of
// 0 stands for the opening packet of a new flow. The random state is restored, so
// that the call does not influence later choices.
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
	case route == nil:
		set(Reset, RouteDropped)
	case cookie != 0:
		t := c.targets.byCookie[cookie]
		if t == nil {
			set(Drop, UnknownCookie)
			break
		}
		set(Forward, KnownCookie)
		e.Target, e.Service = t.Name, t.Service
	default:
		e.Service = route.service(flow)
		if p := c.targets.pools[e.Service]; p != nil {
			e.Pressure = p.pressure
			for _, t := range slices.Concat(p.local, p.remote) {
				e.Candidates = append(e.Candidates, c.targetState(now, t))
			}
		}
		savedState := c.rngState
		t := c.choose(now, e.Service, nil, c.hasLongFlows(flow.Service))
		c.rngState = savedState
		if t == nil {
			set(Drop, NoTarget)
			break
		}
		set(Forward, Placed)
		e.Target = t.Name
	}
	return e
}
