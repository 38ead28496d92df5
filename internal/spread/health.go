package spread

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// recordOutcome updates the health of target i with the result of a request.
// Requests take precedence over health checks: a successful request clears suspicion
// and resets the count of failed checks, and suspicion raised by requests is cleared
// by a successful request only.
func (p *Pool) recordOutcome(now ids.Time, i int32, e *activeRequest, o Outcome) {
	t := p.targets[i]
	switch o {
	case Success:
		t.consecutiveFailures, t.consecutiveSheds = 0, 0
		t.failedChecks = 0
		t.lastSuccess = now
		// A response to a request that was sent before the suspicion does not
		// disprove later failures.
		if t.suspected() && (!t.suspectedByRequests || !e.start.Before(t.suspectedAt)) {
			p.clearSuspicion(now, i, t.suspectedByRequests)
		}
	case Shed:
		// The target is up but full: the other owner, or an instance with a
		// different membership list, uses the slot.
		t.consecutiveFailures = 0
		t.consecutiveSheds++
		t.pausedUntil = now.Add(shedPause(t.consecutiveSheds))
		if e.probe {
			p.scheduleProbe(now, t)
		}
	case Timeout, Failure:
		p.recordFailure(now, i, e, o)
	case Cancelled:
	}
}

// recordFailure counts a failed request. The deadline may be too short for a long
// request. Therefore a timeout of a request that was predicted long and has not run
// longer than longThreshold is ignored, unless a health check has failed as well.
func (p *Pool) recordFailure(now ids.Time, i int32, e *activeRequest, o Outcome) {
	t := p.targets[i]
	if o == Timeout && e.class == Long && !e.overThreshold && t.failedChecks == 0 {
		return
	}
	t.consecutiveFailures++
	if t.suspected() {
		t.suspectedByRequests = true
		if e.probe {
			t.backOff = min(2*t.backOff, maxBackOff)
			p.scheduleProbe(now, t)
		}
		return
	}
	if t.consecutiveFailures >= failuresToSuspect || t.failedChecks > 0 {
		p.markSuspected(now, i, true)
	}
}

// scheduleProbe sets the earliest time of the next probe request after the back-off.
func (p *Pool) scheduleProbe(now ids.Time, t *target) {
	wait := t.backOff
	if t.failedChecks > 0 {
		wait = max(wait, failedCheckBackOff)
	}
	t.probeAt = now.Add(wait)
}

// markSuspected marks a target as suspected. Until the suspicion is cleared, it
// gets no new requests except probe requests, unless panic mode is on.
func (p *Pool) markSuspected(now ids.Time, i int32, fromRequests bool) {
	t := p.targets[i]
	t.suspicion.Fire(chart.SuspicionSilent)
	t.suspectedByRequests = fromRequests
	t.suspectedAt = now
	t.backOff = minBackOff
	p.scheduleProbe(now, t)
	p.suspicionChanged(now, i, +1)
}

// clearSuspicion ends the suspicion of a target. With slowStart a serving target goes
// through slow start again.
func (p *Pool) clearSuspicion(now ids.Time, i int32, slowStart bool) {
	t := p.targets[i]
	t.suspicion.Fire(chart.SuspicionRefute)
	t.consecutiveFailures, t.failedChecks = 0, 0
	if t.unverified {
		t.unverified = false
		t.slowUntil = now.Add(p.spread.SlowStart)
		if t.countsForPanic() {
			p.panicTotal++
			p.panicSuspected++ // subtracted by suspicionChanged below
		}
	}
	// A draining target stays draining: a restart would cancel the drain.
	if slowStart && p.spread.SlowStart > 0 && t.lifecycle.State() == chart.BackendServing {
		if _, ok := t.lifecycle.Fire(chart.BackendRestart); ok {
			t.slowUntil = now.Add(p.spread.SlowStart)
		}
	}
	p.suspicionChanged(now, i, -1)
}

// suspicionChanged updates the panic mode after the suspicion of target i was raised
// (change +1) or cleared (-1).
func (p *Pool) suspicionChanged(now ids.Time, i int32, change int) {
	t := p.targets[i]
	if t.countsForPanic() {
		p.panicSuspected += change
	}
	if p.updatePanicMode() {
		for k := range p.targets {
			if p.targets[k] != nil {
				p.refresh(now, int32(k))
			}
		}
		return
	}
	p.refresh(now, i)
}

