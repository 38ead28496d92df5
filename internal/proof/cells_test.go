package proof

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// subject holds what a fault of the matrix is applied to: the instance and the
// backend server that take part in the step.
type subject struct {
	sim    *simulation
	node   *node
	server *server
}

// fault is a row of the matrix.
type fault struct {
	name    string
	planned bool // the fault must break no feed and leave no outcome unknown
	// requires is what must take part in a step for the fault to apply:
	// "datagram" for a caller's datagram, "backend" for a backend server, or
	// empty if the fault applies to any step.
	requires string
	apply    func(s subject)
}

var faults = []fault{
	{name: "instance killed", apply: func(s subject) { s.sim.kill(s.node) }},
	{name: "instance paused, woken", apply: func(s subject) { s.sim.pause(s.node, 4*time.Second) }},
	{name: "planned stop", planned: true, apply: func(s subject) { s.sim.after(0, func() { s.sim.stop(s.node) }) }},
	{name: "instance joining", planned: true, apply: func(s subject) { s.sim.after(0, func() { s.sim.join(s.sim.node("a3")) }) }},
	{name: "link cut", apply: func(s subject) { s.sim.cutLink(string(s.node.id), string(s.sim.localPeer(s.node).id), false) }},
	{name: "link cut one way", apply: func(s subject) { s.sim.cutLink(string(s.node.id), string(s.sim.localPeer(s.node).id), true) }},
	{name: "data centre cut off", apply: func(s subject) { s.sim.cutOffDataCentre(s.node.dc) }},
	{name: "platform down", planned: true, apply: func(s subject) { s.sim.platform.down, s.sim.lastPlatformFault = true, s.sim.now }},
	{name: "platform stale", planned: true, apply: func(s subject) {
		s.sim.platform.staleAt, s.sim.lastPlatformFault = max(1, s.sim.platform.revision()-1), s.sim.now
	}},
	{name: "list stale", planned: true, apply: func(s subject) { s.sim.listMode = listWrong; s.sim.after(0, s.sim.sendLists) }},
	{name: "datagram lost", requires: "datagram", apply: func(s subject) { s.sim.nextFate = lost }},
	{name: "datagram doubled", planned: true, requires: "datagram", apply: func(s subject) { s.sim.nextFate = duplicated }},
	{name: "datagram late", requires: "datagram", apply: func(s subject) { s.sim.nextFate = delayed }},
	{name: "backend killed", requires: "backend", apply: func(s subject) { s.server.kill() }},
	{name: "backend draining", planned: true, requires: "backend", apply: func(s subject) { s.server.drain(true) }},
	{name: "backend shedding", planned: true, requires: "backend", apply: func(s subject) { s.server.shedding = true }},
	{name: "backend lying healthy", requires: "backend", apply: func(s subject) { s.server.health = falselyHealthy; s.server.kill() }},
	{name: "backend lying unhealthy", planned: true, requires: "backend", apply: func(s subject) { s.server.health = falselyUnhealthy }},
	{name: "backend silent", requires: "backend", apply: func(s subject) { s.server.silent = true }},
}

// localPeer returns another live instance of the data centre of n, or n if there
// is none.
func (sim *simulation) localPeer(n *node) *node {
	for _, o := range sim.nodes {
		if o != n && o.dc == n.dc && o.alive && !o.stopping {
			return o
		}
	}
	return n
}

// step is a column of the matrix.
type step struct {
	group, name  string
	trigger      string // the name passed to onStep at which the fault is applied
	kind         kind   // of the request, if a request takes part
	needsRequest bool
	involvesFeed bool
	a3Killed     bool // a3 has been killed before the step
	prepare      func(sim *simulation)
}

func sendPosts(count int) func(sim *simulation) {
	return func(sim *simulation) {
		for i := range count {
			sim.after(time.Duration(i)*3*time.Millisecond, func() { sim.newOperation(post, "counter", "a") })
		}
	}
}

