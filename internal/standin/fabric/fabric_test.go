package fabric

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/standin/platform"
)

// echo sends each datagram back, prefixed with the name of the instance and the
// address of the sender.
func echo(t *testing.T, name string, at netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buf := make([]byte, 2000)
		for {
			n, from, err := c.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = c.WriteToUDPAddrPort(append([]byte(name+" "+from.String()+" "), buf[:n]...), from)
		}
	}()
}

// start runs a fabric with two instances and returns it with a connected caller
// socket.
func start(t *testing.T, port uint16) (*Fabric, *net.UDPConn) {
	t.Helper()
	p, err := platform.New("", 0)
	assert.NilError(t, err)
	for _, in := range []platform.Instance{
		{ID: "a", DataCentre: "dc1", CallerIP: "127.81.0.1"}, {ID: "b", DataCentre: "dc1", CallerIP: "127.81.0.2"},
	} {
		p.Set(in)
		echo(t, in.ID, netip.AddrPortFrom(netip.MustParseAddr(in.CallerIP), port))
	}
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	public := netip.MustParseAddr("127.81.0.10")
	f := New(Options{
		PlatformURL: s.URL, PublicIPs: map[string]netip.Addr{"dc1": public}, Ports: []uint16{port},
		PollInterval: 20 * time.Millisecond, IdleTimeout: time.Minute, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(100 * time.Millisecond)
	c, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.81.0.20")}, &net.UDPAddr{IP: public.AsSlice(), Port: int(port)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return f, c
}

func exchange(c *net.UDPConn) string {
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(120 * time.Millisecond))
	buf := make([]byte, 2000)
	n, err := c.Read(buf)
	if err != nil {
		return ""
	}
	return string(buf[:n])
}

// Guards against an instance seeing a different source endpoint for each datagram
// of a caller, against replies sent from another address than the public one, and
// against all datagrams going to the same instance.
func TestStableEndpointAndSpray(t *testing.T) {
	f, c := start(t, 5791)
	seen := map[string]int{}
	for range 40 {
		seen[exchange(c)]++
	}
	assert.Equal(t, len(seen), 2, "one endpoint at each of two instances: %v", seen)
	assert.Equal(t, f.Counts().Sockets, 1)
	assert.Equal(t, f.Counts().ToCallers, 40)
}

// Guards against faults that have no effect or that affect other instances.
func TestFaults(t *testing.T) {
	f, c := start(t, 5792)
	f.SetFaults(Faults{BlockedInstances: []string{"a"}})
	answers := 0
	for range 20 {
		if r := exchange(c); r != "" {
			assert.Equal(t, r[0], byte('b'))
			answers++
		}
	}
	assert.Assert(t, answers > 0 && answers < 20)
	f.SetFaults(Faults{Loss: 1})
	assert.Equal(t, exchange(c), "")
	f.SetFaults(Faults{DelayMS: map[string]float64{"dc1": 40}})
	began := time.Now()
	assert.Assert(t, exchange(c) != "")
	assert.Assert(t, time.Since(began) >= 80*time.Millisecond, "the delay applies in both directions")
}

// Guards against a partition that lets traffic between data centres through, loses
// bytes when it heals, or stops links within a data centre; against a one-way
// fault that also blocks the other direction; and against a link reset that
// leaves connections between data centres open.
func TestPartitionStopsLinksBetweenDataCentres(t *testing.T) {
	f := New(Options{})
	f.instanceByIP[netip.MustParseAddr("127.81.1.1")] = platform.Instance{ID: "a", DataCentre: "dc1"}
	f.instanceByIP[netip.MustParseAddr("127.81.1.2")] = platform.Instance{ID: "b", DataCentre: "dc2"}
	ln, err := net.Listen("tcp4", "127.81.2.1:5793")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, f.serveLink(ctx, Link{
		Listen: netip.MustParseAddrPort("127.81.2.2:5793"), Target: netip.MustParseAddrPort("127.81.2.1:5793"), DataCentre: "dc2",
	}))
	dial := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp4", "127.81.2.2:5793")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	echoes := func(c net.Conn, wait time.Duration) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(wait))
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}
	remoteConn, localConn := dial("127.81.1.1"), dial("127.81.1.2")
	assert.Assert(t, echoes(remoteConn, time.Second) && echoes(localConn, time.Second))
	f.SetFaults(Faults{PartitionedDataCentres: []string{"dc2"}})
	assert.Assert(t, !echoes(remoteConn, 100*time.Millisecond))
	assert.Assert(t, echoes(localConn, time.Second))
	f.SetFaults(Faults{LinkDelayMS: 30})
	began := time.Now()
	assert.Assert(t, echoes(remoteConn, time.Second), "the byte sent during the split arrives")
	assert.Assert(t, echoes(remoteConn, time.Second))
	assert.Assert(t, time.Since(began) >= 30*time.Millisecond)
	// One direction only: dc2 receives from other data centres, but its own traffic
	// is blocked.
	f.SetFaults(Faults{OutboundBlockedDataCentres: []string{"dc2"}})
	assert.Assert(t, !echoes(remoteConn, 100*time.Millisecond))
	f.SetFaults(Faults{})
	assert.Assert(t, echoes(remoteConn, time.Second), "the byte echoed meanwhile arrives")
	f.SetFaults(Faults{ResetLinks: true})
	_ = remoteConn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = io.Copy(io.Discard, remoteConn) // discards echoes that were still in transit
	assert.NilError(t, err, "the link has not ended")
	assert.Assert(t, echoes(localConn, time.Second), "a link within a data centre was broken")
	assert.Assert(t, echoes(dial("127.81.1.1"), time.Second), "a new link does not work")
}
