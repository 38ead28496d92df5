package member

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// sim runs views over a network with one-way cuts and a fixed delay. Serving
// is reached as the core does it: on Synced.
type sim struct {
	now   ids.Time
	step  time.Duration
	delay time.Duration
	nodes map[ids.Instance]*node
	order []ids.Instance
	seeds []Seed
	cut   func(from, to ids.Instance) bool
	queue []packet
	tally bool
	// linkRate, in bytes a second, applies the budget of internal/link:
	// heartbeats above it are dropped, other messages wait. 0 for none.
	linkRate float64
	// lifecycles and violation record a return from draining.
	lifecycles map[ids.Incarnation]peerwire.Lifecycle
	violation  string
}

type node struct {
	view          *View
	id            ids.Instance
	paused, dead  bool
	bytes         int     // sent and received, CBOR
	urgent, total float64 // budgets of the link layer
	bulk          []func() int
	dropped       int // heartbeats that exceeded the budget
	moved         int // changes of Serving
}

type packet struct {
	at       ids.Time
	from, to ids.Instance
	msg      *peerwire.Message
}

const start ids.Time = 1_700_000_000_000_000_000

func name(i int) ids.Instance { return ids.Instance(fmt.Sprintf("entry-%03d", i)) }

func self(id ids.Instance, run uint64, dc ids.DataCentre) peerwire.Member {
	return peerwire.Member{ID: id, Incarnation: ids.Incarnation(run<<32 | ids.Hash(string(id))&0xffffffff),
		DataCentre: dc, PeerAddr: "10.20.30.40:7000"}
}

func newSim(n int) *sim {
	s := &sim{now: start, step: 10 * time.Millisecond, delay: time.Millisecond, nodes: map[ids.Instance]*node{},
		lifecycles: map[ids.Incarnation]peerwire.Lifecycle{}}
	for i := range n {
		s.seeds = append(s.seeds, Seed{ID: name(i), DataCentre: "anand", PeerAddr: "10.20.30.40:7000"})
	}
	for i := range n {
		s.start(name(i), 1)
	}
	return s
}

func (s *sim) start(id ids.Instance, run uint64) *node {
	return s.startIn(id, run, "anand", s.seeds)
}

func (s *sim) startIn(id ids.Instance, run uint64, dc ids.DataCentre, seeds []Seed) *node {
	n := &node{id: id, view: New(self(id, run, dc), seeds, 7)}
	if s.nodes[id] == nil {
		s.order = append(s.order, id)
	}
	s.nodes[id] = n
	return n
}

func (s *sim) send(from *node) func(ids.Instance, *peerwire.Message) {
	return func(to ids.Instance, m *peerwire.Message) {
		size := 0
		if s.tally || s.linkRate > 0 {
			b, err := peerwire.Encode(nil, m)
			if err != nil {
				panic(err)
			}
			size = len(b)
		}
		deliver := func() int {
			from.bytes += size
			if s.cut != nil && s.cut(from.id, to) {
				return size
			}
			if d := s.nodes[to]; d != nil && !d.dead {
				d.bytes += size
				s.queue = append(s.queue, packet{s.now.Add(s.delay), from.id, to, m})
			}
			return size
		}
		cost := float64(size + 30)
		switch {
		case s.linkRate == 0:
			deliver()
		case m.Heartbeat == nil:
			from.bulk = append(from.bulk, deliver)
		case from.urgent < cost:
			from.dropped++
		default:
			from.urgent -= cost
			from.total -= cost
			deliver()
		}
	}
}

// pay refills the link budget of n and sends bulk messages that it covers.
func (s *sim) pay(n *node) {
	if n.urgent == 0 && n.total == 0 {
		n.urgent, n.total = 2*s.linkRate, 2*s.linkRate
	}
	gained := s.linkRate * s.step.Seconds()
	n.urgent, n.total = min(n.urgent+gained, 2*s.linkRate), min(n.total+gained, 2*s.linkRate)
	for n.total >= 0 && len(n.bulk) > 0 {
		n.total -= float64(n.bulk[0]() + 30)
		n.bulk = n.bulk[1:]
	}
}

func (s *sim) deliver() {
	due := 0
	for ; due < len(s.queue) && s.queue[due].at <= s.now; due++ {
		p := s.queue[due]
		d := s.nodes[p.to]
		switch {
		case d.dead:
		case d.paused:
			s.queue = append(s.queue, packet{s.now.Add(s.step), p.from, p.to, p.msg})
		case p.msg.Heartbeat != nil:
			d.view.HandleHeartbeat(s.now, p.from, p.msg.Heartbeat)
		default:
			d.view.HandleDelta(s.now, p.from, p.msg.MemberDelta)
		}
	}
	s.queue = slices.Delete(s.queue, 0, due)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(s.step)
		s.deliver()
		for _, id := range s.order {
			n := s.nodes[id]
			if n.paused || n.dead {
				continue
			}
			s.pay(n)
			n.view.Tick(s.now, s.send(n))
			if n.view.Synced() && n.view.State() == peerwire.Joining {
				n.view.Fire(Ready)
			}
			if n.view.Changed() {
				n.moved++
			}
			s.check(n)
		}
	}
}

// check notes an incarnation that leaves draining for serving or joining.
func (s *sim) check(n *node) {
	m := n.view.Self()
	if old := s.lifecycles[m.Incarnation]; old >= peerwire.Draining && m.Lifecycle < old {
		s.violation = fmt.Sprintf("%s: %d after %d", m.ID, m.Lifecycle, old)
	}
	s.lifecycles[m.Incarnation] = m.Lifecycle
}

// agree asserts that every live node serves and lists exactly the live nodes.
func (s *sim) agree(t assert.TestingT) {
	var live []ids.Instance
	for _, id := range s.order {
		if n := s.nodes[id]; !n.dead && n.view.State() == peerwire.Serving {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	for _, id := range s.order {
		if n := s.nodes[id]; !n.dead {
			assert.DeepEqual(t, n.view.Serving(), live)
		}
	}
	assert.Equal(t, s.violation, "")
}

// warm gives every view all members as serving, as after a long run.
func (s *sim) warm() {
	for _, id := range s.order {
		v := s.nodes[id].view
		v.Tick(s.now, func(ids.Instance, *peerwire.Message) {})
		v.synced = true
		v.Fire(Ready)
	}
	for _, n := range s.nodes {
		for _, id := range s.order {
			m := s.nodes[id].view.Self()
			n.view.merge(&m, -1)
		}
		n.view.recent = nil
	}
}

// converge runs until all views list every live node and returns the time.
func (s *sim) converge(limit time.Duration) time.Duration {
	from := s.now
	for s.now.Sub(from) < limit {
		s.run(500 * time.Millisecond)
		live, agree := 0, true
		for _, n := range s.nodes {
			if !n.dead {
				live++
			}
		}
		for _, n := range s.nodes {
			agree = agree && (n.dead || len(n.view.Serving()) == live)
		}
		if agree {
			break
		}
	}
	return s.now.Sub(from)
}

// rates returns the mean and greatest bytes a second over a further period.
func (s *sim) rates(d time.Duration) (mean, greatest float64) {
	for _, n := range s.nodes {
		n.bytes = 0
	}
	s.tally = true
	s.run(d)
	s.tally = false
	for _, n := range s.nodes {
		r := float64(n.bytes) / d.Seconds()
		mean += r / float64(len(s.nodes))
		greatest = max(greatest, r)
	}
	return mean, greatest
}
