package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	registerTimeout  = time.Second // per transmission of a registration
	maxRegisterTries = 3           // transmissions to one backend server
	// feedRetryInterval is the time between attempts to replace a registration.
	feedRetryInterval = 2 * time.Second
	// maxFeedTargets is the maximum number of backend servers at which the
	// registration of a new feed is tried.
	maxFeedTargets = 3
	// confirmableInterval is the time after which a notification is sent
	// confirmable even if the backend server sent it non-confirmable, so that
	// the feed of a caller that no longer exists ends. RFC 7641 section 4.5
	// requires at most 24 h.
	confirmableInterval = 10 * time.Minute
	// feedSweepTicks is the number of ticks in which all feeds are checked
	// once, so that each is checked once a second and 14,000 feeds cost 140
	// checks a tick.
	feedSweepTicks = 100
)

func upstreamByToken(f *flow.Feed, token uint64) *flow.Upstream {
	switch token {
	case f.Next.Token:
		return &f.Next
	case f.Active.Token:
		return &f.Active
	}
	return nil
}

func feedKey(d *callerDatagram) flow.Key {
	return flow.Key{FlowKey: ids.FlowKey{Caller: d.caller, Service: d.svc.name}, Token: d.token}
}

// handleObserve handles an Observe registration or deregistration. A feed,
// which is an Observe registration of a caller, is kept at the home instance of
// its flow.
func (c *Core) handleObserve(d *callerDatagram) {
	f := c.feeds.Get(feedKey(d))
	home, ok := c.homeInstance(d.svc, d.hash)
	if f == nil && ok && home != c.self.ID && d.hops < maxHops {
		c.relay(d, home)
		return
	}
	switch {
	case d.msg.Observe == 1:
		if f != nil {
			c.endFeed(f)
		}
		c.place(d)
	case f != nil:
		c.refreshFeed(f, d)
	case c.unsynced():
		// The request may refresh a feed that another instance holds, and a
		// rejection would end that feed. The caller's retransmission is
		// expected to reach an instance that has the membership list.
		c.counters.Unsynced++
	case !c.accepting() || d.svc.ownedSlots() == 0:
		c.refuse(&d.callerExchange, false)
	default:
		c.openFeed(d)
	}
}

func newPending(d *callerDatagram, now ids.Time) flow.Pending {
	return flow.Pending{Present: true, Type: d.messageType, ID: d.messageID, Since: now}
}

// refreshFeed handles a registration that already exists. It is forwarded to
// the backend server, whose response is sent to the caller.
func (c *Core) refreshFeed(f *flow.Feed, d *callerDatagram) {
	if f.Pending.Present && f.Pending.ID == d.messageID { // retransmission
		if d.messageType == message.Confirmable {
			f.Pending.Acked = true
			c.sendEmptyAck(&d.callerExchange)
		}
		return
	}
	f.Pending = newPending(d, c.now)
	f.Request = append(f.Request[:0:0], d.msg.Raw...)
	if f.Active.Established {
		c.newRegistrationID(f, &f.Active)
		c.sendRegistration(f, &f.Active)
	}
}

func (c *Core) openFeed(d *callerDatagram) {
	target, endpoint, ok := d.svc.pool.OpenFeed(c.now, "")
	if !ok {
		c.refuse(&d.callerExchange, false)
		return
	}
	f := c.feeds.Add(c.now, feedKey(d), d.msg.Raw)
	f.Pending = newPending(d, c.now)
	c.registerNext(f, target, endpoint)
	c.counters.FeedsOpened++
}

// registerNext registers f at a backend server in addition to its active
// registration, if any.
func (c *Core) registerNext(f *flow.Feed, target ids.Target, endpoint ids.Endpoint) {
	token, id := c.newUpstream(upstream{feed: f})
	f.Next = flow.Upstream{Token: token, ID: id, Target: target, Endpoint: endpoint, CreatedAt: c.now}
	c.sendRegistration(f, &f.Next)
}

