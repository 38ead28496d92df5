package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	registerTimeout = time.Second // per transmission of a registration
	registerTries   = 3           // transmissions to one backend server
	// feedRetry is the time between attempts to replace a registration.
	feedRetry = 2 * time.Second
	// maxTargets bounds the backend servers that a new feed is offered to.
	maxTargets = 3
	// checkCaller is the time after which a notification is sent confirmable
	// even if the backend server sent it non-confirmable, so that the feed of
	// a caller that has gone ends. RFC 7641 section 4.5 asks for at most 24 h.
	checkCaller = 10 * time.Minute
	// sweepParts: a tick checks this part of the feeds, so that each is
	// checked once a second and 14,000 feeds cost 140 checks a tick.
	sweepParts = 100
)

func upstreamOf(f *flow.Feed, token uint64) *flow.Upstream {
	switch token {
	case f.Next.Token:
		return &f.Next
	case f.Active.Token:
		return &f.Active
	}
	return nil
}

func feedKey(a *arrival) flow.Key {
	return flow.Key{FlowKey: ids.FlowKey{Caller: a.caller, Service: a.svc.name}, Token: a.token}
}

// observe handles a registration or deregistration. Feeds live at the home of
// their flow.
func (c *Core) observe(a *arrival) {
	f := c.feeds.Get(feedKey(a))
	home, ok := c.home(a.svc, a.hash)
	if f == nil && ok && home != c.self.ID && a.hops < maxHops {
		c.relay(a, home)
		return
	}
	switch {
	case a.m.Observe == 1:
		if f != nil {
			c.endFeed(f)
		}
		c.place(a)
	case f != nil:
		c.refreshFeed(f, a)
	case c.unsynced():
		// It may be a refresh: a rejection would end a feed that another instance
		// has. The caller's retransmission reaches one that knows.
		c.counts.Unsynced++
	case !c.accepting() || a.svc.owned() == 0:
		c.refuse(&a.exchange, false)
	default:
		c.openFeed(a)
	}
}

func pending(a *arrival, now ids.Time) flow.Pending {
	return flow.Pending{Present: true, Type: a.kind, ID: a.id, Since: now}
}

// refreshFeed handles a registration that exists already. It is passed on to
// the backend server, whose response answers it.
func (c *Core) refreshFeed(f *flow.Feed, a *arrival) {
	if f.Pending.Present && f.Pending.ID == a.id { // retransmission
		if a.kind == message.Confirmable {
			f.Pending.Acked = true
			c.ack(&a.exchange)
		}
		return
	}
	f.Pending = pending(a, c.now)
	f.Request = append(f.Request[:0:0], a.m.Raw...)
	if f.Active.Established {
		c.newRegistrationID(f, &f.Active)
		c.register(f, &f.Active)
	}
}

func (c *Core) openFeed(a *arrival) {
	target, endpoint, ok := a.svc.pool.OpenFeed(c.now, "")
	if !ok {
		c.refuse(&a.exchange, false)
		return
	}
	f := c.feeds.Add(c.now, feedKey(a), a.m.Raw)
	f.Pending = pending(a, c.now)
	c.registerNext(f, target, endpoint)
	c.counts.FeedsOpened++
}

// registerNext registers f at a backend server in addition to its active
// registration, if any.
func (c *Core) registerNext(f *flow.Feed, target ids.Target, endpoint ids.Endpoint) {
	token, id := c.newUpstream(upstream{feed: f})
	f.Next = flow.Upstream{Token: token, ID: id, Target: target, Endpoint: endpoint, CreatedAt: c.now}
	c.register(f, &f.Next)
}

func (c *Core) newRegistrationID(f *flow.Feed, up *flow.Upstream) {
	delete(c.exchanges, up.ID)
	c.nextID++
	up.ID, up.Acked, up.Transmissions = c.nextID, false, 0
	c.exchanges[up.ID] = up.Token
}

func (c *Core) register(f *flow.Feed, up *flow.Upstream) {
	up.LastSent = c.now
	up.Transmissions++
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = f.Service, up.Target, up.Endpoint
	e.Datagram = message.Outgoing{Template: f.Request, Type: message.Confirmable, ID: up.ID, Token: tokenOf(up.Token), SetObserve: true}
}

// deregister ends a registration: later notifications match nothing.
func (c *Core) deregister(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	if up.Token == 0 {
		return
	}
	e := c.emit(ToBackend)
	e.Service, e.Target, e.Endpoint = f.Service, up.Target, up.Endpoint
	c.nextID++
	e.Datagram = message.Outgoing{Template: f.Request, Type: message.NonConfirmable, ID: c.nextID, Token: tokenOf(up.Token), SetObserve: true, Observe: 1}
	c.releaseFeed(f, up, o)
	delete(c.upstreams, up.Token)
	if c.exchanges[up.ID] == up.Token {
		delete(c.exchanges, up.ID)
	}
	*up = flow.Upstream{}
}

// releaseFeed gives the place of a registration at its target back. Active
// and Next share one place while they are at the same target.
func (c *Core) releaseFeed(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	s := c.services[f.Service]
	if s == nil || f.Active.Token != 0 && f.Next.Token != 0 && f.Active.Target == f.Next.Target {
		return
	}
	if pool := c.table.Pool(s.name); pool != nil {
		pool.CloseFeed(up.Target, o)
	}
}

// endFeed removes a feed and its registrations.
func (c *Core) endFeed(f *flow.Feed) {
	c.deregister(f, &f.Next, spread.Cancelled)
	c.deregister(f, &f.Active, spread.Cancelled)
	c.feeds.Remove(f)
	c.counts.FeedsEnded++
}

