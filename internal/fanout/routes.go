package fanout

import (
	"cmp"
	"slices"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// configHistory holds the current configuration and records when each route
// changed, so that followers receive only the delta: a full version with 1,500 routes
// takes a second to reach eight followers over a link of 10 Mbit/s.
//
// An instance may skip versions. It can therefore compute a delta only from versions
// that it has applied itself, as it does not have the routes of the others.
type configHistory struct {
	config *passthrough.Config
	// sequence numbers the versions that this instance has applied, in order.
	sequence  uint64
	sequences map[uint64]uint64               // sequence number by version
	changed   map[passthrough.Endpoint]uint64 // sequence number of the last change by address of the route
	removed   map[passthrough.Endpoint]uint64 // sequence number of the removal by address of the route
}

// historyLimit bounds the number of versions, and of removed routes, that are kept to
// compute deltas for followers.
const historyLimit = 1024

// version returns the version of the configuration, 0 for none.
func (h *configHistory) version() uint64 {
	if h.config == nil {
		return 0
	}
	return h.config.Version
}

// apply records the configuration of an update, complete or as a delta, and returns
// the complete configuration. It returns nil for a delta whose base is not the
// current version.
func (h *configHistory) apply(u *follow.Update) *passthrough.Config {
	config := u.Config
	if d := u.ConfigDelta; d != nil {
		if h.config == nil || d.Base != h.config.Version {
			return nil
		}
		config = applyDelta(h.config, d)
	}
	old := map[passthrough.Endpoint]*passthrough.Route{}
	if h.config == nil || len(h.sequences) >= historyLimit || len(h.removed) >= historyLimit {
		// Followers with an earlier version receive the complete configuration.
		h.sequences = map[uint64]uint64{}
		h.changed = map[passthrough.Endpoint]uint64{}
		h.removed = map[passthrough.Endpoint]uint64{}
	}
	if h.config != nil {
		for i := range h.config.Routes {
			old[h.config.Routes[i].Address] = &h.config.Routes[i]
		}
	}
	h.sequence++
	for i := range config.Routes {
		route := &config.Routes[i]
		if previous := old[route.Address]; previous == nil || !route.Equal(previous) {
			h.changed[route.Address] = h.sequence
		}
		delete(old, route.Address)
		delete(h.removed, route.Address)
	}
	for address := range old {
		delete(h.changed, address)
		h.removed[address] = h.sequence
	}
	h.config = config
	h.sequences[config.Version] = h.sequence
	return config
}

// addChanges adds the current configuration to an update for a follower that has
// another version: as a delta if this instance has applied that version too, otherwise
// in full.
func (h *configHistory) addChanges(version uint64, u *follow.Update) {
	if h.config == nil || h.config.Version == version {
		return
	}
	base, known := h.sequences[version]
	if !known {
		u.Config = h.config
		return
	}
	d := &follow.ConfigDelta{Version: h.config.Version, Base: version, IdleTimeout: h.config.IdleTimeout, Health: h.config.Health, ColdStarts: h.config.ColdStarts}
	for i := range h.config.Routes {
		if h.changed[h.config.Routes[i].Address] > base {
			d.Routes = append(d.Routes, h.config.Routes[i])
		}
	}
	for address, removedAt := range h.removed {
		if removedAt > base {
			d.Removed = append(d.Removed, address)
		}
	}
	u.ConfigDelta = d
}

// applyDelta returns the configuration that results from applying d to old, with the
// routes ordered by address.
func applyDelta(old *passthrough.Config, d *follow.ConfigDelta) *passthrough.Config {
	c := &passthrough.Config{Version: d.Version, IdleTimeout: d.IdleTimeout, Health: d.Health, ColdStarts: d.ColdStarts}
	replaced := make(map[passthrough.Endpoint]bool, len(d.Routes)+len(d.Removed))
	for i := range d.Routes {
		replaced[d.Routes[i].Address] = true
	}
	for _, address := range d.Removed {
		replaced[address] = true
	}
	for i := range old.Routes {
		if !replaced[old.Routes[i].Address] {
			c.Routes = append(c.Routes, old.Routes[i])
		}
	}
	c.Routes = append(c.Routes, d.Routes...)
	slices.SortFunc(c.Routes, func(a, b passthrough.Route) int {
		return cmp.Or(slices.Compare(a.Address.IP[:], b.Address.IP[:]), cmp.Compare(a.Address.Port, b.Address.Port))
	})
	return c
}
