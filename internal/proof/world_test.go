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
	second = ids.Time(time.Second)
	epoch  = 1_700_000_000 * second
	tick   = 10 * time.Millisecond
	linger = 3 * time.Second
	// fabricLag is the time for which the fabric still sends datagrams to an
	// instance that has been killed or told to stop.
	fabricLag = 2 * time.Second
	// inboxLimit bounds the datagrams and messages that wait for a paused
	// process in its socket buffers.
	inboxLimit = 64
	platformID = "platform"
)

var centres = []ids.DataCentre{"a", "b"}

// node is one instance of the system: its current process and its network.
type node struct {
	w       *world
	id      ids.Instance
	dc      ids.DataCentre
	index   int
	run     ids.Incarnation
	core    *core.Core
	alive   bool
	paused  bool
	inbox   []func()
	skew    time.Duration // of the clock of n
	leaving ids.Time      // planned stop or kill; 0 while the fabric may send
	stopped bool          // a planned stop has begun
	started ids.Time
	watch   *read // pending read of the platform

	revisions []sample // of this incarnation, oldest first
	serving   bool     // has served in this incarnation
}

// now returns the time on the clock of n.
func (n *node) now() ids.Time { return n.w.now.Add(n.skew) }

// fate is what the network does to a datagram.
type fate uint8

const (
	passed fate = iota
	lost
	doubled
	delayed
)

type sample struct {
	at        ids.Time
	revision  ids.Revision
	lifecycle string
}

func (n *node) addr() string { return fmt.Sprintf("127.0.0.1:%d", 9000+n.index) }

// stats counts what happened, to show that a run exercised the system.
type stats struct {
	responses map[message.Code]int
	published int // publications checked for their time
	joins     int // first revisions checked
	drained   int // requests that draining backend servers got in time
}

// world joins the instances, backend servers, callers and the platform.
type world struct {
	now      ids.Time
	queue    eventqueue.Queue
	rng      *rand.Rand
	keys     *admission.Keyring
	nodes    []*node
	runs     ids.Incarnation
	servers  []*server
	platform platform
	cut      map[[2]string]bool // directed, from and to
	// Datagrams in percent that are lost, doubled or late, in any hop.
	loss, double, late int
	once               fate // of the next datagram
	exchanges          []*exchange
	operations         []*operation
	feeds              []*feed
	host               string // Uri-Host of new operations; empty: by turns
	// step is called at each step of a request, feed or handover.
	step       func(name string, n *node, x *exchange)
	violations []string
	history    []string
	listMode   listMode
	// Times of the last change of a fault; 0 before the first.
	linkFault, platformFault ids.Time
	stats                    stats
}

