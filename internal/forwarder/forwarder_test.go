package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/syncbuf"
	"arbutusdock.example/arbutusdock/platform/platformtest"
)

var (
	counterAddress = netip.MustParseAddrPort("198.18.0.1:443")
	slipsAddress   = netip.MustParseAddrPort("198.18.0.2:443")
)

// instance is a running forwarder.
type instance struct {
	*Forwarder
	log    *syncbuf.Buffer
	spans  *syncbuf.Buffer
	exited chan error
}

// fleet is a small deployment on the loopback interface: a store, instances, targets and
// a caller.
type fleet struct {
	t         *testing.T
	store     *platformtest.Store
	port      uint16 // UDP port of the callers and the instances
	instances []*instance
	targets   []*platformtest.Target
	caller    *platformtest.Caller
	receiver  atomic.Pointer[instance] // instance to which the fabric sends packets
}

func freePort(t *testing.T) uint16 {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// newFleet starts a store with two routes, two targets of each service, n instances and
// a caller.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore(), port: freePort(t)}
	t.Cleanup(f.store.Close)
	f.putConfig(1)
	for i, service := range []string{"counter", "counter", "slips", "slips"} {
		target, err := platformtest.NewTarget(uint32(0x100+i), service, "a", f.port)
		assert.NilError(t, err)
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		f.store.PutTarget(target, "ready")
	}
	for range n {
		f.start()
	}
	var err error
	f.caller, err = platformtest.NewCaller(netip.AddrPortFrom(netip.MustParseAddr("127.0.1.1"), f.port),
		func(_, _ netip.AddrPort) netip.AddrPort { return f.receiver.Load().settings.Listen })
	assert.NilError(t, err)
	t.Cleanup(f.caller.Close)
	return f
}

func (f *fleet) putConfig(version int) {
	f.store.PutConfig(version,
		platformtest.Route{IP: counterAddress.Addr().String(), Port: int(counterAddress.Port()), Service: "counter", Kind: "unsafe"},
		platformtest.Route{IP: slipsAddress.Addr().String(), Port: int(slipsAddress.Port()), Service: "slips", Kind: "download"})
}

// start starts a further instance and waits until it is ready.
func (f *fleet) start() *instance {
	n := len(f.instances)
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(10 + n)})
	tcpPort := freePort(f.t)
	s := &settings.Passthrough{
		Instance: ids.Instance(fmt.Sprint("a-", n)), DataCentre: "a", Platform: netip.MustParseAddrPort(f.store.Address()),
		Listen: netip.AddrPortFrom(ip, f.port), Ready: netip.AddrPortFrom(ip, tcpPort), Control: netip.AddrPortFrom(ip, tcpPort+1),
		Metrics:     netip.AddrPortFrom(ip, tcpPort+2),
		ApplyWithin: 3 * time.Second, GracePeriod: 6 * time.Second, FlowLifetime: time.Minute, Log: settings.Log{Level: slog.LevelDebug}, Trace: settings.Trace{Exporter: "stderr", SampleRatio: 1},
	}
	s.Advertise = s.Control
	if n > 0 {
		s.Seeds = f.instances[0].settings.Control.String()
	} else {
		s.Seeds = s.Control.String()
	}
	i := &instance{log: &syncbuf.Buffer{}, spans: &syncbuf.Buffer{}, exited: make(chan error, 1)}
	var err error
	i.Forwarder, err = New(settings.Settings{Passthrough: s}, i.log, i.spans)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { i.exited <- i.Run(ctx) }()
	f.t.Cleanup(cancel)
	f.instances = append(f.instances, i)
	f.receiver.CompareAndSwap(nil, i)
	f.eventually(func() bool { return i.readyStatus() == http.StatusOK }, "instance is ready")
	return i
}

