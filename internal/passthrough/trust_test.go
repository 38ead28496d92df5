package passthrough

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: a target falls silent under load. Guards against new flows that
// still go there after its first unanswered opening.
func TestSilentTargetIsAvoided(t *testing.T) {
	c := testCore()
	silent := c.HandlePacket(origin, syn(flowOf(1, counterAt), 0)).Target
	now := origin.Add(openingTimeout)
	for i := range 40 {
		now = now.Add(5 * ms)
		f := flowOf(100+i, counterAt)
		d := c.HandlePacket(now, syn(f, 0))
		assert.Assert(t, d.Target != silent, "flow %d", i)
		c.HandlePacket(now.Add(ms), request(f, d.Cookie))
	}
	retry := 0
	for i := range 40 {
		now = now.Add(50 * ms)
		f := flowOf(200+i, counterAt)
		if d := c.HandlePacket(now, syn(f, 0)); d.Target == silent {
			retry++
		} else {
			c.HandlePacket(now.Add(ms), request(f, d.Cookie))
		}
	}
	assert.Assert(t, retry >= 1 && retry <= 3, "%d tries in 2 s", retry)
}

// Guards against a suspicion that outlives a sign of life.
func TestSignOfLifeEndsSuspicion(t *testing.T) {
	c := testCore()
	f := flowOf(1, counterAt)
	d := c.HandlePacket(origin, syn(f, 0))
	c.Tick(origin.Add(openingTimeout))
	target := c.targets.byName[d.Target]
	assert.Assert(t, target.excluded(origin.Add(openingTimeout)))
	c.HandlePacket(origin.Add(300*ms), request(f, d.Cookie))
	assert.Assert(t, !target.excluded(origin.Add(300*ms)))
}

// Guards against a service without targets while all of them are suspected.
func TestAllSuspected(t *testing.T) {
	c := testCore()
	now := origin
	for i := range 10 {
		now = now.Add(openingTimeout)
		assert.Equal(t, c.HandlePacket(now, syn(flowOf(i, counterAt), 0)).Verdict, Forward)
	}
}

// Pattern: a target crashes or leaves with long flows open. Guards against
// callers whose next request waits for its time-out, and against a reset of the
// flows of a target that is merely cut off from the platform, that restarted, or
// whose record was overwritten.
func TestFlowsOfDeadTargetAreReset(t *testing.T) {
	later := origin.Add(20 * time.Second)
	for name, test := range map[string]struct {
		change func(c *Core, name string)
		want   Verdict
	}{
		"crashed":     {func(c *Core, name string) { c.RemoveTarget(later, name) }, Reset},
		"not removed": {func(*Core, string) {}, Forward},
		"overwritten": {func(c *Core, name string) { c.RemoveUnreadable(later, name) }, Forward},
		"overwritten, complete list": {func(c *Core, name string) {
			c.RemoveUnreadable(later, name)
			c.ReplaceTargets(later, nil)
		}, Forward},
		"answering": {func(c *Core, name string) {
			c.markAlive(later.Add(-1900*ms), c.targets.byName[name])
			c.RemoveTarget(later, name)
		}, Forward},
		"crashed between two heartbeats": {func(c *Core, name string) {
			c.markAlive(later.Add(-2000*ms), c.targets.byName[name])
			c.RemoveTarget(later, name)
		}, Reset},
		"left": {func(c *Core, name string) {
			c.targets.byName[name].Draining = true
			c.markAlive(later.Add(-time.Second), c.targets.byName[name])
			c.RemoveTarget(later, name)
		}, Reset},
		"lapsed in an outage": {func(c *Core, name string) {
			c.PlatformRecovered(later)
			c.RemoveTarget(later, name)
		}, Forward},
		"missing after an outage": {func(c *Core, name string) {
			c.PlatformRecovered(later.Add(-time.Minute))
			c.RemoveTarget(later.Add(-time.Minute), name)
			c.Tick(later)
		}, Reset},
		"back again": {func(c *Core, name string) {
			r := c.targets.byName[name].TargetRecord
			c.RemoveTarget(later, name)
			c.PutTarget(later, &r)
		}, Forward},
	} {
		t.Run(name, func(t *testing.T) {
			c := testCore()
			f := flowOf(1, counterAt)
			d := open(t, c, origin, f)
			test.change(c, d.Target)
			got := c.HandlePacket(later.Add(50*ms), request(f, d.Cookie))
			assert.Equal(t, got.Verdict, test.want, got.Reason.String())
			assert.Equal(t, c.HandlePacket(later.Add(60*ms), &Packet{Flow: f, Flags: RST, Cookie: d.Cookie}).Verdict != Reset, true, "a reset is never answered")
		})
	}
}

