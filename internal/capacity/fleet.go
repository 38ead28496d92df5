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
	framingBytes  = 30   // bytes of TLS and WebSocket framing for each message
	controlRate   = 2048 // bytes a second that an instance may send
)

// fleet is one data centre: cores joined by links with a byte budget, and the
// platform, on a virtual clock.
type fleet struct {
	now               ids.Time
	rateLimit         int // control bytes a second; 0 for no limit
	initialBytes      int // bytes beyond the rate at the start
	nodes             []*fleetNode
	nodesByID         map[ids.Instance]*fleetNode
	events            eventQueue
	lastSequence      int
	documents         []core.Publication // latest of each key, in order of revision
	revision          ids.Revision
	watches           []watch
	platformDown      bool    // the platform cannot be reached
	platformReads     int     // calls of the platform, a watch counts as one
	sentBytes         float64 // control bytes sent, framing included
	droppedHeartbeats int     // heartbeats over budget
}

type fleetNode struct {
	core      *core.Core
	effects   core.Effects
	budget    *link.Budget
	sendQueue []queuedMessage // waits for the budget
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

// newFleet returns n instances that know nothing of each other. The limit of
// rate applies from the end of warm, or from limit.
func newFleet(n, services, targets, rate int) *fleet {
	f := &fleet{now: epoch, rateLimit: rate, nodesByID: map[ids.Instance]*fleetNode{}}
	for i := range n {
		x := &fleetNode{core: newCore(i)}
		f.nodes = append(f.nodes, x)
		f.nodesByID[instanceName(i)] = x
	}
	f.publish("profile/standard", profileDocument(0))
	for i := range services {
		f.publish("service/"+string(serviceName(i)), serviceDocument(i, targets, "dc0", 0))
	}
	return f
}

// warm brings all instances to the state after a long run: each serves and
// knows all others as serving, and no change is under way.
func (f *fleet) warmUp() {
	f.run(tickInterval)
	f.distributeMembers(peerwire.Joining, 0)
	for serving := false; !serving && f.now.Sub(epoch) < time.Minute; {
		f.run(5 * tickInterval)
		serving = !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.core.Snapshot().Lifecycle != "serving" })
	}
	// At once, before the instances tell each other.
	f.distributeMembers(peerwire.Serving, 1)
	f.runUntilSteady()
	// Instances that watched while the lists grew stop when their watch ends.
	f.expireWatches(f.now.Add(watchTimeout))
	f.run(time.Second)
	f.applyRateLimit()
}

// limit applies the limit of control bytes.
func (f *fleet) applyRateLimit() {
	for _, n := range f.nodes {
		if f.rateLimit > 0 {
			n.budget = link.NewBudget(f.rateLimit)
			n.budget.Grant(f.initialBytes)
		}
	}
}

// settle runs until the traffic has stopped to fall, at most two minutes.
func (f *fleet) runUntilSteady() {
	const period = 3 * time.Second
	for last, end := math.Inf(1), f.now.Add(2*time.Minute); f.now < end; {
		f.sentBytes = 0
		f.run(period)
		if f.sentBytes > 0.97*last {
			return
		}
		last = f.sentBytes
	}
}

// tellAll gives every instance the records of all others.
func (f *fleet) distributeMembers(state peerwire.Lifecycle, counter uint32) {
	var records []peerwire.Member
	for i := range f.nodes {
		records = append(records, memberRecord(i, state, counter))
	}
	for i, n := range f.nodes {
		others := append(append([]peerwire.Member(nil), records[:i]...), records[i+1:]...)
		if len(others) > 0 {
			f.handlePeer(n, &peerwire.Message{From: others[0].ID, MemberDelta: &peerwire.MemberDelta{Members: others}})
		}
	}
}

// agreed reports whether every instance knows all as serving.
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

func (f *fleet) schedule(d time.Duration, do func()) {
	f.lastSequence++
	heap.Push(&f.events, scheduledEvent{f.now.Add(d), f.lastSequence, do})
}

// run advances the clock in steps of 1 ms; each instance ticks every 10 ms at
// its own phase.
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

func (f *fleet) invoke(n *fleetNode, do func(out *core.Effects)) {
	n.effects.Reset()
	do(&n.effects)
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

// send applies the budget as internal/link does: a heartbeat over it is
// dropped, other messages wait.
func (f *fleet) send(n *fleetNode, to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err) // the core has built a message that cannot be sent
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
	d := f.nodesByID[to]
	if d == nil {
		return
	}
	f.schedule(linkDelay, func() {
		m := new(peerwire.Message)
		if err := peerwire.Decode(raw, m); err != nil {
			panic(err)
		}
		f.handlePeer(d, m)
	})
}
