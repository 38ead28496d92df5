package passthrough

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// isolationCore returns a core in data centre a, which has one target and is evacuated, with
// five targets in data centre b. It has served a flow there.
func isolationCore(t *testing.T) (c *Core, now ids.Time) {
	c = testCore()
	var records []*TargetRecord
	for n := range 6 {
		r := testRecord(n, "counter", []ids.DataCentre{"a", "b"}[min(n, 1)])
		records = append(records, &r)
	}
	c.ReplaceTargets(startTime, records)
	evacuate(c, startTime, "a")
	c.Tick(startTime)
	answerChecks(c, startTime, CheckAnswered)
	d := c.HandlePacket(startTime, openingPacket(testFlow(1, counterAddress), 0))
	c.HandlePacket(startTime.Add(ms), requestPacket(testFlow(1, counterAddress), d.Cookie))
	c.Tick(startTime.Add(ms))
	assert.Assert(t, !c.Isolated())
	return c, startTime.Add(2 * ms)
}

// openUnanswered opens a flow every 20 ms for a while, and none is answered.
func openUnanswered(c *Core, now ids.Time, while time.Duration) ids.Time {
	for end := now.Add(while); now.Before(end); now = now.Add(20 * ms) {
		c.Tick(now)
		c.HandlePacket(now, openingPacket(testFlow(int(now/1e6), counterAddress), 0))
	}
	return now
}

// answerChecks gives all queued checks the same result and returns their targets.
func answerChecks(c *Core, now ids.Time, result CheckResult) (targets []string) {
	var checks []Check
	c.TakeChecks(func(k Check) { checks = append(checks, k) })
	for _, k := range checks {
		c.ReportCheck(now, k, now.Add(-ms), result)
		targets = append(targets, k.Target)
	}
	return targets
}

// A data centre is evacuated and then cut off from the others: its instances reach no target
// that may get new flows. Guards against callers that are left with such an instance.
func TestIsolatedInstanceLeavesRotation(t *testing.T) {
	c, now := isolationCore(t)
	now = openUnanswered(c, now, isolationDelay+2*openingTimeout)
	assert.Assert(t, c.Isolated())

	answerChecks(c, now, CheckInconclusive)
	now = now.Add(isolationCheckInterval)
	c.Tick(now)
	assert.Assert(t, len(answerChecks(c, now, CheckInconclusive)) >= isolationChecks, "it keeps trying")
	own := Check{Target: testRecord(0, "counter", "a").Name}
	c.ReportCheck(now, own, now.Add(-ms), CheckAnswered)
	assert.Assert(t, c.Isolated(), "a target of the evacuated data centre proves nothing")
	now = now.Add(isolationCheckInterval)
	c.Tick(now)
	answerChecks(c, now, CheckAnswered)
	assert.Assert(t, !c.Isolated())

	now = openUnanswered(c, now, isolationDelay+2*openingTimeout)
	assert.Assert(t, c.Isolated())
	evacuate(c, now)
	c.Tick(now)
	assert.Assert(t, !c.Isolated(), "the data centre is taken back")
}

// Guards against instances that leave together although others fare no better: with targets
// of their own, without any target, and while some flows are still opened.
func TestNotIsolated(t *testing.T) {
	c, now := isolationCore(t)
	evacuate(c, now)
	openUnanswered(c, now, time.Second)
	assert.Assert(t, !c.Isolated(), "targets of its own")

	c, now = isolationCore(t)
	evacuate(c, now, "a", "b")
	openUnanswered(c, now, time.Second)
	assert.Assert(t, !c.Isolated(), "no target at all")

	c, now = isolationCore(t)
	for range 5 {
		now = openUnanswered(c, now, isolationDelay/2)
		flow := testFlow(int(now/1e6), counterAddress)
		d := c.HandlePacket(now, openingPacket(flow, 0))
		c.HandlePacket(now.Add(ms), requestPacket(flow, d.Cookie))
	}
	assert.Assert(t, !c.Isolated(), "some flows are opened")
}

// Guards against an instance that starts during the cut and takes all callers of its data
// centre, since no other one is in rotation.
func TestStartsIsolated(t *testing.T) {
	remote := testRecord(9, "counter", "b")
	for _, reached := range []CheckResult{CheckAnswered, CheckAccepted} {
		c := testCore()
		evacuate(c, startTime, "a")
		c.ReplaceTargets(startTime, []*TargetRecord{&remote, new(testRecord(1, "counter", "a"))})
		c.Tick(startTime)
		assert.Assert(t, c.Isolated())
		assert.Assert(t, slices.Equal(answerChecks(c, startTime, reached), []string{remote.Name}))
		assert.Assert(t, !c.Isolated(), reached.String())
	}

	c := testCore()
	c.routes.health = nil
	c.ReplaceTargets(startTime, []*TargetRecord{&remote})
	c.Tick(startTime)
	assert.Assert(t, !c.Isolated(), "no health check can tell")
}