var steps = []step{
	{group: "request", name: "before token", trigger: "received", kind: post, needsRequest: true, prepare: sendPosts(10)},
	{group: "request", name: "token minted", trigger: "token minted", kind: post, needsRequest: true, prepare: sendPosts(10)},
	{group: "request", name: "token relayed", trigger: "token relayed", kind: post, needsRequest: true, prepare: sendPosts(20)},
	{group: "request", name: "queued", trigger: "queued", kind: post, prepare: func(sim *simulation) {
		for _, v := range sim.servers {
			v.processingTime = 300 * time.Millisecond
		}
		for range 30 {
			sim.newOperation(post, "counter", "a")
		}
	}},
	{group: "request", name: "dispatched", trigger: "dispatched", kind: post, needsRequest: true, prepare: sendPosts(10)},
	{group: "request", name: "response lost", trigger: "answered", kind: post, needsRequest: true, prepare: sendPosts(10)},
	{group: "feed", name: "registering", trigger: "feed registering", kind: observe, needsRequest: true, involvesFeed: true, prepare: func(sim *simulation) {
		sim.newOperation(observe, "alarm", "a")
	}},
	{group: "feed", name: "open", trigger: "feed open", involvesFeed: true, prepare: func(sim *simulation) {
		sim.after(time.Millisecond, func() { sim.stepReached("feed open", sim.feedHolder(), nil) })
	}},
	{group: "feed", name: "moving", trigger: "feed moving", involvesFeed: true, prepare: func(sim *simulation) { sim.stop(sim.feedHolder()) }},
	{group: "handover", name: "feeds", trigger: "feed taken", involvesFeed: true, prepare: func(sim *simulation) { sim.stop(sim.feedHolder()) }},
	{group: "handover", name: "admissions", trigger: "table moving", prepare: func(sim *simulation) {
		sendPosts(10)(sim)
		sim.after(time.Second, func() { sim.stop(sim.node("a1")) })
	}},
	{group: "configuration", name: "published", trigger: "published", prepare: publishNewWeights},
	{group: "configuration", name: "half have it", trigger: "half", prepare: func(sim *simulation) {
		publishNewWeights(sim)
		sim.every(time.Millisecond, func() {
			count := 0
			var first *node
			for _, n := range sim.nodes {
				if n.alive && n.core.Snapshot().Revision >= ids.Revision(len(sim.platform.documents)) {
					count++
					if first == nil && n.dc == "a" {
						first = n
					}
				}
			}
			if first != nil && 2*count >= len(sim.nodes) && sim.onStep != nil {
				sim.stepReached("half", first, nil)
			}
		})
	}},
	{group: "join", name: "asking peers", trigger: "join asks peers", a3Killed: true, prepare: func(sim *simulation) { sim.join(sim.node("a3")) }},
	{group: "join", name: "reading platform", trigger: "join reads platform", a3Killed: true, prepare: func(sim *simulation) {
		// No peer responds until the platform is read.
		for _, o := range sim.nodes {
			sim.cutLinks[[2]string{string(o.id), "a3"}], sim.cutLinks[[2]string{"a3", string(o.id)}] = true, true
		}
		sim.join(sim.node("a3"))
	}},
}

func publishNewWeights(sim *simulation) {
	sim.after(time.Millisecond, func() { sim.platform.publish("profile/p-counter", profileText(3, 4000), true) })
}

// feedHolder returns an instance of data centre a that holds a feed, or a1 if
// there is none.
func (sim *simulation) feedHolder() *node {
	for _, v := range sim.servers {
		for _, r := range v.feeds {
			if r.node.dc == "a" && r.node.alive && !r.node.stopping && r.node.core.Snapshot().Feeds > 0 {
				return r.node
			}
		}
	}
	return sim.node("a1")
}

// subjectOf chooses the instance and the backend server for a fault at a step.
func (sim *simulation) subjectOf(st *step, n *node, x *exchange) subject {
	s := subject{sim: sim, node: n}
	if s.node == nil { // a publication affects one of the two instances that watch the platform
		for _, o := range sim.nodes {
			if o.alive && o.dc == "a" && o.core.Snapshot().Watcher {
				s.node = o
				break
			}
		}
	}
	service := ids.Service("counter")
	if st.involvesFeed {
		service = "alarm"
	}
	if x != nil {
		s.server = x.dispatchedTo
	}
	for _, v := range sim.servers {
		if v.service != service || v.dc != "a" || s.server != nil {
			continue
		}
		if !st.involvesFeed || slices.ContainsFunc(v.feeds, func(r *registration) bool { return r.node == s.node }) {
			s.server = v
		}
	}
	if s.server == nil {
		s.server = sim.servers[0]
		if st.involvesFeed {
			s.server = sim.servers[targetsPerDataCentre]
		}
	}
	return s
}

// secondSubject returns the subject of the second fault of a pair: another instance
// and another backend server of the same data centre and service.
func (s subject) secondSubject() subject {
	other := subject{sim: s.sim, node: s.sim.localPeer(s.node), server: s.server}
	for _, v := range s.sim.servers {
		if v != s.server && v.service == s.server.service && v.dc == s.server.dc {
			other.server = v
		}
	}
	return other
}

// affectedFeeds returns the feeds that faults of the subjects may break.
func (sim *simulation) affectedFeeds(subjects []subject) map[*feed]bool {
	feeds := map[*feed]bool{}
	for _, v := range sim.servers {
		for _, r := range v.feeds {
			for _, s := range subjects {
				if r.node == s.node || v == s.server {
					feeds[r.exchange.feed] = true
				}
			}
		}
	}
	return feeds
}

// addFeedsOfStopping adds the feeds of stopping instances to feeds.
func (sim *simulation) addFeedsOfStopping(feeds map[*feed]bool) {
	for _, v := range sim.servers {
		for _, r := range v.feeds {
			if r.node.stopping {
				feeds[r.exchange.feed] = true
			}
		}
	}
}

// outcomeUnknown reports whether x ended with 5.04: the caller cannot tell
// whether the request was executed.
func (x *exchange) outcomeUnknown() bool {
	return x.feed == nil && x.response != nil && x.response.Code == message.GatewayTimeout
}
