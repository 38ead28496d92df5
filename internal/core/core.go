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
	// pauseGap is the time between two ticks above which the process counts
	// as resumed after a pause.
	pauseGap = time.Second

	// routeLifetime exceeds EXCHANGE_LIFETIME (247 s, RFC 7252 section 4.8.2).
	routeLifetime = 250 * time.Second
	maxRoutes     = 1 << 16
)

// Self describes the instance that a core decides for.
type Self struct {
	ID          ids.Instance
	Incarnation ids.Incarnation
	DataCentre  ids.DataCentre
	PeerAddr    string // IP:port of the link listener
	Seeds       []member.Seed
	Linger      time.Duration    // time for which late datagrams are relayed after a planned stop
	Admissions  admission.Limits // the default limits when zero
}

// Core is the decision logic of one instance. It belongs to one goroutine. Its
// decisions depend only on the seed and the sequence of calls: where the order
// of several items matters it iterates over slices, never over maps.
type Core struct {
	self   Self
	keys   *admission.Keyring
	rng    *rand.Rand    // jitter and ties
	nonces *rand.ChaCha8 // nonces of tokens: unpredictable for an unknown seed
	view   *member.View  // instances
	store  *config.Store // documents
	table  *spread.Table // slots; keeps this instance as owner during a planned stop
	routes *spread.Table // homes and owners; the same as table except during a planned stop
	runs   map[ids.Instance]ids.Incarnation
	now    ids.Time
	tick   ids.Time // time of the last tick
	out    *Effects // effects of the current call
	arena  arena

	services   map[ids.Service]*service
	busy       []*service // with work that a tick advances
	generation uint64     // raised when ownership may have changed

	requests   map[requestKey]*request // without an admission, queued or running
	admitted   map[admission.ID]*request
	live       []*request // queued and running
	upstreams  map[uint64]upstream
	exchanges  map[uint16]uint64 // message id to a backend server, to upstream token
	tokenHigh  uint64            // upper half of upstream tokens, random per incarnation
	tokenLow   uint32
	nextID     uint16
	trace      uint64
	free       []*request
	freed      []*request // released in this call; their buffers may be part of effects
	admissions *admission.Table

	confirms     map[flow.AckKey]*confirm
	confirmList  []*confirm
	confirmFree  []*confirm
	confirmFreed []*confirm
	ackRoutes    flow.Cache[flow.AckKey, ids.Instance]
	blocks       flow.Cache[flow.BlockKey, flow.BlockRoute]
	feeds        *flow.Table

	sync   *config.Syncer
	stop   stopping
	exited bool
	counts Counters

	// Method values bound once, so that passing them does not allocate.
	sendPeer    func(ids.Instance, *peerwire.Message)
	checkDue    func(ids.Service, ids.Target, string)
	queueExpiry func(*request) bool
	queueExpire func(*request)
	sweepFeed   func(*flow.Feed)
	syncRequest func(config.Request)
}

// New returns the core of an instance that is joining. seed must differ
// between instances and runs; the daemon draws it from the system's source of
// randomness.
func New(self Self, keys *admission.Keyring, seed uint64) *Core {
	mixed := ids.Mix(seed, ids.Mix(ids.Hash(string(self.ID)), uint64(self.Incarnation)))
	c := &Core{
		self: self,
		keys: keys,
		rng:  rand.New(rand.NewPCG(mixed, ids.Mix(mixed, 1))),
		view: member.New(peerwire.Member{
			ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre, PeerAddr: self.PeerAddr,
		}, self.Seeds, mixed),
		store:      &config.Store{},
		sync:       config.NewSyncer(self.ID, mixed),
		table:      spread.NewTable(self.ID, self.DataCentre, mixed),
		runs:       make(map[ids.Instance]ids.Incarnation),
		services:   make(map[ids.Service]*service),
		requests:   make(map[requestKey]*request),
		admitted:   make(map[admission.ID]*request),
		upstreams:  make(map[uint64]upstream),
		exchanges:  make(map[uint16]uint64),
		admissions: admission.NewTable(self.Incarnation),
		confirms:   make(map[flow.AckKey]*confirm),
		ackRoutes:  flow.Cache[flow.AckKey, ids.Instance]{Lifetime: routeLifetime, Limit: maxRoutes},
		blocks:     flow.Cache[flow.BlockKey, flow.BlockRoute]{Lifetime: routeLifetime, Limit: maxRoutes},
		feeds:      flow.NewTable(),
		generation: 1,
	}
	var key [32]byte
	for i := range 4 {
		v := ids.Mix(mixed, uint64(i)+2)
		for j := range 8 {
			key[8*i+j] = byte(v >> (8 * j))
		}
	}
	c.nonces = rand.NewChaCha8(key)
	c.routes = c.table
	if self.Admissions != (admission.Limits{}) {
		c.admissions.SetLimits(self.Admissions)
	}
	c.tokenHigh = uint64(c.rng.Uint32()) << 32
	c.nextID = uint16(c.rng.Uint32())
	c.trace = c.rng.Uint64()
	c.sendPeer = func(to ids.Instance, m *peerwire.Message) {
		e := c.emit(ToPeer)
		e.Instance, e.PeerMessage = to, m
	}
	c.checkDue = func(s ids.Service, target ids.Target, url string) {
		e := c.emit(CheckHealth)
		e.Service, e.Target, e.URL = s, target, url
	}
	c.queueExpiry = c.queueExpired
	c.queueExpire = func(r *request) { c.rejectQueued(r) }
	c.sweepFeed = c.checkFeed
	c.syncRequest = c.requestConfig
	return c
}

// begin starts a call: effects of the previous call are done with, so the
// memory that they refer to may be used again.
func (c *Core) begin(now ids.Time, out *Effects) {
	c.now, c.out = max(c.now, now), out
	c.arena.reset()
	c.free = append(c.free, c.freed...)
	clear(c.freed)
	c.freed = c.freed[:0]
	c.confirmFree = append(c.confirmFree, c.confirmFreed...)
	clear(c.confirmFreed)
	c.confirmFreed = c.confirmFreed[:0]
	// Checked before any event is handled: after a pause a queued request
	// whose deadline has passed must not be dispatched.
	if c.tick != 0 && c.now.Sub(c.tick) > pauseGap {
		c.resume()
	}
}

// emit appends an effect. The result is valid until the next emit.
func (c *Core) emit(k EffectKind) *Effect {
	c.out.List = append(c.out.List, Effect{Kind: k})
	return &c.out.List[len(c.out.List)-1]
}

func (c *Core) log(event, detail string) {
	e := c.emit(Log)
	e.Event, e.Detail = event, detail
}

func (c *Core) span(hop Stage, s *service, trace uint64, start ids.Time) {
	e := c.emit(Span)
	e.Stage, e.Service, e.TraceID, e.Start, e.Duration = hop, s.name, trace, start, c.now.Sub(start)
}

// accepting reports whether this instance may start new work in its own slots.
func (c *Core) accepting() bool {
	return c.stop.phase == running && c.view.State() == peerwire.Serving
}
