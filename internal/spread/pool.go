package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// none marks the end of an index list.
const none = int32(-1)

// Pool holds the owned slots of one service with the health of their targets,
// the run times of requests and the feeds placed on them.
type Pool struct {
	service ids.Service
	seed    uint64
	known   map[ids.Target]bool // targets of the service, owned or not; true when draining
	byName  map[ids.Target]int32
	targets []*target
	unused  []int32 // entries of targets that may be reused

	spread   config.Spread
	maxFeeds int

	owned     int   // targets that count for the panic threshold
	suspect   int   // suspected ones among them
	usable    int   // usable owned slots
	free      int   // free ones among them
	unchecked int   // owned slots that wait for the first health check
	probes    int   // suspected targets that are due for a probe request
	head      int32 // targets with a free slot, longest idle first
	tail      int32
	panicking bool    // suspicion is ignored
	timers    []int32 // targets with a running timer
	order     []int32 // targets with a health endpoint, in order of check phase
	cursor    int     // next in order
	fresh     []int32 // new targets, to be checked at once

	runs    []run
	freeRun int32
	running int
	longs   int // long requests that hold a slot
	oldest  int32
	newest  int32

	feeds     int
	feedStart int // rotates the choice among equal targets
	predictor predictor
	now       ids.Time // of the last call that carried a time
}

func newPool(service ids.Service, seed uint64) *Pool {
	return &Pool{
		service: service, seed: ids.Mix(seed, ids.Hash(string(service))),
		known: make(map[ids.Target]bool), byName: make(map[ids.Target]int32),
		head: none, tail: none, freeRun: none, oldest: none, newest: none,
		predictor: newPredictor(),
	}
}

// idle reports that nothing is owned, running or placed.
func (p *Pool) idle() bool { return p.running == 0 && p.feeds == 0 && len(p.byName) == 0 }

// update takes over the ownership and the profile of s.
func (p *Pool) update(now ids.Time, s *service, self ids.Instance) {
	now = max(now, p.now)
	p.now = now
	p.spread, p.maxFeeds = s.profile.Spread, s.profile.Protect.MaxFeeds
	p.predictor.longFactor = cmp.Or(p.spread.LongFactor, defaultLongFactor)
	clear(p.known)
	// In order of name, as the order of entries decides between equal targets.
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		m := s.targets[name]
		p.known[name] = m.Draining
		owned := s.assignment.targets[m.place].owned(self)
		i, found := p.byName[name]
		if found && p.targets[i].endpoint != m.Address {
			p.remove(i) // another backend server has taken over the name
			found = false
		}
		switch {
		case found:
			regained := p.targets[i].owned == 0 && owned > 0
			p.targets[i].owned = owned
			if regained {
				p.checkFirst(now, i, m)
			}
		case owned > 0:
			i = p.add(now, m, owned)
		default:
			continue
		}
		t := p.targets[i]
		t.slots, t.url = m.Slots, m.Health
		t.first = s.assignment.targets[m.place].owner[0] == self
		p.setDraining(now, t, m.Draining)
	}
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if _, ok := p.known[name]; !ok {
			p.remove(p.byName[name])
		}
	}
	p.recount(now)
}

// add creates the entry of a target.
func (p *Pool) add(now ids.Time, m *member, owned int) int32 {
	t := &target{name: m.Name, endpoint: m.Address, life: chart.Backend.New(), trust: chart.Suspicion.New(),
		owned: owned, next: none, prev: none, slowness: 1}
	t.slowUntil = m.since.Add(p.spread.SlowStart)
	if m.since == 0 || !now.Before(t.slowUntil) {
		t.life.Fire(chart.BackendReady)
	} else if m.Health != "" {
		// A new target is used once a check or a probe request has shown that
		// it is up.
		t.trust.Fire(chart.SuspicionSilent)
		t.unproven = true
		t.suspectedAt, t.backOff = now, minBackOff
		t.probeAt = now.Add(unprovenWait)
	}
	var i int32
	if n := len(p.unused); n > 0 {
		i, p.unused = p.unused[n-1], p.unused[:n-1]
		p.targets[i] = t
	} else {
		i = int32(len(p.targets))
		p.targets = append(p.targets, t)
	}
	p.byName[m.Name] = i
	t.nextCheck = p.nextPhase(now, i)
	p.checkFirst(now, i, m)
	return i
}

