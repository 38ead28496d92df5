package experiment

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/share"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// relayed is a request that another instance has passed on, with its load.
type relayed struct {
	from *instance
	r    *request
	hops int
	load load
}

// slotFree tells that the sender has free slots and no queue.
type slotFree struct {
	from  *instance
	count int
	load  load
}

// load is the piggybacked state of an instance.
type load struct {
	free, backlog int
	at            ids.Time // when it was received, or a relay was sent on belief
	unanswered    int      // relays sent on belief without a report since
	told          ids.Time // when the own load was last sent to this peer
}

// beliefAge is the age at which a report of a peer without free slots is no
// longer believed. Without an end nobody relays to that peer again, so that it
// never sends another report: 0.0002 messages per request were exchanged, and
// slots of one instance idled while requests queued at another.
//
// A peer that has not reported since the last relay on belief may be dead, so
// the age doubles with each such relay.
const (
	beliefAge     = 20 * time.Millisecond
	maxUnanswered = 6
)

// queued is a request that waits for a slot.
type queued struct {
	r       *request
	expires ids.Time
	until   ids.Time // end of the longest wait
	key     uint64
	class   spread.Class
}

// design is the policy of the design page on the real spread, share and
// admission packages: own slots, relay to a free slot, separate queues for
// long requests, fair queueing over partners.
type design struct {
	c       *cluster
	self    *instance
	table   *spread.Table
	queues  [2]share.Queue[*queued]
	waiting [2]map[ids.Partner]int
	limit   admission.Limiter
	returns share.RetryPacer
	weights map[ids.Partner]uint32
	peers   map[*instance]*load
	rng     *rand.Rand
}

const (
	maxHops = 2
	// returnPart keeps the transmissions at three times the capacity below 1.1
	// per request, and leaves room for the load after the peak.
	returnPart = 0.25
)

