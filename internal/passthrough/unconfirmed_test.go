package passthrough

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoCores returns two instances with the same state. Flows are opened at the first one.
func twoCores() (opener, other *Core) { return testCore(), testCore() }

var newAddress = Endpoint{IP: [4]byte{198, 18, 0, 3}, Port: 443}

// configWithRoute returns a version that has a route to newAddress besides the usual ones.
func configWithRoute(version uint64) *Config {
	c := testConfig(version)
	c.Routes = append(c.Routes, Route{Name: "new", Address: newAddress, Splits: []Split{{"counter", 1}}, Timeout: 1500 * ms})
	return c
}

// Guards against a reset of an open flow on a new route by an instance that does not know
// the route yet. Its packets of all kinds must reach the target.
func TestOpenFlowOnRouteNotKnownYet(t *testing.T) {
	for name, p := range map[string]Packet{
		"data":  {Flags: ACK, Length: 50},
		"ack":   {Flags: ACK},
		"fin":   {Flags: FIN | ACK},
		"reset": {Flags: RST},
	} {
		t.Run(name, func(t *testing.T) {
			opener, late := twoCores()
			late.ConfirmCurrent(startTime)
			opener.ApplyConfig(configWithRoute(2))
			f := testFlow(1, newAddress)
			d := openFlow(t, opener, startTime.Add(time.Second), f)
			p.Flow, p.Cookie, p.Seq, p.Ack = f, d.Cookie, 151, 600
			for _, after := range []time.Duration{1100 * ms, 1300 * ms} {
				got := late.HandlePacket(startTime.Add(after), &p)
				assert.Equal(t, got.Verdict, Forward)
				assert.Equal(t, got.Identity, d.Identity)
				assert.Equal(t, got.Reason == KnownCookie, p.Flags.Has(RST))
			}
			late.ApplyConfig(configWithRoute(2))
			late.ConfirmCurrent(startTime.Add(1200 * ms))
			got := late.HandlePacket(startTime.Add(1500*ms), &p)
			assert.Equal(t, got.Verdict, Forward)
			assert.Equal(t, got.Reason, KnownCookie)
		})
	}
}

// Guards against a flow that goes on although its route was removed: an instance that did
// not open it must reset it as soon as its state is current as of the flow's first packet
// there, and again for a caller that has missed the reset.
func TestFlowOnRemovedRouteIsReset(t *testing.T) {
	opener, other := twoCores()
	opener.ApplyConfig(configWithRoute(2))
	f := testFlow(1, newAddress)
	d := openFlow(t, opener, startTime, f)
	first := startTime.Add(time.Second)
	other.ApplyConfig(testConfig(3))
	other.ConfirmCurrent(first.Add(-ms))
	for _, cookie := range []Cookie{d.Cookie, 77} { // the target known and unknown
		p := requestPacket(f, cookie)
		assert.Equal(t, other.HandlePacket(first, p).Reason, RouteUnconfirmed)
		assert.Equal(t, other.HandlePacket(first.Add(ms), p).Verdict == Forward, cookie == d.Cookie)
		other.ConfirmCurrent(first.Add(2 * ms))
		for range 3 {
			got := other.HandlePacket(first.Add(3*ms), p)
			assert.Equal(t, got.Verdict, Reset)
			assert.Equal(t, got.Reason, RouteDropped)
		}
		f = testFlow(2, newAddress)
		first = first.Add(10 * ms)
	}
	opener.ApplyConfig(testConfig(3))
	assert.Equal(t, opener.HandlePacket(first, requestPacket(testFlow(1, newAddress), d.Cookie)).Verdict, Reset, "at once where it was opened")
	end := first.Add(resetMemory + 2*sweepParts*sweepInterval)
	for ; first.Before(end); first = first.Add(sweepInterval) {
		opener.Tick(first)
		other.Tick(first)
	}
	assert.Equal(t, len(opener.flows.index)+len(other.flows.index), 0, "flows that were reset are forgotten")
}

