package passthrough

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// recordGracePeriod is the time after an outage of the platform within which a
	// live target whose record expired has published it again.
	recordGracePeriod = 2 * time.Second
	// sweepInterval is the interval at which one part of the flow table is checked
	// for idle flows. sweepParts is the number of parts.
	sweepInterval = 100 * time.Millisecond
	sweepParts    = 16
)

// SetInstances sets the number of instances that share the callers of the data
// centre.
func (c *Core) SetInstances(n int) { c.instanceCount = max(n, 1) }

// ApplyConfig activates a version of the configuration and returns true if the
// version is newer than the active one.
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

// Version returns the version of the active configuration, or 0 if there is none.
func (c *Core) Version() uint64 { return c.routes.version }

// PutTarget adds a target or updates its record.
func (c *Core) PutTarget(now ids.Time, r *TargetRecord) {
	t, changed := c.targets.put(now, r)
	if changed {
		c.addEvent(Event{Kind: TargetChanged, Target: t.Name, Service: t.Service, Reason: c.lifecycleName(t), Address: t.Address})
	}
}

func (c *Core) lifecycleName(t *target) string { return chart.Backend.StateName(t.lifecycle.State()) }

// RemoveTarget handles the disappearance of a target's record from the platform.
// Shortly after an outage of the platform the record of a live target may have
// expired, so the target then stays in use until recordGracePeriod is over.
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

// RemoveUnreadable handles a target whose record has become unreadable. The target
// gets no new flows, but its open flows are kept because it may be alive.
func (c *Core) RemoveUnreadable(now ids.Time, name string) {
	if t := c.targets.byName[name]; t != nil && t.lifecycle.State() != chart.BackendGone {
		c.retireTarget(now, t)
		t.presumedDead = false
	}
}

// retireTarget stops new flows to t, whose record has disappeared while the
// platform was up: t was shut down, or has missed several heartbeats.
func (c *Core) retireTarget(now ids.Time, t *target) {
	c.targets.retire(t)
	t.presumedDead = t.Draining || !c.aliveAfterMissedHeartbeat(now, t)
	c.removals = append(c.removals, removal{t.Name, t.StartedAt, now})
	c.addEvent(Event{Kind: TargetChanged, Target: t.Name, Service: t.Service, Reason: c.lifecycleName(t), Address: t.Address})
}

// missedHeartbeats is the number of heartbeats that a target has certainly missed
// when its record expires. The third is due at that moment.
const missedHeartbeats = 2

// aliveAfterMissedHeartbeat reports whether a target has proved that it is alive
// after its first missed heartbeat: it is then only cut off from the platform.
func (c *Core) aliveAfterMissedHeartbeat(now ids.Time, t *target) bool {
	return t.lastAlive != 0 && now.Sub(t.lastAlive) < missedHeartbeats*c.settings.HeartbeatInterval
}

// ReplaceTargets applies a complete list of targets. Targets that are not in the
// list are removed.
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

// PlatformRecovered records that the platform answers again after an outage.
func (c *Core) PlatformRecovered(now ids.Time) { c.platformRecoveredAt = now }

// Tick performs the work that depends on time. It must be called at least every
// sweepInterval while there are flows.
func (c *Core) Tick(now ids.Time) {
	c.expireOpenings(now)
	c.updateIsolation(now)
	c.sendExtraOpenings(now)
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
	// A flow lasts at most FlowLifetime. After that time no packet carries the
	// cookie of a removed target.
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
	for range (n + sweepParts - 1) / sweepParts {
		c.flows.sweepIndex = (c.flows.sweepIndex + 1) % n
		f := &c.flows.slots[c.flows.sweepIndex]
		if f.state == flowFree {
			continue
		}
		idle := now.Sub(f.lastSeen)
		if idle > c.routes.idleTimeout && c.routes.idleTimeout > 0 || idle > c.settings.FlowLifetime || idle > stateLifetime(f.state) {
			c.removeFlow(f)
			continue
		}
		if t := c.target(f); t != nil && f.requestActive && idle > c.requestTimeout(f) {
			c.finishRequest(f, t) // the caller's request has timed out
		}
	}
}

// maxOpeningAge is the time after which a caller stops sending copies of an opening
// packet.
const maxOpeningAge = 1400 * time.Millisecond

// resetMemory is the time for which a flow that was reset is remembered. A caller that has
// missed the reset repeats its packet after at most 1.6 s.
const resetMemory = 4 * time.Second

// stateLifetime returns the idle time after which a flow in a state cannot go on.
func stateLifetime(s flowState) time.Duration {
	switch s {
	case flowOpening:
		return maxOpeningAge
	case flowReset:
		return resetMemory
	}
	return math.MaxInt64
}

// defaultRequestTimeout is the request timeout of a route that sets none.
const defaultRequestTimeout = 5 * time.Second

func (c *Core) requestTimeout(f *flow) time.Duration {
	if r := c.routes.routes[f.key.Service]; r != nil && r.Timeout > 0 {
		return r.Timeout
	}
	return defaultRequestTimeout
}
