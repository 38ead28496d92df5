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

func settled(n int) *sim {
	s := newSim(n)
	s.converge(30 * time.Second)
	s.run(2 * time.Second)
	return s
}

// Guards against a crash that is noticed later than 1 s, or never becomes
// gone, and against a restart that is taken for the old process.
func TestCrashAndRestart(t *testing.T) {
	s := settled(5)
	s.agree(t)
	s.nodes[name(1)].dead = true
	s.run(time.Second)
	s.agree(t)
	old := self(name(1), 1, "anand").Incarnation
	_, known := s.nodes[name(0)].view.Lookup(old)
	assert.Assert(t, known, "suspected is not gone")
	s.run(5500 * time.Millisecond)
	_, known = s.nodes[name(0)].view.Lookup(old)
	assert.Assert(t, !known)
	s.start(name(1), 2)
	s.run(4 * time.Second)
	s.agree(t)
	_, known = s.nodes[name(0)].view.Lookup(old)
	assert.Assert(t, !known, "the old incarnation is answered by the new one")
}

// Guards against a process that starts with the incarnation of its
// predecessor and is ignored because its counter is lower.
func TestRestartWithSameIncarnation(t *testing.T) {
	s := settled(5)
	s.start(name(1), 1)
	s.run(5 * time.Second)
	s.agree(t)
	s.start(name(1), 0)
	s.run(2 * time.Second)
	_, higher := s.nodes[name(1)].view.Superseded()
	assert.Assert(t, higher, "a lower incarnation is not reported")
}

// Guards against a paused process that wakes and serves on a stale view, or
// suspects the others for its own silence, or is never trusted again.
func TestPauseAndResume(t *testing.T) {
	for _, pause := range []time.Duration{1200 * time.Millisecond, 8 * time.Second, 400 * time.Second} {
		s := settled(5)
		n := s.nodes[name(2)]
		n.paused = true
		s.run(pause)
		n.paused = false
		n.view.Tick(s.now, s.send(n))
		assert.Equal(t, n.view.State(), peerwire.Joining)
		s.run(10 * time.Second)
		s.agree(t)
		assert.Equal(t, n.view.State(), peerwire.Serving)
		assert.Equal(t, len(n.view.Serving()), 5)
	}
}

// Guards against a stop that is not announced, an answer for the old
// incarnation that is lost, and a drain that ends in serving.
func TestPlannedStop(t *testing.T) {
	s := settled(5)
	n := s.nodes[name(3)]
	assert.Assert(t, n.view.Fire(Stop))
	assert.Assert(t, !n.view.Fire(Ready))
	s.run(100 * time.Millisecond)
	s.agree(t)
	old, next := self(name(3), 1, "anand").Incarnation, self(name(4), 1, "anand").Incarnation
	n.view.SetSuccessor(next)
	assert.Assert(t, n.view.Fire(Leave))
	s.run(100 * time.Millisecond)
	n.dead = true
	s.run(10 * time.Second)
	s.start(name(3), 2)
	s.run(5 * time.Second)
	s.agree(t)
	for _, id := range s.order {
		m, ok := s.nodes[id].view.Lookup(old)
		if id != name(3) {
			assert.Assert(t, ok && m.ID == name(4), "at %s", id)
		}
	}
}

// Guards against a cut of one direction, or of one link, that keeps moving
// slots although both instances are alive and others reach them.
func TestCutLinks(t *testing.T) {
	for _, both := range []bool{false, true} {
		s := settled(5)
		s.cut = func(from, to ids.Instance) bool {
			return from == name(0) && to == name(1) || both && from == name(1) && to == name(0)
		}
		s.run(2 * time.Second)
		s.agree(t)
		before := s.nodes[name(3)].moved
		s.run(20 * time.Second)
		s.agree(t)
		assert.Assert(t, s.nodes[name(3)].moved-before <= 4, "%d changes", s.nodes[name(3)].moved-before)
		s.cut = nil
		s.run(3 * time.Second)
		s.agree(t)
	}
}

// Guards against sides of a partition that never find each other again.
func TestPartitionHeals(t *testing.T) {
	for _, size := range []int{5, 24} {
		for _, length := range []time.Duration{7 * time.Second, 400 * time.Second} {
			s := settled(size)
			s.agree(t)
			left := func(id ids.Instance) bool { return id < name(size/2) }
			s.cut = func(a, b ids.Instance) bool { return left(a) != left(b) }
			s.run(length)
			assert.Equal(t, len(s.nodes[name(0)].view.Serving()), size/2)
			s.cut = nil
			s.run(30 * time.Second)
			s.agree(t)
		}
	}
}

// Guards against a rack that is lost at once among more instances than each
// one monitors.
func TestRackLost(t *testing.T) {
	s := newSim(100)
	s.step = 50 * time.Millisecond
	s.warm()
	s.run(2 * time.Second)
	s.agree(t)
	for i := 40; i < 60; i++ {
		s.nodes[name(i)].dead = true
	}
	s.run(5 * time.Second)
	s.agree(t)
	s.run(6 * time.Second)
	for _, m := range s.nodes[name(0)].view.Members() {
		assert.Equal(t, m.Lifecycle == peerwire.Gone, s.nodes[m.ID].dead, "%s", m.ID)
	}
}

// Guards against links between data centres that mix their members, and
// against two silent instances that cut a data centre off.
func TestOtherDataCentres(t *testing.T) {
	s := newSim(3)
	seeds := append([]Seed{}, s.seeds...)
	for _, id := range []ids.Instance{"x", "y", "z"} {
		seeds = append(seeds, Seed{ID: id, DataCentre: "surat", PeerAddr: "10.9.0.1:7000"})
	}
	for _, id := range s.order {
		s.startIn(id, 1, "anand", seeds)
	}
	for _, id := range []ids.Instance{"x", "y", "z"} {
		s.startIn(id, 1, "surat", seeds)
	}
	crossed := map[ids.Instance]int{}
	s.cut = func(from, to ids.Instance) bool {
		if (from >= "x") != (to >= "x") {
			crossed[from]++
		}
		return from == "x" || to == "x"
	}
	s.run(30 * time.Second)
	assert.Equal(t, len(s.nodes[name(0)].view.Serving()), 3)
	assert.Equal(t, len(s.nodes["y"].view.Serving()), 2)
	clear(crossed)
	s.run(10 * time.Second)
	assert.Assert(t, crossed["y"] >= 5 && crossed["z"] >= 5, "%v", crossed)
	assert.Equal(t, len(s.nodes[name(1)].view.Members()), 3)
}

// Guards against a clock offset that follows delayed heartbeats.
func TestClockOffset(t *testing.T) {
	v := New(self("a", 1, "anand"), nil, 1)
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
func TestMergeIsASemilattice(t *testing.T) {
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
		s := settled(rapid.IntRange(3, 11).Draw(t, "size"))
		cuts := map[[2]ids.Instance]bool{}
		s.cut = func(from, to ids.Instance) bool { return cuts[[2]ids.Instance{from, to}] }
		run := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			a, b := rapid.SampledFrom(s.order).Draw(t, "a"), rapid.SampledFrom(s.order).Draw(t, "b")
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
				run++
				s.start(a, run)
			case 6:
				for _, other := range s.order {
					cuts[[2]ids.Instance{a, other}], cuts[[2]ids.Instance{other, a}] = true, true
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		clear(cuts)
		for _, id := range s.order {
			s.nodes[id].paused = false
		}
		s.run(40 * time.Second)
		s.agree(t)
	})
}
