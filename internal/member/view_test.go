package member

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// A fixed seed keeps the normal run repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// newSettledSim returns a simulation of n instances whose views have converged.
func newSettledSim(n int) *sim {
	s := newSim(n)
	s.converge(30 * time.Second)
	s.run(2 * time.Second)
	return s
}

// Guards against a crash that is detected later than 1 s or never leads to the
// state gone, and against a restart that is mistaken for the old process.
func TestCrashAndRestart(t *testing.T) {
	s := newSettledSim(5)
	s.assertAgreement(t)
	s.nodes[instanceID(1)].dead = true
	s.run(time.Second)
	s.assertAgreement(t)
	old := newMember(instanceID(1), 1, "anand").Incarnation
	_, known := s.nodes[instanceID(0)].view.Lookup(old)
	assert.Assert(t, known, "suspected is not gone")
	s.run(5500 * time.Millisecond)
	_, known = s.nodes[instanceID(0)].view.Lookup(old)
	assert.Assert(t, !known)
	s.start(instanceID(1), 2)
	s.run(4 * time.Second)
	s.assertAgreement(t)
	_, known = s.nodes[instanceID(0)].view.Lookup(old)
	assert.Assert(t, !known, "the old incarnation is answered by the new one")
}

// Guards against a restarted process with an unchanged incarnation whose records
// are ignored because its counter is lower than before, and against a restart
// with a lower incarnation that is not reported.
func TestRestartWithSameIncarnation(t *testing.T) {
	s := newSettledSim(5)
	s.start(instanceID(1), 1)
	s.run(5 * time.Second)
	s.assertAgreement(t)
	s.start(instanceID(1), 0)
	s.run(2 * time.Second)
	_, higher := s.nodes[instanceID(1)].view.Superseded()
	assert.Assert(t, higher, "a lower incarnation is not reported")
}

// Guards against a process that, after a pause, serves with a stale view, suspects
// the other instances because of its own pause, or stays suspected.
func TestPauseAndResume(t *testing.T) {
	for _, pause := range []time.Duration{1200 * time.Millisecond, 8 * time.Second, 400 * time.Second} {
		s := newSettledSim(5)
		n := s.nodes[instanceID(2)]
		n.paused = true
		s.run(pause)
		n.paused = false
		n.view.Tick(s.now, s.send(n))
		assert.Equal(t, n.view.State(), peerwire.Joining)
		s.run(10 * time.Second)
		s.assertAgreement(t)
		assert.Equal(t, n.view.State(), peerwire.Serving)
		assert.Equal(t, len(n.view.Serving()), 5)
	}
}

// Guards against a planned stop that is not announced, a successor that is lost
// for the old incarnation, and an instance that returns from draining to serving.
func TestPlannedStop(t *testing.T) {
	s := newSettledSim(5)
	n := s.nodes[instanceID(3)]
	assert.Assert(t, n.view.Fire(Stop))
	assert.Assert(t, !n.view.Fire(Ready))
	s.run(100 * time.Millisecond)
	s.assertAgreement(t)
	old, next := newMember(instanceID(3), 1, "anand").Incarnation, newMember(instanceID(4), 1, "anand").Incarnation
	n.view.SetSuccessor(next)
	assert.Assert(t, n.view.Fire(Leave))
	s.run(100 * time.Millisecond)
	n.dead = true
	s.run(10 * time.Second)
	s.start(instanceID(3), 2)
	s.run(5 * time.Second)
	s.assertAgreement(t)
	for _, id := range s.nodeIDs {
		m, ok := s.nodes[id].view.Lookup(old)
		if id != instanceID(3) {
			assert.Assert(t, ok && m.ID == instanceID(4), "at %s", id)
		}
	}
}

// Guards against a failure of one link, in one or both directions, that keeps
// changing the serving list although both instances are alive and reachable from
// the others.
func TestCutLinks(t *testing.T) {
	for _, bothDirections := range []bool{false, true} {
		s := newSettledSim(5)
		s.isCut = func(from, to ids.Instance) bool {
			return from == instanceID(0) && to == instanceID(1) || bothDirections && from == instanceID(1) && to == instanceID(0)
		}
		s.run(2 * time.Second)
		s.assertAgreement(t)
		before := s.nodes[instanceID(3)].servingChanges
		s.run(20 * time.Second)
		s.assertAgreement(t)
		assert.Assert(t, s.nodes[instanceID(3)].servingChanges-before <= 4, "%d changes", s.nodes[instanceID(3)].servingChanges-before)
		s.isCut = nil
		s.run(3 * time.Second)
		s.assertAgreement(t)
	}
}

// Guards against sides of a partition that do not merge again after it has healed.
func TestPartitionHeals(t *testing.T) {
	for _, size := range []int{5, 24} {
		for _, length := range []time.Duration{7 * time.Second, 400 * time.Second} {
			s := newSettledSim(size)
			s.assertAgreement(t)
			inFirstHalf := func(id ids.Instance) bool { return id < instanceID(size/2) }
			s.isCut = func(a, b ids.Instance) bool { return inFirstHalf(a) != inFirstHalf(b) }
			s.run(length)
			assert.Equal(t, len(s.nodes[instanceID(0)].view.Serving()), size/2)
			s.isCut = nil
			s.run(30 * time.Second)
			s.assertAgreement(t)
		}
	}
}

