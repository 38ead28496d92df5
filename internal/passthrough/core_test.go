package passthrough

import (
	"flag"
	"fmt"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	ms        = time.Millisecond
	startTime = ids.Time(1_000_000_000)
)

var (
	counterAddress = Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	slipsAddress   = Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}
)

// The fixed seed makes ordinary test runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func testConfig(version uint64) *Config {
	return &Config{Version: version, IdleTimeout: 15 * time.Second, Health: map[ids.Service]string{"counter": "/health", "slips": "/alive"}, Routes: []Route{
		{Name: "counter", Address: counterAddress, Splits: []Split{{"counter", 1}}, Timeout: 1500 * ms},
		{Name: "slips", Address: slipsAddress, Splits: []Split{{"slips", 1}}, Timeout: 5 * time.Second},
	}}
}

func testRecord(n int, service ids.Service, dc ids.DataCentre) TargetRecord {
	return TargetRecord{
		Name: fmt.Sprintf("%s-%d", service, n), Identity: uint64(1000 + n), Service: service, DataCentre: dc, Slots: 2,
		Address: Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8080},
	}
}

// testCore returns a core with two targets of the service counter and one of the
// service slips, all in the local data centre.
func testCore() *Core {
	c := New(Settings{DataCentre: "a", MaxFlows: 1 << 12, FlowLifetime: time.Minute, HeartbeatInterval: time.Second, Seed: 1})
	c.ApplyConfig(testConfig(1))
	for _, r := range []TargetRecord{testRecord(1, "counter", "a"), testRecord(2, "counter", "a"), testRecord(3, "slips", "a")} {
		c.PutTarget(startTime, &r)
	}
	return c
}

func testFlow(n int, to Endpoint) FlowKey {
	return FlowKey{Caller: Endpoint{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 40000}, Service: to}
}

func openingPacket(f FlowKey, copyNumber uint32) *Packet {
	return &Packet{Flow: f, Flags: SYN, Seq: 100, Ack: copyNumber}
}

// requestPacket returns the first packet that a caller sends after its opening
// packet has been answered.
func requestPacket(f FlowKey, c Cookie) *Packet {
	return &Packet{Flow: f, Flags: ACK, Cookie: c, Seq: 101, Ack: 501, Length: 50}
}

func openFlow(t *testing.T, c *Core, now ids.Time, f FlowKey) Decision {
	t.Helper()
	d := c.HandlePacket(now, openingPacket(f, 0))
	assert.Equal(t, d.Verdict, Forward)
	c.HandlePacket(now.Add(10*ms), requestPacket(f, d.Cookie))
	return d
}

// Packets of an open flow must reach the same target after the target has started
// to drain, its record has become unreadable and the configuration has changed.
func TestOpenFlowStays(t *testing.T) {
	c := testCore()
	f := testFlow(1, counterAddress)
	d := openFlow(t, c, startTime, f)
	draining := testRecord(int(d.Identity-1000), "counter", "a")
	draining.Draining = true
	c.PutTarget(startTime.Add(time.Second), &draining)
	c.ApplyConfig(testConfig(2))
	c.RemoveUnreadable(startTime.Add(2*time.Second), d.Target)
	got := c.HandlePacket(startTime.Add(3*time.Second), requestPacket(f, d.Cookie))
	assert.Equal(t, got.Verdict, Forward)
	assert.Equal(t, got.Identity, d.Identity)
	other := New(Settings{DataCentre: "a", MaxFlows: 16, FlowLifetime: time.Minute})
	other.ApplyConfig(testConfig(2))
	other.PutTarget(startTime, &draining)
	got = other.HandlePacket(startTime, requestPacket(f, d.Cookie))
	assert.Equal(t, got.Identity, d.Identity, "at an instance that has not seen the opening")
}

// No new flow may be placed on a target that is draining or removed.
func TestDrainingTargetGetsNoFlows(t *testing.T) {
	c := testCore()
	r := testRecord(1, "counter", "a")
	r.Draining = true
	c.PutTarget(startTime, &r)
	for i := range 50 {
		assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(i, counterAddress), 0)).Target, "counter-2")
	}
	c.RemoveTarget(startTime, "counter-2")
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(99, counterAddress), 0)).Reason, NoTarget)
	r.Draining = false
	c.PutTarget(startTime, &r)
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(98, counterAddress), 0)).Target, "counter-1", "the drain was withdrawn")
}

