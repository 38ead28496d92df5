package admission

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Limiter bounds the queue of one service at one owner.
type Limiter struct {
	QueueTime time.Duration // longest wait for a slot
	Deadline  time.Duration // from arrival to response
	Length    int           // longest queue
}

// Fits reports whether a request may be queued behind backlog others that
// share slots. run is the mean run time. slots may be a fraction: a partner's
// part of the owned slots.
func (l *Limiter) Fits(backlog int, run time.Duration, slots float64) bool {
	if backlog >= l.Length || slots <= 0 {
		return false
	}
	wait := Wait(backlog, run, slots)
	return wait <= l.QueueTime && wait+run <= l.Deadline
}

// Wait returns the expected time until a request behind backlog others gets one
// of slots.
func Wait(backlog int, run time.Duration, slots float64) time.Duration {
	return time.Duration(float64(backlog) * float64(run) / slots)
}

// maxRetryTokens bounds a burst of retries after a quiet time.
const maxRetryTokens = 10

// RetryBudget is a token bucket that is filled by first attempts: retries and
// retransmissions to backend servers stay within Ratio of them.
type RetryBudget struct {
	Ratio  float64
	tokens float64
}

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt() { b.tokens = min(b.tokens+b.Ratio, maxRetryTokens) }

// Take takes one retry from the budget.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// loadWindow is the time over which offered load and capacity are compared.
const loadWindow = 500 * time.Millisecond

// RetryAfter chooses the time after which a rejected caller should return. The
// times are uniform over an interval that grows with offered load over
// capacity, so that the callers return at a rate that can be served.
type RetryAfter struct {
	Min, Max  time.Duration
	started   ids.Time
	offered   int
	served    int
	overload  float64 // offered over served in the last window, at least 1
	rejecting bool
}

// Offered counts a request that arrived.
func (r *RetryAfter) Offered(now ids.Time) {
	r.roll(now)
	r.offered++
}

// Served counts a request that was given a slot.
func (r *RetryAfter) Served() { r.served++ }

func (r *RetryAfter) roll(now ids.Time) {
	if now.Sub(r.started) < loadWindow {
		return
	}
	r.overload = max(1, float64(r.offered)/float64(max(1, r.served)))
	if !r.rejecting {
		r.overload = 1
	}
	r.started, r.offered, r.served, r.rejecting = now, 0, 0, false
}

// Seconds returns a retry-after time in whole seconds, the unit of Max-Age.
func (r *RetryAfter) Seconds(rng *rand.Rand) uint32 {
	r.rejecting = true
	load := max(1, r.overload, float64(r.offered)/float64(max(1, r.served)))
	span := min(time.Duration(load*float64(max(r.Min, time.Second))), r.Max-r.Min)
	d := r.Min
	if span > 0 {
		d += time.Duration(rng.Int64N(int64(span) + 1))
	}
	return uint32((d + time.Second - 1) / time.Second)
}