// Guards against a first packet that is forgotten when the target of its cookie becomes
// known: the flow would have to wait for another update.
func TestFirstPacketBeforeTargetIsKnown(t *testing.T) {
	c := New(Settings{DataCentre: "a", MaxFlows: 16, FlowLifetime: time.Minute})
	c.ApplyConfig(testConfig(1))
	r := testRecord(1, "counter", "a")
	p := requestPacket(testFlow(1, newAddress), cookieOf(r.Identity))
	assert.Equal(t, c.HandlePacket(startTime, p), Decision{Reason: RouteUnconfirmed})
	c.PutTarget(startTime, &r)
	assert.Equal(t, c.HandlePacket(startTime.Add(200*ms), p).Verdict, Forward)
	c.ConfirmCurrent(startTime)
	assert.Equal(t, c.HandlePacket(startTime.Add(600*ms), p).Verdict, Reset)
}

// An opening packet and its copy reach two instances, which choose different targets.
// Guards against a reset by the instance whose target has lost: it has opened the flow, but
// not on the target that the flow has, which it knows only as gone.
func TestFlowOnTargetOfOtherInstance(t *testing.T) {
	opener, late := twoCores()
	opener.RemoveTarget(startTime, "counter-1")
	late.targets.byName["counter-2"].Draining = true
	late.RemoveTarget(startTime, "counter-2")
	f := testFlow(1, counterAddress)
	assert.Equal(t, late.HandlePacket(startTime, openingPacket(f, 0)).Target, "counter-1")
	d := opener.HandlePacket(startTime.Add(200*ms), openingPacket(f, 1))
	assert.Equal(t, d.Target, "counter-2")
	assert.Equal(t, late.HandlePacket(startTime.Add(210*ms), requestPacket(f, d.Cookie)).Reason, TargetUnconfirmed)
	late.ConfirmCurrent(startTime.Add(200 * ms))
	assert.Equal(t, late.HandlePacket(startTime.Add(220*ms), requestPacket(f, d.Cookie)).Reason, TargetUnconfirmed)
	late.ConfirmCurrent(startTime.Add(210 * ms))
	assert.Equal(t, late.HandlePacket(startTime.Add(230*ms), requestPacket(f, d.Cookie)).Verdict, Reset)
}

// Guards against a reset by an instance that has seen a route go and does not know yet that
// it has been added again.
func TestOpenFlowOnRouteAddedAgain(t *testing.T) {
	opener, late := twoCores()
	for _, c := range []*Core{opener, late} {
		c.ApplyConfig(configWithRoute(2))
		c.ApplyConfig(testConfig(3))
	}
	late.ConfirmCurrent(startTime)
	opener.ApplyConfig(configWithRoute(4))
	f := testFlow(1, newAddress)
	d := openFlow(t, opener, startTime.Add(time.Second), f)
	assert.Equal(t, late.HandlePacket(startTime.Add(1100*ms), requestPacket(f, d.Cookie)).Verdict, Forward)
}

// A caller's copy of an opening packet reaches an instance that does not know the route.
// Another instance may have forwarded the first one, so the copy must not be reset; a
// first one is, so that the caller can go elsewhere at once.
func TestOpeningOnUnknownRoute(t *testing.T) {
	c := testCore()
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(1, newAddress), 0)), Decision{Verdict: Reset, Reason: NoRoute})
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(2, newAddress), 1)), Decision{Reason: RouteUnconfirmed})
	c.ApplyConfig(configWithRoute(2))
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(2, newAddress), 2)).Verdict, Forward)
}

