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

// Route says to which services new flows to an address go.
type Route struct {
	Name       string
	Address    Endpoint
	Splits     []Split // one entry where all flows go to one service
	Idempotent bool    // requests inside may run more than once
	Timeout    time.Duration
}

// Equal reports whether r and o say the same.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Idempotent == o.Idempotent && r.Timeout == o.Timeout &&
		slices.Equal(r.Splits, o.Splits)
}

// Config is one version of the configuration.
type Config struct {
	Version     uint64
	Routes      []Route
	IdleTimeout time.Duration // a flow that is idle for longer may be forgotten
	// Health holds the path of the health check of each service.
	Health map[ids.Service]string
}

// routeTable holds the routes of the version in force. It never goes back to an
// older version.
type routeTable struct {
	version uint64
	idle    time.Duration
	routes  map[Endpoint]*Route
	health  map[ids.Service]string
}

// apply puts c in force unless it is not newer than the present version.
func (t *routeTable) apply(c *Config) bool {
	if t.routes != nil && c.Version <= t.version {
		return false
	}
	t.version, t.idle, t.health = c.Version, c.IdleTimeout, c.Health
	t.routes = make(map[Endpoint]*Route, len(c.Routes))
	for i := range c.Routes {
		t.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	return true
}

// service returns the service for a new flow on r. The choice depends on the
// flow alone, so that copies of an opening packet agree at every instance.
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
	at := flow.Hash() % total
	for _, s := range r.Splits {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return ""
}
