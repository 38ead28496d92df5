package spread

import (
	"cmp"
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// Table holds the slot owners of the services of one data centre, and the
// pools of the slots that self owns.
type Table struct {
	self      ids.Instance
	dc        ids.DataCentre
	seed      uint64
	instances []instance // sorted by id
	services  map[ids.Service]*service
	pools     []*service // with a pool, in order of name
}

// service is one service as seen from this data centre.
type service struct {
	name    ids.Service
	profile config.Profile
	targets map[ids.Target]*serviceTarget
	assignment
	homes   homeSelector
	owners  []ids.Instance
	pool    *Pool
	removed bool
}

// member is a target of a service, owned or not. since is when it was added
// to a service that was already known; it is 0 for a target that was there
// when this instance first saw the service, which is taken as established.
type serviceTarget struct {
	config.Target
	addedAt        ids.Time
	placementIndex int // index in assignment.targets
}

// NewTable returns an empty table for instance self in data centre dc. seed
// sets the phase of health checks; it has no influence on ownership.
func NewTable(self ids.Instance, dc ids.DataCentre, seed uint64) *Table {
	return &Table{self: self, dc: dc, seed: seed, services: make(map[ids.Service]*service)}
}

// SetInstances replaces the serving and trusted instances of the data centre.
// Only services whose ownership the change can affect are computed again.
func (t *Table) SetInstances(now ids.Time, serving []ids.Instance) {
	next := make([]instance, 0, len(serving))
	for _, id := range serving {
		next = append(next, instance{id, ids.Hash(string(id))})
	}
	slices.SortFunc(next, func(a, b instance) int { return cmp.Compare(a.id, b.id) })
	next = slices.CompactFunc(next, func(a, b instance) bool { return a.id == b.id })
	joined, left := difference(next, t.instances), difference(t.instances, next)
	t.instances = next
	if len(joined)+len(left) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		if s.affectedBy(len(next), joined, left) {
			t.reassign(now, s)
		}
	}
}

// difference returns the elements of a that are not in b; both are sorted.
func difference(a, b []instance) []instance {
	var d []instance
	for _, x := range a {
		if _, found := slices.BinarySearchFunc(b, x, func(e, x instance) int { return cmp.Compare(e.id, x.id) }); !found {
			d = append(d, x)
		}
	}
	return d
}

// SetService adds or replaces a service. Targets of other data centres and
// targets without slots are left out.
func (t *Table) SetService(now ids.Time, r *config.Resolved) {
	s := t.services[r.Service.Name]
	var since ids.Time
	if s == nil {
		s = &service{name: r.Service.Name}
		t.services[s.name] = s
	} else if !s.removed {
		since = now
	}
	s.removed = false
	s.profile = r.Profile
	previous := s.targets
	s.targets = make(map[ids.Target]*serviceTarget, len(r.Service.Targets))
	s.assignment.targets = nil
	key := ids.Hash(string(s.name))
	for _, target := range r.Service.Targets {
		if target.DataCentre != t.dc || target.Slots <= 0 || s.targets[target.Name] != nil {
			continue
		}
		m := &serviceTarget{Target: target, addedAt: since}
		if old := previous[target.Name]; old != nil && old.Address == target.Address {
			m.addedAt = old.addedAt
		}
		s.targets[target.Name] = m
		s.assignment.targets = append(s.assignment.targets,
			placement{key: ids.Mix(key, ids.Hash(string(target.Name))), slots: target.Slots})
	}
	slices.SortFunc(s.assignment.targets, func(a, b placement) int { return cmp.Compare(a.key, b.key) })
	for _, m := range s.targets {
		k := ids.Mix(key, ids.Hash(string(m.Name)))
		m.placementIndex, _ = slices.BinarySearchFunc(s.assignment.targets, k,
			func(e placement, k uint64) int { return cmp.Compare(e.key, k) })
	}
	t.reassign(now, s)
}

// RemoveService removes a service. Its pool stays until the last lease and
// feed have ended.
func (t *Table) RemoveService(name ids.Service) {
	s := t.services[name]
	if s == nil {
		return
	}
	s.removed = true
	s.targets = nil
	s.assignment = assignment{}
	s.homes, s.owners = homeSelector{}, nil
	if s.pool != nil {
		s.pool.update(0, s, t.self)
	}
	t.indexPools()
}

// reassign computes the ownership of s and updates its pool.
func (t *Table) reassign(now ids.Time, s *service) {
	s.assign(t.instances)
	s.homes.build(&s.assignment)
	s.owners = slices.Sorted(maps.Keys(s.ownedSlots))
	added := s.pool == nil && s.ownedSlots[t.self] > 0
	if added {
		s.pool = newPool(s.name, t.seed)
	}
	if s.pool != nil {
		s.pool.update(now, s, t.self)
		if added || s.pool.idle() {
			t.indexPools()
		}
	}
}

// indexPools drops pools and services that are no longer needed and keeps the
// rest in order of name, so that Tick is deterministic.
func (t *Table) indexPools() {
	t.pools = t.pools[:0]
	for name, s := range t.services {
		if s.pool != nil && s.pool.idle() {
			s.pool = nil
		}
		if s.pool != nil {
			t.pools = append(t.pools, s)
		} else if s.removed {
			delete(t.services, name)
		}
	}
	slices.SortFunc(t.pools, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
}

// Home returns the home of a flow: the owner of the highest ranked slot for
// callerHash. ok is false when no instance owns a slot of s.
func (t *Table) Home(s ids.Service, callerHash uint64) (home ids.Instance, ok bool) {
	if e := t.services[s]; e != nil {
		return e.homes.pick(callerHash)
	}
	return "", false
}

// Owners returns the distinct owners of slots of s, sorted. The caller must
// not change the result.
func (t *Table) Owners(s ids.Service) []ids.Instance {
	if e := t.services[s]; e != nil {
		return e.owners
	}
	return nil
}

// SlotShare returns the part of the slots of s that id owns, 0 to 1.
func (t *Table) SlotShare(s ids.Service, id ids.Instance) float64 {
	e := t.services[s]
	if e == nil || e.totalSlots == 0 {
		return 0
	}
	return float64(e.ownedSlots[id]) / float64(e.totalSlots)
}

// Pool returns the pool of s. It is nil when no slot of s is owned and no
// lease or feed is left from the time when one was.
func (t *Table) Pool(s ids.Service) *Pool {
	if e := t.services[s]; e != nil {
		return e.pool
	}
	return nil
}

// Tick advances the timers of all pools and calls due for each health check
// that is due. It is called every 10 ms.
func (t *Table) Tick(now ids.Time, due func(s ids.Service, target ids.Target, url string)) {
	expired := false
	for _, s := range t.pools {
		s.pool.tick(now)
		s.pool.dispatchChecks(now, due)
		expired = expired || s.pool.idle()
	}
	if expired {
		t.indexPools()
	}
}
