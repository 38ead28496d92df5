package core

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

const (
	// maxHops bounds the relays of one datagram, so that instances whose
	// membership lists disagree cannot relay it in a loop.
	maxHops = 2
	// pauseThreshold is the time between two ticks above which the process is
	// treated as having been paused.
	pauseThreshold = time.Second

	// routeLifetime is the lifetime of an entry in ackRoutes and blockRoutes.
	// It exceeds EXCHANGE_LIFETIME (247 s, RFC 7252 section 4.8.2).
	routeLifetime = 250 * time.Second
	maxRoutes     = 1 << 16
)

// Self describes the instance that a Core runs in.
type Self struct {
	ID          ids.Instance
	Incarnation ids.Incarnation
	DataCentre  ids.DataCentre
	PeerAddr    string // IP:port of the link listener
	Seeds       []member.Seed
	Linger      time.Duration    // time for which late datagrams are relayed at the end of a planned stop
	Admissions  admission.Limits // the default limits when zero
}

// Core is the decision logic of one instance. It must be used by one goroutine
// only. Its decisions depend only on the seed and the sequence of calls: where
// the order of several items matters, it iterates over slices, never over maps.
type Core struct {
	self         Self
	keys         *admission.Keyring
	rng          *rand.Rand    // for jitter and tie-breaking
	nonces       *rand.ChaCha8 // token nonces; unpredictable without the seed
	membership   *member.View
	configStore  *config.Store                    // configuration documents
	slotTable    *spread.Table                    // slot ownership; keeps this instance as an owner during a planned stop
	routes       *spread.Table                    // home instances and slot owners; the same table as slotTable except during a planned stop
	incarnations map[ids.Instance]ids.Incarnation // latest known incarnation of each other instance
	now          ids.Time
	lastTick     ids.Time
	effects      *Effects // effects of the current call
	arena        arena

	services     map[ids.Service]*service
	busyServices []*service // services with pending work, processed at each tick
	generation   uint64     // incremented when slot ownership may have changed

	requestsByKey       map[requestKey]*request // the latest request with a token of its caller, queued or in flight
	requestsByAdmission map[admission.ID]*request
	liveRequests        []*request          // all requests that are queued or in flight
	upstreams           map[uint64]upstream // by upstream token
	upstreamTokens      map[uint16]uint64   // upstream token by the message ID sent to the backend server
	upstreamTokenHigh   uint64              // upper half of upstream tokens, random per incarnation
	upstreamTokenLow    uint32
	nextMessageID       uint16
	lastTraceID         uint64
	freeRequests        []*request
	releasedRequests    []*request // released in this call; effects may still refer to their buffers
	admissions          *admission.Table

	unacked         map[flow.AckKey]*unackedMessage
	unackedByToken  map[requestKey]*unackedMessage // responses, not notifications
	unackedList     []*unackedMessage
	freeUnacked     []*unackedMessage
	releasedUnacked []*unackedMessage
	ackRoutes       flow.Cache[flow.AckKey, ids.Instance]
	blockRoutes     flow.Cache[flow.BlockKey, flow.BlockRoute]
	feeds           *flow.Table

	configSyncer *config.Syncer
	stop         stopState
	exited       bool
	counters     Counters

	// Method values bound once, so that passing them does not allocate.
	emitPeerMessage   func(ids.Instance, *peerwire.Message)
	emitHealthCheck   func(ids.Service, ids.Target, string)
	queueExpiredFunc  func(*request) bool
	rejectQueuedFunc  func(*request)
	checkFeedFunc     func(*flow.Feed)
	requestConfigFunc func(config.Request)
}