func newDesign(c *cluster, self *instance) node {
	seed := c.rng.Uint64()
	n := &design{c: c, self: self, table: spread.NewTable(self.id, dataCentre, seed), peers: map[*instance]*load{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n.waiting {
		n.waiting[i] = map[ids.Partner]int{}
	}
	return n
}

func (n *design) pool() *spread.Pool { return n.table.Pool(serviceName) }

func (n *design) instances(now ids.Time, serving []ids.Instance) {
	n.table.SetInstances(now, serving)
	clear(n.peers)
	for _, in := range n.c.instances {
		for _, id := range serving {
			if in.id == id && in != n.self {
				n.peers[in] = &load{free: 1}
			}
		}
	}
}

func (n *design) profile(r *config.Resolved) {
	p := r.Profile.Protect
	n.limit = admission.Limiter{MaxQueueTime: p.QueueTime, Deadline: p.Deadline, MaxLength: p.QueueLength}
	n.returns.Min, n.returns.Max, n.returns.LoadFraction = p.RetryAfterMin, p.RetryAfterMax, returnPart
	n.weights = map[ids.Partner]uint32{}
	for _, partner := range r.Profile.Partners {
		n.weights[partner.Name] = partner.Weight
	}
	for i := range n.queues {
		n.queues[i].SetWeights(n.weights)
	}
	n.table.SetService(n.c.now, r)
}

func (n *design) arrive(r *request) {
	n.take(r, 0)
}

func (n *design) take(r *request, hops int) {
	p := n.pool()
	if p == nil {
		n.refuse(r)
		return
	}
	q := &queued{r: r, key: r.path, class: p.Classify(r.path), expires: n.c.expiry(r)}
	q.until = n.c.now.Add(n.limit.MaxQueueTime)
	if n.queues[q.class].Len() == 0 && n.dispatch(q) {
		return
	}
	if hops < maxHops {
		if to := n.freePeer(); to != nil {
			n.relay(to, r, hops)
			return
		}
	}
	partner := r.mix.partner
	slots := float64(p.Capacity()) * n.part(q.class, partner)
	if !n.limit.CanQueue(n.waiting[q.class][partner], p.RunTime(), slots) {
		n.refuse(r)
		return
	}
	n.waiting[q.class][partner]++
	n.queues[q.class].Push(partner, p.RunTime(), q)
}

// part returns the part of the slots that a partner gets while the partners
// with queued requests compete.
func (n *design) part(c spread.Class, partner ids.Partner) float64 {
	own, total := uint32(1), uint32(0)
	for name, w := range n.weights {
		if name == partner {
			own = w
		} else if n.waiting[c][name] > 0 {
			total += w
		}
	}
	return float64(own) / float64(own+total)
}

func (n *design) relay(to *instance, r *request, hops int) {
	n.peers[to].free--
	n.peers[to].at, n.peers[to].told = n.c.now, n.c.now
	r.holder = to
	n.c.send(to, relayed{n.self, r, hops + 1, n.load()})
}

// freePeer returns the peer believed to have the most free slots.
func (n *design) freePeer() *instance {
	var best *instance
	for _, in := range n.c.instances {
		l := n.peers[in]
		if l != nil && l.free <= 0 && n.c.now.Sub(l.at) > beliefAge<<min(l.unanswered, maxUnanswered) {
			l.free = 1
			l.unanswered++
		}
		if l != nil && l.free > 0 && (best == nil || l.free > n.peers[best].free) {
			best = in
		}
	}
	return best
}

func (n *design) load() load {
	return load{free: n.pool().Free(spread.Short), backlog: n.queues[0].Len() + n.queues[1].Len()}
}

func (n *design) refuse(r *request) {
	rate := 0.0
	if p := n.pool(); p != nil {
		rate = p.ServiceRate()
	}
	n.c.respond(r, refused, time.Duration(n.returns.RetryAfter(n.c.now, rate, n.rng))*time.Second)
}

// dispatch sends q to a backend server if an owned slot is free for it.
func (n *design) dispatch(q *queued) bool {
	p := n.pool()
	l, ok := p.Acquire(n.c.now, q.class, "")
	if !ok {
		return false
	}
	start := n.c.now
	n.c.dispatch(n.self, n.c.backendOf(l.Target), q.r, q.expires, func(o spread.Outcome) {
		n.pool().Release(n.c.now, l, q.key, o)
		n.queues[q.class].Charge(q.r.mix.partner, n.c.now.Sub(start)-p.RunTime())
		switch o {
		case spread.Success:
			n.c.respond(q.r, served, 0)
		case spread.Shed:
			n.refuse(q.r)
		default:
			n.c.respond(q.r, failed, 0)
		}
		n.pump()
	})
	return true
}

// pump dispatches queued requests while slots are free. Long requests go
// first: their number of slots is capped, so they cannot starve short ones.
func (n *design) pump() {
	p := n.pool()
	for _, c := range []spread.Class{spread.Long, spread.Short} {
		for p.Free(c) > 0 {
			q, partner, ok := n.queues[c].Pop()
			if !ok {
				break
			}
			n.waiting[c][partner]--
			if n.c.now.Add(p.RunTime()) > q.expires {
				n.refuse(q.r)
				continue
			}
			if !n.dispatch(q) {
				n.refuse(q.r)
				break
			}
		}
	}
	if n.queues[0].Len() == 0 && p.Free(spread.Short) > 0 {
		n.announce(p.Free(spread.Short))
	}
}

// announce tells the peer with the greatest known backlog of free slots.
func (n *design) announce(count int) {
	var best *instance
	for _, in := range n.c.instances {
		if l := n.peers[in]; l != nil && l.backlog > 0 && (best == nil || l.backlog > n.peers[best].backlog) {
			best = in
		}
	}
	if best != nil {
		n.peers[best].backlog--
		n.report(best, count)
	}
}

// report sends the own load.
func (n *design) report(to *instance, count int) {
	n.peers[to].told = n.c.now
	n.c.send(to, slotFree{n.self, count, n.load()})
}

func (n *design) peer(m any) {
	switch m := m.(type) {
	case relayed:
		n.learn(m.from, m.load)
		n.take(m.r, m.hops)
		if p := n.peers[m.from]; p != nil && n.c.now.Sub(p.told) > beliefAge {
			n.report(m.from, 0)
		}
	case slotFree:
		n.learn(m.from, m.load)
		if n.peers[m.from] == nil || m.count == 0 {
			return
		}
		if q, partner, ok := n.queues[spread.Short].Pop(); ok {
			n.waiting[spread.Short][partner]--
			n.relay(m.from, q.r, maxHops-1)
		}
	}
}

func (n *design) learn(from *instance, l load) {
	if p := n.peers[from]; p != nil {
		p.free, p.backlog, p.at, p.unanswered = l.free, l.backlog, n.c.now, 0
	}
}

func (n *design) health(b *backend, healthy bool) {
	n.pool().RecordCheck(n.c.now, spread.CheckResult{Target: b.target.Name, Healthy: healthy, Load: -1})
}

func (n *design) tick() {
	n.table.Tick(n.c.now, func(_ ids.Service, t ids.Target, _ string) { n.c.check(n.self, n.c.backendOf(t)) })
	for i := range n.queues {
		n.queues[i].RemoveIf(func(q *queued) bool { return q.until < n.c.now || q.expires < n.c.now },
			func(q *queued) {
				n.waiting[i][q.r.mix.partner]--
				n.refuse(q.r)
			})
	}
	n.pump()
}
