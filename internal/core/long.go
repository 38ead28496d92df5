package core

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// longOverdueDivisor is the part of the queue time, one in longOverdueDivisor, after which
// a waiting long request may exceed the limit over all owners if none has
// started here since. It bounds the wait when reports are lost or co-owners
// hold the whole limit all the time.
const longOverdueDivisor = 4

// mayStart reports whether a request of class may take a slot here now.
func (c *Core) mayStart(s *service, class spread.Class) bool {
	if s.pool.Free(class) <= 0 {
		return false
	}
	if class == spread.Short {
		return true
	}
	overdue := s.longWaits != 0 && c.now.Sub(s.longWaits) >= s.limiter.MaxQueueTime/longOverdueDivisor
	return overdue || c.longRoom(s)
}

// timeLongs starts the time after which a long request may exceed the limit
// over all owners. It does not start again while the limit comes and goes, so
// that quicker co-owners cannot make a request starve.
func (c *Core) timeLongs(s *service) {
	switch {
	case s.queues[spread.Long].Len() == 0:
		s.longWaits = 0
	case s.longWaits == 0:
		s.longWaits = c.now
	}
}

// longRoom reports whether one more long request keeps the sum over all owners
// within the limit. An old report counts as no long request. Owners that start
// one within the time that a report takes may exceed the limit for a while.
func (c *Core) longRoom(s *service) bool {
	limit, binds := s.sharedLongLimit()
	if !binds {
		return true
	}
	longs := s.pool.LongInUse()
	for i := range s.peers {
		if p := &s.peers[i]; c.now.Sub(p.heard) <= loadReportTTL {
			longs += p.longs
		}
	}
	return longs < limit
}

// sharedLongLimit returns the limit on long requests over all owners, and
// whether it is lower than the sum of the limits of the owners. Each of these
// is at least one slot, so that with few slots each they add up to more than
// the part of all slots that the profile allows. With many owners the limit is
// not applied, which bounds the cost of a decision and of the reports.
func (s *service) sharedLongLimit() (limit int, binds bool) {
	if len(s.peers) == 0 || len(s.peers) > scanPeers {
		return 0, false
	}
	slots := s.pool.Usable()
	sum := s.pool.LongLimit(slots)
	for i := range s.peers {
		slots += s.peers[i].slots
		sum += s.pool.LongLimit(s.peers[i].slots)
	}
	limit = s.pool.LongLimit(slots)
	return limit, limit < sum
}

// relayLong relays one waiting long request that cannot start here to a
// co-owner that may start it. Otherwise it would wait for the long request that
// runs here while the limit leaves room elsewhere.
func (c *Core) relayLong(s *service) {
	q := &s.queues[spread.Long]
	if !c.accepting() || q.Len() == 0 || s.pool == nil || s.pool.Free(spread.Long) > 0 {
		return
	}
	p := c.freePeer(s, spread.Long)
	if p == nil || p.slots == 0 {
		return
	}
	found := false
	q.RemoveIf(func(r *request) bool {
		if found || !c.relayable(r) {
			return false
		}
		found = true
		return true
	}, func(r *request) {
		p.longs++ // until the next report
		c.forwardQueued(r, p.id)
	})
}

// reportLongs reports at once to all co-owners that the number of long requests
// here has changed while the limit over all owners applies, or that requests
// with another key are long: an old number lets several owners exceed the
// limit together.
func (c *Core) reportLongs(s *service) {
	if s.pool == nil || s.owned() == 0 || len(s.peers) > scanPeers {
		s.longKey, s.longRun = 0, 0
		return
	}
	longs := s.pool.LongInUse()
	if longs == s.reportedLongs && s.longKey == 0 {
		return
	}
	if _, binds := s.sharedLongLimit(); binds || s.longKey != 0 {
		for i := range s.peers {
			c.reportLoad(s, s.peers[i].id)
		}
	}
	s.reportedLongs, s.longKey, s.longRun = longs, 0, 0
}

// reportLoad sends a message that only carries the load.
func (c *Core) reportLoad(s *service, to ids.Instance) {
	b := c.peer(s)
	b.slotFree = peerwire.SlotFree{Service: s.name}
	b.message.SlotFree = &b.slotFree
	c.send(to, b)
}

// onlyLong reports whether long requests hold all usable slots here.
func (s *service) onlyLong() bool {
	return s.pool != nil && s.pool.Usable() > 0 && s.pool.LongInUse() >= s.pool.Usable()
}

// shortPeer returns a co-owner that has slots without long requests, preferring
// the one with the shortest known queue for each of them.
func (c *Core) shortPeer(s *service) *peer {
	n := len(s.peers)
	if n == 0 {
		return nil
	}
	var best *peer
	start := c.rng.IntN(n)
	for i := range min(n, scanPeers) {
		p := &s.peers[(start+i)%n]
		if p.slots <= p.longs || p.refuse || c.now.Sub(p.heard) > loadReportTTL {
			continue
		}
		if best == nil || p.backlog*(best.slots-best.longs) < best.backlog*(p.slots-p.longs) {
			best = p
		}
	}
	return best
}

// relayShort relays waiting short requests while long ones hold all slots here:
// the next slot becomes free only after the run time of a long request.
func (c *Core) relayShort(s *service) {
	q := &s.queues[spread.Short]
	if q.Len() == 0 || !c.accepting() || !s.onlyLong() || c.shortPeer(s) == nil {
		return
	}
	q.RemoveIf(c.relayable, func(r *request) {
		p := c.shortPeer(s)
		p.backlog++ // until the next report
		c.forwardQueued(r, p.id)
	})
}
