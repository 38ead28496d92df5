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

// relayedRequest is a request that another instance relayed, with the load of
// that instance.
type relayedRequest struct {
	from *instance
	r    *request
	hops int
	load peerLoad
}

// slotReport reports the load of the sender. If freed is positive, the sender
// also has that many free slots and no queued short requests.
type slotReport struct {
	from  *instance
	freed int
	load  peerLoad
}

// peerLoad is the load of an instance as reported to its peers.
type peerLoad struct {
	free, backlog    int
	updated          ids.Time // when the report was received, or a relay was sent
	unansweredRelays int      // relays sent on an expired report since the last report
	lastSent         ids.Time // when this instance last sent its load to the peer
}

// loadReportLifetime is the age at which a load report without free slots
// expires. Without expiry no instance relays to that peer again, and the peer
// never sends another report: instances then exchanged 0.0002 messages per
// request, and slots of one instance were idle while requests queued at another.
//
// A peer that has not reported since the last relay on an expired report may be
// dead, so the lifetime doubles with each such relay, maxDoublings times at most.
const (
	loadReportLifetime = 20 * time.Millisecond
	maxDoublings       = 6
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	r          *request
	expires    ids.Time
	maxWaitEnd ids.Time // end of the maximum time in the queue
	key        uint64
	class      spread.Class
}

// designNode models the scheduling of the design page with the production
// packages spread, share and admission: each instance owns slots, relays requests
// to instances with free slots, queues long requests separately, and shares the
// slots fairly between partners.
type designNode struct {
	cluster    *cluster
	self       *instance
	table      *spread.Table
	queues     [2]share.Queue[*queuedRequest]
	waiting    [2]map[ids.Partner]int // number of queued requests, by class
	limiter    admission.Limiter
	retryPacer share.RetryPacer
	weights    map[ids.Partner]uint32
	peers      map[*instance]*peerLoad
	rng        *rand.Rand
}

const (
	maxHops = 2
	// retryLoadFraction is the rate at which refused requests are sent again, as a
	// fraction of the service rate. It keeps the transmissions below 1.1 per
	// request at three times the capacity, and leaves capacity for new requests
	// after the peak.
	retryLoadFraction = 0.25
)

