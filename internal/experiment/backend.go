package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// backendQueue is the queue length at which a backend server sheds further
// requests.
const backendQueue = 16

// backend models a backend server with slots, a short queue, and a health
// endpoint that may report a false state.
type backend struct {
	sim          *sim
	index        int
	target       config.Target
	running      int
	queue        []*job
	dead         bool // does not respond to requests
	falseHealth  bool // the health endpoint reports the opposite of the real state
	coldRequests int  // remaining requests that run slowly after a cold start

	busyTime    time.Duration // slot time used since the last call of resetBusyTime
	accountedAt ids.Time      // time up to which busyTime is complete
}

// job is the processing of one request by a backend server.
type job struct {
	runTime   time.Duration
	expires   ids.Time
	ended     bool // completed, shed or cancelled
	onOutcome func(spread.Outcome)
}

// coldSlowdown is the factor by which a request runs longer on a cold backend
// server.
const coldSlowdown = 3

func newBackend(s *sim, seed uint64, index int) *backend {
	return &backend{sim: s, index: index, accountedAt: s.now, target: config.Target{
		Name: ids.Target(fmt.Sprintf("backend-%d-%02d", seed, index)), DataCentre: dataCentre, Slots: slotsPerBackend,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), 5683),
		Health:  fmt.Sprintf("http://127.0.1.%d:8080/health", index+1),
	}}
}

// reportedHealth returns true if the health endpoint reports the server as healthy.
func (b *backend) reportedHealth() bool { return b.dead == b.falseHealth }

// updateBusyTime adds the slot time used since the previous call. It must be
// called before running changes.
func (b *backend) updateBusyTime() {
	b.busyTime += time.Duration(b.running) * b.sim.now.Sub(b.accountedAt)
	b.accountedAt = b.sim.now
}

// accept handles a job that has arrived: it starts, queues or sheds it.
// j.onOutcome is called with the outcome, unless the backend server is dead or
// the job is cancelled.
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
	runTime := j.runTime
	if b.coldRequests > 0 {
		b.coldRequests--
		runTime *= coldSlowdown
	}
	b.sim.after(runTime, func() {
		b.updateBusyTime()
		b.running--
		if !j.ended && !b.dead {
			j.ended = true
			j.onOutcome(spread.Success)
		}
		b.startQueued()
	})
}

// startQueued fills the free slots with queued jobs that have neither been
// cancelled nor expired.
func (b *backend) startQueued() {
	for b.running < b.target.Slots && len(b.queue) > 0 && !b.dead {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if !j.ended && b.sim.now.Before(j.expires) {
			b.start(j)
		}
	}
}
