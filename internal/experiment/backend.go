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
	sim     *sim
	index   int
	target  config.Target
	running int
	queue   []*job
	dead    bool // does not respond to requests
	lies    bool // the health endpoint reports the opposite
	cold    int  // requests that still run slowly after a cold start

	busy  time.Duration // slot time used since the last reset
	since ids.Time      // of the last change of running
}

// job is one request at a backend server.
type job struct {
	run     time.Duration
	expires ids.Time
	gone    bool // cancelled, or ended
	done    func(spread.Outcome)
}

// coldFactor is how much longer a request runs on a cold backend server.
const coldFactor = 3

func newBackend(s *sim, seed uint64, index int) *backend {
	return &backend{sim: s, index: index, since: s.now, target: config.Target{
		Name: ids.Target(fmt.Sprintf("backend-%d-%02d", seed, index)), DataCentre: dataCentre, Slots: slotsPerTarget,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), 5683),
		Health:  fmt.Sprintf("http://127.0.1.%d:8080/health", index+1),
	}}
}

// healthy is what the health endpoint reports.
func (b *backend) healthy() bool { return b.dead == b.lies }

// account adds the slot time since the last change.
func (b *backend) account() {
	b.busy += time.Duration(b.running) * b.sim.now.Sub(b.since)
	b.since = b.sim.now
}

// accept takes a job that has arrived. done is called with the outcome, unless
// the backend server is dead or the job is cancelled.
func (b *backend) accept(j *job) {
	switch {
	case b.dead || j.gone:
	case b.running < b.target.Slots:
		b.start(j)
	case len(b.queue) < backendQueue:
		b.queue = append(b.queue, j)
	default:
		j.gone = true
		j.done(spread.Shed)
	}
}

func (b *backend) start(j *job) {
	b.account()
	b.running++
	run := j.run
	if b.cold > 0 {
		b.cold--
		run *= coldFactor
	}
	b.sim.after(run, func() {
		b.account()
		b.running--
		if !j.gone && !b.dead {
			j.gone = true
			j.done(spread.Success)
		}
		b.next()
	})
}

// next starts the first queued job that has neither been cancelled nor expired.
func (b *backend) next() {
	for b.running < b.target.Slots && len(b.queue) > 0 && !b.dead {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if !j.gone && b.sim.now.Before(j.expires) {
			b.start(j)
		}
	}
}
