package passthrough

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// pressureTime is the time constant of the smoothed pressure: several run times
// of a request, and short against a swing of the demand.
const pressureTimeConstant = 200 * time.Millisecond

// pool holds the candidates of one service.
type pool struct {
	local, remote  []*target // in the own data centre and in others
	slots          int       // of the local ones
	activeRequests int       // requests of this instance in progress at the local ones

	pressure  float64 // smoothed requests in progress per local slot
	updatedAt ids.Time
}

// add puts t among the candidates.
func (p *pool) add(t *target) {
	list := p.members(t)
	t.pool, t.poolIndex = p, len(*list)
	*list = append(*list, t)
	if t.local {
		p.slots += t.Slots
		p.activeRequests += t.activeRequests
	}
}

// unlist takes t out of the candidates, if it is one.
func (t *target) leavePool() {
	p := t.pool
	if p == nil {
		return
	}
	list := p.members(t)
	last := (*list)[len(*list)-1]
	(*list)[t.poolIndex] = last
	last.poolIndex = t.poolIndex
	*list = (*list)[:len(*list)-1]
	if t.local {
		p.slots -= t.Slots
		p.activeRequests -= t.activeRequests
	}
	t.pool = nil
}

func (p *pool) members(t *target) *[]*target {
	if t.local {
		return &p.local
	}
	return &p.remote
}

// update returns the smoothed pressure on the local candidates: the requests in
// progress per slot, of all instances. Each of them sees an equal share of the
// callers, so the own requests times their number stand for all.
func (p *pool) updatePressure(now ids.Time, instances int) float64 {
	if p.slots == 0 {
		return math.Inf(1)
	}
	present := float64(p.activeRequests*instances) / float64(p.slots)
	weight := 1 - math.Exp(-float64(now.Sub(p.updatedAt))/float64(pressureTimeConstant))
	p.pressure += weight * (present - p.pressure)
	p.updatedAt = now
	return p.pressure
}
