package core

import (
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// Revision returns the configuration revision in force.
func (c *Core) Revision() ids.Revision { return c.configStore.Revision() }

// Services appends the configured services to dst in order of name.
func (c *Core) Services(dst []config.Service) []config.Service {
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[name]; !s.removed && s.config != nil {
			dst = append(dst, s.config.Service)
		}
	}
	return dst
}

// ServiceDetail is the configuration of a service and the state of its backend
// servers and partners at this instance.
type ServiceDetail struct {
	Service  ids.Service
	Profile  string
	Revision ids.Revision
	Targets  []spread.TargetState // owned targets only
	Partners []PartnerState
}

// PartnerState is the configured share and the current demand of one partner of
// a service.
type PartnerState struct {
	Partner ids.Partner
	Weight  uint32
	Share   float64 // fraction of the slots while all partners have demand, 0 to 1
	// Demand is the number of requests that run or wait here now: the slots
	// that the partner would use at once. Rejected requests are not part of it.
	Demand float64
}

// ServiceDetails returns the details of all configured services in order of
// name. It allocates.
func (c *Core) ServiceDetails() []ServiceDetail {
	var list []ServiceDetail
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if s.removed || s.config == nil {
			continue
		}
		d := ServiceDetail{Service: name, Profile: s.config.Profile.Name, Revision: s.config.Revision}
		if pool := c.slotTable.Pool(name); pool != nil {
			d.Targets = pool.Targets(nil)
		}
		demand := make(map[ids.Partner]float64)
		for _, r := range c.liveRequests {
			if r.svc == s {
				demand[s.partners[r.partner].Name]++
			}
		}
		total := 0.0
		for _, p := range s.config.Profile.Partners {
			total += float64(p.Weight)
		}
		for _, p := range s.config.Profile.Partners {
			d.Partners = append(d.Partners, PartnerState{
				Partner: p.Name, Weight: p.Weight, Share: float64(p.Weight) / max(total, 1), Demand: demand[p.Name],
			})
		}
		list = append(list, d)
	}
	return list
}
