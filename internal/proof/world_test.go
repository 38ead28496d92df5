package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/eventqueue"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	second       = ids.Time(time.Second)
	epoch        = 1_700_000_000 * second
	tickInterval = 10 * time.Millisecond
	lingerTime   = 3 * time.Second
	// fabricLag is the time for which the network fabric still sends datagrams to
	// an instance that has been killed or told to stop.
	fabricLag = 2 * time.Second
	// inboxLimit is the number of datagrams and messages that the socket buffers
	// of a paused process hold.
	inboxLimit = 64
	platformID = "platform"
)

var dataCentres = []ids.DataCentre{"a", "b"}

// node is one instance of the system and the state of its current process.
type node struct {
	sim         *simulation
	id          ids.Instance
	dc          ids.DataCentre
	index       int
	incarnation ids.Incarnation
	core        *core.Core
	alive       bool
	paused      bool
	inbox       []func()
	skew        time.Duration // of its clock
	leftAt      ids.Time      // time of the planned stop, kill or exit; 0 while it runs
	stopping    bool          // a planned stop has begun
	startedAt   ids.Time
	watch       *read // pending read of the platform

	revisions []sample // of this incarnation, oldest first
	serving   bool     // has served in this incarnation
}

// now returns the time on the clock of n.
func (n *node) now() ids.Time { return n.sim.now.Add(n.skew) }

// datagramFate is what the network does to a datagram.
type datagramFate uint8

const (
	delivered datagramFate = iota
	lost
	duplicated
	delayed
)

// sample is the state of an instance at one time.
type sample struct {
	sampledAt ids.Time
	revision  ids.Revision
	lifecycle string
}

func (n *node) addr() string { return fmt.Sprintf("127.0.0.1:%d", 9000+n.index) }

// stats counts the events and checks of a run, to show that it exercised the
// system.
type stats struct {
	responses         map[message.Code]int
	published         int // publications whose time to come into force was checked
	firstRevisions    int // comparisons in checkFirstRevision
	sentWhileDraining int // requests sent to draining backend servers
}

// simulation connects the instances, backend servers, callers and the platform
// and has the virtual clock.
type simulation struct {
	now             ids.Time
	queue           eventqueue.Queue
	rng             *rand.Rand
	keys            *admission.Keyring
	nodes           []*node
	lastIncarnation ids.Incarnation
	servers         []*server
	platform        platform
	cutLinks        map[[2]string]bool // keys are {from, to}
	// Percentages of datagrams that are lost, duplicated or delayed on any hop.
	lossPercent, duplicatePercent, delayPercent int
	nextFate                                    datagramFate // of the next datagram
	exchanges                                   []*exchange
	operations                                  []*operation
	feeds                                       []*feed
	nextHost                                    string // Uri-Host of new operations; empty: p0 and p1 in turn
	// onStep is called at each step of a request, feed, handover, publication or
	// join.
	onStep     func(name string, n *node, x *exchange)
	violations []string
	history    []string
	listMode   listMode
	// Times when a fault of a link or the platform last began or ended; 0 before
	// the first.
	lastLinkFault, lastPlatformFault ids.Time
	stats                            stats
}

func newSimulation(seed uint64, perDataCentre int) *simulation {
	keys, err := admission.NewKeyring(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	if err != nil {
		panic(err) // the key is a constant
	}
	sim := &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), keys: keys, cutLinks: map[[2]string]bool{}}
	sim.stats.responses = map[message.Code]int{}
	sim.platform.sim = sim
	sim.createServers()
	sim.publishDocuments()
	for i := range len(dataCentres) * perDataCentre {
		n := &node{sim: sim, dc: dataCentres[i/perDataCentre], index: i}
		n.id = ids.Instance(fmt.Sprintf("%s%d", n.dc, i%perDataCentre+1))
		if i%perDataCentre == 1 { // one clock in each data centre is wrong by up to two minutes
			n.skew = time.Duration(sim.rng.IntN(240)-120) * time.Second
		}
		sim.nodes = append(sim.nodes, n)
	}
	for _, n := range sim.nodes {
		sim.startProcess(n)
	}
	sim.every(500*time.Millisecond, sim.sampleRevisions)
	sim.every(time.Second, sim.sendNotifications)
	sim.every(5*time.Second, sim.sendLists)
	sim.advance(8 * time.Second)
	sim.lastLinkFault, sim.lastPlatformFault = 0, 0
	return sim
}

