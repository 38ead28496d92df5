package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// minMoveInterval is the minimum age of a feed that moves to another home
// instance, and the time after which an unanswered handover is sent again. It
// keeps a feed from moving back and forth while the membership lists of the
// instances differ.
const minMoveInterval = 2 * time.Second

// checkFeed handles the expired timers of a feed. Each feed is checked once a
// second, or more often when there are few.
func (c *Core) checkFeed(f *flow.Feed) {
	s := c.services[f.Service]
	if s == nil || s.removed {
		c.endFeed(f)
		return
	}
	if p := &f.Pending; p.Present && p.Type == message.Confirmable && !p.Acked && c.now.Sub(p.Since) >= emptyAckDelay {
		p.Acked = true
		x := callerExchange{svc: s, caller: f.Caller, messageID: p.ID}
		c.sendEmptyAck(&x)
	}
	if f.Next.Token != 0 {
		c.checkRegistration(f, &f.Next)
		return
	}
	if f.Pending.Present && f.Active.Token != 0 {
		c.checkRegistration(f, &f.Active)
	}
	if f.Overdue(c.now) && c.now >= f.RetryAt {
		c.startReplacement(f, f.Reregistrations > 0)
		f.Reregistrations++
	} else if pool := c.slotTable.Pool(f.Service); pool != nil && pool.OutOfService(f.Active.Target) {
		c.startReplacement(f, true)
	}
	c.checkHome(f, s)
}

// checkRegistration retransmits an unanswered registration, or ends it after
// the last try.
func (c *Core) checkRegistration(f *flow.Feed, up *flow.Upstream) {
	if c.now.Sub(up.LastSent) < registerTimeout {
		return
	}
	if up.Transmissions < maxRegisterTries {
		c.sendRegistration(f, up)
		return
	}
	if up == &f.Active {
		f.Pending = flow.Pending{} // the caller will repeat its refresh
	}
	c.registrationFailed(f, up, spread.Timeout)
}

// checkHome hands a feed over to its home instance when that is another
// instance.
func (c *Core) checkHome(f *flow.Feed, s *service) {
	home, ok := c.homeInstance(s, ids.HashEndpoint(f.Caller))
	if !ok || home == c.self.ID {
		f.MovingTo = ""
		return
	}
	if !f.Active.Established || c.stop.phase == running && c.now.Sub(f.Created) < minMoveInterval ||
		f.MovingTo == home && c.now.Sub(f.MoveSentAt) < minMoveInterval {
		return
	}
	f.MovingTo, f.MoveSentAt = home, c.now
	b := c.newPeerMessage(s)
	b.message.FeedMove = f.HandoverRecord()
	c.sendPeerMessage(home, b)
	for _, q := range c.unackedList {
		if q.isFeed && q.feed == f.Key {
			c.sendAckRoute(s, f.Caller, q.key.ID, 0, home)
		}
	}
}

// handleFeedMove takes over a feed from its old home instance, which keeps
// serving it until the first notification has arrived at this one.
func (c *Core) handleFeedMove(from ids.Instance, m *peerwire.FeedMove) {
	s := c.services[m.Service]
	k, err := flow.ParseKey(m.Service, m.Caller, m.Token)
	if err != nil {
		c.counters.Malformed++
		return
	}
	if s == nil || !c.accepting() {
		c.sendFeedMoved(from, k, true)
		return
	}
	c.refreshOwnership(s)
	f, added, err := c.feeds.AcceptHandover(c.now, m)
	switch {
	case err != nil:
		c.counters.Malformed++
	case !added && f.Active.Established:
		c.sendFeedMoved(from, k, false)
	case !added:
		f.MovedFrom = from
	default:
		c.acceptFeed(s, f, from)
	}
}

func (c *Core) acceptFeed(s *service, f *flow.Feed, from ids.Instance) {
	if s.pool != nil {
		if target, endpoint, ok := s.pool.OpenFeed(c.now, ""); ok {
			f.MovedFrom = from
			c.registerNext(f, target, endpoint)
			return
		}
	}
	c.feeds.Remove(f)
	c.sendFeedMoved(from, f.Key, true)
}

func (c *Core) sendFeedMoved(to ids.Instance, k flow.Key, refused bool) {
	b := c.newPeerMessage(c.services[k.Service])
	b.message.FeedMoved = flow.HandoverReply(k, refused)
	c.sendPeerMessage(to, b)
}

// handleFeedMoved ends a feed at this instance once its new home instance
// serves it.
func (c *Core) handleFeedMoved(from ids.Instance, m *peerwire.FeedMoved) {
	k, err := flow.ParseKey(m.Service, m.Caller, m.Token)
	if err != nil {
		c.counters.Malformed++
		return
	}
	f := c.feeds.Get(k)
	if f == nil || f.MovingTo != from || m.Refused {
		return // after a refusal the handover is sent again later
	}
	c.counters.FeedsMoved++
	for _, q := range c.unackedList {
		if q.isFeed && q.feed == k {
			q.isFeed = false // still retransmitted until acknowledged, although the feed has moved
		}
	}
	c.endFeed(f)
}