func newDesignNode(c *cluster, self *instance) node {
	seed := c.rng.Uint64()
	n := &designNode{cluster: c, self: self, table: spread.NewTable(self.id, dataCentre, seed), peers: map[*instance]*peerLoad{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n.waiting {
		n.waiting[i] = map[ids.Partner]int{}
	}
	return n
}

func (n *designNode) pool() *spread.Pool { return n.table.Pool(serviceName) }

func (n *designNode) setInstances(now ids.Time, serving []ids.Instance) {
	n.table.SetInstances(now, serving)
	clear(n.peers)
	for _, inst := range n.cluster.instances {
		for _, id := range serving {
			if inst.id == id && inst != n.self {
				n.peers[inst] = &peerLoad{free: 1}
			}
		}
	}
}

func (n *designNode) setProfile(r *config.Resolved) {
	p := r.Profile.Protect
	n.limiter = admission.Limiter{MaxQueueTime: p.QueueTime, Deadline: p.Deadline, MaxLength: p.QueueLength}
	n.retryPacer.Min, n.retryPacer.Max, n.retryPacer.LoadFraction = p.RetryAfterMin, p.RetryAfterMax, retryLoadFraction
	n.weights = map[ids.Partner]uint32{}
	for _, partner := range r.Profile.Partners {
		n.weights[partner.Name] = partner.Weight
	}
	for i := range n.queues {
		n.queues[i].SetWeights(n.weights)
	}
	n.table.SetService(n.cluster.now, r)
}

func (n *designNode) handleRequest(r *request) {
	n.schedule(r, 0)
}

// schedule dispatches r if an owned slot is free, else relays it to a peer with
// free slots, else queues it, or refuses it if its queue is too long.
func (n *designNode) schedule(r *request, hops int) {
	p := n.pool()
	if p == nil {
		n.refuse(r)
		return
	}
	entry := &queuedRequest{r: r, key: r.path, class: p.Classify(r.path), expires: n.cluster.expiry(r)}
	entry.maxWaitEnd = n.cluster.now.Add(n.limiter.MaxQueueTime)
	if n.queues[entry.class].Len() == 0 && n.dispatch(entry) {
		return
	}
	if hops < maxHops {
		if peer := n.freePeer(); peer != nil {
			n.relay(peer, r, hops)
			return
		}
	}
	partner := r.traffic.partner
	slots := float64(p.Capacity()) * n.partnerFraction(entry.class, partner)
	if !n.limiter.CanQueue(n.waiting[entry.class][partner], p.RunTime(), slots) {
		n.refuse(r)
		return
	}
	n.waiting[entry.class][partner]++
	n.queues[entry.class].Push(partner, p.RunTime(), entry)
}

// partnerFraction returns the fraction of the slots of a partner, by its weight
// among the partners with queued requests.
func (n *designNode) partnerFraction(c spread.Class, partner ids.Partner) float64 {
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

func (n *designNode) relay(to *instance, r *request, hops int) {
	n.peers[to].free--
	n.peers[to].updated, n.peers[to].lastSent = n.cluster.now, n.cluster.now
	r.currentInstance = to
	n.cluster.sendData(to, relayedRequest{n.self, r, hops + 1, n.ownLoad()})
}

// freePeer returns the peer that reported the most free slots, or nil. A peer
// whose report without free slots has expired counts as having one.
func (n *designNode) freePeer() *instance {
	var best *instance
	for _, inst := range n.cluster.instances {
		l := n.peers[inst]
		if l != nil && l.free <= 0 && n.cluster.now.Sub(l.updated) > loadReportLifetime<<min(l.unansweredRelays, maxDoublings) {
			l.free = 1
			l.unansweredRelays++
		}
		if l != nil && l.free > 0 && (best == nil || l.free > n.peers[best].free) {
			best = inst
		}
	}
	return best
}

func (n *designNode) ownLoad() peerLoad {
	return peerLoad{free: n.pool().Free(spread.Short), backlog: n.queues[0].Len() + n.queues[1].Len()}
}

func (n *designNode) refuse(r *request) {
	rate := 0.0
	if p := n.pool(); p != nil {
		rate = p.ServiceRate()
	}
	n.cluster.deliverResponse(r, refused, time.Duration(n.retryPacer.RetryAfter(n.cluster.now, rate, n.rng))*time.Second)
}

// dispatch sends q to a backend server and returns true if this instance owns a
// free slot for it.
func (n *designNode) dispatch(q *queuedRequest) bool {
	p := n.pool()
	lease, ok := p.Acquire(n.cluster.now, q.class, "")
	if !ok {
		return false
	}
	start := n.cluster.now
	n.cluster.dispatch(n.self, n.cluster.backendByTarget(lease.Target), q.r, q.expires, func(o spread.Outcome) {
		n.pool().Release(n.cluster.now, lease, q.key, o)
		n.queues[q.class].Charge(q.r.traffic.partner, n.cluster.now.Sub(start)-p.RunTime())
		switch o {
		case spread.Success:
			n.cluster.deliverResponse(q.r, served, 0)
		case spread.Shed:
			n.refuse(q.r)
		default:
			n.cluster.deliverResponse(q.r, failed, 0)
		}
		n.dispatchQueued()
	})
	return true
}

// dispatchQueued dispatches queued requests while slots are free. Long requests
// are dispatched first; they cannot starve short ones, because the number of
// their slots is limited.
func (n *designNode) dispatchQueued() {
	p := n.pool()
	for _, c := range []spread.Class{spread.Long, spread.Short} {
		for p.Free(c) > 0 {
			q, partner, ok := n.queues[c].Pop()
			if !ok {
				break
			}
			n.waiting[c][partner]--
			if n.cluster.now.Add(p.RunTime()) > q.expires {
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
		n.announceFreeSlots(p.Free(spread.Short))
	}
}

// announceFreeSlots reports free slots to the peer with the largest reported
// backlog.
func (n *designNode) announceFreeSlots(count int) {
	var best *instance
	for _, inst := range n.cluster.instances {
		if l := n.peers[inst]; l != nil && l.backlog > 0 && (best == nil || l.backlog > n.peers[best].backlog) {
			best = inst
		}
	}
	if best != nil {
		n.peers[best].backlog--
		n.sendLoad(best, count)
	}
}

// sendLoad sends the load of this instance and the number of freed slots to a
// peer.
func (n *designNode) sendLoad(to *instance, count int) {
	n.peers[to].lastSent = n.cluster.now
	n.cluster.sendData(to, slotReport{n.self, count, n.ownLoad()})
}

func (n *designNode) handlePeer(m any) {
	switch m := m.(type) {
	case relayedRequest:
		n.updatePeerLoad(m.from, m.load)
		n.schedule(m.r, m.hops)
		if p := n.peers[m.from]; p != nil && n.cluster.now.Sub(p.lastSent) > loadReportLifetime {
			n.sendLoad(m.from, 0)
		}
	case slotReport:
		n.updatePeerLoad(m.from, m.load)
		if n.peers[m.from] == nil || m.freed == 0 {
			return
		}
		if q, partner, ok := n.queues[spread.Short].Pop(); ok {
			n.waiting[spread.Short][partner]--
			n.relay(m.from, q.r, maxHops-1)
		}
	}
}

func (n *designNode) updatePeerLoad(from *instance, l peerLoad) {
	if p := n.peers[from]; p != nil {
		p.free, p.backlog, p.updated, p.unansweredRelays = l.free, l.backlog, n.cluster.now, 0
	}
}

func (n *designNode) handleHealth(b *backend, healthy bool) {
	n.pool().RecordCheck(n.cluster.now, spread.CheckResult{Target: b.target.Name, Healthy: healthy, Load: -1})
}

func (n *designNode) tick() {
	n.table.Tick(n.cluster.now, func(_ ids.Service, t ids.Target, _ string) {
		n.cluster.checkHealth(n.self, n.cluster.backendByTarget(t))
	})
	for i := range n.queues {
		n.queues[i].RemoveIf(func(q *queuedRequest) bool { return q.maxWaitEnd < n.cluster.now || q.expires < n.cluster.now },
			func(q *queuedRequest) {
				n.waiting[i][q.r.traffic.partner]--
				n.refuse(q.r)
			})
	}
	n.dispatchQueued()
}
