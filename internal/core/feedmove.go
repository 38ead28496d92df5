package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// moveAfter is the least age of a feed that moves to another home, and the
// time after which the new home is asked again. While membership lists differ
// it keeps a feed from moving back and forth.
const moveAfter = 2 * time.Second

// checkFeed applies the timers of a feed; each feed is visited once a second,
// or more often when there are few.
func (c *Core) checkFeed(f *flow.Feed) {
	s := c.services[f.Service]
	if s == nil || s.removed {
		c.endFeed(f)
		return
	}
	if p := &f.Pending; p.Present && p.Type == message.Confirmable && !p.Acked && c.now.Sub(p.Since) >= ackAfter {
		p.Acked = true
		x := exchange{svc: s, caller: f.Caller, id: p.ID}
		c.ack(&x)
	}
	if f.Next.Token != 0 {
		c.checkRegistration(f, &f.Next)
		return
	}
	if f.Pending.Present && f.Active.Token != 0 {
		c.checkRegistration(f, &f.Active)
	}
	if f.Overdue(c.now) && c.now >= f.RetryAt {
		c.replace(f, f.Reregistrations > 0)
		f.Reregistrations++
	} else if pool := c.table.Pool(f.Service); pool != nil && pool.OutOfService(f.Active.Target) {
		c.replace(f, true)
	}
	c.checkHome(f, s)
}

// checkRegistration sends a registration again, or gives it up.
func (c *Core) checkRegistration(f *flow.Feed, up *flow.Upstream) {
	if c.now.Sub(up.LastSent) < registerTimeout {
		return
	}
	if up.Transmissions < registerTries {
		c.register(f, up)
		return
	}
	if up == &f.Active {
		f.Pending = flow.Pending{} // the caller repeats its refresh
	}
	c.registrationFailed(f, up, spread.Timeout)
}

// checkHome hands a feed over to its home when that is another instance.
func (c *Core) checkHome(f *flow.Feed, s *service) {
	home, ok := c.home(s, ids.HashEndpoint(f.Caller))
	if !ok || home == c.self.ID {
		f.MovingTo = ""
		return
	}
	if !f.Active.Established || c.stop.phase == running && c.now.Sub(f.Created) < moveAfter ||
		f.MovingTo == home && c.now.Sub(f.MoveSentAt) < moveAfter {
		return
	}
	f.MovingTo, f.MoveSentAt = home, c.now
	b := c.peer(s)
	b.message.FeedMove = f.HandoverRecord()
	c.send(home, b)
	for _, q := range c.confirmList {
		if q.isFeed && q.feed == f.Key {
			c.ackRoute(s, f.Caller, q.key.ID, 0, home)
		}
	}
}

// feedMove takes a feed over from its old home, which keeps serving it until
// the first notification has arrived here.
func (c *Core) feedMove(from ids.Instance, m *peerwire.FeedMove) {
	s := c.services[m.Service]
	k, err := flow.ParseKey(m.Service, m.Caller, m.Token)
	if err != nil {
		c.counts.Malformed++
		return
	}
	if s == nil || !c.accepting() {
		c.feedMoved(from, k, true)
		return
	}
	c.refresh(s)
	f, fresh, err := c.feeds.AcceptHandover(c.now, m)
	switch {
	case err != nil:
		c.counts.Malformed++
	case !fresh && f.Active.Established:
		c.feedMoved(from, k, false)
	case !fresh:
		f.MovedFrom = from
	default:
		c.takeFeed(s, f, from)
	}
}

func (c *Core) takeFeed(s *service, f *flow.Feed, from ids.Instance) {
	if s.pool != nil {
		if target, endpoint, ok := s.pool.OpenFeed(c.now, ""); ok {
			f.MovedFrom = from
			c.registerNext(f, target, endpoint)
			return
		}
	}
	c.feeds.Remove(f)
	c.feedMoved(from, f.Key, true)
}

func (c *Core) feedMoved(to ids.Instance, k flow.Key, refused bool) {
	b := c.peer(c.services[k.Service])
	b.message.FeedMoved = flow.HandoverReply(k, refused)
	c.send(to, b)
}

// feedMovedAway ends a feed here once its new home serves it.
func (c *Core) feedMovedAway(from ids.Instance, m *peerwire.FeedMoved) {
	k, err := flow.ParseKey(m.Service, m.Caller, m.Token)
	if err != nil {
		c.counts.Malformed++
		return
	}
	f := c.feeds.Get(k)
	if f == nil || f.MovingTo != from || m.Refused {
		return // after a refusal the home is asked again
	}
	c.counts.FeedsMoved++
	for _, q := range c.confirmList {
		if q.isFeed && q.feed == k {
			q.isFeed = false // delivered to the end, although the feed has moved
		}
	}
	c.endFeed(f)
}