// readyStatus returns the status of the readiness probe, 0 if it fails.
func (i *instance) readyStatus() int {
	response, err := http.Get("http://" + i.settings.Ready.String() + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fleet) eventually(condition func() bool, what string) {
	f.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("condition not met within 5 s: %s", what)
}

// request sends one request on a new flow.
func (f *fleet) request(to netip.AddrPort, text string) (string, error) {
	flow, err := f.caller.Open(to)
	if err != nil {
		return "", err
	}
	defer flow.Close()
	answer, err := flow.Request([]byte(text), 5*time.Second)
	return string(answer), err
}

// checkTargets fails the test if a packet was misdelivered or a request ran twice.
func (f *fleet) checkTargets() {
	f.t.Helper()
	for _, target := range f.targets {
		_, _, repeated, misdelivered := target.Counts()
		assert.Equal(f.t, repeated, 0, "%s ran a request twice", target.ID)
		assert.Equal(f.t, misdelivered, 0, "%s got packets that were not for it", target.ID)
	}
	assert.Equal(f.t, f.caller.Misdelivered(), 0)
}

// Guards against requests that fail end to end, responses from another service, and a
// flow that breaks when its packets reach another instance.
func TestRequestsEndToEnd(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 20 {
		answer, err := f.request(counterAddress, fmt.Sprint("claim-", i))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(answer, "counter ") && strings.HasSuffix(answer, fmt.Sprint(" claim-", i)), answer)
		answer, err = f.request(slipsAddress, fmt.Sprint("slip-", i))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(answer, "slips "), answer)
	}
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	first, err := flow.Request([]byte("a"), time.Second)
	assert.NilError(t, err)
	f.receiver.Store(f.instances[1])
	second, err := flow.Request([]byte("b"), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(first[:len(first)-1]), string(second[:len(second)-1]), "the target is the same")
	_, err = f.request(netip.MustParseAddrPort("198.18.0.9:443"), "x")
	assert.ErrorIs(t, err, platformtest.ErrReset, "there is no such route")
	f.checkTargets()
}