func newWorld(seed uint64, size int) *world {
	keys, err := admission.NewKeyring(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	if err != nil {
		panic(err) // the key is a constant
	}
	w := &world{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), keys: keys, cut: map[[2]string]bool{}}
	w.stats.responses = map[message.Code]int{}
	w.platform.w = w
	w.buildServers()
	w.publishAll()
	for i := range len(centres) * size {
		n := &node{w: w, dc: centres[i/size], index: i}
		n.id = ids.Instance(fmt.Sprintf("%s%d", n.dc, i%size+1))
		if i%size == 1 { // one clock in each data centre is wrong
			n.skew = time.Duration(w.rng.IntN(240)-120) * time.Second
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	w.every(500*time.Millisecond, w.observe)
	w.every(time.Second, w.pushFeeds)
	w.every(5*time.Second, w.sendLists)
	w.advance(8 * time.Second)
	w.linkFault, w.platformFault = 0, 0
	return w
}

// start runs a new process of n.
func (w *world) start(n *node) {
	w.runs++
	self := core.Self{ID: n.id, Incarnation: w.runs, DataCentre: n.dc, PeerAddr: n.addr(), Linger: linger}
	for _, o := range w.nodes {
		if o != n {
			self.Seeds = append(self.Seeds, member.Seed{ID: o.id, DataCentre: o.dc, PeerAddr: o.addr()})
		}
	}
	n.run, n.core = w.runs, core.New(self, w.keys, w.rng.Uint64())
	n.alive, n.paused, n.inbox, n.leaving, n.stopped = true, false, nil, 0, false
	n.started, n.watch, n.revisions, n.serving = w.now, nil, nil, false
	w.tickNode(n, n.run)
}

func (w *world) tickNode(n *node, run ids.Incarnation) {
	w.after(tick, func() {
		if n.run != run || !n.alive {
			return
		}
		if !n.paused {
			w.call(n, func(c *core.Core, out *core.Effects) { c.Tick(n.now(), out) })
		}
		w.tickNode(n, run)
	})
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.Push(w.now.Add(d), do)
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); ; {
		at, do, ok := w.queue.Next(end)
		if !ok {
			w.now = end
			return
		}
		w.now = max(w.now, at)
		do()
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *world) reach(name string, n *node, x *exchange) {
	if w.step != nil {
		w.step(name, n, x)
	}
}

// call calls the core of n and carries out the effects. A paused process gets
// what arrives when it wakes.
func (w *world) call(n *node, f func(*core.Core, *core.Effects)) {
	if !n.alive {
		return
	}
	if n.paused {
		if len(n.inbox) < inboxLimit {
			run := n.run
			n.inbox = append(n.inbox, func() {
				if n.run == run {
					w.call(n, f)
				}
			})
		}
		return
	}
	var out core.Effects
	queued := n.core.Counts().Queued
	f(n.core, &out)
	if n.core.Counts().Queued > queued {
		w.reach("queued", n, nil)
	}
	for i := range out.List {
		if n.alive { // the process may be killed between two effects
			w.effect(n, &out.List[i])
		}
	}
}

func (w *world) effect(n *node, e *core.Effect) {
	switch e.Kind {
	case core.ToCaller:
		w.toCaller(n, e.Service, e.Endpoint, decode(&e.Datagram))
	case core.ToBackend:
		w.toBackend(n, e.Endpoint, decode(&e.Datagram))
	case core.ToPeer:
		w.toPeer(n, e.Instance, e.PeerMessage)
	case core.CheckHealth:
		w.checkHealth(n, e.Service, e.Target, e.URL)
	case core.WatchConfig:
		w.platform.read(n, e.Revision, e.Watch)
	case core.Exit:
		w.note("%s exits", n.id)
		n.alive = false
		if n.leaving == 0 {
			n.leaving = w.now
		}
	}
}

// decode encodes a message and decodes it again, as on the wire.
func decode(o *message.Outgoing) *message.Message {
	raw, err := message.Encode(nil, o)
	if err != nil {
		panic(err) // the core has built a message that cannot be sent
	}
	return parse(raw)
}

func parse(raw []byte) *message.Message {
	m := new(message.Message)
	if err := message.Decode(raw, m); err != nil {
		panic(err)
	}
	return m
}

// toPeer delivers a message over the link from n to another instance. Links
// keep the order of messages.
func (w *world) toPeer(n *node, to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err)
	}
	var x *exchange
	if m.Relay != nil {
		x = w.exchangeOf(parse(m.Relay.Datagram))
		if x != nil {
			x.touch(n)
			x.log("relayed by %s to %s", n.id, to)
			if len(x.echo) > 0 {
				w.reach("token relayed", w.node(to), x)
			}
		}
	}
	switch {
	case m.FeedMove != nil:
		w.reach("feed moving", n, nil)
		w.reach("feed taken", w.node(to), nil)
	case m.AdmissionMove != nil:
		w.reach("table moving", w.node(to), nil)
	case m.ConfigRequest != nil && n.state() == "joining":
		w.reach("join asks peers", n, nil)
	}
	if w.cut[[2]string{string(n.id), string(to)}] {
		if x != nil {
			x.lost = true
		}
		return
	}
	d := time.Millisecond
	target := w.node(to)
	if target == nil {
		return
	}
	if target.dc != n.dc {
		d = 2 * time.Millisecond
	}
	w.after(d, func() {
		if !target.alive && x != nil {
			x.lost = true
		}
		got := new(peerwire.Message)
		if err := peerwire.Decode(raw, got); err != nil {
			panic(err)
		}
		e := &core.PeerEvent{Message: got}
		if got.Relay != nil {
			e.RelayedDatagram = parse(got.Relay.Datagram)
			if x != nil {
				x.touch(target)
			}
		}
		w.call(target, func(c *core.Core, out *core.Effects) { c.HandlePeer(target.now(), e, out) })
	})
}

func (w *world) node(id ids.Instance) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// state returns the lifecycle of the process.
func (n *node) state() string {
	if !n.alive {
		return "dead"
	}
	return n.core.Snapshot().Lifecycle
}

// datagram delivers a datagram with the faults of the network; x is the
// exchange that it belongs to, if any.
func (w *world) datagram(x *exchange, deliver func()) {
	d := time.Millisecond
	once := w.once
	w.once = passed
	switch once {
	case lost:
		if x != nil {
			x.lost = true
		}
		return
	case doubled, delayed:
		if x != nil {
			x.repeated = true
		}
		if once == delayed {
			d = 3 * time.Second
		} else {
			w.after(d+100*time.Millisecond, deliver)
		}
	}
	if w.loss > 0 && w.rng.IntN(100) < w.loss {
		if x != nil {
			x.lost = true
		}
		return
	}
	if w.late > 0 && w.rng.IntN(100) < w.late {
		d = time.Duration(w.rng.IntN(3000)) * time.Millisecond
		if x != nil {
			x.repeated = true // may arrive after its retransmission
		}
	}
	w.after(d, deliver)
	if w.double > 0 && w.rng.IntN(100) < w.double {
		if x != nil {
			x.repeated = true
		}
		w.after(d+time.Duration(w.rng.IntN(500))*time.Millisecond, deliver)
	}
}
