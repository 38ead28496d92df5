package member

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// sim runs views over a simulated network with one-way cuts and a fixed delay. A
// joining node becomes serving when its view is synced, as in package core.
type sim struct {
	now        ids.Time
	step       time.Duration
	delay      time.Duration
	nodes      map[ids.Instance]*node
	nodeIDs    []ids.Instance
	seeds      []Seed
	isCut      func(from, to ids.Instance) bool
	inFlight   []packet
	countBytes bool
	// linkRate is the rate limit of internal/link in bytes a second: heartbeats
	// that exceed it are dropped, other messages are queued. 0 means no limit.
	linkRate float64
	// lifecycles holds the last lifecycle state of each incarnation; violation
	// describes an incarnation that returned from draining.
	lifecycles map[ids.Incarnation]peerwire.Lifecycle
	violation  string
}

type node struct {
	view                         *View
	id                           ids.Instance
	paused, dead                 bool
	bytes                        int     // bytes sent and received, encoded in CBOR
	heartbeatBudget, totalBudget float64 // remaining budgets of the link layer, in bytes
	queuedMessages               []func() int
	dropped                      int // number of heartbeats that exceeded the budget
	servingChanges               int // number of changes of Serving
}

type packet struct {
	at       ids.Time
	from, to ids.Instance
	msg      *peerwire.Message
}

const start ids.Time = 1_700_000_000_000_000_000

func instanceID(i int) ids.Instance { return ids.Instance(fmt.Sprintf("entry-%03d", i)) }

// newMember returns the record of an instance. A higher generation gives a higher
// incarnation.
func newMember(id ids.Instance, generation uint64, dc ids.DataCentre) peerwire.Member {
	return peerwire.Member{ID: id, Incarnation: ids.Incarnation(generation<<32 | ids.Hash(string(id))&0xffffffff),
		DataCentre: dc, PeerAddr: "10.20.30.40:7000"}
}

// newSim returns a simulation of n instances of one data centre that have just
// started.
func newSim(n int) *sim {
	s := &sim{now: start, step: 10 * time.Millisecond, delay: time.Millisecond, nodes: map[ids.Instance]*node{},
		lifecycles: map[ids.Incarnation]peerwire.Lifecycle{}}
	for i := range n {
		s.seeds = append(s.seeds, Seed{ID: instanceID(i), DataCentre: "anand", PeerAddr: "10.20.30.40:7000"})
	}
	for i := range n {
		s.start(instanceID(i), 1)
	}
	return s
}

// start starts, or restarts, an instance in the default data centre.
func (s *sim) start(id ids.Instance, generation uint64) *node {
	return s.startIn(id, generation, "anand", s.seeds)
}

func (s *sim) startIn(id ids.Instance, generation uint64, dc ids.DataCentre, seeds []Seed) *node {
	n := &node{id: id, view: New(newMember(id, generation, dc), seeds, 7)}
	if s.nodes[id] == nil {
		s.nodeIDs = append(s.nodeIDs, id)
	}
	s.nodes[id] = n
	return n
}

// send returns the function with which the view of from sends messages.
func (s *sim) send(from *node) func(ids.Instance, *peerwire.Message) {
	return func(to ids.Instance, m *peerwire.Message) {
		size := 0
		if s.countBytes || s.linkRate > 0 {
			b, err := peerwire.Encode(nil, m)
			if err != nil {
				panic(err)
			}
			size = len(b)
		}
		deliver := func() int {
			from.bytes += size
			if s.isCut != nil && s.isCut(from.id, to) {
				return size
			}
			if receiver := s.nodes[to]; receiver != nil && !receiver.dead {
				receiver.bytes += size
				s.inFlight = append(s.inFlight, packet{s.now.Add(s.delay), from.id, to, m})
			}
			return size
		}
		cost := float64(size + 30)
		switch {
		case s.linkRate == 0:
			deliver()
		case m.Heartbeat == nil:
			from.queuedMessages = append(from.queuedMessages, deliver)
		case from.heartbeatBudget < cost:
			from.dropped++
		default:
			from.heartbeatBudget -= cost
			from.totalBudget -= cost
			deliver()
		}
	}
}

