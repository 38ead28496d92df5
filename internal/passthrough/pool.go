package passthrough

import (
	"math"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// pressureTimeConstant is the time constant of the smoothed pressure. It spans
// several run times of a request and is short compared with changes in demand.
const pressureTimeConstant = 200 * time.Millisecond

// pool holds the targets of one service that may get new flows.
type pool struct {
	local          targetList    // targets in the local data centre
	remote         []*targetList // targets in other data centres, by region
	slots          int           // total slots of the local targets
	activeRequests int           // active requests of this instance at the local targets
	evacuated      int           // targets that get no new flows only because of an evacuation

	pressure  float64 // moving average of the active requests per local slot
	updatedAt ids.Time
}

// targetList is the part of a pool that lies in one region, in the local data centre or
// outside of it.
type targetList struct {
	region  string // empty if unknown
	targets []*target
}

// add adds t to the pool. It is in the local data centre or in the given region.
func (p *pool) add(t *target, region string) {
	list := &p.local
	if !t.local {
		list = p.remoteList(region)
	}
	t.pool, t.list, t.listIndex = p, list, int32(len(list.targets))
	list.targets = append(list.targets, t)
	if t.local {
		p.slots += t.Slots
		p.activeRequests += t.activeRequests
	}
}

// remoteList returns the list of a region outside of the local data centre.
func (p *pool) remoteList(region string) *targetList {
	for _, list := range p.remote {
		if list.region == region {
			return list
		}
	}
	list := &targetList{region: region}
	p.remote = append(p.remote, list)
	return list
}

// withhold counts t in the pool without adding it to a list.
func (p *pool) withhold(t *target) {
	t.pool, t.list = p, nil
	p.evacuated++
}

// leavePool removes t from its pool, if it is in one.
func (t *target) leavePool() {
	p, list := t.pool, t.list
	t.pool, t.list = nil, nil
	switch {
	case p == nil:
		return
	case list == nil:
		p.evacuated--
		return
	}
	last := list.targets[len(list.targets)-1]
	list.targets[t.listIndex] = last
	last.listIndex = t.listIndex
	list.targets = list.targets[:len(list.targets)-1]
	if t.local {
		p.slots -= t.Slots
		p.activeRequests -= t.activeRequests
	}
}

// empty reports whether no target may get new flows.
func (p *pool) empty() bool {
	return len(p.local.targets) == 0 && !slices.ContainsFunc(p.remote, func(l *targetList) bool { return len(l.targets) > 0 })
}

// updatePressure updates and returns the smoothed pressure on the local targets:
// the active requests of all instances per slot. Every instance serves an equal
// share of the callers, so the total is estimated as the requests of this instance
// times the number of instances.
func (p *pool) updatePressure(now ids.Time, instances int) float64 {
	if p.slots == 0 {
		return math.Inf(1)
	}
	current := float64(p.activeRequests*instances) / float64(p.slots)
	weight := 1 - math.Exp(-float64(now.Sub(p.updatedAt))/float64(pressureTimeConstant))
	p.pressure += weight * (current - p.pressure)
	p.updatedAt = now
	return p.pressure
}
