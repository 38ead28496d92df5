package spread

import (
	"cmp"
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// Table holds the slot owners of all services in one data centre, and the pools of
// the slots that instance self owns.
type Table struct {
	self      ids.Instance
	dc        ids.DataCentre
	seed      uint64
	instances []instance // sorted by id
	services  map[ids.Service]*service
	pools     []*service // services with a pool, sorted by name
}

// service is the state of one service, limited to the targets in this data centre.
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

// serviceTarget is a target of a service, whether or not this instance owns slots of
// it. addedAt is the time at which it was added to an already known service. It is
// 0 for a target that was part of the service when this instance first received it;
// such a target is treated as established and skips slow start.
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

// SetInstances replaces the list of serving, unsuspected instances of the data
// centre. Ownership is recomputed only for the services that the change can affect.
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

// SetService adds or replaces a service. Targets in other data centres and targets
// without slots are ignored, and so are repeated target names.
func (t *Table) SetService(now ids.Time, r *config.Resolved) {
	s := t.services[r.Service.Name]
	var addedAt ids.Time
	if s == nil {
		s = &service{name: r.Service.Name}
		t.services[s.name] = s
	} else if !s.removed {
		addedAt = now
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
		m := &serviceTarget{Target: target, addedAt: addedAt}
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

// RemoveService removes a service. Its pool is kept until the last lease and feed
// have ended.
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

// reassign recomputes the ownership of s and updates its pool.
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

// indexPools deletes pools and services that are no longer needed and rebuilds the
// list of pools, sorted by name so that Tick is deterministic.
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

// Home returns the home instance of a flow: the owner of the highest ranked virtual
// node for callerHash. ok is false when no instance owns a slot of s.
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

// SlotShare returns the fraction of the slots of s that instance id owns, 0 to 1.
func (t *Table) SlotShare(s ids.Service, id ids.Instance) float64 {
	e := t.services[s]
	if e == nil || e.totalSlots == 0 {
		return 0
	}
	return float64(e.ownedSlots[id]) / float64(e.totalSlots)
}

// Pool returns the pool of s. It is nil when this instance owns no slot of s and all
// leases and feeds on previously owned slots have ended.
func (t *Table) Pool(s ids.Service) *Pool {
	if e := t.services[s]; e != nil {
		return e.pool
	}
	return nil
}

// Tick processes the timers of all pools and calls due for each health check that
// is due. It must be called every 10 ms.
func (t *Table) Tick(now ids.Time, due func(s ids.Service, target ids.Target, url string)) {
	anyIdle := false
	for _, s := range t.pools {
		s.pool.tick(now)
		s.pool.dispatchChecks(now, due)
		anyIdle = anyIdle || s.pool.idle()
	}
	if anyIdle {
		t.indexPools()
	}
}
