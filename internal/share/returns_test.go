package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
)

// Guards against refused callers that add more than their part to the load, or
// return together, however long the overload lasts.
func TestReturnsAreSpread(t *testing.T) {
	r := RetryPacer{Min: time.Second, Max: 300 * time.Second, LoadFraction: 0.25}
	rng := rand.New(rand.NewPCG(1, 2))
	const rate = 400
	back := make([]int, 600) // by second
	for i := range 10 * 800 {
		now := ids.Time(time.Duration(i) * time.Second / 800)
		s := r.RetryAfter(now, rate, rng)
		assert.Assert(t, s >= 1 && s <= 300)
		back[i/800+int(s)]++
	}
	for second, n := range back {
		assert.Assert(t, n <= rate/4*3/2, "%d callers return in second %d", n, second)
	}
}

// Guards against a time to come back outside the limits of the profile, also
// when nothing can be served.
func TestReturnsStayWithinLimits(t *testing.T) {
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
