package core

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// evictions bounds the expired entries removed from each table in a tick.
const evictions = 256

// Tick advances all timers. It is called every 10 ms.
func (c *Core) Tick(now ids.Time, out *Effects) {
	c.begin(now, out)
	if c.exited {
		return
	}
	c.tick = c.now
	c.view.Tick(c.now, c.sendPeer)
	c.checkMembers()
	c.sync.Tick(c.now, c.store, c.view.Serving(), c.syncRequest)
	c.checkJoined()
	c.table.Tick(c.now, c.checkDue)
	c.tickServices()
	// In reverse, as drop moves the last element to the removed place. Timers
	// only drop the request that they are called for, or queued ones.
	for i := len(c.live) - 1; i >= 0; i-- {
		if i < len(c.live) {
			c.checkRequest(c.live[i])
		}
	}
	c.retransmit()
	c.feeds.Sweep(c.feeds.Len()/sweepParts+1, c.sweepFeed)
	c.admissions.Evict(c.now, evictions)
	c.blocks.Evict(c.now, evictions)
	c.ackRoutes.Evict(c.now, evictions)
	c.tickStop()
}

// checkMembers brings a changed list of serving instances into force.
func (c *Core) checkMembers() {
	if run, ok := c.view.Superseded(); ok {
		// A later process with the same id runs. Serving on would give one
		// slot two owners for good.
		c.log("superseded", "incarnation="+decimal(uint64(run)))
		c.leave()
		return
	}
	if c.view.Changed() {
		c.members()
	}
}

func (c *Core) members() {
	c.generation++
	for _, m := range c.view.Members() {
		if m.ID != c.self.ID && m.Incarnation > c.runs[m.ID] {
			c.runs[m.ID] = m.Incarnation
		}
	}
	serving := c.view.Serving()
	if c.stop.phase == running {
		c.table.SetInstances(c.now, serving)
	} else {
		c.routes.SetInstances(c.now, c.others())
	}
	for _, s := range c.busy {
		c.refresh(s)
	}
}

// others returns the serving instances except this one.
func (c *Core) others() []ids.Instance {
	var list []ids.Instance
	for _, id := range c.view.Serving() {
		if id != c.self.ID {
			list = append(list, id)
		}
	}
	return list
}

// checkJoined ends joining once the view and the configuration are current.
func (c *Core) checkJoined() {
	if c.view.State() != peerwire.Joining || c.stop.phase != running || !c.view.Synced() || !c.sync.Ready() {
		return
	}
	if c.view.Fire(member.Ready) {
		c.log("serving", "revision="+decimal(uint64(c.store.Revision())))
		c.members()
	}
}

// resume handles the end of a pause: peers have taken this instance for gone,
// so its view, its slots and its configuration may be out of date.
func (c *Core) resume() {
	pause := c.now.Sub(c.tick)
	c.tick = c.now
	c.counts.Pauses++
	c.log("resumed", "pause="+pause.String())
	if c.stop.phase == running {
		c.view.Fire(member.Resume)
		c.sync.Resume(c.now)
		c.members()
	}
	for _, s := range c.busy {
		c.expireQueues(s)
	}
}

func (c *Core) expireQueues(s *service) {
	for class := range s.queues {
		if q := &s.queues[class]; q.Len() > 0 {
			q.RemoveIf(c.queueExpiry, c.queueExpire)
		}
	}
}

// tickServices advances the services that have work.
func (c *Core) tickServices() {
	for i := 0; i < len(c.busy); {
		s := c.busy[i]
		c.refresh(s)
		if s.backlog() > 0 {
			c.expireQueues(s)
			if s.removed || s.owned() == 0 {
				c.evacuate(s)
			}
		}
		c.dispatch(s)
		c.relayShort(s)
		c.relayLong(s)
		c.timeLongs(s)
		c.reportLongs(s)
		c.reportLoads(s)
		if s.backlog() == 0 && len(s.pinned) == 0 && c.now.Sub(s.lastWork) > idleAfter {
			s.busy = false
			last := len(c.busy) - 1
			c.busy[i], c.busy[last] = c.busy[last], nil
			c.busy = c.busy[:last]
			continue
		}
		i++
	}
}

// evacuate empties the queues of a service of which no slot is owned any more:
// requests are relayed to their home, or rejected as not run.
func (c *Core) evacuate(s *service) {
	for class := range s.queues {
		s.queues[class].RemoveIf(func(*request) bool { return true }, func(r *request) {
			home, ok := c.home(s, r.hash)
			if ok && !s.removed && home != c.self.ID && c.relayable(r) {
				c.forwardQueued(r, home)
				return
			}
			c.rejectQueued(r)
		})
	}
}

// Health handles the result of a health check.
func (c *Core) HandleHealth(now ids.Time, e *HealthEvent, out *Effects) {
	c.begin(now, out)
	s := c.services[e.Service]
	if s == nil || c.exited {
		return
	}
	c.refresh(s)
	if s.pool == nil {
		return
	}
	s.pool.RecordCheck(c.now, spread.CheckResult{Target: e.Target, Healthy: e.Healthy, Draining: e.Draining, Load: e.Load, Duration: e.Duration})
	c.dispatch(s)
}