// New returns the core of an instance in the joining state. seed must differ
// between instances and between starts; the daemon reads it from the system's
// random number generator.
func New(self Self, keys *admission.Keyring, seed uint64) *Core {
	mixed := ids.Mix(seed, ids.Mix(ids.Hash(string(self.ID)), uint64(self.Incarnation)))
	c := &Core{
		self: self,
		keys: keys,
		rng:  rand.New(rand.NewPCG(mixed, ids.Mix(mixed, 1))),
		membership: member.New(peerwire.Member{
			ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre, PeerAddr: self.PeerAddr,
		}, self.Seeds, mixed),
		configStore:         &config.Store{},
		configSyncer:        config.NewSyncer(self.ID, mixed),
		slotTable:           spread.NewTable(self.ID, self.DataCentre, mixed),
		incarnations:        make(map[ids.Instance]ids.Incarnation),
		services:            make(map[ids.Service]*service),
		requestsByKey:       make(map[requestKey]*request),
		requestsByAdmission: make(map[admission.ID]*request),
		upstreams:           make(map[uint64]upstream),
		upstreamTokens:      make(map[uint16]uint64),
		admissions:          admission.NewTable(self.Incarnation),
		unacked:             make(map[flow.AckKey]*unackedMessage),
		unackedByToken:      make(map[requestKey]*unackedMessage),
		ackRoutes:           flow.Cache[flow.AckKey, ids.Instance]{Lifetime: routeLifetime, Limit: maxRoutes},
		blockRoutes:         flow.Cache[flow.BlockKey, flow.BlockRoute]{Lifetime: routeLifetime, Limit: maxRoutes},
		feeds:               flow.NewTable(),
		generation:          1,
	}
	var key [32]byte
	for i := range 4 {
		v := ids.Mix(mixed, uint64(i)+2)
		for j := range 8 {
			key[8*i+j] = byte(v >> (8 * j))
		}
	}
	c.nonces = rand.NewChaCha8(key)
	c.routes = c.slotTable
	if self.Admissions != (admission.Limits{}) {
		c.admissions.SetLimits(self.Admissions)
	}
	c.upstreamTokenHigh = uint64(c.rng.Uint32()) << 32
	c.nextMessageID = uint16(c.rng.Uint32())
	c.lastTraceID = c.rng.Uint64()
	c.emitPeerMessage = func(to ids.Instance, m *peerwire.Message) {
		e := c.emit(ToPeer)
		e.Instance, e.PeerMessage = to, m
	}
	c.emitHealthCheck = func(s ids.Service, target ids.Target, url string) {
		e := c.emit(CheckHealth)
		e.Service, e.Target, e.URL = s, target, url
	}
	c.queueExpiredFunc = c.queueExpired
	c.rejectQueuedFunc = func(r *request) { c.rejectQueued(r) }
	c.checkFeedFunc = c.checkFeed
	c.requestConfigFunc = c.requestConfig
	return c
}

// begin prepares a call of the core. The effects of the previous call have been
// carried out, so the memory that they refer to is reused.
func (c *Core) begin(now ids.Time, out *Effects) {
	c.now, c.effects = max(c.now, now), out
	c.arena.reset()
	c.freeRequests = append(c.freeRequests, c.releasedRequests...)
	clear(c.releasedRequests)
	c.releasedRequests = c.releasedRequests[:0]
	c.freeUnacked = append(c.freeUnacked, c.releasedUnacked...)
	clear(c.releasedUnacked)
	c.releasedUnacked = c.releasedUnacked[:0]
	// Checked before any event is handled: after a pause a queued request
	// whose deadline has passed must not be dispatched.
	if c.lastTick != 0 && c.now.Sub(c.lastTick) > pauseThreshold {
		c.handleResume()
	}
}

// emit appends an effect. The result is valid until the next emit.
func (c *Core) emit(k EffectKind) *Effect {
	c.effects.List = append(c.effects.List, Effect{Kind: k})
	return &c.effects.List[len(c.effects.List)-1]
}

func (c *Core) log(event, detail string) {
	e := c.emit(Log)
	e.Event, e.Detail = event, detail
}

func (c *Core) emitSpan(stage Stage, s *service, traceID uint64, start ids.Time) {
	e := c.emit(Span)
	e.Stage, e.Service, e.TraceID, e.Start, e.Duration = stage, s.name, traceID, start, c.now.Sub(start)
}

// accepting reports whether this instance may start new work in its own slots.
func (c *Core) accepting() bool {
	return c.stop.phase == running && c.membership.State() == peerwire.Serving
}
