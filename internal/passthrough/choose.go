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
	// data centres breaks when these are cut off from each other. A target queues
	// about four requests a slot before it rejects.
	remotePenalty = 4.0
	// coldFactor is how much slower a target is just after its start.
	coldFactor = 1.6
	// exhaustive is the number of candidates up to which all are compared; of
	// more, this many are drawn, which bounds the cost of a choice.
	exhaustive = 24
	// firstRetry and maxRetry bound the time for which a suspected target gets
	// no flows; it doubles with each try in vain. An opening packet that
	// was merely lost costs the target firstRetry.
	firstRetry = time.Second
	maxRetry   = 4 * time.Second
)

// choose returns the target with the lowest load for a new flow to a service,
// or nil when the service has none. Suspected targets and avoid are taken only
// if there are no others.
func (c *Core) choose(now ids.Time, service ids.Service, avoid int32) *target {
	list := c.targets.byService[service]
	var best, suspect *target
	var bestLoad, suspectLoad float64
	consider := func(t *target) {
		load := c.load(now, t)
		if t.index == avoid || t.suspected(now) {
			if suspect == nil || suspect.index == avoid || (t.index != avoid && load < suspectLoad) {
				suspect, suspectLoad = t, load
			}
			return
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if len(list) <= exhaustive {
		start := c.draw(len(list)) // ties do not always favour the first
		for i := range list {
			consider(list[(start+i)%len(list)])
		}
	} else {
		for range exhaustive {
			consider(list[c.draw(len(list))])
		}
	}
	if best == nil {
		return suspect
	}
	return best
}

// load is the number of requests that a new flow would find at t, per slot.
func (c *Core) load(now ids.Time, t *target) float64 {
	load := (float64(t.busy+1) + idleFlowLoad*float64(t.flows)) / float64(max(t.Slots, 1))
	if now.Before(t.coldUntil) {
		load *= coldFactor
	}
	if t.DataCentre != c.settings.DataCentre {
		load += remotePenalty
	}
	return load
}

// draw returns a number from 0 to n-1, or 0 when n is 0.
func (c *Core) draw(n int) int {
	c.random = mix(c.random, 1)
	if n == 0 {
		return 0
	}
	return int(c.random % uint64(n))
}
