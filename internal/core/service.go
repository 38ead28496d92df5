package core

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/share"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// loadReportTTL is the time for which the load that a peer reported is used.
	// Demand swings within seconds, so an older report says little.
	loadReportTTL = 500 * time.Millisecond
	// loadReportInterval bounds the load reports without a relay, which count as
	// control traffic: 20 a second to each of at most maxLoadReports instances.
	loadReportInterval = 50 * time.Millisecond
	maxLoadReports     = 2
	// scanPeers bounds the co-owners examined for one decision.
	scanPeers = 8
	// idleAfter is the time without work after which a tick skips a service.
	idleAfter = time.Second
)

// service is the state for one service. Services for which no slot is owned
// have only the first part.
type service struct {
	name       ids.Service
	hash       uint64
	config     *config.Resolved
	removed    bool
	idempotent uint64 // bit set by method code
	partners   []partner
	hosts      map[string]int // Uri-Host to index in partners
	limiter    admission.Limiter
	budget     admission.RetryBudget
	returns    share.RetryPacer

	generation uint64
	pool       *spread.Pool
	peers      []peer // other owners, sorted by id

	queues       [2]share.Queue[*request] // by class
	turns        [2]time.Duration         // slot time given to each class while both wait
	pinned       []*request               // follow-up blocks that wait for their target
	busy         bool
	lastWork     ids.Time
	loadReported ids.Time
	// longWaits is the time since which long requests wait here and none has
	// started; 0 when none waits.
	longWaits     ids.Time
	longKey       uint64        // of a long request whose end is to be reported
	longRun       time.Duration // its run time
	reportedLongs int           // long requests in the last report to all co-owners
}

// partner is a partner of the profile; index 0 takes all other callers.
type partner struct {
	config.Partner
	queued [2]int // by class
}

// peer is what is believed of another owner of slots of a service.
type peer struct {
	id      ids.Instance
	free    int
	backlog int
	slots   int // usable
	longs   int // slots that long requests hold
	refuse  bool
	heard   ids.Time
	relayed ids.Time // last relay from it
}

var methods = map[string]message.Code{
	"GET": message.GET, "POST": message.POST, "PUT": message.PUT, "DELETE": message.DELETE,
	"FETCH": message.FETCH, "PATCH": message.PATCH, "IPATCH": message.IPATCH, "iPATCH": message.IPATCH,
}

// configure applies a resolved service, which replaces the previous one. live
// are the requests of the instance.
func (s *service) configure(r *config.Resolved, live []*request) {
	p := &r.Profile
	s.config, s.removed = r, false
	s.idempotent = 0
	for _, m := range p.Protect.Idempotent {
		s.idempotent |= 1 << methods[m]
	}
	s.limiter = admission.Limiter{MaxQueueTime: p.Protect.QueueTime, Deadline: p.Protect.Deadline, MaxLength: p.Protect.QueueLength}
	s.budget.Ratio = p.Protect.RetryRatio
	s.returns.Min, s.returns.Max, s.returns.LoadFraction = p.Protect.RetryAfterMin, p.Protect.RetryAfterMax, returnPart

	old := s.partners
	s.partners = append(make([]partner, 0, len(p.Partners)+1), partner{Partner: config.Partner{Weight: 1}})
	s.hosts = make(map[string]int)
	weights := make(map[ids.Partner]uint32, len(p.Partners))
	for _, listed := range p.Partners {
		for _, h := range listed.Hosts {
			if _, taken := s.hosts[h]; !taken {
				s.hosts[h] = len(s.partners)
			}
		}
		weights[listed.Name] = listed.Weight
		s.partners = append(s.partners, partner{Partner: listed})
	}
	for class := range s.queues {
		s.queues[class].SetWeights(weights)
	}
	index := make([]int, len(old))
	for i := range old {
		j := slices.IndexFunc(s.partners, func(p partner) bool { return p.Name == old[i].Name })
		index[i] = max(0, j)
	}
	// Requests of a partner that is no longer listed count for index 0.
	for _, r := range live {
		if r.svc != s {
			continue
		}
		r.partner = index[r.partner]
		if r.state == queued {
			s.partners[r.partner].queued[r.class]++
		}
	}
}