// checkFirst asks for a health check at once and delays the use of target i
// until its result: a drain that only the health endpoint reports is known to
// the previous owner alone.
func (p *Pool) checkFirst(now ids.Time, i int32, m *member) {
	p.fresh = append(p.fresh, i)
	if m.Health != "" {
		p.targets[i].uncheckedUntil = now.Add(firstCheckWait)
	}
}

// remove ends the life of a target. Its entry stays while requests run.
func (p *Pool) remove(i int32) {
	t := p.targets[i]
	delete(p.byName, t.name)
	t.owned = 0
	t.life.Fire(chart.BackendRemove)
	p.feeds -= t.feeds
	t.feeds = 0
	p.refresh(p.now, i)
	p.reap(i)
}

// reap frees the entry of a target that is gone or no longer owned, once
// nothing runs on it.
func (p *Pool) reap(i int32) {
	t := p.targets[i]
	if t == nil || t.owned > 0 || t.inUse > 0 || t.feeds > 0 {
		return
	}
	if k, ok := p.byName[t.name]; ok && k == i {
		delete(p.byName, t.name)
	}
	p.unlink(i)
	p.timers = deleteIndex(p.timers, i)
	if k := slices.Index(p.order, i); k >= 0 {
		p.order = slices.Delete(p.order, k, k+1)
		p.cursor = 0
	}
	p.targets[i] = nil
	p.unused = append(p.unused, i)
}

func deleteIndex(list []int32, i int32) []int32 {
	if k := slices.Index(list, i); k >= 0 {
		list[k] = list[len(list)-1]
		return list[:len(list)-1]
	}
	return list
}

// recount rebuilds the counters and the order of health checks after a change
// of ownership.
func (p *Pool) recount(now ids.Time) {
	p.owned, p.suspect = 0, 0
	p.order = p.order[:0]
	for i, t := range p.targets {
		if t == nil {
			continue
		}
		if t.counted() {
			p.owned++
			if t.suspected() {
				p.suspect++
			}
		}
		if t.owned > 0 && t.url != "" && t.life.State() != chart.BackendGone {
			p.order = append(p.order, int32(i))
		}
	}
	p.sortChecks()
	p.setPanic()
	for i := range p.targets {
		if p.targets[i] != nil {
			p.refresh(now, int32(i))
			p.reap(int32(i))
		}
	}
}

// setPanic decides whether suspicion is ignored: more than half of the
// targets are suspected, so the cause is more likely on this side.
func (p *Pool) setPanic() bool {
	was := p.panicking
	p.panicking = p.owned >= panicTargets && p.suspect*2 > p.owned
	return p.panicking != was
}

// refresh brings the counters and the list of free targets up to date with
// the state of target i.
func (p *Pool) refresh(now ids.Time, i int32) {
	t := p.targets[i]
	p.expire(now, t)
	usable := t.limit(now, p.panicking)
	free := max(usable-t.inUse, 0)
	p.usable += usable - t.usable
	p.free += free - t.free
	unchecked := 0
	if t.unchecked(now) && !t.leaving() && !t.unproven && (p.panicking || !t.suspected()) {
		unchecked = t.owned
	}
	p.unchecked += unchecked - t.uncheckedSlots
	t.usable, t.free, t.uncheckedSlots = usable, free, unchecked
	ready := !p.panicking && t.canProbe(now)
	if ready != t.probeReady {
		t.probeReady = ready
		if ready {
			p.probes++
		} else {
			p.probes--
		}
	}
	switch {
	case free > 0 && !t.listed:
		p.link(i)
	case free == 0 && t.listed:
		p.unlink(i)
	}
	if timed := now.Before(t.timer()); timed && !t.timed {
		t.timed = true
		p.timers = append(p.timers, i)
	}
}

