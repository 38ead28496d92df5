package passthrough

import (
	"fmt"
	"math"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/coldlimit"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// SetMembers sets what is known of the instances that may send requests to the targets.
// Without it a target whose requests are limited gets none while it is cold.
func (c *Core) SetMembers(v coldlimit.View) {
	if v.Self != c.members.Self || !slices.Equal(v.Members, c.members.Members) {
		c.membersVersion++
	}
	c.members = v
}

// LimitsColdTargets reports whether any service limits the requests of its cold targets.
func (c *Config) LimitsColdTargets() bool {
	for _, s := range c.ColdStarts {
		if s.PerSecond > 0 {
			return true
		}
	}
	return false
}

// coldState is what an instance keeps of a target that is cold.
type coldState struct {
	// returnedUntil is when the target has warmed up after the evacuation of its data
	// centre, at the latest. Its record may not say so yet.
	returnedUntil ids.Time
	sent          coldlimit.Window // requests sent while its requests were limited
	rank          int              // of this instance in Core.members, for rankVersion
	rankVersion   uint32
}

// coldState returns the state of t as a cold target.
func (t *target) coldState() *coldState {
	if t.cold == nil {
		t.cold = &coldState{}
	}
	return t.cold
}

// coldUntil returns when t has warmed up.
func (t *target) coldUntil() ids.Time {
	if t.cold == nil {
		return t.slowStartUntil
	}
	return max(t.slowStartUntil, t.cold.returnedUntil)
}

// coldLimited reports whether the requests that t may get now are limited.
func (c *Core) coldLimited(now ids.Time, t *target) bool {
	return now.Before(t.coldUntil()) && c.routes.coldStarts[t.Service].PerSecond > 0
}

// coldQuota returns the number of requests that this instance may send to the cold target
// t in a second.
func (c *Core) coldQuota(now ids.Time, t *target) int {
	cold := t.coldState()
	if cold.rankVersion != c.membersVersion {
		cold.rank, cold.rankVersion = c.members.Rank(t.Identity), c.membersVersion
	}
	perSecond := c.routes.coldStarts[t.Service].PerSecond
	return c.members.Quota(now, cold.rank, perSecond*c.settings.ColdExcess+c.settings.ColdSlack)
}

// requestsOf returns the number of requests for which a new flow of a route counts at a
// cold target: all that it is going to carry, as they cannot be held back later.
func (c *Core) requestsOf(route *Route) int {
	return max(int(math.Ceil(c.requestsPerFlow[route.Address])), 1)
}

// coldRoom reports whether t may get a new flow of a route in spite of being cold.
func (c *Core) coldRoom(now ids.Time, t *target, route *Route) bool {
	return !c.coldLimited(now, t) || t.coldState().sent.Room(now, c.coldQuota(now, t)) >= c.requestsOf(route)
}

// countColdRequests records that a new flow of a route is placed on t.
func (c *Core) countColdRequests(now ids.Time, t *target, route *Route) {
	if c.coldLimited(now, t) {
		t.coldState().sent.Add(now, c.requestsOf(route))
	}
}

// maxColdSample bounds the number of cold targets of a list that are examined for the next
// one with room.
const maxColdSample = 64

// nextColdRoom returns when the first target of p may get a new flow of a route again, and
// false if none is withheld because it is cold.
func (c *Core) nextColdRoom(now ids.Time, p *pool, route *Route) (next ids.Time, limited bool) {
	consider := func(list []*target) {
		for _, t := range list[:min(len(list), maxColdSample)] {
			if !c.coldLimited(now, t) {
				continue
			}
			at := t.coldUntil()
			if room, ok := t.coldState().sent.NextRoom(now, c.coldQuota(now, t), c.requestsOf(route)); ok {
				at = min(at, room)
			}
			if !limited || at < next {
				next, limited = at, true
			}
		}
	}
	if route.allows(c.targets.regions[string(c.settings.DataCentre)]) {
		consider(p.local.targets)
	}
	for _, r := range p.remote {
		if route.allows(r.region) {
			consider(r.targets)
		}
	}
	return next, limited
}

// Callers send copies of an opening packet so long after the first one.
const (
	firstCopyAfter = 200 * time.Millisecond
	lastCopyAfter  = 600 * time.Millisecond
)

// timeToLastCopy returns the time after which the caller sends its last copy of an opening
// packet, if this one is the copy with the given number.
func timeToLastCopy(attempt uint32) time.Duration {
	switch attempt {
	case 0:
		return lastCopyAfter
	case 1:
		return lastCopyAfter - firstCopyAfter
	}
	return 0
}

// coldReason describes how much a cold target may get, or returns "".
func (c *Core) coldReason(now ids.Time, t *target) string {
	if !c.coldLimited(now, t) {
		return ""
	}
	quota := c.coldQuota(now, t)
	return fmt.Sprintf("cold, %d of %d requests a second left", t.coldState().sent.Room(now, quota), quota)
}
