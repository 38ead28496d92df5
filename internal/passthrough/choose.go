package passthrough

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// idleFlowLoad is the load of an open flow without an active request, in
	// requests: a long flow has an active request for a few percent of the time.
	idleFlowLoad = 0.03
	// remotePenalty is the load per slot by which the targets of the local data
	// centre must exceed those of other data centres before a flow is placed
	// remotely: a flow across data centres breaks when a partition separates them.
	// The penalty falls to minRemotePenalty as the pressure on the local data
	// centre, in active requests per slot, rises from the low to the high pressure
	// given below. The pressures for flows with a single request are lower than for
	// long flows, because a short flow usually ends before a partition could affect
	// it.
	remotePenalty         = 4.0
	minRemotePenalty      = 0.25
	regionPenalty         = 2.0 // added for another region: the round trip takes as long as running a request
	shortFlowLowPressure  = 0.5
	shortFlowHighPressure = 1.0
	longFlowLowPressure   = 0.8
	longFlowHighPressure  = 1.6
	// slowStartFactor multiplies the load of a target in slow start, which runs
	// requests more slowly.
	slowStartFactor = 1.6
	// maxLocalSample and maxRemoteSample bound the numbers of candidates that are
	// compared for a new flow, in the local data centre and in each region outside of
	// it. Longer lists are sampled at random, which bounds the cost of placing a flow.
	maxLocalSample  = 16
	maxRemoteSample = 12
	// minRetryDelay and maxRetryDelay bound the time for which a suspected target
	// gets no flows. The delay doubles with each failed retry. A single lost
	// opening packet excludes a healthy target for minRetryDelay.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
)

// selection holds the best candidates found so far for a new flow.
type selection struct {
	best, fallback         *target // fallback is a suspected target or the target to avoid
	bestLoad, fallbackLoad float64
}

// placement is a new flow for which a target is sought.
type placement struct {
	route   *Route
	service ids.Service // one of the services of route
	avoid   *target     // has not answered the opening packet, or nil
	long    bool        // flows of the route usually carry several requests
}

// choose returns the target with the lowest load for a new flow, or nil when the service
// has none that may get it. Suspected targets and avoid are used only if there are no
// others.
func (c *Core) choose(now ids.Time, flow *placement) *target {
	p := c.targets.pools[flow.service]
	if p == nil {
		return nil
	}
	var s selection
	penalty := remotePenaltyAt(p.updatePressure(now, c.instanceCount), flow.long)
	c.compareLists(now, &s, p, flow, maxLocalSample, maxRemoteSample, penalty)
	if s.best == nil && s.fallback == nil && len(c.routes.coldStarts) > 0 {
		// The samples had cold targets only.
		c.compareLists(now, &s, p, flow, math.MaxInt, math.MaxInt, penalty)
	}
	if s.best != nil {
		return s.best
	}
	return s.fallback
}

// compareLists compares the candidates of p in the regions that the route allows.
func (c *Core) compareLists(now ids.Time, s *selection, p *pool, flow *placement, localSample, remoteSample int, penalty float64) {
	if flow.route.allows(c.targets.regions[string(c.settings.DataCentre)]) {
		c.compareCandidates(now, s, p.local.targets, localSample, flow, 0)
	}
	for _, r := range p.remote {
		if flow.route.allows(r.region) {
			c.compareCandidates(now, s, r.targets, remoteSample, flow, penalty)
		}
	}
}

// remotePenaltyAt returns the load per slot that is added to targets of other
// data centres at the given pressure on the local data centre.
func remotePenaltyAt(pressure float64, long bool) float64 {
	low, high := shortFlowLowPressure, shortFlowHighPressure
	if long {
		low, high = longFlowLowPressure, longFlowHighPressure
	}
	fraction := min(max((pressure-low)/(high-low), 0), 1)
	return remotePenalty + fraction*(minRemotePenalty-remotePenalty)
}

// compareCandidates compares up to sample candidates from list and updates s. It
// adds penalty to their load.
func (c *Core) compareCandidates(now ids.Time, s *selection, list []*target, sample int, flow *placement, penalty float64) {
	n := min(len(list), sample)
	start := c.randomIndex(len(list)) // random start, so that ties do not always favour the first target
	for i := range n {
		t := list[(start+i)%len(list)]
		if len(list) > sample {
			t = list[c.randomIndex(len(list))]
		}
		if !c.coldRoom(now, t, flow.route) {
			continue
		}
		load := t.load(now) + penalty
		if t.otherRegion {
			load += regionPenalty
		}
		if t == flow.avoid || t.excluded(now) {
			if s.fallback == nil || s.fallback == flow.avoid || (t != flow.avoid && load < s.fallbackLoad) {
				s.fallback, s.fallbackLoad = t, load
			}
			continue
		}
		if s.best == nil || load < s.bestLoad {
			s.best, s.bestLoad = t, load
		}
	}
}

// load returns the number of active requests per slot that t would have with one
// more request. Idle flows and slow start add to it.
func (t *target) load(now ids.Time) float64 {
	load := (float64(t.activeRequests+1) + idleFlowLoad*float64(t.flows)) / float64(t.Slots)
	if now.Before(t.coldUntil()) {
		load *= slowStartFactor
	}
	return load
}

// randomIndex returns a pseudo-random number from 0 to n-1, or 0 when n is 0.
func (c *Core) randomIndex(n int) int {
	c.rngState = ids.Mix(c.rngState, 1)
	if n == 0 {
		return 0
	}
	return int(c.rngState % uint64(n))
}
