package capacity

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/link"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	linkDelay     = time.Millisecond
	platformDelay = 3 * time.Millisecond
	watchTimeout  = 30 * time.Second
	framingBytes  = 30   // TLS and WebSocket framing of a message
	controlRate   = 2048 // limit of the control bytes that an instance sends in a second
)

// fleet simulates one data centre on a virtual clock: cores that are connected
// by links with a byte budget, and the platform that publishes configuration.
type fleet struct {
	now               ids.Time
	rateLimit         int // control bytes per second and instance; 0 means no limit
	initialBytes      int // bytes that an instance may send beyond rateLimit at the start
	nodes             []*fleetNode
	nodesByID         map[ids.Instance]*fleetNode
	events            eventQueue
	lastSequence      int
	documents         []core.Publication // latest version of each key, ordered by revision
	revision          ids.Revision
	watches           []watch
	platformDown      bool    // the platform is unreachable
	platformReads     int     // requests to the platform; a watch counts as one
	sentBytes         float64 // control bytes sent, including framing
	droppedHeartbeats int     // heartbeats dropped because they exceeded the budget
}

type fleetNode struct {
	core      *core.Core
	effects   core.Effects
	budget    *link.Budget
	sendQueue []queuedMessage // messages that wait for the byte budget
}

type queuedMessage struct {
	to  ids.Instance
	raw []byte
}

type watch struct {
	node          *fleetNode
	afterRevision ids.Revision
	expires       ids.Time
}

type scheduledEvent struct {
	at       ids.Time
	sequence int
	action   func()
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = scheduledEvent{}
	*e = (*e)[:len(*e)-1]
	return last
}

// newFleet returns a fleet whose instances have empty member lists. The rate
// limit takes effect at the end of warmUp, or when applyRateLimit is called.
func newFleet(instances, services, targets, rate int) *fleet {
	f := &fleet{now: epoch, rateLimit: rate, nodesByID: map[ids.Instance]*fleetNode{}}
	for i := range instances {
		node := &fleetNode{core: newCore(i)}
		f.nodes = append(f.nodes, node)
		f.nodesByID[instanceName(i)] = node
	}
	f.publish("profile/standard", profileDocument(0))
	for i := range services {
		f.publish("service/"+string(serviceName(i)), serviceDocument(i, targets, "dc0", 0))
	}
	return f
}

// warmUp brings all instances to the steady state of a long run: each instance
// serves, its member list shows all others as serving, and no change is being
// propagated.
func (f *fleet) warmUp() {
	f.run(tickInterval)
	f.distributeMembers(peerwire.Joining, 0)
	for serving := false; !serving && f.now.Sub(epoch) < time.Minute; {
		f.run(5 * tickInterval)
		serving = !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.core.Snapshot().Lifecycle != "serving" })
	}
	// All records are distributed at once, before gossip spreads them.
	f.distributeMembers(peerwire.Serving, 1)
	f.runUntilSteady()
	// Instances that became watchers while the member lists were incomplete stop
	// watching when their current watch ends.
	f.expireWatches(f.now.Add(watchTimeout))
	f.run(time.Second)
	f.applyRateLimit()
}

// applyRateLimit limits the control bytes of every instance from now on.
func (f *fleet) applyRateLimit() {
	for _, n := range f.nodes {
		if f.rateLimit > 0 {
			n.budget = link.NewBudget(f.rateLimit)
			n.budget.Grant(f.initialBytes)
		}
	}
}

// runUntilSteady runs until the traffic no longer falls, for at most two minutes.
func (f *fleet) runUntilSteady() {
	const period = 3 * time.Second
	for lastBytes, end := math.Inf(1), f.now.Add(2*time.Minute); f.now < end; {
		f.sentBytes = 0
		f.run(period)
		if f.sentBytes > 0.97*lastBytes {
			return
		}
		lastBytes = f.sentBytes
	}
}