// Guards against a flow on a removed route that goes on at an instance that did not open it:
// the one that reads the platform, and one that follows it, must reset it within the bound
// of its first packet there.
func TestMovedFlowOnRemovedRoute(t *testing.T) {
	f := newFleet(t, 2)
	var flows []*platformtest.Flow
	for n, i := range f.instances {
		f.receiver.Store(i)
		flow, err := f.caller.Open(slipsAddress)
		assert.NilError(t, err)
		_, err = flow.Request(fmt.Appendf(nil, "flow %d", n), time.Second)
		assert.NilError(t, err)
		flows = append(flows, flow)
	}
	f.store.PutConfig(2, platformtest.Route{IP: counterAddress.Addr().String(), Port: int(counterAddress.Port()), Service: "counter", Kind: "unsafe"})
	for _, i := range f.instances {
		f.eventually(func() bool { return i.state.Version() == 2 }, "the version without the route is in force")
	}
	for n, flow := range flows {
		f.receiver.Store(f.instances[1-n])
		var err error
		first := time.Now()
		for k := 0; err == nil && time.Since(first) < f.instances[0].settings.ApplyWithin; k++ {
			_, err = flow.Request(fmt.Appendf(nil, "flow %d, request %d", n, k), time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		assert.ErrorIs(t, err, platformtest.ErrReset, "at %s", f.instances[1-n].settings.Instance)
		assert.Assert(t, !flow.ResetByTarget())
		t.Logf("reset at %s %s after the first packet", f.instances[1-n].settings.Instance, time.Since(first).Round(time.Millisecond))
	}
	f.checkTargets()
}

// Guards against a request that is interrupted by a planned stop, and against an
// instance that exits before the fabric has taken it out of rotation.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t, 2)
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	stopping := f.instances[0]
	stopping.Stop()
	stopping.Stop() // a second signal must not end the process
	f.eventually(func() bool { return stopping.readyStatus() == http.StatusServiceUnavailable }, "the instance leaves the rotation")
	start := time.Now()
	for i := 0; time.Since(start) < 1200*time.Millisecond; i++ {
		_, err := flow.Request([]byte(fmt.Sprint("x", i)), time.Second)
		assert.NilError(t, err)
		_, err = f.request(slipsAddress, fmt.Sprint("y", i))
		assert.NilError(t, err)
	}
	f.receiver.Store(f.instances[1]) // the fabric has removed the stopping instance
	assert.NilError(t, <-stopping.exited)
	_, err = flow.Request([]byte("last"), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(stopping.log.String(), "msg=stopped"))
	for _, hop := range []string{"placed", "opened", "served"} {
		assert.Assert(t, strings.Contains(stopping.spans.String(), `"Name":"`+hop+`"`), "no span %s", hop)
	}
	f.checkTargets()
}

// Guards against new flows to a draining target, and against an existing flow that
// breaks when its target drains.
func TestDrain(t *testing.T) {
	f := newFleet(t, 1)
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	answer, err := flow.Request([]byte("a"), time.Second)
	assert.NilError(t, err)
	draining := f.targets[0]
	if strings.Contains(string(answer), f.targets[1].ID) {
		draining = f.targets[1]
	}
	f.store.PutTarget(draining, "draining")
	f.eventually(func() bool { return strings.Contains(f.instances[0].log.String(), "state=draining") }, "the drain is known")
	before, _, _, _ := draining.Counts()
	for i := range 20 {
		_, err := f.request(counterAddress, fmt.Sprint("n", i))
		assert.NilError(t, err)
	}
	after, _, _, _ := draining.Counts()
	assert.Equal(t, after, before)
	_, err = flow.Request([]byte("b"), time.Second)
	assert.NilError(t, err)
	f.checkTargets()
}

// Guards against an instance that cannot start while the platform refuses requests,
// although other instances have the state.
func TestStartWhilePlatformRefuses(t *testing.T) {
	f := newFleet(t, 2)
	f.store.Refuse(http.StatusServiceUnavailable)
	joining := f.start()
	f.receiver.Store(joining)
	_, err := f.request(counterAddress, "x")
	assert.NilError(t, err)
	changed := regexp.MustCompile(`msg=source-changed instance=a-2 from="" to=(a-|"seed )`)
	assert.Assert(t, changed.MatchString(joining.log.String()), "its first source is an instance: %s", joining.log)
}

// Guards against a restore of the platform from an older copy that brings back a dropped
// route or a target that has left, that loses a new target and its flows, or after which
// what is written with revisions given out again is not noticed; on instances that run,
// and on one that starts right after the restore.
func TestRestoredPlatform(t *testing.T) {
	f := newFleet(t, 2)
	f.store.Copy()
	f.store.PutConfig(7, platformtest.Route{IP: counterAddress.Addr().String(), Port: int(counterAddress.Port()), Service: "counter", Kind: "unsafe"})
	fresh, err := platformtest.NewTarget(0x180, "counter", "a", f.port)
	assert.NilError(t, err)
	t.Cleanup(fresh.Close)
	f.targets = append(f.targets, fresh)
	f.store.PutTarget(f.targets[0], "draining")
	f.store.PutTarget(f.targets[1], "draining")
	f.store.DeleteTarget(f.targets[1])
	f.store.PutTarget(fresh, "ready")
	f.settled(7, 0x180)
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	answer, err := flow.Request([]byte("before"), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), fresh.ID), "the only target: %s", answer)

	f.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(200 * time.Millisecond)
	f.store.Restore()
	restored := time.Now()
	f.store.Refuse(0)
	f.start()
	f.settled(7, 0x180) // on a busy machine, the new instance serves for a moment without the others' answer
	for n, i := range f.instances {
		f.receiver.Store(i)
		f.eventually(func() bool { return i.state.Position().Era == 2 }, "the restore is noticed")
		_, err := f.request(slipsAddress, "x")
		assert.ErrorIs(t, err, platformtest.ErrReset, "instance %d serves the route that was dropped", n)
		answer, err := f.request(counterAddress, fmt.Sprint("after-", n))
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(answer, fresh.ID), "instance %d: %s", n, answer)
		_, err = flow.Request([]byte(fmt.Sprint("flow-", n)), time.Second)
		assert.NilError(t, err)
	}
	assert.Assert(t, strings.Contains(f.instances[0].log.String()+f.instances[1].log.String(), "msg=platform-restored"))

	f.putConfig(8)
	f.store.PutTarget(fresh, "ready")
	f.store.PutTarget(f.targets[0], "draining")
	f.settled(8, 0x180)
	lapse := time.AfterFunc(time.Until(restored.Add(2300*time.Millisecond)), func() { f.store.DeleteTarget(f.targets[1]) })
	defer lapse.Stop()
	// Until what was known before the restore is not used any more.
	for k := 0; time.Since(restored) < 4*time.Second; k++ {
		for n, i := range f.instances {
			f.receiver.Store(i)
			answer, err := f.request(counterAddress, fmt.Sprint("end-", n, "-", k))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(answer, fresh.ID), "instance %d, %s after the restore: %s", n, time.Since(restored), answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for n, i := range f.instances {
		assert.Equal(t, i.state.Held(), 0, "instance %d", n)
	}
	f.checkTargets()
}

// settled waits until every instance has a version of the configuration and the target
// with the given number.
func (f *fleet) settled(version uint64, target uint32) {
	f.t.Helper()
	name := fmt.Sprintf("i-%08x", target)
	for _, i := range f.instances {
		f.eventually(func() bool {
			var s State
			return i.snapshot(context.Background(), &s) && s.Version == version && slices.ContainsFunc(s.Targets, func(t passthrough.TargetState) bool { return t.Name == name })
		}, "the state is up to date")
	}
}

// Guards against a configuration that does not take effect after the platform has lost
// its history of changes, and against existing flows that break then.
func TestConfigAfterLostHistory(t *testing.T) {
	f := newFleet(t, 2)
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	f.store.Refuse(http.StatusServiceUnavailable)
	f.store.PutConfig(7, platformtest.Route{IP: counterAddress.Addr().String(), Port: int(counterAddress.Port()), Service: "counter", Kind: "unsafe"})
	f.store.DropHistory()
	time.Sleep(300 * time.Millisecond)
	f.store.Refuse(0)
	for _, i := range f.instances {
		f.eventually(func() bool {
			return strings.Contains(i.log.String(), "msg=config-applied instance="+string(i.settings.Instance)+" version=7")
		}, "version 7 is in force")
	}
	_, err = f.request(slipsAddress, "x")
	assert.ErrorIs(t, err, platformtest.ErrReset)
	_, err = flow.Request([]byte("a"), time.Second)
	assert.NilError(t, err)
	f.checkTargets()
}

// Guards against callers that must retransmit an opening packet more than once when a
// target becomes unresponsive.
func TestSilentTarget(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].SetSilent(true)
	slow := 0
	for i := range 30 {
		start := time.Now()
		_, err := f.request(counterAddress, fmt.Sprint("x", i))
		assert.NilError(t, err)
		if time.Since(start) > 150*time.Millisecond {
			slow++
		}
	}
	assert.Assert(t, slow <= 2, "%d of 30 requests waited", slow)
	f.checkTargets()
}

