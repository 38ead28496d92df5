package fanout

import (
	"cmp"
	"slices"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// routes holds the configuration and when each of its routes has changed, so that
// followers get the difference: a version with 1,500 routes takes a second to reach
// eight followers over a link of 10 Mbit/s.
//
// Versions may be skipped, so an instance can tell the difference only from
// versions that it has had itself: it does not know the routes of others.
type routes struct {
	config *passthrough.Config
	// step numbers the versions that this instance has had, in their order.
	step    uint64
	steps   map[uint64]uint64 // by version
	changed map[passthrough.Endpoint]uint64
	removed map[passthrough.Endpoint]uint64
}

// versionLimit is the number of versions, and of removed routes, that are
// remembered for followers.
const versionLimit = 1024

// version returns the version of the configuration, 0 for none.
func (r *routes) version() uint64 {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// apply records the version that an update carries, whole or as a difference, and
// returns the whole one, or nil for a difference from another version than the
// present one.
func (r *routes) apply(u *follow.Update) *passthrough.Config {
	config := u.Config
	if d := u.ConfigDelta; d != nil {
		if r.config == nil || d.Base != r.config.Version {
			return nil
		}
		config = merge(r.config, d)
	}
	old := map[passthrough.Endpoint]*passthrough.Route{}
	if r.config == nil || len(r.steps) >= versionLimit || len(r.removed) >= versionLimit {
		// Followers with an earlier version get this one as a whole.
		r.steps = map[uint64]uint64{}
		r.changed = map[passthrough.Endpoint]uint64{}
		r.removed = map[passthrough.Endpoint]uint64{}
	}
	if r.config != nil {
		for i := range r.config.Routes {
			old[r.config.Routes[i].Address] = &r.config.Routes[i]
		}
	}
	r.step++
	for i := range config.Routes {
		route := &config.Routes[i]
		if before := old[route.Address]; before == nil || !route.Equal(before) {
			r.changed[route.Address] = r.step
		}
		delete(old, route.Address)
		delete(r.removed, route.Address)
	}
	for at := range old {
		delete(r.changed, at)
		r.removed[at] = r.step
	}
	r.config = config
	r.steps[config.Version] = r.step
	return config
}

// since adds the present version for a follower that has an earlier one: the
// difference, if this instance has had that one too.
func (r *routes) since(version uint64, u *follow.Update) {
	if r.config == nil || r.config.Version == version {
		return
	}
	step, had := r.steps[version]
	if !had {
		u.Config = r.config
		return
	}
	d := &follow.ConfigDelta{Version: r.config.Version, Base: version, IdleTimeout: r.config.IdleTimeout, Health: r.config.Health}
	for i := range r.config.Routes {
		if r.changed[r.config.Routes[i].Address] > step {
			d.Routes = append(d.Routes, r.config.Routes[i])
		}
	}
	for at, removed := range r.removed {
		if removed > step {
			d.Removed = append(d.Removed, at)
		}
	}
	u.ConfigDelta = d
}

// merge returns the version that differs from old by d. The order of the routes
// is that of their addresses.
func merge(old *passthrough.Config, d *follow.ConfigDelta) *passthrough.Config {
	c := &passthrough.Config{Version: d.Version, IdleTimeout: d.IdleTimeout, Health: d.Health}
	replaced := make(map[passthrough.Endpoint]bool, len(d.Routes)+len(d.Removed))
	for i := range d.Routes {
		replaced[d.Routes[i].Address] = true
	}
	for _, at := range d.Removed {
		replaced[at] = true
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
