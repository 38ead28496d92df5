package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// backendQueue is the number of requests that a backend server queues before
// it sheds load.
const backendQueue = 16

// backend is a backend server: slots, a short queue, and a health endpoint
// that may lie.
type backend struct {
	sim          *sim
	index        int
	target       config.Target
	running      int
	queue        []*job
	dead         bool // does not respond to requests
	falseHealth  bool // the health endpoint reports the opposite
	coldRequests int  // requests that still run slowly after a cold start

	busyTime    time.Duration // slot time used since the last reset
	accountedAt ids.Time      // of the last change of running
}

// job is one request at a backend server.
type job struct {
	runTime   time.Duration
	expires   ids.Time
	ended     bool // cancelled, or ended
	onOutcome func(spread.Outcome)
}

// coldFactor is how much longer a request runs on a cold backend server.
const coldSlowdown = 3

func newBackend(s *sim, seed uint64, index int) *backend {
	return &backend{sim: s, index: index, accountedAt: s.now, target: config.Target{
		Name: ids.Target(fmt.Sprintf("backend-%d-%02d", seed, index)), DataCentre: dataCentre, Slots: slotsPerBackend,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), 5683),
		Health:  fmt.Sprintf("http://127.0.1.%d:8080/health", index+1),
	}}
}

// healthy is what the health endpoint reports.
func (b *backend) reportedHealth() bool { return b.dead == b.falseHealth }

// account adds the slot time since the last change.
func (b *backend) updateBusyTime() {
	b.busyTime += time.Duration(b.running) * b.sim.now.Sub(b.accountedAt)
	b.accountedAt = b.sim.now
}

// accept takes a job that has arrived. done is called with the outcome, unless
// the backend server is dead or the job is cancelled.
func (b *backend) accept(j *job) {
	switch {
	case b.dead || j.ended:
	case b.running < b.target.Slots:
		b.start(j)
	case len(b.queue) < backendQueue:
		b.queue = append(b.queue, j)
	default:
		j.ended = true
		j.onOutcome(spread.Shed)
	}
}

func (b *backend) start(j *job) {
	b.updateBusyTime()
	b.running++
	run := j.runTime
	if b.coldRequests > 0 {
		b.coldRequests--
		run *= coldSlowdown
	}
	b.sim.after(run, func() {
		b.updateBusyTime()
		b.running--
		if !j.ended && !b.dead {
			j.ended = true
			j.onOutcome(spread.Success)
		}
		b.startQueued()
	})
}

// next starts the first queued job that has neither been cancelled nor expired.
func (b *backend) startQueued() {
	for b.running < b.target.Slots && len(b.queue) > 0 && !b.dead {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if !j.ended && b.sim.now.Before(j.expires) {
			b.start(j)
		}
	}
}