// Guards against a simultaneous failure of more instances than the number of
// neighbours that monitor each one.
func TestRackFailure(t *testing.T) {
	s := newSim(100)
	s.step = 50 * time.Millisecond
	s.setAllServing()
	s.run(2 * time.Second)
	s.assertAgreement(t)
	for i := 40; i < 60; i++ {
		s.nodes[instanceID(i)].dead = true
	}
	s.run(5 * time.Second)
	s.assertAgreement(t)
	s.run(6 * time.Second)
	for _, m := range s.nodes[instanceID(0)].view.Members() {
		assert.Equal(t, m.Lifecycle == peerwire.Gone, s.nodes[m.ID].dead, "%s", m.ID)
	}
}

// Guards against links between data centres that mix their members, and against
// an unreachable instance that is not replaced on these links by another one.
func TestOtherDataCentres(t *testing.T) {
	s := newSim(3)
	seeds := append([]Seed{}, s.seeds...)
	for _, id := range []ids.Instance{"x", "y", "z"} {
		seeds = append(seeds, Seed{ID: id, DataCentre: "surat", PeerAddr: "10.9.0.1:7000"})
	}
	for _, id := range s.nodeIDs {
		s.startIn(id, 1, "anand", seeds)
	}
	for _, id := range []ids.Instance{"x", "y", "z"} {
		s.startIn(id, 1, "surat", seeds)
	}
	sentAcross := map[ids.Instance]int{}
	s.isCut = func(from, to ids.Instance) bool {
		if (from >= "x") != (to >= "x") {
			sentAcross[from]++
		}
		return from == "x" || to == "x"
	}
	s.run(30 * time.Second)
	assert.Equal(t, len(s.nodes[instanceID(0)].view.Serving()), 3)
	assert.Equal(t, len(s.nodes["y"].view.Serving()), 2)
	clear(sentAcross)
	s.run(10 * time.Second)
	assert.Assert(t, sentAcross["y"] >= 5 && sentAcross["z"] >= 5, "%v", sentAcross)
	assert.Equal(t, len(s.nodes[instanceID(1)].view.Members()), 3)
}

// Guards against a clock offset that follows delayed heartbeats.
func TestClockOffset(t *testing.T) {
	v := New(newMember("a", 1, "anand"), nil, 1)
	for i := range ids.Time(40) {
		delay := time.Duration(i%4) * 50 * time.Millisecond
		now := start + i*ids.Time(500*time.Millisecond)
		v.HandleHeartbeat(now, "b", &peerwire.Heartbeat{Seq: 1, Clock: now.Add(7*time.Second - delay)})
	}
	assert.Equal(t, v.ClockOffset("b"), 7*time.Second)
	assert.Equal(t, v.ClockOffset("c"), time.Duration(0))
}

func drawMember(t *rapid.T) peerwire.Member {
	return peerwire.Member{ID: "m", Incarnation: ids.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Counter:   uint32(rapid.IntRange(0, 2).Draw(t, "counter")),
		Lifecycle: peerwire.Lifecycle(rapid.IntRange(0, 3).Draw(t, "lifecycle")),
		Suspected: rapid.Bool().Draw(t, "suspected"), Successor: ids.Incarnation(rapid.IntRange(0, 2).Draw(t, "successor"))}
}

// Guards against views that depend on the order in which records arrive.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t), drawMember(t), drawMember(t)
		assert.Equal(t, Merge(a, b), Merge(b, a))
		assert.Equal(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		assert.Equal(t, Merge(a, a), a)
	})
}

// Guards against faults in any order after which views disagree, a live
// instance stays gone, or an incarnation returns from draining to serving.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSettledSim(rapid.IntRange(3, 11).Draw(t, "size"))
		cuts := map[[2]ids.Instance]bool{}
		s.isCut = func(from, to ids.Instance) bool { return cuts[[2]ids.Instance{from, to}] }
		generation := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			a, b := rapid.SampledFrom(s.nodeIDs).Draw(t, "a"), rapid.SampledFrom(s.nodeIDs).Draw(t, "b")
			n := s.nodes[a]
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				cuts[[2]ids.Instance{a, b}] = !cuts[[2]ids.Instance{a, b}]
			case 1:
				n.dead = true
			case 2:
				n.paused = !n.paused
			case 3:
				n.view.Fire(Stop)
			case 4:
				n.view.Fire(Resume)
			case 5:
				generation++
				s.start(a, generation)
			case 6:
				for _, other := range s.nodeIDs {
					cuts[[2]ids.Instance{a, other}], cuts[[2]ids.Instance{other, a}] = true, true
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		clear(cuts)
		for _, id := range s.nodeIDs {
			s.nodes[id].paused = false
		}
		s.run(40 * time.Second)
		s.assertAgreement(t)
	})
}