func (c *Core) newRegistrationID(f *flow.Feed, up *flow.Upstream) {
	delete(c.upstreamTokens, up.ID)
	c.nextMessageID++
	up.ID, up.Acked, up.Transmissions = c.nextMessageID, false, 0
	c.upstreamTokens[up.ID] = up.Token
}

func (c *Core) sendRegistration(f *flow.Feed, up *flow.Upstream) {
	up.LastSent = c.now
	up.Transmissions++
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = f.Service, up.Target, up.Endpoint
	e.Datagram = message.Outgoing{Template: f.Request, Type: message.Confirmable, ID: up.ID, Token: encodeUpstreamToken(up.Token), SetObserve: true}
}

// deregister ends a registration at a backend server. Later notifications under
// it are rejected.
func (c *Core) deregister(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	if up.Token == 0 {
		return
	}
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = f.Service, up.Target, up.Endpoint
	c.nextMessageID++
	e.Datagram = message.Outgoing{Template: f.Request, Type: message.NonConfirmable, ID: c.nextMessageID, Token: encodeUpstreamToken(up.Token), SetObserve: true, Observe: 1}
	c.releaseFeedCapacity(f, up, o)
	delete(c.upstreams, up.Token)
	if c.upstreamTokens[up.ID] == up.Token {
		delete(c.upstreamTokens, up.ID)
	}
	*up = flow.Upstream{}
}

// releaseFeedCapacity releases the capacity that a registration takes at its
// target. Active and Next are counted once while they are at the same target.
func (c *Core) releaseFeedCapacity(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	s := c.services[f.Service]
	if s == nil || f.Active.Token != 0 && f.Next.Token != 0 && f.Active.Target == f.Next.Target {
		return
	}
	if pool := c.slotTable.Pool(s.name); pool != nil {
		pool.CloseFeed(up.Target, o)
	}
}

// endFeed removes a feed and its registrations.
func (c *Core) endFeed(f *flow.Feed) {
	c.deregister(f, &f.Next, spread.Cancelled)
	c.deregister(f, &f.Active, spread.Cancelled)
	c.feeds.Remove(f)
	c.counters.FeedsEnded++
}

// handleNotification handles a response to a registration, or a notification.
func (c *Core) handleNotification(f *flow.Feed, up *flow.Upstream, m *message.Message) {
	if m.Code>>5 != 2 || !m.HasObserve {
		c.handleUnobserved(f, up, m)
		return
	}
	if !up.AcceptIfNewer(c.now, m.Observe) && !(f.Pending.Present && up.IsLatest(m.Observe)) {
		c.counters.OldNotifications++
		return
	}
	up.Acked = true
	if up == &f.Next {
		c.promoteNext(f)
	}
	f.LastNotification, f.MaxAge, f.Reregistrations = c.now, time.Duration(m.MaxAge)*time.Second, 0
	c.sendNotification(f, m)
}

// promoteNext makes the next registration the active one: its first
// notification has arrived, so the old registration may end.
func (c *Core) promoteNext(f *flow.Feed) {
	c.deregister(f, &f.Active, spread.Success)
	f.Active, f.Next = f.Next, flow.Upstream{}
	f.Active.Established = true
	if f.MovedFrom != "" {
		c.sendFeedMoved(f.MovedFrom, f.Key, false)
		f.MovedFrom = ""
	}
}

