package passthrough

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an explanation that differs from the decision that the packet then
// gets, or that changes it: by random states of flows, targets and their health.
func TestExplainMatchesDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, twin := testCore(), testCore() // the twin explains nothing
		now, version := startTime, uint64(1)
		both := func(f func(c *Core)) { f(c); f(twin) }
		services := []Endpoint{counterAddress, {Port: 9}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			flow := testFlow(rapid.IntRange(1, 4).Draw(t, "flow"), rapid.SampledFrom(services).Draw(t, "to"))
			record := testRecord(rapid.IntRange(1, 3).Draw(t, "target"), "counter", "a")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				both(func(c *Core) { c.ReplaceTargets(now, []*TargetRecord{&record}) })
			case 1:
				record.Draining = rapid.Bool().Draw(t, "draining")
				both(func(c *Core) { c.PutTarget(now, &record) })
			case 2:
				both(func(c *Core) { c.RemoveTarget(now, record.Name) })
			case 3:
				both(func(c *Core) { c.PlatformRecovered(now) })
			case 4:
				both(func(c *Core) { c.ConfirmCurrent(now) })
			case 5:
				version++
				config := testConfig(version)
				if rapid.Bool().Draw(t, "drop") {
					config.Routes = config.Routes[1:]
				}
				both(func(c *Core) { c.ApplyConfig(config) })
			default:
				cookie := Cookie(0)
				if rapid.Bool().Draw(t, "open") {
					cookie = cookieOf(record.Identity)
				}
				p := openingPacket(flow, 0)
				if cookie != 0 {
					p = requestPacket(flow, cookie)
				}
				both(func(c *Core) { c.Tick(now) })
				c.expireOpenings(now)
				e := c.Explain(now, flow, cookie)
				d, want := c.HandlePacket(now, p), twin.HandlePacket(now, p)
				assert.DeepEqual(t, d, want)
				assert.Equal(t, e.Verdict, d.Verdict.String())
				assert.Equal(t, e.Reason, d.Reason.String())
				if d.Verdict == Forward {
					assert.Equal(t, e.Target, d.Target)
				}
			}
		}
	})
}