// startProcess starts a new process of n.
func (sim *simulation) startProcess(n *node) {
	sim.lastIncarnation++
	self := core.Self{ID: n.id, Incarnation: sim.lastIncarnation, DataCentre: n.dc, PeerAddr: n.addr(), Linger: lingerTime}
	for _, o := range sim.nodes {
		if o != n {
			self.Seeds = append(self.Seeds, member.Seed{ID: o.id, DataCentre: o.dc, PeerAddr: o.addr()})
		}
	}
	n.incarnation, n.core = sim.lastIncarnation, core.New(self, sim.keys, sim.rng.Uint64())
	n.alive, n.paused, n.inbox, n.leftAt, n.stopping = true, false, nil, 0, false
	n.startedAt, n.watch, n.revisions, n.serving = sim.now, nil, nil, false
	sim.scheduleTick(n, n.incarnation)
}

func (sim *simulation) scheduleTick(n *node, incarnation ids.Incarnation) {
	sim.after(tickInterval, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		if !n.paused {
			sim.callCore(n, func(c *core.Core, out *core.Effects) { c.Tick(n.now(), out) })
		}
		sim.scheduleTick(n, incarnation)
	})
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.queue.Push(sim.now.Add(d), do)
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); ; {
		at, do, ok := sim.queue.Next(end)
		if !ok {
			sim.now = end
			return
		}
		sim.now = max(sim.now, at)
		do()
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *simulation) recordEvent(format string, args ...any) {
	sim.history = append(sim.history, fmt.Sprintf("%v: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *simulation) stepReached(name string, n *node, x *exchange) {
	if sim.onStep != nil {
		sim.onStep(name, n, x)
	}
}

// callCore calls the core of n and carries out the effects. Calls to a paused
// process wait in its inbox until it resumes.
func (sim *simulation) callCore(n *node, f func(*core.Core, *core.Effects)) {
	if !n.alive {
		return
	}
	if n.paused {
		if len(n.inbox) < inboxLimit {
			incarnation := n.incarnation
			n.inbox = append(n.inbox, func() {
				if n.incarnation == incarnation {
					sim.callCore(n, f)
				}
			})
		}
		return
	}
	var out core.Effects
	queuedBefore := n.core.Counts().Queued
	f(n.core, &out)
	if n.core.Counts().Queued > queuedBefore {
		sim.stepReached("queued", n, nil)
	}
	for i := range out.List {
		if n.alive { // the process may be killed between two effects
			sim.applyEffect(n, &out.List[i])
		}
	}
}

func (sim *simulation) applyEffect(n *node, e *core.Effect) {
	switch e.Kind {
	case core.ToCaller:
		sim.sendToCaller(n, e.Service, e.Endpoint, encodeAndDecode(&e.Datagram))
	case core.ToBackend:
		sim.sendToBackend(n, e.Endpoint, encodeAndDecode(&e.Datagram))
	case core.ToPeer:
		sim.sendToPeer(n, e.Instance, e.PeerMessage)
	case core.CheckHealth:
		sim.checkHealth(n, e.Service, e.Target, e.URL)
	case core.WatchConfig:
		sim.platform.read(n, e.Revision, e.Watch)
	case core.Exit:
		sim.recordEvent("%s exits", n.id)
		n.alive = false
		if n.leftAt == 0 {
			n.leftAt = sim.now
		}
	}
}

// encodeAndDecode encodes a message and decodes it again, as when it is sent over
// the network.
func encodeAndDecode(o *message.Outgoing) *message.Message {
	raw, err := message.Encode(nil, o)
	if err != nil {
		panic(err) // the core has built a message that cannot be sent
	}
	return decodeBytes(raw)
}

func decodeBytes(raw []byte) *message.Message {
	m := new(message.Message)
	if err := message.Decode(raw, m); err != nil {
		panic(err)
	}
	return m
}

// sendToPeer delivers a message over the link from n to another instance. Links
// keep the order of messages.
func (sim *simulation) sendToPeer(n *node, to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err)
	}
	var x *exchange
	if m.Relay != nil {
		x = sim.exchangeOf(decodeBytes(m.Relay.Datagram))
		if x != nil {
			x.recordHandler(n)
			x.logEvent("relayed by %s to %s", n.id, to)
			if len(x.echo) > 0 {
				sim.stepReached("token relayed", sim.node(to), x)
			}
		}
	}
	switch {
	case m.FeedMove != nil:
		sim.stepReached("feed moving", n, nil)
		sim.stepReached("feed taken", sim.node(to), nil)
	case m.AdmissionMove != nil:
		sim.stepReached("table moving", sim.node(to), nil)
	case m.ConfigRequest != nil && n.lifecycle() == "joining":
		sim.stepReached("join asks peers", n, nil)
	}
	if sim.cutLinks[[2]string{string(n.id), string(to)}] {
		if x != nil {
			x.lost = true
		}
		return
	}
	d := time.Millisecond
	receiver := sim.node(to)
	if receiver == nil {
		return
	}
	if receiver.dc != n.dc {
		d = 2 * time.Millisecond
	}
	sim.after(d, func() {
		if !receiver.alive && x != nil {
			x.lost = true
		}
		received := new(peerwire.Message)
		if err := peerwire.Decode(raw, received); err != nil {
			panic(err)
		}
		e := &core.PeerEvent{Message: received}
		if received.Relay != nil {
			e.RelayedDatagram = decodeBytes(received.Relay.Datagram)
			if x != nil {
				x.recordHandler(receiver)
			}
		}
		sim.callCore(receiver, func(c *core.Core, out *core.Effects) { c.HandlePeer(receiver.now(), e, out) })
	})
}