// notified handles a response to a registration, or a notification.
func (c *Core) notified(f *flow.Feed, up *flow.Upstream, m *message.Message) {
	if m.Code>>5 != 2 || !m.HasObserve {
		c.notObserved(f, up, m)
		return
	}
	if !up.AcceptIfNewer(c.now, m.Observe) && !(f.Pending.Present && up.IsLatest(m.Observe)) {
		c.counts.OldNotifications++
		return
	}
	up.Acked = true
	if up == &f.Next {
		c.promote(f)
	}
	f.LastNotification, f.MaxAge, f.Reregistrations = c.now, time.Duration(m.MaxAge)*time.Second, 0
	c.notify(f, m)
}

// promote makes the next registration the active one: the first notification
// has arrived, so the old registration may end.
func (c *Core) promote(f *flow.Feed) {
	c.deregister(f, &f.Active, spread.Success)
	f.Active, f.Next = f.Next, flow.Upstream{}
	f.Active.Established = true
	if f.MovedFrom != "" {
		c.feedMoved(f.MovedFrom, f.Key, false)
		f.MovedFrom = ""
	}
}

// notify sends a notification to the caller.
func (c *Core) notify(f *flow.Feed, m *message.Message) {
	s := c.services[f.Service]
	o := message.Outgoing{Template: m.Raw, SetObserve: true, Observe: f.NextSequence()}
	c.counts.Notifications++
	if p := f.Pending; p.Present {
		f.Pending = flow.Pending{}
		x := exchange{svc: s, caller: f.Caller, kind: p.Type, id: p.ID, token: f.Token, acked: p.Acked}
		c.respond(&x, &o)
		return
	}
	o.Type, o.ID, o.Token = message.Confirmable, f.NextID(), f.Token
	if m.Type == message.NonConfirmable && c.now.Sub(f.LastConfirmable) < checkCaller {
		o.Type = message.NonConfirmable
	} else if q := c.confirm(s, f.Caller, &o); q != nil {
		q.isFeed, q.feed = true, f.Key
		f.LastConfirmable = c.now
	} else {
		o.Type = message.NonConfirmable
	}
	e := c.emit(ToCaller)
	e.Service, e.Endpoint, e.Datagram = s.name, f.Caller, o
}

// notObserved handles an error or a response without Observe: the backend
// server does not, or no longer, notify under this registration.
func (c *Core) notObserved(f *flow.Feed, up *flow.Upstream, m *message.Message) {
	serverError := m.Code>>5 == 5
	o := spread.Success
	if m.Code == message.ServiceUnavailable {
		o = spread.Shed
	}
	switch {
	case up == &f.Active && serverError:
		// The feed survives: it is registered elsewhere.
		c.replace(f, true)
		return
	case up == &f.Next && (f.Active.Established || serverError):
		c.registrationFailed(f, up, o)
		return
	}
	s := c.services[f.Service]
	x := exchange{svc: s, caller: f.Caller, kind: message.NonConfirmable, token: f.Token}
	if p := f.Pending; p.Present {
		x.kind, x.id, x.acked = p.Type, p.ID, p.Acked
	}
	c.respond(&x, &message.Outgoing{Template: m.Raw, DropObserve: true})
	if f.MovedFrom != "" {
		c.feedMoved(f.MovedFrom, f.Key, true)
	}
	c.endFeed(f)
}

// replace starts a second registration of f that is to replace the active one.
func (c *Core) replace(f *flow.Feed, elsewhere bool) {
	if f.Next.Token != 0 || c.now < f.RetryAt {
		return
	}
	f.RetryAt = c.now.Add(feedRetry)
	if !elsewhere {
		c.registerNext(f, f.Active.Target, f.Active.Endpoint)
		return
	}
	pool := c.table.Pool(f.Service)
	if pool == nil {
		return
	}
	if target, endpoint, ok := pool.OpenFeed(c.now, f.Active.Target); ok {
		if target == f.Active.Target {
			pool.CloseFeed(target, spread.Cancelled) // shares the place of Active
		}
		c.registerNext(f, target, endpoint)
	}
}

// registrationFailed gives a registration up and tries another target. A feed
// that never had a notification ends when several targets have failed.
func (c *Core) registrationFailed(f *flow.Feed, up *flow.Upstream, o spread.Outcome) {
	if up == &f.Active {
		// Until the next notification the feed counts as quiet, so that it is
		// replaced again if the next target fails as well.
		f.LastNotification, f.MaxAge = 0, 0
		c.replace(f, true)
		return
	}
	failedTarget := up.Target
	c.deregister(f, up, o)
	f.Reregistrations++
	if f.Active.Established {
		f.RetryAt = c.now.Add(feedRetry)
		return
	}
	pool := c.table.Pool(f.Service)
	if pool != nil && f.Reregistrations < maxTargets {
		if target, endpoint, ok := pool.OpenFeed(c.now, failedTarget); ok {
			c.registerNext(f, target, endpoint)
			return
		}
	}
	if f.MovedFrom != "" {
		c.feedMoved(f.MovedFrom, f.Key, true)
	}
	if p := f.Pending; p.Present {
		x := exchange{svc: c.services[f.Service], caller: f.Caller, kind: p.Type, id: p.ID, token: f.Token, acked: p.Acked}
		c.refuse(&x, false) // no registration exists
	}
	c.endFeed(f)
}
