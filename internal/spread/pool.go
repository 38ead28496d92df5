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

// none is the nil index of the linked lists.
const none = int32(-1)

// Pool manages the owned slots of one service, with the health of their targets, the
// run times of requests and the feeds assigned to the targets.
type Pool struct {
	service     ids.Service
	seed        uint64
	draining    map[ids.Target]bool // all targets of the service, owned or not; true when draining by configuration
	byName      map[ids.Target]int32
	targets     []*target
	freeEntries []int32 // free entries of targets

	spread   config.Spread
	maxFeeds int

	panicTotal         int   // number of targets that count for the panic threshold
	panicSuspected     int   // number of suspected ones among them
	usable             int   // number of usable owned slots
	free               int   // number of free ones among them
	awaitingCheckSlots int   // number of owned slots that wait for the first health check
	probesDue          int   // number of suspected targets that are due for a probe request
	freeHead           int32 // list of targets with a free slot, longest idle first
	freeTail           int32
	panicMode          bool    // more than half of the targets are suspected, so suspicion is ignored
	timers             []int32 // targets with a running timer
	checkOrder         []int32 // targets with a health endpoint, sorted by check phase
	checkCursor        int     // index in checkOrder of the next check
	checkNow           []int32 // targets to be checked at the next tick

	requests    []activeRequest // running requests and free entries
	freeRequest int32           // list of free entries in requests
	running     int             // number of running requests
	longRunning int             // number of long requests that hold a slot
	oldest      int32           // list of running requests below longThreshold, in order of start time
	newest      int32

	feeds      int // number of open feeds
	feedOffset int // start of the next search, rotated to spread feeds over equal targets
	predictor  predictor
	now        ids.Time // time passed to the last call that has a time parameter
}

func newPool(service ids.Service, seed uint64) *Pool {
	return &Pool{
		service: service, seed: ids.Mix(seed, ids.Hash(string(service))),
		draining: make(map[ids.Target]bool), byName: make(map[ids.Target]int32),
		freeHead: none, freeTail: none, freeRequest: none, oldest: none, newest: none,
		predictor: newPredictor(),
	}
}

// idle reports whether the pool has no targets, running requests or feeds.
func (p *Pool) idle() bool { return p.running == 0 && p.feeds == 0 && len(p.byName) == 0 }

// update applies the ownership and the profile of s.
func (p *Pool) update(now ids.Time, s *service, self ids.Instance) {
	now = max(now, p.now)
	p.now = now
	p.spread, p.maxFeeds = s.profile.Spread, s.profile.Protect.MaxFeeds
	p.predictor.longFactor = cmp.Or(p.spread.LongFactor, defaultLongFactor)
	clear(p.draining)
	// Sorted by name for determinism: the order of entries breaks ties between
	// targets.
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		m := s.targets[name]
		p.draining[name] = m.Draining
		owned := s.assignment.targets[m.placementIndex].ownedBy(self)
		i, found := p.byName[name]
		if found && p.targets[i].endpoint != m.Address {
			p.remove(i) // the name now refers to another backend server
			found = false
		}
		switch {
		case found:
			regained := p.targets[i].owned == 0 && owned > 0
			p.targets[i].owned = owned
			if regained {
				p.requestFirstCheck(now, i, m)
			}
		case owned > 0:
			i = p.add(now, m, owned)
		default:
			continue
		}
		t := p.targets[i]
		t.slots, t.url = m.Slots, m.Health
		t.ownsFirstSlot = s.assignment.targets[m.placementIndex].owner[0] == self
		p.setDraining(now, t, m.Draining)
	}
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if _, ok := p.draining[name]; !ok {
			p.remove(p.byName[name])
		}
	}
	p.recount(now)
}

// add creates the entry of a target and returns its index.
func (p *Pool) add(now ids.Time, m *serviceTarget, owned int) int32 {
	t := &target{name: m.Name, endpoint: m.Address, lifecycle: chart.Backend.New(), suspicion: chart.Suspicion.New(),
		owned: owned, next: none, prev: none, slowness: 1}
	t.slowUntil = m.addedAt.Add(p.spread.SlowStart)
	if m.addedAt == 0 || !now.Before(t.slowUntil) {
		t.lifecycle.Fire(chart.BackendReady)
	} else if m.Health != "" {
		// A new target is suspected until a health check or a probe request has
		// shown that it is up.
		t.suspicion.Fire(chart.SuspicionSilent)
		t.unverified = true
		t.suspectedAt, t.backOff = now, minBackOff
		t.probeAt = now.Add(unverifiedWait)
	}
	var i int32
	if n := len(p.freeEntries); n > 0 {
		i, p.freeEntries = p.freeEntries[n-1], p.freeEntries[:n-1]
		p.targets[i] = t
	} else {
		i = int32(len(p.targets))
		p.targets = append(p.targets, t)
	}
	p.byName[m.Name] = i
	t.nextCheck = p.nextPhase(now, i)
	p.requestFirstCheck(now, i, m)
	return i
}

