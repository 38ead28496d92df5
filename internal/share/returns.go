package share

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// RetryPacer spreads the retries of refused callers over time. It schedules retries one
// after the other, at LoadFraction of the rate at which the owner serves requests, so
// that they add at most this fraction to the load, however long the overload lasts.
// Random delays from an interval that grows with the ratio of load to capacity do not
// ensure this, because the interval does not grow with the number of callers that are
// already refused.
type RetryPacer struct {
	Min, Max     time.Duration
	LoadFraction float64  // of the service rate, 0 to 1
	nextRetry    ids.Time // earliest time of the next retry to be scheduled
}

// RetryAfter schedules a retry and returns the delay until then in whole seconds, the
// unit of Max-Age, between Min and Max. rate is the number of requests per second that
// the owner can serve. The delay is drawn uniformly from 0.5 to 1.5 times the scheduled
// one. Without this jitter, callers refused in the same fraction of a second all
// retried in the same fraction of a later second, since they wait for whole seconds.
func (r *RetryPacer) RetryAfter(now ids.Time, rate float64, rng *rand.Rand) uint32 {
	// Retries that would be due after Max are scheduled at Max. Accumulating the
	// excess would delay later retries without need.
	r.nextRetry = min(max(r.nextRetry, now.Add(r.Min)), now.Add(r.Max))
	delay := r.nextRetry.Sub(now)
	if retryRate := rate * r.LoadFraction; retryRate > 0 {
		r.nextRetry = r.nextRetry.Add(time.Duration(float64(time.Second) / retryRate))
	}
	delay = delay/2 + time.Duration(rng.Float64()*float64(delay))
	minSeconds, maxSeconds := uint32((r.Min+time.Second-1)/time.Second), uint32(r.Max/time.Second)
	seconds := uint32(delay / time.Second)
	if rng.Float64() < (delay % time.Second).Seconds() {
		seconds++
	}
	return max(min(seconds, maxSeconds), minSeconds, 1)
}
