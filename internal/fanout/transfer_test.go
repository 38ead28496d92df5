package fanout

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// slowConn is a connection over a link of 128 KiB/s, twice the lowest accepted rate.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (n int, err error) {
	for piece := range slices.Chunk(b, 16<<10) {
		time.Sleep(time.Duration(len(piece)) * time.Second / (128 << 10))
		m, err := c.Conn.Write(piece)
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

// countingListener counts the bytes that are written to its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against a version with many new routes that fills the link of an instance while
// it is sent to its followers: the packets of callers wait, and targets are suspected of
// not answering. With 1,400 new routes on a link of 10 Mbit/s to treeDegree followers, the
// link must be free again before a caller repeats its packet, after 200 ms.
func TestLargeVersionLeavesLinkFree(t *testing.T) {
	const (
		linkBytes       = 10_000_000 / 8 // per second
		retransmitAfter = 200 * time.Millisecond
		limit           = int64(linkBytes * retransmitAfter / time.Second / treeDegree)
	)
	config := func(version uint64, routes int) *passthrough.Config {
		c := &passthrough.Config{Version: version, Health: map[ids.Service]string{"counter": "/health"}}
		for i := range routes {
			c.Routes = append(c.Routes, passthrough.Route{Name: fmt.Sprintf("route-%x", ids.Mix(uint64(i), 1)), Idempotent: i%3 > 0, Timeout: time.Duration(i%9) * time.Second,
				Address: passthrough.Endpoint{IP: [4]byte{198, 18, byte(i / 7 >> 8), byte(i / 7)}, Port: uint16(1024 + ids.Mix(uint64(i), 2)%5000)},
				Splits:  []passthrough.Split{{Service: "counter", Weight: 1}}})
		}
		return c
	}
	n := newNode(t, "n", &platformStub{})
	n.state.Apply(&follow.Update{Complete: true, Revision: 7, Config: config(1, 45)})
	server := httptest.NewUnstartedServer(n.server.Config.Handler)
	var bytes atomic.Int64
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	t.Cleanup(server.Close)
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: func() uint64 { return 1 }}
	defer c.close()
	_, err := c.read(context.Background(), follow.Position{Revision: 7})
	assert.NilError(t, err)
	before := bytes.Load()
	n.state.Apply(&follow.Update{Revision: 8, Config: config(2, 1445)})
	for {
		u, err := c.read(context.Background(), follow.Position{Revision: 7})
		assert.NilError(t, err)
		if u.ConfigDelta != nil {
			assert.Equal(t, len(u.ConfigDelta.Routes), 1400)
			break
		}
	}
	sent := bytes.Load() - before
	t.Logf("%d bytes", sent)
	assert.Assert(t, sent <= limit, "%d bytes for each follower, at most %d are allowed", sent, limit)
}

// Guards against the transfer of a large state that is aborted because it takes longer
// than livenessTimeout over a slow link.
func TestLargeStateOverSlowLink(t *testing.T) {
	n := newNode(t, "n", &platformStub{})
	u := follow.Update{Complete: true, Revision: 7}
	const targets, routes = 3 * maxMessageTargets, 20_000 // the configuration is one message
	for i := range targets {
		u.Targets = append(u.Targets, target(fmt.Sprintf("some-target-with-a-long-name-%d", i), 5, false))
	}
	u.Config = &passthrough.Config{Version: 1}
	for i := range routes {
		u.Config.Routes = append(u.Config.Routes, passthrough.Route{Name: fmt.Sprintf("some-route-with-a-long-name-%d", i),
			Address: passthrough.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443}, Splits: []passthrough.Split{{Service: "service", Weight: 1}}})
	}
	n.state.Apply(&u)
	server := httptest.NewUnstartedServer(n.server.Config.Handler)
	server.Listener = slowListener{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	start := time.Now()
	got, err := c.read(context.Background(), follow.Position{})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Targets), targets)
	assert.Equal(t, len(got.Config.Routes), routes)
	assert.Assert(t, time.Since(start) > livenessTimeout, "the state is too small for this test: %s", time.Since(start))
}

// Guards against a state that passes for fresh although its transfer took long: the age
// that it names is that of its first message.
func TestAgeIncludesTransfer(t *testing.T) {
	const age, pause = 10 * time.Millisecond, 200 * time.Millisecond // begins before the client has read
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_ = sendMessage(r.Context(), ws, &follow.Update{More: true, Targets: []*follow.Target{target("a", 5, false)}}, false)
		time.Sleep(pause)
		_ = sendMessage(r.Context(), ws, &follow.Update{Complete: true, Revision: 5, Age: age}, false)
		_ = ws.Close(websocket.StatusNormalClosure, "")
	}))
	defer server.Close()
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	u, err := c.read(context.Background(), follow.Position{})
	assert.NilError(t, err)
	assert.Assert(t, u.Age >= age+pause/2, "age %s after a transfer of %s", u.Age, pause)
}

// Guards against an update of several messages that breaks off and is taken as complete:
// the targets that are missing would count as removed.
func TestUpdateThatBreaksOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		part := follow.Update{More: true, Targets: []*follow.Target{target("a", 5, false)}}
		_ = sendMessage(r.Context(), ws, &part, false)
		_ = ws.Close(websocket.StatusNormalClosure, "")
	}))
	defer server.Close()
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	u, err := c.read(context.Background(), follow.Position{})
	assert.Assert(t, err != nil && len(u.Targets) == 0, "%+v", u)
}