// sendNotification sends a notification to the caller.
func (c *Core) sendNotification(f *flow.Feed, m *message.Message) {
	s := c.services[f.Service]
	o := message.Outgoing{Template: m.Raw, SetObserve: true, Observe: f.NextSequence()}
	c.counters.Notifications++
	if p := f.Pending; p.Present {
		f.Pending = flow.Pending{}
		x := callerExchange{svc: s, caller: f.Caller, messageType: p.Type, messageID: p.ID, token: f.Token, acked: p.Acked}
		c.respond(&x, &o)
		return
	}
	o.Type, o.ID, o.Token = message.Confirmable, f.NextID(), f.Token
	if m.Type == message.NonConfirmable && c.now.Sub(f.LastConfirmable) < confirmableInterval {
		o.Type = message.NonConfirmable
	} else if q := c.awaitAck(s, f.Caller, &o); q != nil {
		q.isFeed, q.feed = true, f.Key
		f.LastConfirmable = c.now
	} else {
		o.Type = message.NonConfirmable
	}
	e := c.emit(ToCaller)
	e.Service, e.Endpoint, e.Datagram = s.name, f.Caller, o
}

// handleUnobserved handles an error response or a response without Observe: the
// backend server does not send notifications under this registration, or no
// longer does.
func (c *Core) handleUnobserved(f *flow.Feed, up *flow.Upstream, m *message.Message) {
	serverError := m.Code>>5 == 5
	o := spread.Success
	if m.Code == message.ServiceUnavailable {
		o = spread.Shed
	}
	switch {
	case up == &f.Active && serverError:
		// The feed is kept and registered at another backend server.
		c.startReplacement(f, true)
		return
	case up == &f.Next && (f.Active.Established || serverError):
		c.registrationFailed(f, up, o)
		return
	}
	s := c.services[f.Service]
	x := callerExchange{svc: s, caller: f.Caller, messageType: message.NonConfirmable, token: f.Token}
	if p := f.Pending; p.Present {
		x.messageType, x.messageID, x.acked = p.Type, p.ID, p.Acked
	}
	c.respond(&x, &message.Outgoing{Template: m.Raw, DropObserve: true})
	if f.MovedFrom != "" {
		c.sendFeedMoved(f.MovedFrom, f.Key, true)
	}
	c.endFeed(f)
}

// startReplacement starts a second registration of f that replaces the active
// one once its first notification arrives.
func (c *Core) startReplacement(f *flow.Feed, otherTarget bool) {
	if f.Next.Token != 0 || c.now < f.RetryAt {
		return
	}
	f.RetryAt = c.now.Add(feedRetryInterval)
	if !otherTarget {
		c.registerNext(f, f.Active.Target, f.Active.Endpoint)
		return
	}
	pool := c.slotTable.Pool(f.Service)
	if pool == nil {
		return
	}
	if target, endpoint, ok := pool.OpenFeed(c.now, f.Active.Target); ok {
		if target == f.Active.Target {
			pool.CloseFeed(target, spread.Cancelled) // counted together with Active
		}
		c.registerNext(f, target, endpoint)
	}
}

// registrationFailed ends a failed registration and tries another target. A
// feed that never had a notification ends when maxFeedTargets targets have
// failed.
func (c *Core) registrationFailed(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	if up == &f.Active {
		// Until the next notification the feed is treated as silent, so that it
		// is replaced again if the next target fails as well.
		f.LastNotification, f.MaxAge = 0, 0
		c.startReplacement(f, true)
		return
	}
	failedTarget := up.Target
	c.deregister(f, up, o)
	f.Reregistrations++
	if f.Active.Established {
		f.RetryAt = c.now.Add(feedRetryInterval)
		return
	}
	pool := c.slotTable.Pool(f.Service)
	if pool != nil && f.Reregistrations < maxFeedTargets {
		if target, endpoint, ok := pool.OpenFeed(c.now, failedTarget); ok {
			c.registerNext(f, target, endpoint)
			return
		}
	}
	if f.MovedFrom != "" {
		c.sendFeedMoved(f.MovedFrom, f.Key, true)
	}
	if p := f.Pending; p.Present {
		x := callerExchange{svc: c.services[f.Service], caller: f.Caller, messageType: p.Type, messageID: p.ID, token: f.Token, acked: p.Acked}
		c.refuse(&x, false) // no registration exists
	}
	c.endFeed(f)
}
