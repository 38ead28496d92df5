package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cold start that does not converge and against control
// traffic above 2 KB/s per node at rest, sent and received together.
func TestControlBytes(t *testing.T) {
	for _, size := range []int{1, 5, 9, 50, 500} {
		s := newSim(size)
		if size > 100 {
			s.step = 100 * time.Millisecond
		}
		s.run(10 * time.Second)
		s.agree(t)
		s.run(5 * time.Second)
		mean, greatest := s.rates(10 * time.Second)
		t.Logf("%d instances at rest: mean %.0f B/s, greatest %.0f B/s", size, mean, greatest)
		assert.Assert(t, greatest <= 2000, "%d instances: %.0f B/s", size, greatest)
	}
}
