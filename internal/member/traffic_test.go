package member

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against control traffic above 2 KB/s per node, sent and received
// together, without changes and after a crash and a restart, among 5 to 500
// instances.
func TestControlBytes(t *testing.T) {
	for _, size := range []int{5, 6, 7, 8, 9, 50, 500} {
		s := newSim(size)
		if size > 100 {
			s.step = 50 * time.Millisecond
		}
		s.setAllServing()
		s.run(5 * time.Second)
		s.assertAgreement(t)
		mean, maximum := s.rates(5 * time.Second)
		s.nodes[instanceID(1)].dead = true
		s.run(9 * time.Second)
		s.assertAgreement(t)
		s.start(instanceID(1), 2)
		withRestart, _ := s.rates(12 * time.Second)
		s.assertAgreement(t)
		t.Logf("%d instances: without changes mean %.0f B/s, maximum %.0f B/s; with a restart mean %.0f B/s",
			size, mean, maximum, withRestart)
		assert.Assert(t, maximum <= 2000 && withRestart <= 2000, "%d instances", size)
	}
}

// Guards against links to other data centres that raise the traffic of an
// instance above 2 KB/s, with 5 data centres of 10 instances each.
func TestControlBytesAcrossDataCentres(t *testing.T) {
	s := newSim(0)
	for i := range 50 {
		s.seeds = append(s.seeds, Seed{ID: instanceID(i), DataCentre: ids.DataCentre("dc" + strconv.Itoa(i%5)), PeerAddr: "10.20.30.40:7000"})
	}
	for _, seed := range s.seeds {
		s.startIn(seed.ID, 1, seed.DataCentre, s.seeds)
	}
	s.run(30 * time.Second)
	mean, maximum := s.rates(10 * time.Second)
	t.Logf("mean %.0f B/s, maximum %.0f B/s", mean, maximum)
	assert.Assert(t, maximum <= 2000)
}

// Guards against a cold start after which the views do not converge.
func TestColdStart(t *testing.T) {
	for _, size := range []int{1, 5, 9, 24, 50, 100} {
		s := newSim(size)
		if size > 24 {
			s.step = 50 * time.Millisecond
		}
		t.Logf("%d instances: views agree after %v", size, s.converge(time.Minute))
		s.assertAgreement(t)
	}
}

// Guards against changes that exceed the budget of a link, which then drops
// heartbeats, so that live instances are suspected. The test runs a cold start, a
// crash and a restart with a limit of 2 KB/s per node.
func TestLinkBudget(t *testing.T) {
	for _, size := range []int{5, 9, 24} {
		s := newSim(size)
		s.linkRate = 2048
		coldStart := s.converge(30 * time.Second)
		s.assertAgreement(t)
		s.nodes[instanceID(1)].dead = true
		s.run(8 * time.Second)
		s.assertAgreement(t)
		s.start(instanceID(1), 2)
		s.run(8 * time.Second)
		s.assertAgreement(t)
		dropped := 0
		for _, n := range s.nodes {
			dropped += n.dropped
		}
		t.Logf("%d instances at 2 KB/s: views agree after %v, %d heartbeats dropped", size, coldStart, dropped)
		assert.Assert(t, dropped <= size/4)
	}
}
