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
	// loadReportTTL is the time for which a load report of a peer is used.
	// Demand changes within seconds, so an older report is unreliable.
	loadReportTTL = 500 * time.Millisecond
	// loadReportInterval is the minimum time between load reports that are sent
	// without a relayed datagram. They count as control traffic: 20 a second to
	// each of at most maxLoadReports instances.
	loadReportInterval = 50 * time.Millisecond
	maxLoadReports     = 2
	// maxScannedPeers is the maximum number of co-owners examined for one
	// decision.
	maxScannedPeers = 8
	// idleTimeout is the time without work after which ticks skip a service.
	idleTimeout = time.Second
)

// service is the state of one service. pool is nil for a service in which this
// instance owns no slot.
type service struct {
	name          ids.Service
	hash          uint64
	config        *config.Resolved
	removed       bool
	idempotent    uint64 // bit set of method codes
	partners      []partner
	partnerByHost map[string]int // Uri-Host to index in partners
	limiter       admission.Limiter
	budget        admission.RetryBudget
	retrySchedule share.RetryPacer

	generation uint64 // Core.generation at the last refreshOwnership
	pool       *spread.Pool
	peers      []peer // other owners, sorted by id

	queues           [2]share.Queue[*request] // by class
	classTime        [2]time.Duration         // slot time given to each class while both wait
	waitingForTarget []*request               // follow-up blocks that wait for a slot of their target
	busy             bool
	lastWork         ids.Time
	lastLoadReport   ids.Time
	// longWaitingSince is the time since which long requests have been queued
	// here without a start of one; 0 when none is queued.
	longWaitingSince  ids.Time
	endedLongKey      uint64        // predictor key of a finished long request that is to be reported
	endedLongRunTime  time.Duration // run time of that request
	reportedLongCount int           // long requests in the last report to all co-owners
}

// partner is a partner of the profile. Index 0 of service.partners is for the
// callers that no partner lists.
type partner struct {
	config.Partner
	queued [2]int // by class
}

// peer is the last reported load of another owner of slots of a service.
type peer struct {
	id          ids.Instance
	freeSlots   int
	backlog     int
	usableSlots int // usable slots that it owns
	longSlots   int // slots that long requests hold
	refusing    bool
	reportedAt  ids.Time
	lastRelay   ids.Time // time of the last relay from it
}

var methodCodes = map[string]message.Code{
	"GET": message.GET, "POST": message.POST, "PUT": message.PUT, "DELETE": message.DELETE,
	"FETCH": message.FETCH, "PATCH": message.PATCH, "IPATCH": message.IPATCH, "iPATCH": message.IPATCH,
}

// configure replaces the configuration of the service with r. live lists the
// requests of the instance.
func (s *service) configure(r *config.Resolved, live []*request) {
	p := &r.Profile
	s.config, s.removed = r, false
	s.idempotent = 0
	for _, m := range p.Protect.Idempotent {
		s.idempotent |= 1 << methodCodes[m]
	}
	s.limiter = admission.Limiter{MaxQueueTime: p.Protect.QueueTime, Deadline: p.Protect.Deadline, MaxLength: p.Protect.QueueLength}
	s.budget.Ratio = p.Protect.RetryRatio
	s.retrySchedule.Min, s.retrySchedule.Max, s.retrySchedule.LoadFraction = p.Protect.RetryAfterMin, p.Protect.RetryAfterMax, callerRetryFraction

	old := s.partners
	s.partners = append(make([]partner, 0, len(p.Partners)+1), partner{Partner: config.Partner{Weight: 1}})
	s.partnerByHost = make(map[string]int)
	weights := make(map[ids.Partner]uint32, len(p.Partners))
	for _, listed := range p.Partners {
		for _, h := range listed.Hosts {
			if _, taken := s.partnerByHost[h]; !taken {
				s.partnerByHost[h] = len(s.partners)
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
		best = s.partnerByHost[string(host)]
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

// refreshOwnership updates the pool and the peers of s when slot ownership may
// have changed.
func (c *Core) refreshOwnership(s *service) {
	if s.generation == c.generation {
		return
	}
	s.generation = c.generation
	s.pool = c.slotTable.Pool(s.name)
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

// ownedSlots returns the number of usable slots of s that this instance owns.
func (s *service) ownedSlots() int {
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

// fillLoad fills l with the load of this instance for s. It returns false when
// this instance owns no slot of s.
func (c *Core) fillLoad(s *service, l *peerwire.Load) bool {
	c.refreshOwnership(s)
	if s.ownedSlots() == 0 {
		return false
	}
	*l = peerwire.Load{Service: s.name, Backlog: uint16(min(s.backlog(), 1<<16-1)), Refuse: !c.accepting()}
	l.Slots, l.Long = uint16(s.pool.Usable()), uint16(s.pool.LongInUse())
	l.LongKey, l.LongDurationMS = s.endedLongKey, uint32(s.endedLongRunTime/time.Millisecond)
	if c.accepting() {
		l.Free = uint16(max(0, s.pool.Free(spread.Short)))
		l.Refuse = l.Free == 0 && !c.fitsQueue(s, spread.Short, 0)
	}
	return true
}

// recordLoad records the load that a peer reported.
func (c *Core) recordLoad(from ids.Instance, l *peerwire.Load) {
	s := c.services[l.Service]
	if s == nil {
		return
	}
	c.refreshOwnership(s)
	if p := s.peer(from); p != nil {
		p.freeSlots, p.backlog, p.refusing, p.reportedAt = int(l.Free), int(l.Backlog), l.Refuse, c.now
		p.usableSlots, p.longSlots = int(l.Slots), int(l.Long)
		if s.pool != nil {
			s.pool.ImportRunTime(l.LongKey, time.Duration(l.LongDurationMS)*time.Millisecond)
		}
	}
}

// freePeer returns a co-owner whose last report shows a free slot, preferring
// the one with the most. For a long request, it must also be below its own
// limit on long requests, and all owners together below the shared limit.
func (c *Core) freePeer(s *service, class spread.Class) *peer {
	n := len(s.peers)
	if n == 0 || class == spread.Long && s.pool != nil && !c.belowSharedLongLimit(s) {
		return nil
	}
	var best *peer
	start := c.rng.IntN(n)
	for i := range min(n, maxScannedPeers) {
		p := &s.peers[(start+i)%n]
		if class == spread.Long && s.pool != nil && p.usableSlots > 0 && p.longSlots >= s.pool.LongLimit(p.usableSlots) {
			continue
		}
		if p.freeSlots > 0 && c.now.Sub(p.reportedAt) <= loadReportTTL && (best == nil || p.freeSlots > best.freeSlots) {
			best = p
		}
	}
	return best
}

// isRefusing reports whether the instance id rejects new requests according to
// its last report.
func (c *Core) isRefusing(s *service, id ids.Instance) bool {
	p := s.peer(id)
	return p != nil && p.refusing && c.now.Sub(p.reportedAt) <= loadReportTTL
}

// markBusy adds s to the services that are processed at each tick.
func (c *Core) markBusy(s *service) {
	s.lastWork = c.now
	if !s.busy {
		s.busy = true
		c.busyServices = append(c.busyServices, s)
	}
}