// A target ends and starts again under the same name. Guards against a reset of the flows
// of its new incarnation by an instance that knows only of the end; flows of the former one
// are reset at once where they were opened.
func TestTargetStartedAgain(t *testing.T) {
	for name, end := range map[string]func(c *Core, name string){
		"left": func(c *Core, name string) {
			c.targets.byName[name].Draining = true
			c.RemoveTarget(startTime.Add(time.Second), name)
		},
		"address used by another": func(c *Core, name string) {
			c.ReportCheck(startTime.Add(time.Second), Check{Target: name}, startTime.Add(900*ms), CheckReplaced)
		},
		"unreachable": func(c *Core, name string) {
			c.markAlive(startTime.Add(2*time.Second), c.targets.byName["counter-1"])
			c.ReportCheck(startTime.Add(2*time.Second), Check{Target: name}, startTime.Add(1900*ms), CheckUnreachable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			opener, late := twoCores()
			old := testFlow(1, slipsAddress)
			former := openFlow(t, late, startTime, old)
			end(late, former.Target)
			late.ConfirmCurrent(startTime.Add(time.Second))
			again := testRecord(3, "slips", "a")
			again.StartedAt = 7
			opener.PutTarget(startTime.Add(1500*ms), &again)
			f := testFlow(2, slipsAddress)
			d := openFlow(t, opener, startTime.Add(2*time.Second), f)
			assert.Equal(t, d.Cookie, former.Cookie)
			now := startTime.Add(2100 * ms)
			got := late.HandlePacket(now, requestPacket(f, d.Cookie))
			assert.Equal(t, got.Verdict == Forward, name != "address used by another")
			assert.Assert(t, got.Verdict != Reset)
			assert.Equal(t, got.Reason, TargetUnconfirmed)
			assert.Equal(t, late.HandlePacket(now, requestPacket(old, d.Cookie)).Verdict, Reset)
			late.PutTarget(now, &again)
			late.ConfirmCurrent(now)
			assert.Equal(t, late.HandlePacket(now, requestPacket(f, d.Cookie)).Reason, KnownCookie)
		})
	}
}

// Guards against flows of a target that is gone for good that are never reset since another
// instance opened them.
func TestAdoptedFlowOfTargetThatIsGone(t *testing.T) {
	opener, other := twoCores()
	f := testFlow(1, slipsAddress)
	d := openFlow(t, opener, startTime, f)
	other.RemoveTarget(startTime.Add(time.Second), d.Target)
	first := startTime.Add(2 * time.Second)
	p := &Packet{Flow: f, Flags: FIN | ACK, Cookie: d.Cookie, Seq: 151, Ack: 600}
	assert.Equal(t, other.HandlePacket(first, p).Reason, TargetUnconfirmed)
	other.ConfirmCurrent(first)
	got := other.HandlePacket(first.Add(200*ms), p)
	assert.Equal(t, got.Verdict, Reset)
	assert.Equal(t, got.Reason, TargetGone)
	assert.Equal(t, other.targets.byName[d.Target].flows, 0)
}

// A request on an adopted flow is stalled when a check finds its target unreachable. Guards
// against a reset with the result of the check before the state is current: the target may
// have started again at another address.
func TestStalledAdoptedFlow(t *testing.T) {
	for _, current := range []bool{false, true} {
		c := testCore()
		config := testConfig(2)
		for i := range config.Routes {
			config.Routes[i].Idempotent = true
		}
		c.ApplyConfig(config)
		p := requestPacket(testFlow(1, slipsAddress), cookieOf(testRecord(3, "slips", "a").Identity))
		for _, after := range []time.Duration{0, 200 * ms, 600 * ms} {
			assert.Equal(t, c.HandlePacket(startTime.Add(after), p).Verdict, Forward)
		}
		if current {
			c.ConfirmCurrent(startTime)
		}
		c.markAlive(startTime.Add(700*ms), c.targets.byName["counter-1"])
		c.ReportCheck(startTime.Add(700*ms), Check{Target: "slips-3"}, startTime.Add(610*ms), CheckUnreachable)
		resets := 0
		c.TakeResets(func(*FlowReset) { resets++ })
		assert.Equal(t, resets == 1, current)
		assert.Equal(t, c.HandlePacket(startTime.Add(800*ms), p).Verdict == Reset, current)
	}
}
