package core

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// maxEvictionsPerTick limits the number of expired entries removed from each
// table per tick.
const maxEvictionsPerTick = 256

// Tick handles all timers that have expired. It is called every 10 ms.
func (c *Core) Tick(now ids.Time, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	c.lastTick = c.now
	c.membership.Tick(c.now, c.emitPeerMessage)
	c.checkMembership()
	c.configSyncer.Tick(c.now, c.configStore, c.membership.Serving(), c.requestConfigFunc)
	c.finishJoining()
	c.slotTable.Tick(c.now, c.emitHealthCheck)
	c.tickServices()
	// In reverse order, as remove moves the last element into the freed index.
	// A timer removes only the request that it belongs to, or queued ones.
	for i := len(c.liveRequests) - 1; i >= 0; i-- {
		if i < len(c.liveRequests) {
			c.checkRequest(c.liveRequests[i])
		}
	}
	c.retransmit()
	c.feeds.Sweep(c.feeds.Len()/feedSweepTicks+1, c.checkFeedFunc)
	c.admissions.Evict(c.now, maxEvictionsPerTick)
	c.blockRoutes.Evict(c.now, maxEvictionsPerTick)
	c.ackRoutes.Evict(c.now, maxEvictionsPerTick)
	c.tickStop()
}

// checkMembership applies a changed list of serving instances.
func (c *Core) checkMembership() {
	if incarnation, ok := c.membership.Superseded(); ok {
		// A later process with the same instance ID is running. If both kept
		// serving, slots would have two owners permanently.
		c.log("superseded", "incarnation="+decimal(uint64(incarnation)))
		c.exit()
		return
	}
	if c.membership.Changed() {
		c.applyMembership()
	}
}

func (c *Core) applyMembership() {
	c.generation++
	for _, m := range c.membership.Members() {
		if m.ID != c.self.ID && m.Incarnation > c.incarnations[m.ID] {
			c.incarnations[m.ID] = m.Incarnation
		}
	}
	serving := c.membership.Serving()
	if c.stop.phase == running {
		c.slotTable.SetInstances(c.now, serving)
	} else {
		c.routes.SetInstances(c.now, c.otherInstances())
	}
	for _, s := range c.busyServices {
		c.refreshOwnership(s)
	}
}

// otherInstances returns the serving instances except this one.
func (c *Core) otherInstances() []ids.Instance {
	var list []ids.Instance
	for _, id := range c.membership.Serving() {
		if id != c.self.ID {
			list = append(list, id)
		}
	}
	return list
}

// finishJoining ends the joining state once the membership view and the
// configuration are up to date.
func (c *Core) finishJoining() {
	if c.membership.State() != peerwire.Joining || c.stop.phase != running || !c.membership.Synced() || !c.configSyncer.Ready() {
		return
	}
	if c.membership.Fire(member.Ready) {
		c.log("serving", "revision="+decimal(uint64(c.configStore.Revision())))
		c.applyMembership()
	}
}

// handleResume handles the end of a pause of the process: peers may have
// declared this instance failed, so its membership view, slots and
// configuration may be out of date.
func (c *Core) handleResume() {
	pause := c.now.Sub(c.lastTick)
	c.lastTick = c.now
	c.counters.Pauses++
	c.log("resumed", "pause="+pause.String())
	if c.stop.phase == running {
		c.membership.Fire(member.Resume)
		c.configSyncer.Resume(c.now)
		c.applyMembership()
	}
	for _, s := range c.busyServices {
		c.expireQueues(s)
	}
}

func (c *Core) expireQueues(s *service) {
	for class := range s.queues {
		if q := &s.queues[class]; q.Len() > 0 {
			q.RemoveIf(c.queueExpiredFunc, c.rejectQueuedFunc)
		}
	}
}

// tickServices processes the services with pending work.
func (c *Core) tickServices() {
	for i := 0; i < len(c.busyServices); {
		s := c.busyServices[i]
		c.refreshOwnership(s)
		if s.backlog() > 0 {
			c.expireQueues(s)
			if s.removed || s.ownedSlots() == 0 {
				c.evacuate(s)
			}
		}
		c.dispatch(s)
		c.relayShort(s)
		c.relayLong(s)
		c.updateLongWait(s)
		c.reportLongCount(s)
		c.reportLoads(s)
		if s.backlog() == 0 && len(s.waitingForTarget) == 0 && c.now.Sub(s.lastWork) > idleTimeout {
			s.busy = false
			last := len(c.busyServices) - 1
			c.busyServices[i], c.busyServices[last] = c.busyServices[last], nil
			c.busyServices = c.busyServices[:last]
			continue
		}
		i++
	}
}

// evacuate empties the queues of a service in which this instance no longer
// owns a slot: requests are relayed to their home instance, or rejected.
func (c *Core) evacuate(s *service) {
	for class := range s.queues {
		s.queues[class].RemoveIf(func(*request) bool { return true }, func(r *request) {
			home, ok := c.homeInstance(s, r.hash)
			if ok && !s.removed && home != c.self.ID && c.relayable(r) {
				c.forwardQueued(r, home)
				return
			}
			c.rejectQueued(r)
		})
	}
}

// HandleHealth handles the result of a health check.
func (c *Core) HandleHealth(now ids.Time, e *HealthEvent, out *Effects) {
	c.begin(now, out)
	s := c.services[e.Service]
	if s == nil || c.exited {
		return
	}
	c.refreshOwnership(s)
	if s.pool == nil {
		return
	}
	s.pool.RecordCheck(c.now, spread.CheckResult{Target: e.Target, Healthy: e.Healthy, Draining: e.Draining, Load: e.Load, Duration: e.Duration})
	c.dispatch(s)
}
