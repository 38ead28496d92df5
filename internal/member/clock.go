package member

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// clockWindow is the time over which the largest sample is kept. A delay of a
// heartbeat only lowers a sample, so the largest one is the best.
const clockWindow = 10 * time.Second

// clock estimates the offset of the clock of a peer.
type clock struct {
	started       ids.Time
	best, earlier time.Duration // of the present and of the last window
	hasEarlier    bool
}

func (v *View) observeClock(id ids.Instance, sent ids.Time) {
	sample := sent.Sub(v.now)
	c := v.clocks[id]
	switch {
	case c == nil:
		v.clocks[id] = &clock{started: v.now, best: sample}
	case v.now.Sub(c.started) >= clockWindow:
		*c = clock{started: v.now, best: sample, earlier: c.best, hasEarlier: true}
	default:
		c.best = max(c.best, sample)
	}
}

// ClockOffset returns the estimated clock of id minus the own clock, less the
// shortest one-way delay seen in the last 10 to 20 s. It is 0 for an instance
// that sends no heartbeats to this one.
func (v *View) ClockOffset(id ids.Instance) time.Duration {
	c := v.clocks[id]
	if c == nil {
		return 0
	}
	if c.hasEarlier {
		return max(c.best, c.earlier)
	}
	return c.best
}
