package spread

import "arbutusdock.example/arbutusdock/internal/ids"

// run is a request that holds a slot. Running requests are linked in order of
// their start.
type run struct {
	target     int32
	next, prev int32
	gen        uint32
	start      ids.Time
	class      Class
	probe      bool
	active     bool
	observed   bool // taken off the list because it has run long
}

// Acquire takes a free slot for a request of class c. avoid is a target that
// has failed this request; it is chosen only when no other target is usable.
// ok is false when there is no free slot, or long requests hold as many slots
// as they may.
func (p *Pool) Acquire(now ids.Time, c Class, avoid ids.Target) (l Lease, ok bool) {
	p.now = now
	if c == Long && p.longs >= p.LongLimit(p.usable) {
		return Lease{}, false
	}
	if c == Short && p.probes > 0 {
		if i := p.probeTarget(now, avoid); i != none {
			p.targets[i].probing = true
			return p.start(now, i, c, true), true
		}
	}
	i := p.pick(now, avoid)
	if i == none {
		return Lease{}, false
	}
	return p.start(now, i, c, false), true
}

// pick returns the target to use next: of the targets that have been idle
// longest the fastest one, other than avoid.
func (p *Pool) pick(now ids.Time, avoid ids.Target) int32 {
	best, bestScore := none, 0.0
	i := p.head
	for k := range pickLimit {
		if i == none {
			break
		}
		t := p.targets[i]
		score := t.slowness
		if now.Sub(t.lastDispatch) > slownessAge {
			score = min(score, 1)
		}
		score += float64(k) * idleWeight
		if t.name != avoid && (best == none || score < bestScore) {
			best, bestScore = i, score
		}
		i = t.next
	}
	if best == none && p.head != none && p.usable == p.targets[p.head].usable {
		return p.head // there is no other usable target than avoid
	}
	return best
}

// probeTarget returns a suspected target that is due for a probe request.
func (p *Pool) probeTarget(now ids.Time, avoid ids.Target) int32 {
	for i, t := range p.targets {
		if t != nil && t.probeReady && t.canProbe(now) && t.name != avoid {
			return int32(i)
		}
	}
	return none
}

// AcquireTarget takes a free slot of one target, for a follow-up block of a
// transfer that the target has begun. A draining or suspected target is
// allowed, since no other one can continue the transfer.
func (p *Pool) AcquireTarget(now ids.Time, name ids.Target) (l Lease, ok bool) {
	p.now = now
	i, found := p.byName[name]
	if !found || p.targets[i].inUse >= p.targets[i].owned {
		return Lease{}, false
	}
	return p.start(now, i, Short, false), true
}

// start records a running request and moves its target to the end of the list
// of free targets.
func (p *Pool) start(now ids.Time, i int32, c Class, probe bool) Lease {
	r := p.freeRun
	if r == none {
		p.runs = append(p.runs, run{next: none})
		r = int32(len(p.runs) - 1)
	} else {
		p.freeRun = p.runs[r].next
	}
	e := &p.runs[r]
	*e = run{target: i, next: none, prev: p.newest, gen: e.gen + 1, start: now, class: c, probe: probe, active: true}
	if p.newest != none {
		p.runs[p.newest].next = r
	} else {
		p.oldest = r
	}
	p.newest = r
	p.running++
	if c == Long {
		p.longs++
	}
	t := p.targets[i]
	t.inUse++
	t.lastDispatch = now
	p.unlink(i)
	p.refresh(now, i)
	return Lease{Target: t.name, Endpoint: t.endpoint, run: r, gen: e.gen}
}

// Release frees the slot of l. key is the key given to Classify. A lease that
// has been released already is ignored.
func (p *Pool) Release(now ids.Time, l Lease, key uint64, o Outcome) {
	p.now = now
	if int(l.run) >= len(p.runs) {
		return
	}
	e := &p.runs[l.run]
	if !e.active || e.gen != l.gen {
		return
	}
	if !e.observed {
		p.detach(l.run)
	}
	if e.class == Long {
		p.longs--
	}
	p.running--
	e.active = false
	e.next = p.freeRun
	p.freeRun = l.run

	t := p.targets[e.target]
	t.inUse--
	if expected := p.predictor.expected(key); o == Success && expected > 0 {
		t.slowness += (float64(now.Sub(e.start))/float64(expected) - t.slowness) / slownessWindow
	}
	p.predictor.learn(key, now.Sub(e.start), e.class, o)
	if e.probe {
		t.probing = false
	}
	p.outcome(now, e.target, e, o)
	p.refresh(now, e.target)
	p.reap(e.target)
}

// detach takes a run off the list of running requests.
func (p *Pool) detach(r int32) {
	e := &p.runs[r]
	if e.prev != none {
		p.runs[e.prev].next = e.next
	} else {
		p.oldest = e.next
	}
	if e.next != none {
		p.runs[e.next].prev = e.prev
	} else {
		p.newest = e.prev
	}
	e.prev, e.next = none, none
}

// observe counts requests as long that were predicted short but have run as
// long as a long one.
func (p *Pool) observe(now ids.Time) {
	threshold := p.predictor.threshold()
	if threshold == 0 {
		return
	}
	for p.oldest != none {
		e := &p.runs[p.oldest]
		if now.Sub(e.start) < threshold {
			return
		}
		if e.class == Short {
			e.class = Long
			p.longs++
		}
		r := p.oldest
		p.detach(r)
		p.runs[r].observed = true
	}
}

// tick advances the timers: slow start, pauses and probe back-off.
func (p *Pool) tick(now ids.Time) {
	p.now = now
	p.observe(now)
	for k := 0; k < len(p.timers); {
		i := p.timers[k]
		t := p.targets[i]
		p.refresh(now, i)
		if !now.Before(t.timer()) {
			t.timed = false
			p.timers[k] = p.timers[len(p.timers)-1]
			p.timers = p.timers[:len(p.timers)-1]
			continue
		}
		k++
	}
}
