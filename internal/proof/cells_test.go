package proof

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// subject is what a fault of the matrix is applied to: the instance and the
// backend server that take part in the step.
type subject struct {
	w *world
	n *node
	v *server
}

// fault is a row of the matrix.
type fault struct {
	name    string
	planned bool // no feed may break and no outcome may be unknown
	// uses tells what must take part in a step for the fault to apply: a
	// caller's datagram or a backend server; empty for any step.
	uses  string
	apply func(s subject)
}

var faults = []fault{
	{name: "instance killed", apply: func(s subject) { s.w.kill(s.n) }},
	{name: "instance paused, woken", apply: func(s subject) { s.w.pause(s.n, 4*time.Second) }},
	{name: "planned stop", planned: true, apply: func(s subject) { s.w.after(0, func() { s.w.stop(s.n) }) }},
	{name: "instance joining", planned: true, apply: func(s subject) { s.w.after(0, func() { s.w.join(s.w.node("a3")) }) }},
	{name: "link cut", apply: func(s subject) { s.w.cutLink(string(s.n.id), string(s.w.neighbour(s.n).id), false) }},
	{name: "link cut one way", apply: func(s subject) { s.w.cutLink(string(s.n.id), string(s.w.neighbour(s.n).id), true) }},
	{name: "data centre cut off", apply: func(s subject) { s.w.cutCentre(s.n.dc) }},
	{name: "platform down", planned: true, apply: func(s subject) { s.w.platform.down, s.w.platformFault = true, s.w.now }},
	{name: "platform stale", planned: true, apply: func(s subject) {
		s.w.platform.staleAt, s.w.platformFault = max(1, s.w.platform.revision()-1), s.w.now
	}},
	{name: "list stale", planned: true, apply: func(s subject) { s.w.listMode = listWrong; s.w.after(0, s.w.sendLists) }},
	{name: "datagram lost", uses: "datagram", apply: func(s subject) { s.w.once = lost }},
	{name: "datagram doubled", planned: true, uses: "datagram", apply: func(s subject) { s.w.once = doubled }},
	{name: "datagram late", uses: "datagram", apply: func(s subject) { s.w.once = delayed }},
	{name: "backend killed", uses: "backend", apply: func(s subject) { s.v.kill() }},
	{name: "backend draining", planned: true, uses: "backend", apply: func(s subject) { s.v.drain(true) }},
	{name: "backend shedding", planned: true, uses: "backend", apply: func(s subject) { s.v.shedding = true }},
	{name: "backend lying healthy", uses: "backend", apply: func(s subject) { s.v.health = lyingHealthy; s.v.kill() }},
	{name: "backend lying unhealthy", planned: true, uses: "backend", apply: func(s subject) { s.v.health = lyingUnhealthy }},
	{name: "backend silent", uses: "backend", apply: func(s subject) { s.v.silent = true }},
}

// neighbour returns another live instance of the data centre of n.
func (w *world) neighbour(n *node) *node {
	for _, o := range w.nodes {
		if o != n && o.dc == n.dc && o.alive && !o.stopped {
			return o
		}
	}
	return n
}

// step is a column of the matrix.
type step struct {
	group, name string
	reach       string // the hook at which the fault is applied
	kind        kind   // of the request, if one takes part
	request     bool
	feed        bool
	absent      bool // a3 has been killed before
	prepare     func(w *world)
}

func claims(count int) func(w *world) {
	return func(w *world) {
		for i := range count {
			w.after(time.Duration(i)*3*time.Millisecond, func() { w.newOperation(claim, "counter", "a") })
		}
	}
}

