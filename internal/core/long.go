package core

import (
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// longOverdueDivisor determines when a long request may exceed the limit over all
// owners: when long requests have waited at this instance for the maximum queue
// time divided by longOverdueDivisor and none has started. This bounds the wait
// when reports are lost or co-owners use the whole limit all the time.
const longOverdueDivisor = 4

// mayStart reports whether a request of class may take a slot here now.
func (c *Core) mayStart(s *service, class spread.Class) bool {
	if s.pool.Free(class) <= 0 {
		return false
	}
	if class == spread.Short {
		return true
	}
	overdue := s.longWaitingSince != 0 && c.now.Sub(s.longWaitingSince) >= s.limiter.MaxQueueTime/longOverdueDivisor
	return overdue || c.belowSharedLongLimit(s)
}

// updateLongWait records since when long requests have been waiting, which
// decides when one may exceed the limit over all owners. A change of the limit
// does not restart this time, so that faster co-owners cannot starve a request.
func (c *Core) updateLongWait(s *service) {
	switch {
	case s.queues[spread.Long].Len() == 0:
		s.longWaitingSince = 0
	case s.longWaitingSince == 0:
		s.longWaitingSince = c.now
	}
}

// belowSharedLongLimit reports whether the long requests of all owners stay
// within the limit if one more starts. An owner whose last report is too old
// counts as having none. Owners that start long requests before they receive
// each other's reports may together exceed the limit for a while.
func (c *Core) belowSharedLongLimit(s *service) bool {
	limit, applies := s.sharedLongLimit()
	if !applies {
		return true
	}
	longSlots := s.pool.LongInUse()
	for i := range s.peers {
		if p := &s.peers[i]; c.now.Sub(p.reportedAt) <= loadReportTTL {
			longSlots += p.longSlots
		}
	}
	return longSlots < limit
}

// sharedLongLimit returns the limit on long requests over all owners, and
// whether it is lower than the sum of the limits of the owners. Each of these
// is at least one slot, so owners with few slots each may together exceed the
// share of all slots that the profile allows. With many owners the limit is not
// applied, which bounds the cost of a decision and of the reports.
func (s *service) sharedLongLimit() (limit int, applies bool) {
	if len(s.peers) == 0 || len(s.peers) > maxScannedPeers {
		return 0, false
	}
	slots := s.pool.Usable()
	sum := s.pool.LongLimit(slots)
	for i := range s.peers {
		slots += s.peers[i].usableSlots
		sum += s.pool.LongLimit(s.peers[i].usableSlots)
	}
	limit = s.pool.LongLimit(slots)
	return limit, limit < sum
}

// relayLong relays one waiting long request that cannot start here to a
// co-owner that may start it. Otherwise it would wait for the end of the long
// request that runs here although the limit allows it to start at another
// owner.
func (c *Core) relayLong(s *service) {
	queue := &s.queues[spread.Long]
	if !c.accepting() || queue.Len() == 0 || s.pool == nil || s.pool.Free(spread.Long) > 0 {
		return
	}
	p := c.freePeer(s, spread.Long)
	if p == nil || p.usableSlots == 0 {
		return
	}
	found := false
	queue.RemoveIf(func(r *request) bool {
		if found || !c.relayable(r) {
			return false
		}
		found = true
		return true
	}, func(r *request) {
		p.longSlots++ // until the next report
		c.forwardQueued(r, p.id)
	})
}

// reportLongCount reports to all co-owners at once when the number of long
// requests here has changed while the limit over all owners applies, or when
// requests with another key turn out to be long. With outdated numbers, several
// owners together could exceed the limit.
func (c *Core) reportLongCount(s *service) {
	if s.pool == nil || s.ownedSlots() == 0 || len(s.peers) > maxScannedPeers {
		s.endedLongKey, s.endedLongRunTime = 0, 0
		return
	}
	longSlots := s.pool.LongInUse()
	if longSlots == s.reportedLongCount && s.endedLongKey == 0 {
		return
	}
	if _, applies := s.sharedLongLimit(); applies || s.endedLongKey != 0 {
		for i := range s.peers {
			c.reportLoad(s, s.peers[i].id)
		}
	}
	s.reportedLongCount, s.endedLongKey, s.endedLongRunTime = longSlots, 0, 0
}

// reportLoad sends a message that only carries the load.
func (c *Core) reportLoad(s *service, to ids.Instance) {
	b := c.newPeerMessage(s)
	b.slotFree = peerwire.SlotFree{Service: s.name}
	b.message.SlotFree = &b.slotFree
	c.sendPeerMessage(to, b)
}

// longHoldsAllSlots reports whether long requests hold all usable slots here.
func (s *service) longHoldsAllSlots() bool {
	return s.pool != nil && s.pool.Usable() > 0 && s.pool.LongInUse() >= s.pool.Usable()
}

// peerForShort returns a co-owner that has slots without long requests,
// preferring the one with the shortest reported queue per such slot.
func (c *Core) peerForShort(s *service) *peer {
	n := len(s.peers)
	if n == 0 {
		return nil
	}
	var best *peer
	start := c.rng.IntN(n)
	for i := range min(n, maxScannedPeers) {
		p := &s.peers[(start+i)%n]
		if p.usableSlots <= p.longSlots || p.refusing || c.now.Sub(p.reportedAt) > loadReportTTL {
			continue
		}
		if best == nil || p.backlog*(best.usableSlots-best.longSlots) < best.backlog*(p.usableSlots-p.longSlots) {
			best = p
		}
	}
	return best
}

// relayShort relays waiting short requests while long ones hold all slots here:
// the next slot becomes free only after the run time of a long request.
func (c *Core) relayShort(s *service) {
	queue := &s.queues[spread.Short]
	if queue.Len() == 0 || !c.accepting() || !s.longHoldsAllSlots() || c.peerForShort(s) == nil {
		return
	}
	queue.RemoveIf(c.relayable, func(r *request) {
		p := c.peerForShort(s)
		p.backlog++ // until the next report
		c.forwardQueued(r, p.id)
	})
}