// RecordCheck records the result of an active health check. The reported load is not
// used to select targets: it may be stale, whereas the number of slots in use is exact.
func (p *Pool) RecordCheck(now ids.Time, h CheckResult) {
	p.now = now
	i, ok := p.byName[h.Target]
	if !ok {
		return
	}
	t := p.targets[i]
	previous := t.lastCheck
	t.lastCheck = now
	defer func() { // runs after a reported drain has been recorded
		if t.firstCheckDeadline != 0 {
			t.firstCheckDeadline = 0
			p.refresh(now, i)
		}
	}()
	wasDraining := t.lifecycle.State() == chart.BackendDraining
	switch {
	case h.Draining && !wasDraining:
		t.lifecycle.Fire(chart.BackendDrain)
		p.recount(now)
	case !h.Draining && h.Healthy && wasDraining && !t.configDraining:
		p.restart(now, t)
		p.recount(now)
	}
	if h.Healthy || h.Draining {
		p.checkPassed(now, i)
	} else {
		p.checkFailed(now, i, previous)
	}
}

func (p *Pool) checkPassed(now ids.Time, i int32) {
	t := p.targets[i]
	recovered := t.failedChecks > 0
	t.failedChecks = 0
	switch {
	case !t.suspected():
	case !t.suspectedByRequests:
		p.clearSuspicion(now, i, recovered)
	case recovered:
		// The check went from failed to passed, so a probe request is now more
		// likely to succeed and the back-off is reset. A check that passed all
		// along is no such evidence.
		t.backOff = minBackOff
		t.probeAt = min(t.probeAt, now)
		p.refresh(now, i)
	}
}

// checkFailed counts a failed check unless requests show that the target works: a
// request has succeeded since the previous check, or the last request succeeded
// within successEvidenceAge and none has been sent since.
func (p *Pool) checkFailed(now ids.Time, i int32, previous ids.Time) {
	t := p.targets[i]
	if t.lastSuccess > 0 && t.consecutiveFailures == 0 {
		if t.lastSuccess >= previous {
			return
		}
		if t.lastDispatch <= t.lastSuccess && now.Sub(t.lastSuccess) < successEvidenceAge {
			return
		}
	}
	t.failedChecks++
	if !t.suspected() && (t.failedChecks >= checksToSuspect || t.consecutiveFailures > 0) {
		p.markSuspected(now, i, false)
	}
}

// setDraining applies the drain flag of the configuration.
func (p *Pool) setDraining(now ids.Time, t *target, draining bool) {
	was := t.configDraining
	t.configDraining = draining
	if draining {
		t.lifecycle.Fire(chart.BackendDrain)
	} else if was && t.lifecycle.State() == chart.BackendDraining {
		p.restart(now, t)
	}
}

// restart begins the slow start of a target whose drain has ended.
func (p *Pool) restart(now ids.Time, t *target) {
	if _, ok := t.lifecycle.Fire(chart.BackendRestart); ok {
		t.slowUntil = now.Add(p.spread.SlowStart)
	}
}

// endSlowStart ends the slow start of a target when its time is over.
func (p *Pool) endSlowStart(now ids.Time, t *target) {
	if t.lifecycle.State() == chart.BackendStarting && !now.Before(t.slowUntil) {
		t.lifecycle.Fire(chart.BackendReady)
	}
}

// dispatchChecks calls due for each health check that is due: new and regained targets
// immediately, the others in order of their phases. All have the same interval, so
// the search stops at the first one that is not due.
func (p *Pool) dispatchChecks(now ids.Time, due func(s ids.Service, target ids.Target, url string)) {
	for _, i := range p.checkNow {
		if t := p.targets[i]; t != nil && t.url != "" && t.owned > 0 {
			due(p.service, t.name, t.url)
		}
	}
	p.checkNow = p.checkNow[:0]
	for range p.checkOrder {
		i := p.checkOrder[p.checkCursor]
		t := p.targets[i]
		if now.Before(t.nextCheck) {
			return
		}
		t.nextCheck = p.nextPhase(now, i)
		p.checkCursor = (p.checkCursor + 1) % len(p.checkOrder)
		due(p.service, t.name, t.url)
	}
}

// sortChecks sorts the targets with a health endpoint by phase and sets checkCursor to
// the one that is due next.
func (p *Pool) sortChecks() {
	slices.SortFunc(p.checkOrder, func(a, b int32) int {
		return cmp.Or(cmp.Compare(p.phase(a), p.phase(b)), cmp.Compare(p.targets[a].name, p.targets[b].name))
	})
	p.checkCursor = 0
	for k, i := range p.checkOrder {
		if p.targets[i].nextCheck < p.targets[p.checkOrder[p.checkCursor]].nextCheck {
			p.checkCursor = k
		}
	}
}

// phase returns the offset of the health checks of target i in the check interval. It
// is derived from a hash, to spread the checks of a pool over the interval.
func (p *Pool) phase(i int32) time.Duration {
	return time.Duration(ids.Mix(p.seed, ids.Hash(string(p.targets[i].name))) % uint64(checkInterval))
}

// nextPhase returns the first check time of target i after now.
func (p *Pool) nextPhase(now ids.Time, i int32) ids.Time {
	next := now - now%ids.Time(checkInterval) + ids.Time(p.phase(i))
	if !now.Before(next) {
		next = next.Add(checkInterval)
	}
	return next
}
