package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// lapseGrace is the time after the return of the platform within which a
	// live target whose record had lapsed is back.
	recordGracePeriod = 2 * time.Second
	// sweepEvery is the interval at which a part of the flow table is checked
	// for idle flows, and sweepParts the number of parts.
	sweepInterval = 100 * time.Millisecond
	sweepFraction = 16
)

// SetInstances tells the core how many instances share the callers of its data
// centre.
func (c *Core) SetInstances(n int) { c.instanceCount = max(n, 1) }

// Config puts a version of the configuration in force, unless it is not newer
// than the present one.
func (c *Core) ApplyConfig(config *Config) bool {
	old := c.routes.version
	if !c.routes.apply(config) {
		return false
	}
	for to := range c.requestsPerFlow {
		if c.routes.routes[to] == nil {
			delete(c.requestsPerFlow, to)
		}
	}
	c.addEvent(Event{Kind: ConfigApplied, Version: config.Version, OldVersion: old, Routes: len(config.Routes)})
	return true
}

// Version returns the version of the configuration in force, 0 for none.
func (c *Core) Version() uint64 { return c.routes.version }

// Put records what a target has published.
func (c *Core) PutTarget(now ids.Time, r *TargetRecord) {
	t, changed := c.targets.put(now, r)
	if changed {
		c.addEvent(Event{Kind: TargetChanged, Target: t.Name, Service: t.Service, Reason: c.lifecycleName(t), Address: t.Address})
	}
}

func (c *Core) lifecycleName(t *target) string { return chart.Backend.StateName(t.lifecycle.State()) }

// Remove records that a target's record has disappeared from the platform.
// Shortly after an outage of the platform the record may merely have lapsed;
// then the target stays in use for a while.
func (c *Core) RemoveTarget(now ids.Time, name string) {
	t := c.targets.byName[name]
	if t == nil || t.lifecycle.State() == chart.BackendGone || t.missingSince != 0 {
		return
	}
	if c.platformRecoveredAt != 0 && now.Sub(c.platformRecoveredAt) < recordGracePeriod {
		t.missingSince = now
		c.addEvent(Event{Kind: TargetLapsed, Target: name, Service: t.Service})
		return
	}
	c.retireTarget(now, t)
}

// Disregard records that the entry of a target cannot be read any more. The
// target gets no new flows, but it may be alive.
func (c *Core) RemoveUnreadable(now ids.Time, name string) {
	if t := c.targets.byName[name]; t != nil && t.lifecycle.State() != chart.BackendGone {
		c.retireTarget(now, t)
		t.presumedDead = false
	}
}

// remove ends the use of t, whose record has disappeared while the platform was
// up: it has left, or was silent for several heartbeats.
func (c *Core) retireTarget(now ids.Time, t *target) {
	c.targets.retire(t)
	t.presumedDead = t.Draining || !c.aliveAfterMissedHeartbeat(now, t)
	c.removals = append(c.removals, removal{t.Name, t.StartedAt, now})
	c.addEvent(Event{Kind: TargetChanged, Target: t.Name, Service: t.Service, Reason: c.lifecycleName(t), Address: t.Address})
}

// heartbeatsMissed is the number of heartbeats that a target has missed for
// certain when its record lapses: the third is due at that moment.
const missedHeartbeats = 2

// outlived reports whether a target has shown a sign of life after the first
// heartbeat that it missed: then it was not dead but cut off from the platform.
func (c *Core) aliveAfterMissedHeartbeat(now ids.Time, t *target) bool {
	return t.lastAlive != 0 && now.Sub(t.lastAlive) < missedHeartbeats*c.settings.HeartbeatInterval
}

// Replace records a complete list of targets. Those that are not in it are
// removed.
func (c *Core) ReplaceTargets(now ids.Time, list []*TargetRecord) {
	if c.listReceivedAt == 0 {
		c.listReceivedAt = now
	}
	present := make(map[string]bool, len(list))
	for _, r := range list {
		present[r.Name] = true
		c.PutTarget(now, r)
	}
	for _, t := range c.targets.slots {
		if t != nil && !present[t.Name] {
			c.RemoveTarget(now, t.Name)
		}
	}
}

// PlatformBack records that the platform answers again after an outage.
func (c *Core) PlatformRecovered(now ids.Time) { c.platformRecoveredAt = now }

// Tick does the work that is due with the passage of time. It is to be called
// at least every sweepEvery while there are flows.
func (c *Core) Tick(now ids.Time) {
	c.expireOpenings(now)
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	c.sweepTargets(now)
	c.sweepFlows(now)
}

func (c *Core) sweepTargets(now ids.Time) {
	for _, t := range c.targets.slots {
		if t == nil {
			continue
		}
		if t.missingSince != 0 && t.lifecycle.State() != chart.BackendGone && now.Sub(c.platformRecoveredAt) >= recordGracePeriod {
			c.retireTarget(now, t)
		}
		if t.lifecycle.State() == chart.BackendStarting && !now.Before(t.slowStartUntil) {
			t.lifecycle.Fire(chart.BackendReady)
		}
	}
	// A flow lives at most FlowLife, so that after it no cookie names a target
	// that was removed.
	for len(c.removals) > 0 && now.Sub(c.removals[0].removedAt) >= c.settings.FlowLifetime {
		r := c.removals[0]
		c.removals = c.removals[1:]
		if t := c.targets.byName[r.name]; t != nil && t.StartedAt == r.startedAt && t.lifecycle.State() == chart.BackendGone {
			c.targets.delete(t)
		}
	}
}

func (c *Core) sweepFlows(now ids.Time) {
	n := len(c.flows.slots)
	if n == 0 {
		return
	}
	for range (n + sweepFraction - 1) / sweepFraction {
		c.flows.sweepIndex = (c.flows.sweepIndex + 1) % n
		f := &c.flows.slots[c.flows.sweepIndex]
		if f.state == flowFree {
			continue
		}
		idle := now.Sub(f.lastSeen)
		if idle > c.routes.idle && c.routes.idle > 0 || idle > c.settings.FlowLifetime || (f.state == flowOpening && idle > maxOpeningAge) {
			c.removeFlow(f)
			continue
		}
		if t := c.target(f); t != nil && f.requestActive && idle > c.requestTimeout(f) {
			c.finishRequest(f, t) // the caller has given up
		}
	}
}

// openingLife is the time after which a caller has given up an opening.
const maxOpeningAge = 1400 * time.Millisecond

// defaultTimeout is the longest time of a request on a route without one.
const defaultRequestTimeout = 5 * time.Second

func (c *Core) requestTimeout(f *flow) time.Duration {
	if r := c.routes.routes[f.key.Service]; r != nil && r.Timeout > 0 {
		return r.Timeout
	}
	return defaultRequestTimeout
}
