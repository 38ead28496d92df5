// Package experiment compares scheduling policies in a small deterministic
// model: entry instances, backend servers with a few slots, callers, and fixed
// delays between them, driven by a virtual clock and a seed. It is a model of
// scheduling, not of a network or a cluster.
package experiment

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// epoch is the virtual time at which a run starts, bootTime after the instances
// did. It is not zero because a
// zero time means "never" in places.
const epoch = ids.Time(1_000_000 * int64(time.Second))

// event is a function to call at a virtual time; seq keeps the order of events
// at the same time.
type event struct {
	at  ids.Time
	seq uint64
	do  func()
}

// sim is the virtual clock and its queue of events, a binary heap.
type sim struct {
	now    ids.Time
	seq    uint64
	events []event
	rng    *rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch.Add(-bootTime), rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// elapsed returns the virtual time since the start of the run.
func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// after schedules do to run d from now.
func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *sim) at(t ids.Time, do func()) {
	s.seq++
	s.events = append(s.events, event{max(t, s.now), s.seq, do})
	for i := len(s.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			break
		}
		s.events[i], s.events[parent] = s.events[parent], s.events[i]
		i = parent
	}
}

func (s *sim) less(i, j int) bool {
	a, b := &s.events[i], &s.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (s *sim) pop() event {
	e := s.events[0]
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events[last] = event{}
	s.events = s.events[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if s.less(c, least) {
				least = c
			}
		}
		if least == i {
			return e
		}
		s.events[i], s.events[least] = s.events[least], s.events[i]
		i = least
	}
}

// run processes events until the virtual time d after the start.
func (s *sim) run(d time.Duration) {
	end := epoch.Add(d)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.pop()
		s.now = e.at
		e.do()
	}
	s.now = end
}

// every calls do at the given interval for the rest of the run.
func (s *sim) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(interval, again)
	}
	s.after(interval, again)
}

// between returns a uniformly distributed duration in [lo, hi).
func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}
