package member

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// clockWindow is the time over which the largest sample is kept. The delay of a
// heartbeat can only lower a sample, so the largest one is the most accurate.
const clockWindow = 10 * time.Second

// clockOffset estimates the offset of the clock of a peer.
type clockOffset struct {
	started       ids.Time
	best, earlier time.Duration // largest sample of the current and of the previous window
	hasEarlier    bool
}

// observeClock adds a sample from a heartbeat that id sent when its clock showed
// sent.
func (v *View) observeClock(id ids.Instance, sent ids.Time) {
	sample := sent.Sub(v.now)
	c := v.clockOffsets[id]
	switch {
	case c == nil:
		v.clockOffsets[id] = &clockOffset{started: v.now, best: sample}
	case v.now.Sub(c.started) >= clockWindow:
		*c = clockOffset{started: v.now, best: sample, earlier: c.best, hasEarlier: true}
	default:
		c.best = max(c.best, sample)
	}
}

// ClockOffset returns the estimated clock of id minus the local clock, less the
// shortest one-way delay in the last 10 to 20 s. It is 0 for an instance that
// sends no heartbeats to this one.
func (v *View) ClockOffset(id ids.Instance) time.Duration {
	c := v.clockOffsets[id]
	if c == nil {
		return 0
	}
	if c.hasEarlier {
		return max(c.best, c.earlier)
	}
	return c.best
}