// requestFirstCheck schedules an immediate health check of target i and delays the
// use of the target until the result arrives, for at most firstCheckWait. The state of
// the target at the previous owner is not available here, so a drain that only the
// health endpoint reports is unknown until then.
func (p *Pool) requestFirstCheck(now ids.Time, i int32, m *serviceTarget) {
	p.checkNow = append(p.checkNow, i)
	if m.Health != "" {
		p.targets[i].firstCheckDeadline = now.Add(firstCheckWait)
	}
}

// remove removes a target. Its entry is kept while requests run on it.
func (p *Pool) remove(i int32) {
	t := p.targets[i]
	delete(p.byName, t.name)
	t.owned = 0
	t.lifecycle.Fire(chart.BackendRemove)
	p.feeds -= t.feeds
	t.feeds = 0
	p.refresh(p.now, i)
	p.freeIfUnused(i)
}

// freeIfUnused frees the entry of a target without owned slots, running requests
// and feeds.
func (p *Pool) freeIfUnused(i int32) {
	t := p.targets[i]
	if t == nil || t.owned > 0 || t.inUse > 0 || t.feeds > 0 {
		return
	}
	if k, ok := p.byName[t.name]; ok && k == i {
		delete(p.byName, t.name)
	}
	p.unlink(i)
	p.timers = deleteIndex(p.timers, i)
	if k := slices.Index(p.checkOrder, i); k >= 0 {
		p.checkOrder = slices.Delete(p.checkOrder, k, k+1)
		p.checkCursor = 0
	}
	p.targets[i] = nil
	p.freeEntries = append(p.freeEntries, i)
}

func deleteIndex(list []int32, i int32) []int32 {
	if k := slices.Index(list, i); k >= 0 {
		list[k] = list[len(list)-1]
		return list[:len(list)-1]
	}
	return list
}

// recount rebuilds the counters and the order of health checks after a change of
// ownership or draining.
func (p *Pool) recount(now ids.Time) {
	p.panicTotal, p.panicSuspected = 0, 0
	p.checkOrder = p.checkOrder[:0]
	for i, t := range p.targets {
		if t == nil {
			continue
		}
		if t.countsForPanic() {
			p.panicTotal++
			if t.suspected() {
				p.panicSuspected++
			}
		}
		if t.owned > 0 && t.url != "" && t.lifecycle.State() != chart.BackendGone {
			p.checkOrder = append(p.checkOrder, int32(i))
		}
	}
	p.sortChecks()
	p.updatePanicMode()
	for i := range p.targets {
		if p.targets[i] != nil {
			p.refresh(now, int32(i))
			p.freeIfUnused(int32(i))
		}
	}
}

// updatePanicMode enables panic mode while more than half of the targets are
// suspected, and reports whether the mode changed. The cause is then more likely on
// the side of this instance, so suspicion is ignored.
func (p *Pool) updatePanicMode() bool {
	previous := p.panicMode
	p.panicMode = p.panicTotal >= panicTargets && p.panicSuspected*2 > p.panicTotal
	return p.panicMode != previous
}

// refresh updates the counters, the list of targets with a free slot and the list of
// timers after a change of target i.
func (p *Pool) refresh(now ids.Time, i int32) {
	t := p.targets[i]
	p.endSlowStart(now, t)
	usable := t.usableSlots(now, p.panicMode)
	free := max(usable-t.inUse, 0)
	p.usable += usable - t.usable
	p.free += free - t.free
	unchecked := 0
	if t.awaitingFirstCheck(now) && !t.drainingOrGone() && !t.unverified && (p.panicMode || !t.suspected()) {
		unchecked = t.owned
	}
	p.awaitingCheckSlots += unchecked - t.awaitingCheckSlots
	t.usable, t.free, t.awaitingCheckSlots = usable, free, unchecked
	ready := !p.panicMode && t.canProbe(now)
	if ready != t.probeDue {
		t.probeDue = ready
		if ready {
			p.probesDue++
		} else {
			p.probesDue--
		}
	}
	switch {
	case free > 0 && !t.inFreeList:
		p.link(i)
	case free == 0 && t.inFreeList:
		p.unlink(i)
	}
	if timed := now.Before(t.timersEnd()); timed && !t.hasTimer {
		t.hasTimer = true
		p.timers = append(p.timers, i)
	}
}