// A flow must never reach a target of another service, even if that target uses
// the address of a removed target of the flow's service.
func TestFlowStaysInService(t *testing.T) {
	c := testCore()
	reusedAddress := testRecord(9, "slips", "a")
	reusedAddress.Address = testRecord(1, "counter", "a").Address
	c.RemoveTarget(startTime, "counter-1")
	c.PutTarget(startTime, &reusedAddress)
	for i := range 50 {
		assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(i, counterAddress), 0)).Service, ids.Service("counter"))
		assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(i, slipsAddress), 0)).Service, ids.Service("slips"))
	}
}

// An older configuration version must not replace a newer one. Only flows whose
// route was removed are reset.
func TestConfigNeverGoesBack(t *testing.T) {
	c := testCore()
	f := testFlow(1, slipsAddress)
	d := openFlow(t, c, startTime, f)
	newer := testConfig(5)
	newer.Routes = newer.Routes[:1]
	assert.Assert(t, c.ApplyConfig(newer))
	assert.Assert(t, !c.ApplyConfig(testConfig(3)))
	assert.Assert(t, !c.ApplyConfig(testConfig(5)))
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(2, slipsAddress), 0)).Reason, NoRoute)
	assert.Equal(t, c.HandlePacket(startTime, requestPacket(f, d.Cookie)).Verdict, Reset, "its route was removed")
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(3, counterAddress), 0)).Verdict, Forward)
}

// Packets are dropped without a reset while no configuration is known, and if
// their cookie is unknown or missing: the target may be alive.
func TestUnknownFlowsAreDropped(t *testing.T) {
	c := New(Settings{DataCentre: "a", MaxFlows: 16, FlowLifetime: time.Minute})
	assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(1, counterAddress), 0)), Decision{Reason: NoConfig})
	assert.Equal(t, c.HandlePacket(startTime, requestPacket(testFlow(1, counterAddress), 77)), Decision{Reason: UnknownCookie})
	c.ApplyConfig(testConfig(1))
	assert.Equal(t, c.HandlePacket(startTime, requestPacket(testFlow(1, counterAddress), 77)), Decision{Reason: UnknownCookie})
	assert.Equal(t, c.HandlePacket(startTime, requestPacket(testFlow(1, counterAddress), 0)), Decision{Reason: NoCookie})
}

// A caller must not get two answers for one flow: a copy of the opening packet that
// arrives while the answer may be in transit is sent to the same target. A later
// copy is sent to another target.
func TestCopyOfOpeningPacket(t *testing.T) {
	c := testCore()
	f := testFlow(1, counterAddress)
	first := c.HandlePacket(startTime, openingPacket(f, 0))
	early := c.HandlePacket(startTime.Add(50*ms), openingPacket(f, 1))
	assert.Equal(t, early.Target, first.Target)
	assert.Equal(t, early.Reason, Repeated)
	late := c.HandlePacket(startTime.Add(200*ms), openingPacket(f, 1))
	assert.Equal(t, late.Reason, Replaced)
	assert.Assert(t, late.Target != first.Target)
}

// Target records expire during an outage of the platform. After the outage, targets
// stay in use for recordGracePeriod; those that have not published their record
// again by then are removed.
func TestExpiredRecords(t *testing.T) {
	c := testCore()
	c.PlatformRecovered(startTime)
	c.RemoveTarget(startTime.Add(100*ms), "counter-1")
	c.RemoveTarget(startTime.Add(100*ms), "counter-2")
	assert.Equal(t, c.HandlePacket(startTime.Add(time.Second), openingPacket(testFlow(1, counterAddress), 0)).Verdict, Forward)
	r := testRecord(1, "counter", "a")
	c.PutTarget(startTime.Add(1500*ms), &r)
	c.Tick(startTime.Add(recordGracePeriod))
	for i := range 20 {
		assert.Equal(t, c.HandlePacket(startTime.Add(recordGracePeriod+ms), openingPacket(testFlow(10+i, counterAddress), 0)).Target, "counter-1")
	}
	c.RemoveTarget(startTime.Add(5*time.Second), "counter-1")
	assert.Equal(t, c.HandlePacket(startTime.Add(5*time.Second), openingPacket(testFlow(50, counterAddress), 0)).Reason, NoTarget, "no outage before")
}

