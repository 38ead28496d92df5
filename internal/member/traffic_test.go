package member

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against control traffic above 2 KB/s per node, sent and received
// together, at rest and after a crash and a restart among 500 instances.
func TestControlBytes(t *testing.T) {
	for _, size := range []int{5, 6, 7, 8, 9, 50, 500} {
		s := newSim(size)
		if size > 100 {
			s.step = 50 * time.Millisecond
		}
		s.warm()
		s.run(5 * time.Second)
		s.agree(t)
		mean, greatest := s.rates(5 * time.Second)
		s.nodes[name(1)].dead = true
		s.run(9 * time.Second)
		s.agree(t)
		s.start(name(1), 2)
		changed, _ := s.rates(12 * time.Second)
		s.agree(t)
		t.Logf("%d instances: at rest mean %.0f B/s, greatest %.0f B/s; with a restart mean %.0f B/s",
			size, mean, greatest, changed)
		assert.Assert(t, greatest <= 2000 && changed <= 2000, "%d instances", size)
	}
}

// Guards against links to other data centres that take an instance above
// 2 KB/s: 5 data centres with 10 instances each.
func TestControlBytesAcrossDataCentres(t *testing.T) {
	s := newSim(0)
	for i := range 50 {
		s.seeds = append(s.seeds, Seed{ID: name(i), DataCentre: ids.DataCentre("dc" + strconv.Itoa(i%5)), PeerAddr: "10.20.30.40:7000"})
	}
	for _, seed := range s.seeds {
		s.startIn(seed.ID, 1, seed.DataCentre, s.seeds)
	}
	s.run(30 * time.Second)
	mean, greatest := s.rates(10 * time.Second)
	t.Logf("mean %.0f B/s, greatest %.0f B/s", mean, greatest)
	assert.Assert(t, greatest <= 2000)
}

// Guards against a cold start that does not converge.
func TestColdStart(t *testing.T) {
	for _, size := range []int{1, 5, 9, 24, 50, 100} {
		s := newSim(size)
		if size > 24 {
			s.step = 50 * time.Millisecond
		}
		t.Logf("%d instances: views agree after %v", size, s.converge(time.Minute))
		s.agree(t)
	}
}

// Guards against changes that exceed the budget of a link, which then drops
// heartbeats and makes live instances suspected: a cold start, a crash and a
// restart with every byte counted against 2 KB/s per node.
func TestLinkBudget(t *testing.T) {
	for _, size := range []int{5, 9, 24} {
		s := newSim(size)
		s.linkRate = 2048
		cold := s.converge(30 * time.Second)
		s.agree(t)
		s.nodes[name(1)].dead = true
		s.run(8 * time.Second)
		s.agree(t)
		s.start(name(1), 2)
		s.run(8 * time.Second)
		s.agree(t)
		dropped := 0
		for _, n := range s.nodes {
			dropped += n.dropped
		}
		t.Logf("%d instances at 2 KB/s: views agree after %v, %d heartbeats dropped", size, cold, dropped)
		assert.Assert(t, dropped <= size/4)
	}
}
