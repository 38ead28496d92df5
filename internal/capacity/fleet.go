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
	watchWait     = 30 * time.Second
	framing       = 30   // bytes of TLS and WebSocket framing for each message
	controlRate   = 2048 // bytes a second that an instance may send
)

// fleet is one data centre: cores joined by links with a byte budget, and the
// platform, on a virtual clock.
type fleet struct {
	now       ids.Time
	rate      int // control bytes a second; 0 for no limit
	granted   int // bytes beyond the rate at the start
	nodes     []*fleetNode
	byName    map[ids.Instance]*fleetNode
	queue     events
	sequence  int
	documents []core.Publication // latest of each key, in order of revision
	revision  ids.Revision
	watches   []watch
	down      bool    // the platform cannot be reached
	reads     int     // calls of the platform, a watch counts as one
	bytes     float64 // control bytes sent, framing included
	dropped   int     // heartbeats over budget
}

type fleetNode struct {
	core   *core.Core
	out    core.Effects
	budget *link.Budget
	bulk   []bulkMessage // waits for the budget
}

type bulkMessage struct {
	to  ids.Instance
	raw []byte
}

type watch struct {
	n     *fleetNode
	after ids.Revision
	until ids.Time
}

type scheduled struct {
	at       ids.Time
	sequence int
	do       func()
}

type events []scheduled

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(scheduled)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = scheduled{}
	*e = (*e)[:len(*e)-1]
	return last
}

// newFleet returns n instances that know nothing of each other. The limit of
// rate applies from the end of warm, or from limit.
func newFleet(n, services, targets, rate int) *fleet {
	f := &fleet{now: epoch, rate: rate, byName: map[ids.Instance]*fleetNode{}}
	for i := range n {
		x := &fleetNode{core: newCore(i)}
		f.nodes = append(f.nodes, x)
		f.byName[instanceName(i)] = x
	}
	f.publish("profile/standard", profile(0))
	for i := range services {
		f.publish("service/"+string(serviceName(i)), serviceDocument(i, targets, "dc0", 0))
	}
	return f
}

// warm brings all instances to the state after a long run: each serves and
// knows all others as serving, and no change is under way.
func (f *fleet) warm() {
	f.run(tickEvery)
	f.tellAll(peerwire.Joining, 0)
	for serving := false; !serving && f.now.Sub(epoch) < time.Minute; {
		f.run(5 * tickEvery)
		serving = !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.core.Snapshot().Lifecycle != "serving" })
	}
	// At once, before the instances tell each other.
	f.tellAll(peerwire.Serving, 1)
	f.settle()
	// Instances that watched while the lists grew stop when their watch ends.
	f.endWatches(f.now.Add(watchWait))
	f.run(time.Second)
	f.limit()
}

// limit applies the limit of control bytes.
func (f *fleet) limit() {
	for _, n := range f.nodes {
		if f.rate > 0 {
			n.budget = link.NewBudget(f.rate)
			n.budget.Grant(f.granted)
		}
	}
}

// settle runs until the traffic has stopped to fall, at most two minutes.
func (f *fleet) settle() {
	const period = 3 * time.Second
	for last, end := math.Inf(1), f.now.Add(2*time.Minute); f.now < end; {
		f.bytes = 0
		f.run(period)
		if f.bytes > 0.97*last {
			return
		}
		last = f.bytes
	}
}

// tellAll gives every instance the records of all others.
func (f *fleet) tellAll(state peerwire.Lifecycle, counter uint32) {
	var records []peerwire.Member
	for i := range f.nodes {
		records = append(records, memberRecord(i, state, counter))
	}
	for i, n := range f.nodes {
		others := append(append([]peerwire.Member(nil), records[:i]...), records[i+1:]...)
		if len(others) > 0 {
			f.peer(n, &peerwire.Message{From: others[0].ID, MemberDelta: &peerwire.MemberDelta{Members: others}})
		}
	}
}

// agreed reports whether every instance knows all as serving.
func (f *fleet) agreed() bool {
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

func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, scheduled{f.now.Add(d), f.sequence, do})
}

// run advances the clock in steps of 1 ms; each instance ticks every 10 ms at
// its own phase.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(time.Millisecond)
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(scheduled).do()
		}
		phase := int(f.now/ids.Time(time.Millisecond)) % 10
		for i := phase; i < len(f.nodes); i += 10 {
			n := f.nodes[i]
			f.call(n, func(out *core.Effects) { n.core.Tick(f.now, out) })
			f.flush(n)
		}
		if phase == 0 {
			f.endWatches(f.now)
		}
	}
}

func (f *fleet) call(n *fleetNode, do func(out *core.Effects)) {
	n.out.Reset()
	do(&n.out)
	for i := range n.out.List {
		e := &n.out.List[i]
		switch e.Kind {
		case core.ToPeer:
			f.send(n, e.Instance, e.PeerMessage)
		case core.WatchConfig:
			f.read(n, e.Revision, e.Watch)
		case core.Log:
			if e.Event == "config-refused" {
				panic("capacity: " + e.Detail)
			}
		}
	}
}

func (f *fleet) peer(n *fleetNode, m *peerwire.Message) {
	f.call(n, func(out *core.Effects) { n.core.HandlePeer(f.now, &core.PeerEvent{Message: m}, out) })
}

// send applies the budget as internal/link does: a heartbeat over it is
// dropped, other messages wait.
func (f *fleet) send(n *fleetNode, to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err) // the core has built a message that cannot be sent
	}
	if m.Heartbeat == nil {
		n.bulk = append(n.bulk, bulkMessage{to, raw})
		f.flush(n)
		return
	}
	if n.budget != nil {
		if _, ok := n.budget.Take(f.clock(), len(raw), true); !ok {
			f.dropped++
			return
		}
	}
	f.deliver(to, raw)
}

func (f *fleet) flush(n *fleetNode) {
	for len(n.bulk) > 0 {
		if n.budget != nil {
			if _, ok := n.budget.Take(f.clock(), len(n.bulk[0].raw), false); !ok {
				return
			}
		}
		f.deliver(n.bulk[0].to, n.bulk[0].raw)
		n.bulk = n.bulk[1:]
	}
}

func (f *fleet) clock() time.Time { return time.Unix(0, int64(f.now)) }

func (f *fleet) deliver(to ids.Instance, raw []byte) {
	f.bytes += float64(len(raw) + framing)
	d := f.byName[to]
	if d == nil {
		return
	}
	f.after(linkDelay, func() {
		m := new(peerwire.Message)
		if err := peerwire.Decode(raw, m); err != nil {
			panic(err)
		}
		f.peer(d, m)
	})
}