// refillBudgets refills the link budgets of n and sends the queued messages that
// they allow.
func (s *sim) refillBudgets(n *node) {
	if n.heartbeatBudget == 0 && n.totalBudget == 0 {
		n.heartbeatBudget, n.totalBudget = 2*s.linkRate, 2*s.linkRate
	}
	gained := s.linkRate * s.step.Seconds()
	n.heartbeatBudget, n.totalBudget = min(n.heartbeatBudget+gained, 2*s.linkRate), min(n.totalBudget+gained, 2*s.linkRate)
	for n.totalBudget >= 0 && len(n.queuedMessages) > 0 {
		n.totalBudget -= float64(n.queuedMessages[0]() + 30)
		n.queuedMessages = n.queuedMessages[1:]
	}
}

// deliver passes the packets that are due to their receivers. Packets to a paused
// node are delayed.
func (s *sim) deliver() {
	due := 0
	for ; due < len(s.inFlight) && s.inFlight[due].at <= s.now; due++ {
		p := s.inFlight[due]
		receiver := s.nodes[p.to]
		switch {
		case receiver.dead:
		case receiver.paused:
			s.inFlight = append(s.inFlight, packet{s.now.Add(s.step), p.from, p.to, p.msg})
		case p.msg.Heartbeat != nil:
			receiver.view.HandleHeartbeat(s.now, p.from, p.msg.Heartbeat)
		default:
			receiver.view.HandleDelta(s.now, p.from, p.msg.MemberDelta)
		}
	}
	s.inFlight = slices.Delete(s.inFlight, 0, due)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(s.step)
		s.deliver()
		for _, id := range s.nodeIDs {
			n := s.nodes[id]
			if n.paused || n.dead {
				continue
			}
			s.refillBudgets(n)
			n.view.Tick(s.now, s.send(n))
			if n.view.Synced() && n.view.State() == peerwire.Joining {
				n.view.Fire(Ready)
			}
			if n.view.Changed() {
				n.servingChanges++
			}
			s.checkLifecycle(n)
		}
	}
}

// checkLifecycle records as a violation when an incarnation leaves draining for
// serving or joining.
func (s *sim) checkLifecycle(n *node) {
	m := n.view.Self()
	if old := s.lifecycles[m.Incarnation]; old >= peerwire.Draining && m.Lifecycle < old {
		s.violation = fmt.Sprintf("%s: %d after %d", m.ID, m.Lifecycle, old)
	}
	s.lifecycles[m.Incarnation] = m.Lifecycle
}

// assertAgreement asserts that the view of every live node lists exactly the live
// serving nodes.
func (s *sim) assertAgreement(t assert.TestingT) {
	var live []ids.Instance
	for _, id := range s.nodeIDs {
		if n := s.nodes[id]; !n.dead && n.view.State() == peerwire.Serving {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	for _, id := range s.nodeIDs {
		if n := s.nodes[id]; !n.dead {
			assert.DeepEqual(t, n.view.Serving(), live)
		}
	}
	assert.Equal(t, s.violation, "")
}

// setAllServing fills every view with all members as serving, as in a data centre
// that has run for long.
func (s *sim) setAllServing() {
	for _, id := range s.nodeIDs {
		v := s.nodes[id].view
		v.Tick(s.now, func(ids.Instance, *peerwire.Message) {})
		v.synced = true
		v.Fire(Ready)
	}
	for _, n := range s.nodes {
		for _, id := range s.nodeIDs {
			m := s.nodes[id].view.Self()
			n.view.merge(&m, -1)
		}
		n.view.recentChanges = nil
	}
}

// converge runs until all views list every live node, at most for limit, and
// returns the simulated time that this took.
func (s *sim) converge(limit time.Duration) time.Duration {
	from := s.now
	for s.now.Sub(from) < limit {
		s.run(500 * time.Millisecond)
		live, agreed := 0, true
		for _, n := range s.nodes {
			if !n.dead {
				live++
			}
		}
		for _, n := range s.nodes {
			agreed = agreed && (n.dead || len(n.view.Serving()) == live)
		}
		if agreed {
			break
		}
	}
	return s.now.Sub(from)
}

// rates runs for d and returns the mean and maximum traffic of a node in bytes a
// second.
func (s *sim) rates(d time.Duration) (mean, maximum float64) {
	for _, n := range s.nodes {
		n.bytes = 0
	}
	s.countBytes = true
	s.run(d)
	s.countBytes = false
	for _, n := range s.nodes {
		r := float64(n.bytes) / d.Seconds()
		mean += r / float64(len(s.nodes))
		maximum = max(maximum, r)
	}
	return mean, maximum
}