// timer returns the latest of the running timers of t.
func (t *target) timer() ids.Time {
	end := max(t.heldUntil, t.uncheckedUntil)
	if t.life.State() == chart.BackendStarting {
		end = max(end, t.slowUntil)
	}
	if t.suspected() {
		end = max(end, t.probeAt)
	}
	return end
}

func (p *Pool) link(i int32) {
	t := p.targets[i]
	t.listed, t.prev, t.next = true, p.tail, none
	if p.tail != none {
		p.targets[p.tail].next = i
	} else {
		p.head = i
	}
	p.tail = i
}

func (p *Pool) unlink(i int32) {
	t := p.targets[i]
	if !t.listed {
		return
	}
	if t.prev != none {
		p.targets[t.prev].next = t.next
	} else {
		p.head = t.next
	}
	if t.next != none {
		p.targets[t.next].prev = t.prev
	} else {
		p.tail = t.prev
	}
	t.listed = false
}

// Capacity returns the number of usable owned slots, including one for each
// suspected target that is due for a probe request and those that become
// usable when the first health check ends.
func (p *Pool) Capacity() int { return p.usable + p.probes + p.unchecked }

// Free returns the number of slots that a request of class c may take now.
func (p *Pool) Free(c Class) int {
	if c == Long {
		return min(p.free, max(p.LongLimit(p.usable)-p.longs, 0))
	}
	return p.free + p.probes
}

// LongLimit is the greatest number of slots that long requests hold of a total
// of slots.
func (p *Pool) LongLimit(slots int) int {
	share := cmp.Or(p.spread.LongShare, defaultLongShare)
	return max(1, int(share*float64(slots)))
}

// Usable returns the number of usable owned slots, free or not.
func (p *Pool) Usable() int { return p.usable }

// LongInUse returns the number of slots that long requests hold.
func (p *Pool) LongInUse() int { return p.longs }

// RunTime returns the mean run time of short requests.
func (p *Pool) RunTime() time.Duration { return p.predictor.short() }

// ServiceRate returns the number of requests a second, short and long, that the usable
// slots serve.
func (p *Pool) ServiceRate() float64 {
	return float64(p.Capacity()) / max(p.predictor.slotMean, time.Microsecond).Seconds()
}

// Classify predicts the class of requests with this key, a hash of service,
// code and Uri-Path.
func (p *Pool) Classify(key uint64) Class { return p.predictor.classify(key) }

// ImportRunTime takes over the run time of a long request that another owner reports,
// so that one owner after the other does not first serve such a request as a
// short one.
func (p *Pool) ImportRunTime(key uint64, run time.Duration) { p.predictor.adopt(key, run) }

// OutOfService reports whether target is draining, no longer part of the service or
// not owned here. The health of a target that is not owned is not checked, so a
// drain that only its health endpoint reports would go unnoticed, and no slot
// of it will become free here.
func (p *Pool) OutOfService(name ids.Target) bool {
	draining, known := p.known[name]
	if !known || draining {
		return true
	}
	i, ok := p.byName[name]
	return !ok || p.targets[i].owned == 0 || p.targets[i].leaving()
}

// Targets appends the state of all owned targets to dst, in order of name.
func (p *Pool) Targets(dst []TargetState) []TargetState {
	start := len(dst)
	for _, i := range p.byName {
		t := p.targets[i]
		dst = append(dst, TargetState{Target: t.name, Lifecycle: chart.Backend.StateName(t.life.State()),
			Suspicion: chart.Suspicion.StateName(t.trust.State()),
			Owned:     t.owned, Usable: t.usable, InUse: t.inUse, Feeds: t.feeds})
	}
	slices.SortFunc(dst[start:], func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
