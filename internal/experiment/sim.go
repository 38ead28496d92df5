// Package experiment compares scheduling policies in a small deterministic
// model of load balancer instances, backend servers with a few slots, and
// callers, with fixed delays between them. A virtual clock and a seed drive it.
// It models scheduling only, not the network or the operation of a cluster.
package experiment

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/eventqueue"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// epoch is the virtual time at which a run starts, bootTime after the start of
// the instances. It is not zero, because some code uses a zero time as "never".
const epoch = ids.Time(1_000_000 * int64(time.Second))

// sim is a discrete event simulation: a virtual clock and a queue of events.
type sim struct {
	now    ids.Time
	events eventqueue.Queue
	rng    *rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch.Add(-bootTime), rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// elapsed returns the virtual time since the start of the run.
func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// after schedules do to run after d.
func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// at schedules do to run at time t, or now if t is in the past.
func (s *sim) at(t ids.Time, do func()) { s.events.Push(max(t, s.now), do) }

// run processes events until the virtual time d after the start.
func (s *sim) run(d time.Duration) {
	end := epoch.Add(d)
	for {
		at, do, ok := s.events.Next(end)
		if !ok {
			break
		}
		s.now = at
		do()
	}
	s.now = end
}

// every calls do at the given interval for the rest of the run.
func (s *sim) every(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		s.after(interval, tick)
	}
	s.after(interval, tick)
}

// between returns a uniformly distributed duration in [lo, hi).
func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}
