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

func sendDatagram(t testing.TB, to netip.AddrPort, data []byte) {
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	assert.NilError(t, err)
	_, err = c.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}

func nextPacket(t testing.TB, queue *ring.Ring[*packet]) *packet {
	t.Helper()
	select {
	case p := <-queue.Out():
		return p
	case <-time.After(2 * time.Second):
		t.Fatal("no datagram within 2 s")
		return nil
	}
}

// Guards against malformed or truncated datagrams that reach the core or are
// not counted.
func TestSocketDropsMalformed(t *testing.T) {
	receiveQueue, metrics := ring.New[*packet](8), telemetry.NewRegistry()
	service := ids.Service("counter")
	address := netip.AddrPortFrom(loopback, freePort(t))
	s, err := openSocket(address, &service, receiveQueue, newWriter(8), newSocketCounts(metrics, "caller"))
	assert.NilError(t, err)
	defer s.close()
	sendDatagram(t, address, []byte("not CoAP"))
	sendDatagram(t, address, append([]byte{0x40, 1, 0, 7, 0xff}, make([]byte, maxDatagram)...))
	sendDatagram(t, address, []byte{0x40, 1, 0, 7})
	p := nextPacket(t, receiveQueue)
	assert.Equal(t, p.message.ID, uint16(7))
	assert.Equal(t, p.service, service)
	assert.Equal(t, metrics.Counter("caller_malformed_dropped_total").Value(), int64(1))
	assert.Equal(t, metrics.Counter("caller_oversize_dropped_total").Value(), int64(1))
}

// Guards against a socket that receives nothing more, or cannot be closed, after
// it has released its buffer when idle. Empty datagrams must be received as well.
func TestIdleSocketReceives(t *testing.T) {
	receiveQueue, metrics := ring.New[*packet](8), telemetry.NewRegistry()
	address := netip.AddrPortFrom(loopback, freePort(t))
	s, err := openSocket(address, nil, receiveQueue, newWriter(8), newSocketCounts(metrics, "caller"))
	assert.NilError(t, err)
	for id := range byte(3) {
		sendDatagram(t, address, nil)
		sendDatagram(t, address, []byte{0x40, 1, 0, id})
		assert.Equal(t, nextPacket(t, receiveQueue).message.ID, uint16(id))
		assert.Equal(t, metrics.Counter("caller_malformed_dropped_total").Value(), int64(id)+1)
		time.Sleep(idleTimeout + idleTimeout/4)
	}
	s.close()
	assert.Equal(t, metrics.Counter("caller_read_errors_total").Value(), int64(0))
}

// Guards against a violation of invariant 2: a datagram that is delivered to a
// different service after a configuration change, or a service that takes over
// the socket of another service when both are configured with the same address.
func TestListenersApplyConfiguration(t *testing.T) {
	receiveQueue := ring.New[*packet](8)
	l := newServiceListeners(loopback, receiveQueue, 8, slog.New(slog.DiscardHandler), telemetry.NewRegistry())
	defer l.close()
	port1, port2 := freePort(t), freePort(t)
	now := time.Now()
	l.apply(now, []config.Service{{Name: "a", Port: port1}, {Name: "0", Port: port1}})
	assert.Equal(t, len(l.byAddress), 0, "conflict without a holder")
	l.apply(now, []config.Service{{Name: "a", Port: port1}, {Name: "b", Port: port2, Address: loopback}})
	l.apply(now, []config.Service{{Name: "0", Port: port1}, {Name: "a", Port: port1}, {Name: "b", Port: port2, Address: loopback}})
	assert.Equal(t, len(l.byAddress), 2)
	assert.Assert(t, l.byService["0"] == nil)
	sendDatagram(t, netip.AddrPortFrom(loopback, port1), []byte{0x40, 1, 0, 1})
	assert.Equal(t, nextPacket(t, receiveQueue).service, ids.Service("a"))

	l.apply(now, []config.Service{{Name: "c", Port: port1}}) // a and b are removed, c gets the address of a
	sendDatagram(t, netip.AddrPortFrom(loopback, port1), []byte{0x40, 1, 0, 1})
	assert.Equal(t, nextPacket(t, receiveQueue).service, ids.Service("c"))
	assert.Assert(t, l.byService["a"] == nil)
	assert.Assert(t, l.send(&packet{service: "b", peer: netip.AddrPortFrom(loopback, port1), data: []byte{0x40, 1, 0, 2}}),
		"responses of the removed service still leave")
	l.closeUnused(now.Add(removedSocketLinger))
	assert.Equal(t, len(l.byAddress), 1)
}

