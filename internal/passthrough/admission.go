package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/overload"
)

// observeResponse records the response time of a request at t.
func (c *Core) observeResponse(now ids.Time, f *flow, t *target, took time.Duration) {
	route := c.routes.routes[f.key.Service]
	if route == nil || route.Goal <= 0 {
		return
	}
	o := c.overload[t.Service]
	if o == nil {
		o = &overload.Controller{}
		c.overload[t.Service] = o
	}
	o.Observe(now, took, route.Goal)
}

// overloaded reports whether a new flow is rejected because requests of its service miss
// their goals. Flows are drawn by their hash.
func (c *Core) overloaded(now ids.Time, wanted *placement, flow FlowKey) bool {
	o, class := c.admissionClass(wanted)
	p := c.targets.pools[wanted.service]
	if o == nil || p == nil || p.slots == 0 {
		return false
	}
	classes := len(c.routes.priorities[wanted.service])
	return o.Rejects(now, class, classes, p.updatePressure(now, c.instanceCount), drawOf(flow))
}

// admissionClass returns the controller of the service and the class of the route, or nil
// if flows of the route are not rejected for others.
func (c *Core) admissionClass(wanted *placement) (o *overload.Controller, class int) {
	if wanted.route.Goal <= 0 {
		return nil, 0
	}
	class = slices.Index(c.routes.priorities[wanted.service], wanted.route.Priority)
	return c.overload[wanted.service], class
}

// drawOf returns a number from 0 to 1 that spreads the rejections over the flows.
func drawOf(flow FlowKey) float64 { return float64(flow.Hash()) / math.MaxUint64 }

// OverloadState is the share of the new flows of a priority that is rejected.
type OverloadState struct {
	Service       ids.Service
	Priority      int
	RejectedShare float64
}

// overloadStates returns the rejected shares of all services with a goal.
func (c *Core) overloadStates() (list []OverloadState) {
	for service, priorities := range c.routes.priorities {
		for class, priority := range priorities {
			if o := c.overload[service]; o != nil {
				list = append(list, OverloadState{service, int(priority), o.RejectedShare(class)})
			}
		}
	}
	slices.SortFunc(list, func(a, b OverloadState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}
