package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// isolationDelay is the time without any new flow from which an instance counts as
	// isolated. It spans three times the wait for the answer to an opening.
	isolationDelay = 3 * openingTimeout
	// minIsolationFailures is the number of openings that must have failed in that time.
	minIsolationFailures = 5
	// isolationCheckInterval is the interval of the health checks by which an isolated
	// instance, which gets no flows, learns that it reaches a target again.
	isolationCheckInterval = 500 * time.Millisecond
	// isolationChecks is the number of targets that are checked each time: some may have
	// stopped.
	isolationChecks = 3
)

// isolation detects that no new flow reaches a target: the data centre of this instance has
// no usable one, as it is evacuated, and those of the others do not answer. Callers are
// better served by instances of other data centres then, so this one leaves the rotation.
// The fabric uses all instances of a data centre while any of them is in rotation, so one
// that starts there is isolated until a target has answered a check.
//
// An instance whose own data centre has targets never counts as isolated: if these fail, so
// they do for others, and all instances would leave. Neither does one that knows of no
// target at all: it can answer its callers at once.
type isolation struct {
	started   bool     // the targets are known
	failures  int      // unanswered openings since openedAt
	openedAt  ids.Time // when the last flow was opened, or the first opening after it failed
	began     ids.Time // zero while not isolated
	checkedAt ids.Time
}

// Isolated reports whether this instance should get no new flows.
func (c *Core) Isolated() bool { return c.isolation.began != 0 }

// recordOpened records that a target has answered an opening, or a check while isolated.
func (c *Core) recordOpened(now ids.Time) {
	i := &c.isolation
	i.failures, i.openedAt = 0, now
	if i.began != 0 {
		c.addEvent(Event{Kind: IsolationEnded, Age: now.Sub(i.began)})
		i.began = 0
	}
}

// recordUnopened records an opening that was not answered.
func (c *Core) recordUnopened(now ids.Time) {
	if c.isolation.failures++; c.isolation.failures == 1 {
		c.isolation.openedAt = now
	}
}

// updateIsolation begins or ends the isolation and requests the checks during it.
func (c *Core) updateIsolation(now ids.Time) {
	i := &c.isolation
	starting := !i.started && c.listReceivedAt != 0
	i.started = i.started || starting
	switch {
	case i.failures == 0 && i.began == 0 && !starting:
	case !c.onlyRemoteTargets():
		c.recordOpened(now)
	case i.began == 0 && (starting || i.failures >= minIsolationFailures && now.Sub(i.openedAt) >= isolationDelay):
		i.began = now
		c.addEvent(Event{Kind: IsolationBegan, Age: now.Sub(max(i.openedAt, c.listReceivedAt))})
	}
	if i.began != 0 && now.Sub(i.checkedAt) >= isolationCheckInterval {
		i.checkedAt = now
		if c.checkTargets(now) == 0 {
			c.recordOpened(now) // there is no way to tell
		}
	}
}

// onlyRemoteTargets reports whether all targets that may get new flows are in other data
// centres.
func (c *Core) onlyRemoteTargets() bool {
	remote := false
	for _, p := range c.targets.pools {
		if len(p.local.targets) > 0 {
			return false
		}
		remote = remote || !p.empty()
	}
	return remote
}

// checkTargets requests health checks of some targets that may get new flows, and returns
// their number.
func (c *Core) checkTargets(now ids.Time) (requested int) {
	n := len(c.targets.slots)
	start := c.randomIndex(n)
	for i := range n {
		t := c.targets.slots[(start+i)%n]
		if t == nil || !t.usable() || c.routes.health[t.Service] == "" {
			continue
		}
		t.lastCheckAt = 0 // the limit on checks is for suspicions
		c.requestCheck(now, t)
		if requested++; requested == isolationChecks {
			break
		}
	}
	return requested
}
