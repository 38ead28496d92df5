package spread

import "arbutusdock.example/arbutusdock/internal/ids"

// activeRequest is a request that holds a slot. Requests whose run time is still below
// that of long requests are linked in order of start time.
type activeRequest struct {
	target        int32
	next, prev    int32
	gen           uint32
	start         ids.Time
	class         Class
	probe         bool
	active        bool
	overThreshold bool // reached the run time of long requests and left the list
}

// Acquire reserves a free slot for a request of class c. avoid is a target on which
// this request has failed; it is selected only when no other target is usable. ok is
// false when there is no free slot, or c is Long and long requests hold as many slots
// as LongLimit allows.
func (p *Pool) Acquire(now ids.Time, c Class, avoid ids.Target) (l Lease, ok bool) {
	p.now = now
	if c == Long && p.longRunning >= p.LongLimit(p.usable) {
		return Lease{}, false
	}
	if c == Short && p.probesDue > 0 {
		if i := p.probeTarget(now, avoid); i != none {
			p.targets[i].probeInFlight = true
			return p.start(now, i, c, true), true
		}
	}
	i := p.pickTarget(now, avoid)
	if i == none {
		return Lease{}, false
	}
	return p.start(now, i, c, false), true
}

// pickTarget returns the target to use next: the fastest of the pickLimit targets that
// have been idle longest, other than avoid.
func (p *Pool) pickTarget(now ids.Time, avoid ids.Target) int32 {
	best, bestScore := none, 0.0
	i := p.freeHead
	for k := range pickLimit {
		if i == none {
			break
		}
		t := p.targets[i]
		score := t.slowness
		if now.Sub(t.lastDispatch) > slownessExpiry {
			score = min(score, 1)
		}
		score += float64(k) * idleWeight
		if t.name != avoid && (best == none || score < bestScore) {
			best, bestScore = i, score
		}
		i = t.next
	}
	if best == none && p.freeHead != none && p.usable == p.targets[p.freeHead].usable {
		return p.freeHead // avoid is the only usable target
	}
	return best
}

// probeTarget returns a suspected target that is due for a probe request.
func (p *Pool) probeTarget(now ids.Time, avoid ids.Target) int32 {
	for i, t := range p.targets {
		if t != nil && t.probeDue && t.canProbe(now) && t.name != avoid {
			return int32(i)
		}
	}
	return none
}

// AcquireTarget reserves a free slot of the given target, for a follow-up block of a
// block-wise transfer that started on this target. The target may be draining or
// suspected, since no other target can continue the transfer.
func (p *Pool) AcquireTarget(now ids.Time, name ids.Target) (l Lease, ok bool) {
	p.now = now
	i, found := p.byName[name]
	if !found || p.targets[i].inUse >= p.targets[i].owned {
		return Lease{}, false
	}
	return p.start(now, i, Short, false), true
}

// start records a running request and moves its target to the end of the list of
// targets with a free slot.
func (p *Pool) start(now ids.Time, i int32, c Class, probe bool) Lease {
	r := p.freeRequest
	if r == none {
		p.requests = append(p.requests, activeRequest{next: none})
		r = int32(len(p.requests) - 1)
	} else {
		p.freeRequest = p.requests[r].next
	}
	e := &p.requests[r]
	*e = activeRequest{target: i, next: none, prev: p.newest, gen: e.gen + 1, start: now, class: c, probe: probe, active: true}
	if p.newest != none {
		p.requests[p.newest].next = r
	} else {
		p.oldest = r
	}
	p.newest = r
	p.running++
	if c == Long {
		p.longRunning++
	}
	t := p.targets[i]
	t.inUse++
	t.lastDispatch = now
	p.unlink(i)
	p.refresh(now, i)
	return Lease{Target: t.name, Endpoint: t.endpoint, request: r, gen: e.gen}
}

// Release frees the slot of l and records the outcome. key is the key that was passed
// to Classify. A lease that is already released is ignored.
func (p *Pool) Release(now ids.Time, l Lease, key uint64, o Outcome) {
	p.now = now
	if int(l.request) >= len(p.requests) {
		return
	}
	e := &p.requests[l.request]
	if !e.active || e.gen != l.gen {
		return
	}
	if !e.overThreshold {
		p.unlinkRequest(l.request)
	}
	if e.class == Long {
		p.longRunning--
	}
	p.running--
	e.active = false
	e.next = p.freeRequest
	p.freeRequest = l.request

	t := p.targets[e.target]
	t.inUse--
	if expected := p.predictor.expected(key); o == Success && expected > 0 {
		t.slowness += (float64(now.Sub(e.start))/float64(expected) - t.slowness) / slownessWindow
	}
	p.predictor.record(key, now.Sub(e.start), e.class, o)
	if e.probe {
		t.probeInFlight = false
	}
	p.recordOutcome(now, e.target, e, o)
	p.refresh(now, e.target)
	p.freeIfUnused(e.target)
}

// unlinkRequest removes a request from the list in order of start time.
func (p *Pool) unlinkRequest(r int32) {
	e := &p.requests[r]
	if e.prev != none {
		p.requests[e.prev].next = e.next
	} else {
		p.oldest = e.next
	}
	if e.next != none {
		p.requests[e.next].prev = e.prev
	} else {
		p.newest = e.prev
	}
	e.prev, e.next = none, none
}

// reclassifyLong changes the class of running requests that were predicted short to
// Long once their run time reaches that of long requests.
func (p *Pool) reclassifyLong(now ids.Time) {
	threshold := p.predictor.longThreshold()
	if threshold == 0 {
		return
	}
	for p.oldest != none {
		e := &p.requests[p.oldest]
		if now.Sub(e.start) < threshold {
			return
		}
		if e.class == Short {
			e.class = Long
			p.longRunning++
		}
		r := p.oldest
		p.unlinkRequest(r)
		p.requests[r].overThreshold = true
	}
}

// tick processes the timers: slow start, pauses, the wait for the first check and the
// probe back-off.
func (p *Pool) tick(now ids.Time) {
	p.now = now
	p.reclassifyLong(now)
	for k := 0; k < len(p.timers); {
		i := p.timers[k]
		t := p.targets[i]
		p.refresh(now, i)
		if !now.Before(t.timersEnd()) {
			t.hasTimer = false
			p.timers[k] = p.timers[len(p.timers)-1]
			p.timers = p.timers[:len(p.timers)-1]
			continue
		}
		k++
	}
}