// timersEnd returns the time at which the last of the running timers of t expires.
func (t *target) timersEnd() ids.Time {
	end := max(t.pausedUntil, t.firstCheckDeadline)
	if t.lifecycle.State() == chart.BackendStarting {
		end = max(end, t.slowUntil)
	}
	if t.suspected() {
		end = max(end, t.probeAt)
	}
	return end
}

func (p *Pool) link(i int32) {
	t := p.targets[i]
	t.inFreeList, t.prev, t.next = true, p.freeTail, none
	if p.freeTail != none {
		p.targets[p.freeTail].next = i
	} else {
		p.freeHead = i
	}
	p.freeTail = i
}

func (p *Pool) unlink(i int32) {
	t := p.targets[i]
	if !t.inFreeList {
		return
	}
	if t.prev != none {
		p.targets[t.prev].next = t.next
	} else {
		p.freeHead = t.next
	}
	if t.next != none {
		p.targets[t.next].prev = t.prev
	} else {
		p.freeTail = t.prev
	}
	t.inFreeList = false
}

// Capacity returns the number of usable owned slots, plus one for each suspected
// target that is due for a probe request, plus the slots that become usable after the
// first health check.
func (p *Pool) Capacity() int { return p.usable + p.probesDue + p.awaitingCheckSlots }

// Free returns the number of free slots for requests of class c.
func (p *Pool) Free(c Class) int {
	if c == Long {
		return min(p.free, max(p.LongLimit(p.usable)-p.longRunning, 0))
	}
	return p.free + p.probesDue
}

// LongLimit returns the maximum number of slots that long requests may hold, out of
// the given number of slots.
func (p *Pool) LongLimit(slots int) int {
	share := cmp.Or(p.spread.LongShare, defaultLongShare)
	return max(1, int(share*float64(slots)))
}

// Usable returns the number of usable owned slots, free or not.
func (p *Pool) Usable() int { return p.usable }

// LongInUse returns the number of slots that are held by long requests.
func (p *Pool) LongInUse() int { return p.longRunning }

// RunTime returns the mean run time of short requests.
func (p *Pool) RunTime() time.Duration { return p.predictor.shortRunTime() }

// ServiceRate returns the number of requests per second, short and long, that the
// slots of Capacity can serve.
func (p *Pool) ServiceRate() float64 {
	return float64(p.Capacity()) / max(p.predictor.overallMean, time.Microsecond).Seconds()
}

// Classify predicts the class of requests with the given key, a hash of service, code
// and Uri-Path.
func (p *Pool) Classify(key uint64) Class { return p.predictor.classify(key) }

// ImportRunTime records the run time of a long request reported by another owner.
// Otherwise each owner would first classify such a request as short.
func (p *Pool) ImportRunTime(key uint64, runTime time.Duration) {
	p.predictor.importRunTime(key, runTime)
}

// OutOfService reports whether the target is draining, no longer part of the service,
// or without slots owned by this instance. This instance does not check the health of
// a target without owned slots, so it would miss a drain that only the health endpoint
// reports, and no slot of such a target becomes free here.
func (p *Pool) OutOfService(name ids.Target) bool {
	draining, known := p.draining[name]
	if !known || draining {
		return true
	}
	i, ok := p.byName[name]
	return !ok || p.targets[i].owned == 0 || p.targets[i].drainingOrGone()
}

// Targets appends the state of all targets in the pool to dst, sorted by name.
func (p *Pool) Targets(dst []TargetState) []TargetState {
	start := len(dst)
	for _, i := range p.byName {
		t := p.targets[i]
		dst = append(dst, TargetState{Target: t.name, Lifecycle: chart.Backend.StateName(t.lifecycle.State()),
			Suspicion: chart.Suspicion.StateName(t.suspicion.State()),
			Owned:     t.owned, Usable: t.usable, InUse: t.inUse, Feeds: t.feeds})
	}
	slices.SortFunc(dst[start:], func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return dst
}