// partnerOf returns the index of the first partner that lists the host or the
// caller.
func (s *service) partnerOf(host []byte, caller ids.Endpoint) int {
	if len(s.partners) <= 1 {
		return 0
	}
	best := 0
	if len(host) > 0 {
		best = s.hosts[string(host)]
	}
	for i := 1; i < len(s.partners) && (best == 0 || i < best); i++ {
		for _, n := range s.partners[i].Networks {
			if n.Contains(caller.Addr().Unmap()) {
				return i
			}
		}
	}
	return best
}

// refresh updates what depends on ownership.
func (c *Core) refresh(s *service) {
	if s.generation == c.generation {
		return
	}
	s.generation = c.generation
	s.pool = c.table.Pool(s.name)
	old := s.peers
	s.peers = make([]peer, 0, len(old))
	for _, id := range c.routes.Owners(s.name) {
		if id == c.self.ID {
			continue
		}
		p := peer{id: id}
		if i := slices.IndexFunc(old, func(o peer) bool { return o.id == id }); i >= 0 {
			p = old[i]
		}
		s.peers = append(s.peers, p)
	}
}

// owned returns the number of usable slots of s that this instance owns.
func (s *service) owned() int {
	if s.pool == nil {
		return 0
	}
	return s.pool.Capacity()
}

func (s *service) backlog() int { return s.queues[spread.Short].Len() + s.queues[spread.Long].Len() }

func (s *service) peer(id ids.Instance) *peer {
	for i := range s.peers {
		if s.peers[i].id == id {
			return &s.peers[i]
		}
	}
	return nil
}

// load fills l with the load of this instance; it returns false when it owns
// no slot of s.
func (c *Core) load(s *service, l *peerwire.Load) bool {
	c.refresh(s)
	if s.owned() == 0 {
		return false
	}
	*l = peerwire.Load{Service: s.name, Backlog: uint16(min(s.backlog(), 1<<16-1)), Refuse: !c.accepting()}
	l.Slots, l.Long = uint16(s.pool.Usable()), uint16(s.pool.LongInUse())
	l.LongKey, l.LongRun = s.longKey, uint32(s.longRun/time.Millisecond)
	if c.accepting() {
		l.Free = uint16(max(0, s.pool.Free(spread.Short)))
		l.Refuse = l.Free == 0 && !c.fits(s, spread.Short, 0)
	}
	return true
}

// heard records the load that a peer reported.
func (c *Core) heard(from ids.Instance, l *peerwire.Load) {
	s := c.services[l.Service]
	if s == nil {
		return
	}
	c.refresh(s)
	if p := s.peer(from); p != nil {
		p.free, p.backlog, p.refuse, p.heard = int(l.Free), int(l.Backlog), l.Refuse, c.now
		p.slots, p.longs = int(l.Slots), int(l.Long)
		if s.pool != nil {
			s.pool.ImportRunTime(l.LongKey, time.Duration(l.LongRun)*time.Millisecond)
		}
	}
}

// freePeer returns a co-owner that is believed to have a free slot, preferring
// the one with the most. For a long request it also has to be below its own
// limit on long requests, and the owners together below theirs.
func (c *Core) freePeer(s *service, class spread.Class) *peer {
	n := len(s.peers)
	if n == 0 || class == spread.Long && s.pool != nil && !c.longRoom(s) {
		return nil
	}
	var best *peer
	start := c.rng.IntN(n)
	for i := range min(n, scanPeers) {
		p := &s.peers[(start+i)%n]
		if class == spread.Long && s.pool != nil && p.slots > 0 && p.longs >= s.pool.LongLimit(p.slots) {
			continue
		}
		if p.free > 0 && c.now.Sub(p.heard) <= loadReportTTL && (best == nil || p.free > best.free) {
			best = p
		}
	}
	return best
}

// refuses reports whether the instance id is believed to reject new requests.
func (c *Core) refuses(s *service, id ids.Instance) bool {
	p := s.peer(id)
	return p != nil && p.refuse && c.now.Sub(p.heard) <= loadReportTTL
}

// wake makes the ticks advance s.
func (c *Core) wake(s *service) {
	s.lastWork = c.now
	if !s.busy {
		s.busy = true
		c.busy = append(c.busy, s)
	}
}