// Guards against a service that stays without a socket after its address, which
// another process used, has become free.
func TestListenersRetryBind(t *testing.T) {
	l := newServiceListeners(loopback, ring.New[*packet](8), 8, slog.New(slog.DiscardHandler), telemetry.NewRegistry())
	defer l.close()
	occupied, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(t, err)
	services := []config.Service{{Name: "a", Port: occupied.LocalAddr().(*net.UDPAddr).AddrPort().Port()}}
	now := time.Now()
	l.apply(now, services)
	assert.Equal(t, len(l.byAddress), 0)
	assert.NilError(t, occupied.Close())
	assert.Assert(t, !l.closeUnused(now) && l.closeUnused(now.Add(2*rebindInterval)))
	l.apply(now, services)
	assert.Equal(t, len(l.byAddress), 1)
}

// Guards against health responses that are interpreted wrongly: only a response
// with status 200, a valid body within the size limit and the state "ok" or
// "draining" counts as healthy.
func TestHealthCheck(t *testing.T) {
	body, status := "", http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	got := make(chan core.HealthEvent, 1)
	c := newHealthChecker(t.Context(), 1, time.Second, func(e core.HealthEvent) { got <- e })
	for _, test := range []struct {
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
		{`{"status":"ok","x":"` + strings.Repeat("x", maxHealthBodyBytes) + `"}`, 200, false, false, -1},
	} {
		body, status = test.body, test.status
		assert.Assert(t, c.check("s", "t", server.URL))
		e := <-got
		assert.Assert(t, e.Duration > 0 && e.Service == "s" && e.Target == "t")
		assert.DeepEqual(t, e, core.HealthEvent{Service: "s", Target: "t", Healthy: test.healthy, Draining: test.draining, Load: test.load, Duration: e.Duration})
	}
	assert.Assert(t, c.check("s", "t", "http://127.0.0.1:1/"))
	assert.Assert(t, !(<-got).Healthy)
}

// Guards against an outdated instance list, or a record of an older incarnation,
// that replaces the address that an instance has announced itself.
func TestAddressPrecedence(t *testing.T) {
	a := newAddressBook([]settings.Seed{{ID: "x", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	announceAddress := func(address string, incarnation ids.Incarnation) {
		a.updateFromMessage(&peerwire.Message{Heartbeat: &peerwire.Heartbeat{Updates: []peerwire.Member{{ID: "x", PeerAddr: address, Incarnation: incarnation}}}})
	}
	expectAddress := func(want string) {
		t.Helper()
		got, ok := a.lookup("x")
		assert.Assert(t, ok && got == want, got)
	}
	expectAddress("127.0.0.1:1")
	a.updateFromList(&core.InstancesEvent{Instances: []core.ListedInstance{{ID: "x", PeerAddr: "127.0.0.1:2"}}})
	expectAddress("127.0.0.1:2")
	announceAddress("127.0.0.1:3", 100)
	announceAddress("127.0.0.1:4", 99)
	announceAddress("nowhere", 101)
	a.updateFromList(&core.InstancesEvent{Instances: []core.ListedInstance{{ID: "x", PeerAddr: "127.0.0.1:2"}}})
	expectAddress("127.0.0.1:3")
	_, ok := a.lookup("y")
	assert.Assert(t, !ok)
}