// A service with targets in two data centres has a short peak. Flows stay in the
// local data centre while its targets have capacity, and go to the other data
// centre instead of queueing locally.
func TestOwnDataCentreFirst(t *testing.T) {
	c := testCore()
	remote := testRecord(4, "counter", "b")
	c.PutTarget(startTime, &remote)
	remoteFlows := 0
	for i := range 60 {
		f := testFlow(i, counterAddress)
		d := c.HandlePacket(startTime, openingPacket(f, 0))
		c.HandlePacket(startTime, requestPacket(f, d.Cookie))
		if d.Remote {
			remoteFlows++
		}
		if i < 16 {
			assert.Assert(t, !d.Remote, "flow %d", i)
		}
	}
	assert.Assert(t, remoteFlows > 0)
}

// Flows must not go to another region while the region of the instance has capacity.
// A data centre without a region counts as the same region.
func TestOwnRegionFirst(t *testing.T) {
	c := New(Settings{DataCentre: "a", MaxFlows: 1 << 12, FlowLifetime: time.Minute, Seed: 1, Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"}})
	c.ApplyConfig(testConfig(1))
	for n, dc := range []ids.DataCentre{"b", "c", "d"} {
		r := testRecord(n+1, "counter", dc)
		c.PutTarget(startTime, &r)
	}
	counts := map[string]int{}
	for i := range 8 {
		f := testFlow(i, counterAddress)
		d := c.HandlePacket(startTime, openingPacket(f, 0))
		c.HandlePacket(startTime, requestPacket(f, d.Cookie))
		counts[d.Target]++
	}
	assert.DeepEqual(t, counts, map[string]int{"counter-1": 4, "counter-3": 4})
}

// The load figures of all targets must return to zero after all flows have ended:
// by FIN, by a reset, by the idle timeout or without ever being answered.
func TestLoadReturnsToZero(t *testing.T) {
	c := testCore()
	now := startTime
	for i := range 300 {
		now = now.Add(5 * ms)
		f := testFlow(i, counterAddress)
		d := c.HandlePacket(now, openingPacket(f, 0))
		c.Tick(now)
		if i%5 == 0 {
			continue // never answered
		}
		p := requestPacket(f, d.Cookie)
		c.HandlePacket(now.Add(ms), p)
		if i%5 == 1 {
			continue // the caller disappears
		}
		c.HandlePacket(now.Add(2*ms), &Packet{Flow: f, Flags: ACK, Cookie: d.Cookie, Seq: 151, Ack: 1500})
		if i%5 == 2 {
			c.HandlePacket(now.Add(3*ms), &Packet{Flow: f, Flags: RST, Cookie: d.Cookie, Seq: 151, Ack: 1500})
			continue
		}
		c.HandlePacket(now.Add(3*ms), &Packet{Flow: f, Flags: FIN | ACK, Cookie: d.Cookie, Seq: 151, Ack: 1500})
	}
	for range 10 * 60 {
		now = now.Add(sweepInterval)
		c.Tick(now)
	}
	assert.Equal(t, len(c.flows.index), 0)
	for _, target := range c.targets.slots {
		assert.Equal(t, target.activeRequests, 0, target.Name)
		assert.Equal(t, target.flows, 0, target.Name)
	}
}

// The flow table must not grow beyond MaxFlows.
func TestFlowTableIsBounded(t *testing.T) {
	c := New(Settings{DataCentre: "a", MaxFlows: 100, FlowLifetime: time.Minute})
	c.ApplyConfig(testConfig(1))
	r := testRecord(1, "counter", "a")
	c.PutTarget(startTime, &r)
	for i := range 1000 {
		openFlow(t, c, startTime.Add(time.Duration(i)*ms), testFlow(i, counterAddress))
	}
	assert.Equal(t, len(c.flows.slots), 100)
	assert.Equal(t, len(c.flows.index), 100)
	assert.Equal(t, c.targets.byName["counter-1"].flows, 100)
}

// Flows of a former incarnation must not count as load of a new incarnation with
// the same name. The state of removed targets must be deleted after FlowLifetime.
func TestRestartUnderSameName(t *testing.T) {
	c := testCore()
	f := testFlow(1, slipsAddress)
	d := openFlow(t, c, startTime, f)
	restarted := testRecord(3, "slips", "a")
	restarted.StartedAt = 7
	c.PutTarget(startTime.Add(time.Second), &restarted)
	assert.Equal(t, c.targets.byName["slips-3"].flows, 0)
	got := c.HandlePacket(startTime.Add(2*time.Second), requestPacket(f, d.Cookie))
	assert.Equal(t, got.Verdict, Forward, "the new incarnation tells the caller that it does not know the flow")
	for i := range 100 {
		r := testRecord(100+i, "slips", "a")
		c.PutTarget(startTime.Add(2*time.Second), &r)
		c.RemoveTarget(startTime.Add(3*time.Second), r.Name)
	}
	c.Tick(startTime.Add(3*time.Second + time.Minute))
	assert.Equal(t, len(c.targets.byName), 3)
}

// New flows must be split between services in proportion to the weights.
func TestSplit(t *testing.T) {
	r := Route{Splits: []Split{{"x", 90}, {"y", 10}}}
	counts := map[ids.Service]int{}
	for i := range 20000 {
		counts[r.service(testFlow(i, counterAddress))]++
	}
	assert.Assert(t, counts["y"] > 1800 && counts["y"] < 2200, "%v", counts)
}

// Of two targets with the same cookie only one may get flows, or packets would
// reach the wrong target. The choice must not depend on the order in which an
// instance receives the records.
func TestCookieCollision(t *testing.T) {
	older, younger := testRecord(1, "counter", "a"), testRecord(2, "counter", "a")
	older.Identity, older.StartedAt = 0x1_0000_0005, 100
	younger.Identity, younger.StartedAt = 0x2_0000_0006, 200
	assert.Equal(t, cookieOf(older.Identity), cookieOf(younger.Identity))
	for _, order := range [][]TargetRecord{{older, younger}, {younger, older}} {
		c := New(Settings{DataCentre: "a", MaxFlows: 1 << 12, FlowLifetime: time.Minute, Seed: 1})
		c.ApplyConfig(testConfig(1))
		c.PutTarget(startTime, &order[0])
		c.PutTarget(startTime, &order[1])
		for i := range 20 {
			assert.Equal(t, c.HandlePacket(startTime, openingPacket(testFlow(i, counterAddress), 0)).Target, older.Name)
		}
		c.RemoveTarget(startTime, older.Name)
		c.Tick(startTime.Add(time.Minute))
		assert.Equal(t, c.HandlePacket(startTime.Add(time.Minute), openingPacket(testFlow(1, counterAddress), 0)).Target, younger.Name)
	}
}

// FlowBytes must not be smaller than the memory that an entry really takes.
func TestFlowBytesCoversEntrySize(t *testing.T) {
	const index = unsafe.Sizeof(FlowKey{}) + 4 // key and slot index in the map
	const load = 7.0 / 16                      // load factor of a map that has just grown
	assert.Assert(t, float64(unsafe.Sizeof(flow{}))+float64(index)/load <= FlowBytes)
}

// A new flow to a service without targets is reset, so that its caller does not wait
// for a timeout. Before the first list of targets and during recordGracePeriod it is
// dropped instead, because live targets may still publish their records.
func TestServiceWithoutTargets(t *testing.T) {
	c := New(Settings{DataCentre: "a", MaxFlows: 16, FlowLifetime: time.Minute})
	c.ApplyConfig(testConfig(1))
	verdict := func(after time.Duration) Verdict {
		return c.HandlePacket(startTime.Add(after), openingPacket(testFlow(1, counterAddress), 0)).Verdict
	}
	assert.Equal(t, verdict(time.Hour), Drop, "targets are not known yet")
	c.ReplaceTargets(startTime.Add(time.Hour), nil)
	assert.Equal(t, verdict(time.Hour+recordGracePeriod-ms), Drop)
	assert.Equal(t, verdict(time.Hour+recordGracePeriod), Reset)
	c.PlatformRecovered(startTime.Add(2 * time.Hour))
	assert.Equal(t, verdict(2*time.Hour+recordGracePeriod-ms), Drop)
	assert.Equal(t, verdict(2*time.Hour+recordGracePeriod), Reset)
}

// Guards against a live target that counts as gone, and whose flows are dropped after the
// lifetime of a flow, since its record expired and came back as draining.
func TestExpiredRecordIsBackAsDraining(t *testing.T) {
	c := testCore()
	r := testRecord(1, "counter", "a")
	c.RemoveTarget(startTime, r.Name)
	target := c.targets.byName[r.Name]
	assert.Equal(t, c.lifecycleName(target), "gone")
	r.Draining = true
	c.PutTarget(startTime.Add(time.Second), &r)
	assert.Equal(t, c.lifecycleName(target), "draining")
	assert.Assert(t, !target.usable())
	c.Tick(startTime.Add(c.settings.FlowLifetime + time.Second))
	assert.Assert(t, c.targets.byCookie[target.cookie] == target, "its open flows are still forwarded")
}