// Guards against a flow that is reset because its target, whose slots are all in use, has
// not answered a health check in time.
func TestFlowOfBusyTargetIsNotReset(t *testing.T) {
	f := newFleet(t, 1)
	flow, err := f.caller.Open(counterAddress)
	assert.NilError(t, err)
	for _, target := range f.targets[:2] {
		target.SetBusy(2 * time.Second)
	}
	done := make(chan struct{})
	go func() { // other targets answer meanwhile
		defer close(done)
		for i := range 100 {
			if _, err := f.request(slipsAddress, fmt.Sprint("slip-", i)); err != nil {
				t.Errorf("slip %d: %v", i, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	_, err = flow.Request([]byte("claim"), 4*time.Second)
	<-done
	assert.NilError(t, err)
	f.eventually(func() bool { return strings.Contains(f.instances[0].log.String(), "reason=accepted") }, "the check and its result are logged")
	f.checkTargets()
}

// Guards against an admin interface that is unavailable while packets are forwarded, or
// whose metrics, state or explanations are wrong.
func TestAdminInterface(t *testing.T) {
	f := newFleet(t, 1)
	_, err := f.request(counterAddress, "x")
	assert.NilError(t, err)
	get := func(path string) string {
		response, err := http.Get("http://" + f.instances[0].settings.Metrics.String() + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(body)
	}
	for _, want := range []string{`arbutusdock_packets_total{reason="placed"} 1`, "arbutusdock_opening_seconds_count 1",
		"arbutusdock_request_seconds_count 1", "arbutusdock_ready 1", "arbutusdock_config_version 1",
		`arbutusdock_targets{state="starting"} `, "arbutusdock_flows 0", `arbutusdock_news_total{result="ok",source="platform"}`} {
		// The caller receives the response before the instance has read the packets
		// that acknowledge it and end the flow.
		f.eventually(func() bool { return strings.Contains(get("/metrics"), want) }, want+" on the page of the metrics")
	}
	var s State
	assert.NilError(t, json.Unmarshal([]byte(get("/v1/state")), &s))
	assert.Equal(t, s.Version, uint64(1))
	assert.Equal(t, len(s.Targets), 4)
	var explanation passthrough.Explanation
	assert.NilError(t, json.Unmarshal([]byte(get("/v1/explain?caller=127.0.1.1:5000&to=198.18.0.1:443")), &explanation))
	assert.Equal(t, explanation.Verdict+" "+explanation.Reason+" "+string(explanation.Service), "forward placed counter")
	assert.Equal(t, len(explanation.Candidates), 2)
	assert.Assert(t, strings.Contains(get("/v1/explain?caller=x&to=y"), "must be an IPv4 address and port"))
}

// Guards against an unbounded number of log lines under load, and against a wrong count
// of suppressed lines.
func TestLogLimit(t *testing.T) {
	l := lineLimiter{rate: 3}
	written := 0
	for range 10 {
		if ok, suppressed := l.admit(1e9); ok {
			written++
			assert.Equal(t, suppressed, 0)
		}
	}
	assert.Equal(t, written, 3)
	ok, suppressed := l.admit(2e9 + 1)
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, 7)
}
