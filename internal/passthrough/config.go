package passthrough

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Split is the share of a route's new flows that a service receives.
type Split struct {
	Service ids.Service
	Weight  uint32
}

// Route maps an address to the services that receive new flows to it. Small fields stand
// together: an instance keeps up to 6,800 routes, in two versions during a change.
type Route struct {
	Name       string
	Address    Endpoint
	Idempotent bool    // requests on this route may be executed more than once
	Priority   int8    `cbor:",omitempty"` // of its requests; 0 is the most urgent one
	Splits     []Split // a single entry sends all flows to one service
	Timeout    time.Duration
	// Goal is the response time that callers expect; 0 if none is set. While requests miss
	// their goals, new flows with a higher Priority are rejected first.
	Goal time.Duration `cbor:",omitempty"`
	// Regions are the only regions whose targets may get flows of this route; empty for
	// all.
	Regions []string `cbor:",omitempty"`
}

// allows reports whether targets in a region may get flows of r. The empty name stands for
// an unknown region.
func (r *Route) allows(region string) bool {
	return len(r.Regions) == 0 || region != "" && slices.Contains(r.Regions, region)
}

// Equal reports whether r and o are the same route with the same settings.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Idempotent == o.Idempotent && r.Timeout == o.Timeout &&
		slices.Equal(r.Splits, o.Splits) && slices.Equal(r.Regions, o.Regions) &&
		r.Goal == o.Goal && r.Priority == o.Priority
}

// ColdStart describes the time after its start in which a target runs requests slowly.
type ColdStart struct {
	Duration  time.Duration
	PerSecond float64 // requests a second that a target bears meanwhile; 0 for no limit
}

// Config is one version of the configuration.
type Config struct {
	Version     uint64
	Routes      []Route
	IdleTimeout time.Duration // idle time after which the state of a flow may be removed
	// Health maps each service to the path of its health check.
	Health map[ids.Service]string
	// ColdStarts are the cold starts of the targets of each service that declares one.
	ColdStarts map[ids.Service]ColdStart
	// Partial is set if it came from an instance of a former release, which drops what it
	// does not know. The complete configuration of the same version replaces it.
	Partial bool `cbor:"-"`
}

// routeTable holds the routes of the active configuration version. It never
// reverts to an older version.
type routeTable struct {
	version     uint64
	partial     bool
	idleTimeout time.Duration
	routes      map[Endpoint]*Route
	health      map[ids.Service]string
	coldStarts  map[ids.Service]ColdStart
	priorities  map[ids.Service][]int8 // of the routes with a goal, without duplicates, the least urgent first
}

// apply activates c and returns true if c is newer than the active version.
func (t *routeTable) apply(c *Config) bool {
	completes := t.partial && !c.Partial && c.Version == t.version
	if t.routes != nil && c.Version <= t.version && !completes {
		return false
	}
	t.version, t.partial, t.idleTimeout = c.Version, c.Partial, c.IdleTimeout
	t.health, t.coldStarts = c.Health, c.ColdStarts
	t.routes = make(map[Endpoint]*Route, len(c.Routes))
	for i := range c.Routes {
		t.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	t.priorities = c.priorities()
	return true
}

// service returns the service for a new flow on r. The choice depends only on the
// flow key, so all instances choose the same service for copies of an opening
// packet.
func (r *Route) service(flow FlowKey) ids.Service {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := uint64(0)
	for _, s := range r.Splits {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	position := flow.Hash() % total
	for _, s := range r.Splits {
		if position < uint64(s.Weight) {
			return s.Service
		}
		position -= uint64(s.Weight)
	}
	return ""
}

// priorities returns the priorities of the routes with a goal, by service, without
// duplicates, the least urgent first.
func (c *Config) priorities() map[ids.Service][]int8 {
	all := map[ids.Service][]int8{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Goal <= 0 {
			continue
		}
		for _, s := range r.Splits {
			all[s.Service] = append(all[s.Service], r.Priority)
		}
	}
	for service, list := range all {
		slices.Sort(list)
		list = slices.Compact(list)
		slices.Reverse(list)
		all[service] = list
	}
	return all
}
