package share

import (
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// RetryPacer spreads the return of refused callers over time. It books one return
// after the other at LoadFraction of the rate at which the owner serves requests, so
// that callers who return add at most this part to the load, however long the
// overload lasts. Times drawn from an interval that grows with the ratio of
// load to capacity do not ensure this, because the interval does not grow with
// the number of callers that have been refused already.
type RetryPacer struct {
	Min, Max     time.Duration
	LoadFraction float64  // of the service rate, 0 to 1
	nextReturn   ids.Time // of the next booking
}

// RetryAfter books a return and gives the time until then in whole seconds, the
// unit of Max-Age, between Min and Max. rate is the number of requests a
// second that the owner can serve. The time is drawn uniformly around the
// booking, from half to one and a half of it. Without that, the callers refused
// in a fraction of a second all came back in the same fraction of a later one,
// since they wait for whole seconds.
func (r *RetryPacer) RetryAfter(now ids.Time, rate float64, rng *rand.Rand) uint32 {
	// Bookings beyond Max fall on Max; to go on counting them would delay
	// later ones for nothing.
	r.nextReturn = min(max(r.nextReturn, now.Add(r.Min)), now.Add(r.Max))
	d := r.nextReturn.Sub(now)
	if part := rate * r.LoadFraction; part > 0 {
		r.nextReturn = r.nextReturn.Add(time.Duration(float64(time.Second) / part))
	}
	d = d/2 + time.Duration(rng.Float64()*float64(d))
	least, most := uint32((r.Min+time.Second-1)/time.Second), uint32(r.Max/time.Second)
	whole := uint32(d / time.Second)
	if rng.Float64() < (d % time.Second).Seconds() {
		whole++
	}
	return max(min(whole, most), least, 1)
}