// distributeMembers delivers to every instance the member records of all others.
func (f *fleet) distributeMembers(lifecycle peerwire.Lifecycle, counter uint32) {
	var records []peerwire.Member
	for i := range f.nodes {
		records = append(records, memberRecord(i, lifecycle, counter))
	}
	for i, n := range f.nodes {
		others := append(append([]peerwire.Member(nil), records[:i]...), records[i+1:]...)
		if len(others) > 0 {
			f.handlePeer(n, &peerwire.Message{From: others[0].ID, MemberDelta: &peerwire.MemberDelta{Members: others}})
		}
	}
}

// converged reports whether the member list of every instance shows all instances
// as serving and not suspected.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		serving := 0
		for _, m := range n.core.Snapshot().Members {
			if m.Lifecycle == peerwire.Serving && !m.Suspected {
				serving++
			}
		}
		if serving != len(f.nodes) {
			return false
		}
	}
	return true
}

func (f *fleet) schedule(delay time.Duration, action func()) {
	f.lastSequence++
	heap.Push(&f.events, scheduledEvent{f.now.Add(delay), f.lastSequence, action})
}

// run advances the clock by d in steps of 1 ms. Each instance ticks every 10 ms;
// the ticks of the instances are spread over these 10 ms.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(time.Millisecond)
		for len(f.events) > 0 && f.events[0].at <= f.now {
			heap.Pop(&f.events).(scheduledEvent).action()
		}
		phase := int(f.now/ids.Time(time.Millisecond)) % 10
		for i := phase; i < len(f.nodes); i += 10 {
			n := f.nodes[i]
			f.invoke(n, func(out *core.Effects) { n.core.Tick(f.now, out) })
			f.flush(n)
		}
		if phase == 0 {
			f.expireWatches(f.now)
		}
	}
}

// invoke calls fn for the core of n and carries out the resulting effects.
func (f *fleet) invoke(n *fleetNode, fn func(out *core.Effects)) {
	n.effects.Reset()
	fn(&n.effects)
	for i := range n.effects.List {
		e := &n.effects.List[i]
		switch e.Kind {
		case core.ToPeer:
			f.send(n, e.Instance, e.PeerMessage)
		case core.WatchConfig:
			f.readConfig(n, e.Revision, e.Watch)
		case core.Log:
			if e.Event == "config-refused" {
				panic("capacity: " + e.Detail)
			}
		}
	}
}

func (f *fleet) handlePeer(n *fleetNode, m *peerwire.Message) {
	f.invoke(n, func(out *core.Effects) { n.core.HandlePeer(f.now, &core.PeerEvent{Message: m}, out) })
}

// send applies the byte budget as internal/link does: a heartbeat that exceeds
// it is dropped, other messages are queued.
func (f *fleet) send(n *fleetNode, to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err) // the core built a message that cannot be encoded
	}
	if m.Heartbeat == nil {
		n.sendQueue = append(n.sendQueue, queuedMessage{to, raw})
		f.flush(n)
		return
	}
	if n.budget != nil {
		if _, ok := n.budget.Take(f.wallTime(), len(raw), true); !ok {
			f.droppedHeartbeats++
			return
		}
	}
	f.deliver(to, raw)
}

// flush sends queued messages as far as the byte budget allows.
func (f *fleet) flush(n *fleetNode) {
	for len(n.sendQueue) > 0 {
		if n.budget != nil {
			if _, ok := n.budget.Take(f.wallTime(), len(n.sendQueue[0].raw), false); !ok {
				return
			}
		}
		f.deliver(n.sendQueue[0].to, n.sendQueue[0].raw)
		n.sendQueue = n.sendQueue[1:]
	}
}

func (f *fleet) wallTime() time.Time { return time.Unix(0, int64(f.now)) }

func (f *fleet) deliver(to ids.Instance, raw []byte) {
	f.sentBytes += float64(len(raw) + framingBytes)
	receiver := f.nodesByID[to]
	if receiver == nil {
		return
	}
	f.schedule(linkDelay, func() {
		m := new(peerwire.Message)
		if err := peerwire.Decode(raw, m); err != nil {
			panic(err)
		}
		f.handlePeer(receiver, m)
	})
}
