package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
)

// Guards against retries of refused callers that add more than LoadFraction to the load,
// or arrive in bursts, however long the overload lasts.
func TestRetriesAreSpread(t *testing.T) {
	r := RetryPacer{Min: time.Second, Max: 300 * time.Second, LoadFraction: 0.25}
	rng := rand.New(rand.NewPCG(1, 2))
	const rate = 400
	retries := make([]int, 600) // number of retries in each second
	for i := range 10 * 800 {
		now := ids.Time(time.Duration(i) * time.Second / 800)
		s := r.RetryAfter(now, rate, rng)
		assert.Assert(t, s >= 1 && s <= 300)
		retries[i/800+int(s)]++
	}
	for second, n := range retries {
		assert.Assert(t, n <= rate/4*3/2, "%d callers return in second %d", n, second)
	}
}

// Guards against a retry delay outside the limits of the profile, including a service
// rate of 0.
func TestRetryAfterStaysWithinLimits(t *testing.T) {
	r := RetryPacer{Min: 2500 * time.Millisecond, Max: 10 * time.Second, LoadFraction: 0.25}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{100, 0.01, 0, 100} {
		for range 1000 {
			s := r.RetryAfter(ids.Time(time.Hour), rate, rng)
			assert.Assert(t, s >= 3 && s <= 10, "%d", s)
		}
	}
	assert.Assert(t, new(RetryPacer).RetryAfter(0, 0, rng) >= 1)
}