var steps = []step{
	{group: "request", name: "before token", reach: "received", kind: claim, request: true, prepare: claims(10)},
	{group: "request", name: "token minted", reach: "token minted", kind: claim, request: true, prepare: claims(10)},
	{group: "request", name: "token relayed", reach: "token relayed", kind: claim, request: true, prepare: claims(20)},
	{group: "request", name: "queued", reach: "queued", kind: claim, prepare: func(w *world) {
		for _, v := range w.servers {
			v.runTime = 300 * time.Millisecond
		}
		for range 30 {
			w.newOperation(claim, "counter", "a")
		}
	}},
	{group: "request", name: "dispatched", reach: "dispatched", kind: claim, request: true, prepare: claims(10)},
	{group: "request", name: "response lost", reach: "answered", kind: claim, request: true, prepare: claims(10)},
	{group: "feed", name: "registering", reach: "feed registering", kind: observe, request: true, feed: true, prepare: func(w *world) {
		w.newOperation(observe, "alarm", "a")
	}},
	{group: "feed", name: "open", reach: "feed open", feed: true, prepare: func(w *world) {
		w.after(time.Millisecond, func() { w.reach("feed open", w.holder(), nil) })
	}},
	{group: "feed", name: "moving", reach: "feed moving", feed: true, prepare: func(w *world) { w.stop(w.holder()) }},
	{group: "handover", name: "feeds", reach: "feed taken", feed: true, prepare: func(w *world) { w.stop(w.holder()) }},
	{group: "handover", name: "admissions", reach: "table moving", prepare: func(w *world) {
		claims(10)(w)
		w.after(time.Second, func() { w.stop(w.node("a1")) })
	}},
	{group: "configuration", name: "published", reach: "published", prepare: publishProfile},
	{group: "configuration", name: "half have it", reach: "half", prepare: func(w *world) {
		publishProfile(w)
		w.every(time.Millisecond, func() {
			count := 0
			var first *node
			for _, n := range w.nodes {
				if n.alive && n.core.Snapshot().Revision >= ids.Revision(len(w.platform.documents)) {
					count++
					if first == nil && n.dc == "a" {
						first = n
					}
				}
			}
			if first != nil && 2*count >= len(w.nodes) && w.step != nil {
				w.reach("half", first, nil)
			}
		})
	}},
	{group: "join", name: "asking peers", reach: "join asks peers", absent: true, prepare: func(w *world) { w.join(w.node("a3")) }},
	{group: "join", name: "reading platform", reach: "join reads platform", absent: true, prepare: func(w *world) {
		// No peer answers until the platform is read.
		for _, o := range w.nodes {
			w.cut[[2]string{string(o.id), "a3"}], w.cut[[2]string{"a3", string(o.id)}] = true, true
		}
		w.join(w.node("a3"))
	}},
}

func publishProfile(w *world) {
	w.after(time.Millisecond, func() { w.platform.publish("profile/p-counter", profileText(3, 4000), true) })
}

// holder returns an instance of data centre a that holds a feed.
func (w *world) holder() *node {
	for _, v := range w.servers {
		for _, r := range v.feeds {
			if r.n.dc == "a" && r.n.alive && !r.n.stopped && r.n.core.Snapshot().Feeds > 0 {
				return r.n
			}
		}
	}
	return w.node("a1")
}

// subjectOf chooses the instance and the backend server for a fault at a step.
func (w *world) subjectOf(c *step, n *node, x *exchange) subject {
	s := subject{w: w, n: n}
	if s.n == nil { // a publication: one of the two instances that watch
		for _, o := range w.nodes {
			if o.alive && o.dc == "a" && o.core.Snapshot().Watcher {
				s.n = o
				break
			}
		}
	}
	service := ids.Service("counter")
	if c.feed {
		service = "alarm"
	}
	if x != nil {
		s.v = x.dispatched
	}
	for _, v := range w.servers {
		if v.service != service || v.dc != "a" || s.v != nil {
			continue
		}
		if !c.feed || slices.ContainsFunc(v.feeds, func(r *registration) bool { return r.n == s.n }) {
			s.v = v
		}
	}
	if s.v == nil {
		s.v = w.servers[0]
		if c.feed {
			s.v = w.servers[targetsPerCentre]
		}
	}
	return s
}

// second returns the subject of the second fault of a pair: another instance
// and another backend server of the same data centre and service.
func (s subject) second() subject {
	t := subject{w: s.w, n: s.w.neighbour(s.n), v: s.v}
	for _, v := range s.w.servers {
		if v != s.v && v.service == s.v.service && v.dc == s.v.dc {
			t.v = v
		}
	}
	return t
}

// affected are the feeds that the faults of subjects may break.
func (w *world) affected(subjects []subject) map[*feed]bool {
	m := map[*feed]bool{}
	for _, v := range w.servers {
		for _, r := range v.feeds {
			for _, s := range subjects {
				if r.n == s.n || v == s.v {
					m[r.x.feed] = true
				}
			}
		}
	}
	return m
}

// addMoving adds the feeds of stopping instances to m.
func (w *world) addMoving(m map[*feed]bool) {
	for _, v := range w.servers {
		for _, r := range v.feeds {
			if r.n.stopped {
				m[r.x.feed] = true
			}
		}
	}
}

// unknown reports whether x ended with an unknown outcome.
func (x *exchange) unknown() bool {
	return x.feed == nil && x.final != nil && x.final.Code == message.GatewayTimeout
}
