package proof

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measureShare offers four times the capacity of the counter service in data
// centre a for d, a fifth of it from partner p0, and returns the share of p0 in
// the requests executed in the second half of d.
func (sim *simulation) measureShare(d time.Duration) float64 {
	end := sim.now.Add(d)
	n := 0
	var send func()
	send = func() {
		if sim.now >= end {
			return
		}
		sim.nextHost = "p1"
		if n%5 == 0 {
			sim.nextHost = "p0"
		}
		sim.newOperation(get, "counter", "a").retries = 1 // the caller does not retry after a rejection
		n++
		sim.after(time.Second/1200, send)
	}
	send()
	sim.advance(d / 2)
	atHalf := sim.executionsByHost("p0", "p1")
	sim.advance(d / 2)
	atEnd := sim.executionsByHost("p0", "p1")
	p0, p1 := float64(atEnd[0]-atHalf[0]), float64(atEnd[1]-atHalf[1])
	return p0 / (p0 + p1)
}

func (sim *simulation) executionsByHost(hosts ...string) []int {
	runs := make([]int, len(hosts))
	for _, op := range sim.operations {
		for i, h := range hosts {
			if op.host == h {
				runs[i] += op.executions
			}
		}
	}
	return runs
}

// Guards against capacity shares of the partners that do not follow the weights
// of the profile in force: 1:1 at first and 3:1 from two seconds after the change,
// within 5% of the capacity.
func TestSharesFollowProfile(t *testing.T) {
	sim := newSimulation(1, 3)
	equal := sim.measureShare(4 * time.Second)
	sim.platform.publish("profile/p-counter", profileText(3, 4000), true)
	unequal := sim.measureShare(4 * time.Second)
	t.Logf("share of p0: %.3f of 0.400 offered by it at 1:1, %.3f at 3:1", equal, unequal)
	assert.Assert(t, math.Abs(equal-0.5) < 0.05, "%v", equal)
	assert.Assert(t, math.Abs(unequal-0.75) < 0.05, "%v", unequal)
}
