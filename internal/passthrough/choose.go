package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// idleFlowLoad is the load that an open flow without a request counts for,
	// in requests: a caller of a long flow has a request in progress for a few
	// hundredths of the time.
	idleFlowLoad = 0.03
	// remotePenalty is the load per slot by which the targets of the own data
	// centre must exceed those of others before a flow goes there: a flow across
	// data centres breaks when these are cut off from each other. It falls to
	// remoteMinimum as the pressure on the own data centre rises from the low to
	// the high mark. A flow of a single request is over before a cut matters, so
	// its marks are lower than those of a flow that stays open.
	remotePenalty         = 4.0
	minRemotePenalty      = 0.25
	regionPenalty         = 2.0 // more for another region, whose round trip takes a run time
	shortFlowLowPressure  = 0.5
	shortFlowHighPressure = 1.0
	longFlowLowPressure   = 0.8
	longFlowHighPressure  = 1.6
	// coldFactor is how much slower a target is just after its start.
	slowStartFactor = 1.6
	// localSample and remoteSample are the numbers of candidates of the own and
	// of other data centres up to which all are compared; of more, as many are
	// drawn, which bounds the cost of a choice.
	maxLocalSample  = 16
	maxRemoteSample = 12
	// firstRetry and maxRetry bound the time for which a suspected target gets
	// no flows; it doubles with each try in vain. An opening packet that
	// was merely lost costs the target firstRetry.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
)

// selection finds the best candidate for a flow.
type selection struct {
	best, fallback         *target // the fallback is suspected or to be avoided
	bestLoad, fallbackLoad float64
}

// choose returns the target with the lowest load for a new flow to a service,
// or nil when the service has none. Suspected targets and avoid are taken only
// if there are no others. long tells that flows of this route stay open.
func (c *Core) choose(now ids.Time, service ids.Service, avoid *target, long bool) *target {
	p := c.targets.pools[service]
	if p == nil {
		return nil
	}
	var s selection
	c.compareCandidates(now, &s, p.local, maxLocalSample, avoid, 0)
	c.compareCandidates(now, &s, p.remote, maxRemoteSample, avoid, remotePenaltyAt(p.updatePressure(now, c.instanceCount), long))
	if s.best != nil {
		return s.best
	}
	return s.fallback
}

// penalty returns the load per slot that counts against other data centres at a
// pressure on the own one.
func remotePenaltyAt(pressure float64, long bool) float64 {
	low, high := shortFlowLowPressure, shortFlowHighPressure
	if long {
		low, high = longFlowLowPressure, longFlowHighPressure
	}
	part := min(max((pressure-low)/(high-low), 0), 1)
	return remotePenalty + part*(minRemotePenalty-remotePenalty)
}

// consider compares up to sample candidates of a list.
func (c *Core) compareCandidates(now ids.Time, s *selection, list []*target, sample int, avoid *target, extra float64) {
	n := min(len(list), sample)
	start := c.randomIndex(len(list)) // ties do not always favour the first
	for i := range n {
		t := list[(start+i)%len(list)]
		if len(list) > sample {
			t = list[c.randomIndex(len(list))]
		}
		load := t.load(now) + extra
		if t.otherRegion {
			load += regionPenalty
		}
		if t == avoid || t.excluded(now) {
			if s.fallback == nil || s.fallback == avoid || (t != avoid && load < s.fallbackLoad) {
				s.fallback, s.fallbackLoad = t, load
			}
			continue
		}
		if s.best == nil || load < s.bestLoad {
			s.best, s.bestLoad = t, load
		}
	}
}

// load is the number of requests that a new flow would find at t, per slot.
func (t *target) load(now ids.Time) float64 {
	load := (float64(t.activeRequests+1) + idleFlowLoad*float64(t.flows)) / float64(t.Slots)
	if now.Before(t.slowStartUntil) {
		load *= slowStartFactor
	}
	return load
}

// draw returns a number from 0 to n-1, or 0 when n is 0.
func (c *Core) randomIndex(n int) int {
	c.rngState = ids.Mix(c.rngState, 1)
	if n == 0 {
		return 0
	}
	return int(c.rngState % uint64(n))
}