func (sim *simulation) node(id ids.Instance) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// lifecycle returns the lifecycle state of the process, or "dead".
func (n *node) lifecycle() string {
	if !n.alive {
		return "dead"
	}
	return n.core.Snapshot().Lifecycle
}

// deliverDatagram delivers a datagram with the faults of the network; x is the
// exchange that it belongs to, if any.
func (sim *simulation) deliverDatagram(x *exchange, deliver func()) {
	d := time.Millisecond
	fate := sim.nextFate
	sim.nextFate = delivered
	switch fate {
	case lost:
		if x != nil {
			x.lost = true
		}
		return
	case duplicated, delayed:
		if x != nil {
			x.repeated = true
		}
		if fate == delayed {
			d = 3 * time.Second
		} else {
			sim.after(d+100*time.Millisecond, deliver)
		}
	}
	if sim.lossPercent > 0 && sim.rng.IntN(100) < sim.lossPercent {
		if x != nil {
			x.lost = true
		}
		return
	}
	if sim.delayPercent > 0 && sim.rng.IntN(100) < sim.delayPercent {
		d = time.Duration(sim.rng.IntN(3000)) * time.Millisecond
		if x != nil {
			x.repeated = true // may arrive after its retransmission
		}
	}
	sim.after(d, deliver)
	if sim.duplicatePercent > 0 && sim.rng.IntN(100) < sim.duplicatePercent {
		if x != nil {
			x.repeated = true
		}
		sim.after(d+time.Duration(sim.rng.IntN(500))*time.Millisecond, deliver)
	}
}
