package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func freePort(t testing.TB) uint16 {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func send(t testing.TB, to netip.AddrPort, data []byte) {
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	assert.NilError(t, err)
	_, err = c.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}

func next(t testing.TB, in *ring.Ring[*packet]) *packet {
	t.Helper()
	select {
	case p := <-in.Out():
		return p
	case <-time.After(2 * time.Second):
		t.Fatal("no datagram within 2 s")
		return nil
	}
}

// Guards against malformed and truncated datagrams that reach the core or go
// uncounted.
func TestSocketDropsMalformed(t *testing.T) {
	in, metrics := ring.New[*packet](8), telemetry.NewRegistry()
	service := ids.Service("counter")
	at := netip.AddrPortFrom(loopback, freePort(t))
	s, err := openSocket(at, &service, in, newWriter(8), newSocketCounts(metrics, "caller"))
	assert.NilError(t, err)
	defer s.close()
	send(t, at, []byte("not CoAP"))
	send(t, at, append([]byte{0x40, 1, 0, 7, 0xff}, make([]byte, maxDatagram)...))
	send(t, at, []byte{0x40, 1, 0, 7})
	p := next(t, in)
	assert.Equal(t, p.message.ID, uint16(7))
	assert.Equal(t, p.service, service)
	assert.Equal(t, metrics.Counter("caller_malformed_dropped_total").Value(), int64(1))
	assert.Equal(t, metrics.Counter("caller_oversize_dropped_total").Value(), int64(1))
}

// Guards against a socket that no longer receives, or cannot be closed, after it has
// given its buffer back; an empty datagram is one too.
func TestIdleSocketReceives(t *testing.T) {
	in, metrics := ring.New[*packet](8), telemetry.NewRegistry()
	at := netip.AddrPortFrom(loopback, freePort(t))
	s, err := openSocket(at, nil, in, newWriter(8), newSocketCounts(metrics, "caller"))
	assert.NilError(t, err)
	for id := range byte(3) {
		send(t, at, nil)
		send(t, at, []byte{0x40, 1, 0, id})
		assert.Equal(t, next(t, in).message.ID, uint16(id))
		assert.Equal(t, metrics.Counter("caller_malformed_dropped_total").Value(), int64(id)+1)
		time.Sleep(idleAfter + idleAfter/4)
	}
	s.close()
	assert.Equal(t, metrics.Counter("caller_read_errors_total").Value(), int64(0))
}

// Guards against invariant 2: a datagram that is delivered to another service
// after a change, and a conflict of addresses that lets a service take over
// the socket of another one.
func TestListenersFollowConfiguration(t *testing.T) {
	in := ring.New[*packet](8)
	l := newListeners(loopback, in, 8, slog.New(slog.DiscardHandler), telemetry.NewRegistry())
	defer l.close()
	one, two := freePort(t), freePort(t)
	now := time.Now()
	l.apply(now, []config.Service{{Name: "a", Port: one}, {Name: "0", Port: one}})
	assert.Equal(t, len(l.open), 0, "conflict without a holder")
	l.apply(now, []config.Service{{Name: "a", Port: one}, {Name: "b", Port: two, Address: loopback}})
	l.apply(now, []config.Service{{Name: "0", Port: one}, {Name: "a", Port: one}, {Name: "b", Port: two, Address: loopback}})
	assert.Equal(t, len(l.open), 2)
	assert.Assert(t, l.byService["0"] == nil)
	send(t, netip.AddrPortFrom(loopback, one), []byte{0x40, 1, 0, 1})
	assert.Equal(t, next(t, in).service, ids.Service("a"))

	l.apply(now, []config.Service{{Name: "c", Port: one}}) // a and b are removed, c takes the address of a
	send(t, netip.AddrPortFrom(loopback, one), []byte{0x40, 1, 0, 1})
	assert.Equal(t, next(t, in).service, ids.Service("c"))
	assert.Assert(t, l.byService["a"] == nil)
	assert.Assert(t, l.send(&packet{service: "b", peer: netip.AddrPortFrom(loopback, one), data: []byte{0x40, 1, 0, 2}}),
		"responses of the removed service still leave")
	l.expire(now.Add(closeAfter))
	assert.Equal(t, len(l.open), 1)
}

// Guards against an address in use that stays unserved after it is free.
func TestListenersRetryBind(t *testing.T) {
	l := newListeners(loopback, ring.New[*packet](8), 8, slog.New(slog.DiscardHandler), telemetry.NewRegistry())
	defer l.close()
	taken, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(t, err)
	services := []config.Service{{Name: "a", Port: taken.LocalAddr().(*net.UDPAddr).AddrPort().Port()}}
	now := time.Now()
	l.apply(now, services)
	assert.Equal(t, len(l.open), 0)
	assert.NilError(t, taken.Close())
	assert.Assert(t, !l.expire(now) && l.expire(now.Add(2*reopenAfter)))
	l.apply(now, services)
	assert.Equal(t, len(l.open), 1)
}

// Guards against health responses that are misread: only "ok" and "draining"
// in a bounded, valid body with status 200 count as healthy.
func TestHealthCheck(t *testing.T) {
	body, status := "", http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	got := make(chan core.HealthEvent, 1)
	c := newChecker(t.Context(), 1, time.Second, func(e core.HealthEvent) { got <- e })
	for _, x := range []struct {
		body              string
		status            int
		healthy, draining bool
		load              float64
	}{
		{`{"status":"ok","load":0.5}`, 200, true, false, 0.5},
		{`{"status":"ok","load":7}`, 200, true, false, -1},
		{`{"status":"draining"}`, 200, true, true, -1},
		{`{"status":"failing","load":0}`, 200, false, false, 0},
		{`{"status":"fine"}`, 200, false, false, -1},
		{`{"status":"ok"}`, 500, false, false, -1},
		{`no JSON`, 200, false, false, -1},
		{`{"status":"ok","x":"` + strings.Repeat("x", maxHealthBody) + `"}`, 200, false, false, -1},
	} {
		body, status = x.body, x.status
		assert.Assert(t, c.check("s", "t", server.URL))
		e := <-got
		assert.Assert(t, e.Duration > 0 && e.Service == "s" && e.Target == "t")
		assert.DeepEqual(t, e, core.HealthEvent{Service: "s", Target: "t", Healthy: x.healthy, Draining: x.draining, Load: x.load, Duration: e.Duration})
	}
	assert.Assert(t, c.check("s", "t", "http://127.0.0.1:1/"))
	assert.Assert(t, !(<-got).Healthy)
}

// Guards against a lagging list or an old record that replaces the address an
// instance states about itself.
func TestAddresses(t *testing.T) {
	a := newAddresses([]settings.Seed{{ID: "x", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	stated := func(at string, run ids.Incarnation) {
		a.learn(&peerwire.Message{Heartbeat: &peerwire.Heartbeat{Updates: []peerwire.Member{{ID: "x", PeerAddr: at, Incarnation: run}}}})
	}
	expect := func(want string) {
		t.Helper()
		got, ok := a.lookup("x")
		assert.Assert(t, ok && got == want, got)
	}
	expect("127.0.0.1:1")
	a.list(&core.InstancesEvent{Instances: []core.ListedInstance{{ID: "x", PeerAddr: "127.0.0.1:2"}}})
	expect("127.0.0.1:2")
	stated("127.0.0.1:3", 100)
	stated("127.0.0.1:4", 99)
	stated("nowhere", 101)
	a.list(&core.InstancesEvent{Instances: []core.ListedInstance{{ID: "x", PeerAddr: "127.0.0.1:2"}}})
	expect("127.0.0.1:3")
	_, ok := a.lookup("y")
	assert.Assert(t, !ok)
}