// Pattern: targets crash or fall silent with long flows open. Guards against
// callers whose requests wait for their time-out although a check has shown that
// the target is gone, and against resets because this instance is cut off, the
// check is out of date or the target has shown that it is alive.
func TestCheckOfSuspectedTarget(t *testing.T) {
	for name, test := range map[string]struct {
		result   CheckResult
		others   bool // show signs of life
		life     bool // of the target, after the check began
		idle     bool // the packet has no data
		born     int64
		want     Verdict
		newFlows bool // are still placed there once its retry is due
	}{
		"replaced":                  {result: CheckReplaced, want: Reset},
		"replaced, idle":            {result: CheckReplaced, idle: true, want: Reset},
		"replaced, alive":           {result: CheckReplaced, life: true, want: Forward, newFlows: true},
		"replaced, other run":       {result: CheckReplaced, born: 9, want: Forward, newFlows: true},
		"unreachable":               {result: CheckUnreachable, others: true, want: Reset, newFlows: true},
		"unreachable, idle":         {result: CheckUnreachable, others: true, idle: true, want: Forward, newFlows: true},
		"unreachable, cut off here": {result: CheckUnreachable, want: Forward, newFlows: true},
		"answered":                  {result: CheckAnswered, others: true, want: Forward, newFlows: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := testCore()
			f := flowOf(1, counterAt)
			d := open(t, c, origin, f)
			now := origin.Add(time.Second)
			p := request(f, d.Cookie)
			p.Seq = 151
			c.HandlePacket(now, p)
			c.HandlePacket(now.Add(200*ms), p)
			c.HandlePacket(now.Add(600*ms), p)
			var checks []Check
			c.TakeChecks(func(k Check) { checks = append(checks, k) })
			assert.Equal(t, len(checks), 1)
			assert.Equal(t, checks[0].Target, d.Target)
			assert.Equal(t, checks[0].Reference, Endpoint{}, "no other target has shown a sign of life")
			began := now.Add(600 * ms)
			checks[0].StartedAt = test.born
			now = now.Add(700 * ms)
			if test.others {
				c.markAlive(now, c.targets.byName["slips-3"])
			}
			if test.life {
				c.markAlive(now, c.targets.byName[d.Target])
			}
			now = now.Add(100 * ms)
			c.ReportCheck(now, checks[0], began, test.result)
			if test.idle {
				p.Length = 0
			}
			assert.Equal(t, c.HandlePacket(now, p).Verdict, test.want)
			assert.Equal(t, c.targets.byName[d.Target].usable(), test.newFlows)
		})
	}
}

// Guards against a check that holds for longer than checkTTL, and against a
// target that is not checked again.
func TestCheckExpires(t *testing.T) {
	c := testCore()
	f := flowOf(1, counterAt)
	d := open(t, c, origin, f)
	now := origin.Add(time.Second)
	p := request(f, d.Cookie)
	p.Seq = 151
	fail := func() (checks []Check) {
		for _, pause := range []time.Duration{0, 200 * ms, 600 * ms} {
			c.HandlePacket(now.Add(pause), p)
		}
		c.TakeChecks(func(k Check) { checks = append(checks, k) })
		return checks
	}
	checks := fail()
	assert.Equal(t, len(checks), 1)
	now = now.Add(time.Second)
	c.markAlive(now, c.targets.byName["slips-3"])
	c.ReportCheck(now, checks[0], now.Add(-ms), CheckUnreachable)
	assert.Equal(t, c.HandlePacket(now.Add(checkTTL-ms), p).Verdict, Reset)
	assert.Equal(t, c.HandlePacket(now.Add(checkTTL), p).Verdict, Forward, "the partition may be healed")
	now = now.Add(checkTTL)
	again := fail()
	assert.Equal(t, len(again), 1, "it is checked again while it does not answer")
	assert.Equal(t, again[0].Reference, c.targets.byName["slips-3"].Address)
	c.ReportCheck(now.Add(time.Second), again[0], now.Add(700*ms), CheckInconclusive)
	assert.Equal(t, c.HandlePacket(now.Add(time.Second), p).Verdict, Forward)
}

// Found in the logs of kelani-bump trouble-2: packets of a large request that
// came out of order were counted as repeated. Guards against a target that is
// suspected for it.
func TestReorderedRequest(t *testing.T) {
	c := testCore()
	f := flowOf(1, counterAt)
	d := open(t, c, origin, f)
	for i, seq := range []uint32{351, 251, 151, 301, 201} {
		p := request(f, d.Cookie)
		p.Seq = seq
		got := c.HandlePacket(origin.Add(20*ms+time.Duration(i)*ms), p)
		assert.Equal(t, got.StalledFor, time.Duration(0))
	}
	assert.Assert(t, !c.targets.byName[d.Target].excluded(origin.Add(30*ms)))
}

// Guards against a sign of life that is missed since it comes with the end of the
// flow: the caller of a single request often acknowledges its answer only there.
func TestEndOfFlowIsSignOfLife(t *testing.T) {
	c := testCore()
	f := flowOf(1, counterAt)
	d := open(t, c, origin, f)
	target := c.targets.byName[d.Target]
	c.recordFailure(origin.Add(20*ms), target, origin.Add(15*ms), "test")
	assert.Assert(t, target.excluded(origin.Add(30*ms)))
	got := c.HandlePacket(origin.Add(40*ms), &Packet{Flow: f, Flags: FIN | ACK, Cookie: d.Cookie, Seq: 151, Ack: 900})
	assert.Equal(t, got.ResponseTime, 30*ms)
	assert.Assert(t, !target.excluded(origin.Add(40*ms)))
	assert.Equal(t, target.flows, 0)
}
