package link

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/keys"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

// testFleet holds a CA and the addresses of several managers on loopback.
type testFleet struct {
	t   testing.TB
	dir string
	ca  *keys.CA

	mu        sync.Mutex
	addresses map[ids.Instance]string
}

func newTestFleet(t testing.TB) *testFleet {
	dir := t.TempDir()
	ca, err := keys.CreateCA(dir, "fleet", time.Hour)
	assert.NilError(t, err)
	return &testFleet{t: t, dir: dir, ca: ca, addresses: map[ids.Instance]string{}}
}

func (f *testFleet) credentials(id ids.Instance) Credentials {
	assert.NilError(f.t, f.ca.Issue(f.dir, id, time.Hour))
	c, err := LoadCredentials(id, filepath.Join(f.dir, "ca.crt"), filepath.Join(f.dir, string(id)+".crt"), filepath.Join(f.dir, string(id)+".key"))
	assert.NilError(f.t, err)
	return c
}

func (f *testFleet) address(id ids.Instance) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.addresses[id]
	return a, ok
}

func (f *testFleet) setAddress(id ids.Instance, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[id] = address
}

func (f *testFleet) startManager(id ids.Instance, configure func(*Config)) (*Manager, chan *peerwire.Message) {
	received := make(chan *peerwire.Message, 1<<16)
	config := Config{Self: id, Credentials: f.credentials(id), ControlBytesPerSecond: 1 << 20, QueueCapacity: 4096, DataIdleTimeout: time.Minute,
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewRegistry(), LookupAddress: f.address,
		Receive: func(m *peerwire.Message) { received <- m }}
	if configure != nil {
		configure(&config)
	}
	m := New(config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.setAddress(id, l.Addr().String())
	go func() { _ = m.Serve(l) }()
	f.t.Cleanup(m.Close)
	return m, received
}

func relayMessage(from ids.Instance, payload byte) *peerwire.Message {
	return &peerwire.Message{From: from, Relay: &peerwire.Relay{Service: "s", Caller: "127.0.0.1:1", Datagram: []byte{payload}, Hops: 1}}
}

func heartbeatMessage(from ids.Instance, seq uint64) *peerwire.Message {
	return &peerwire.Message{From: from, Heartbeat: &peerwire.Heartbeat{Seq: seq}}
}

func receive(t testing.TB, messages chan *peerwire.Message) *peerwire.Message {
	t.Helper()
	select {
	case m := <-messages:
		return m
	case <-time.After(5 * time.Second):
		t.Fatal("no message within 5 s")
		return nil
	}
}

// Guards against messages that are lost, reordered or sent on the wrong lane,
// and against a second connection when the peer sends in the other direction.
func TestBothLanesBothWays(t *testing.T) {
	f := newTestFleet(t)
	a, gotA := f.startManager("a", nil)
	b, gotB := f.startManager("b", nil)
	for i := range byte(100) {
		assert.Assert(t, a.Send("b", relayMessage("a", i)))
	}
	for i := range byte(100) {
		assert.DeepEqual(t, receive(t, gotB).Relay.Datagram, []byte{i})
	}
	assert.Assert(t, b.Send("a", relayMessage("b", 1)) && b.Send("a", heartbeatMessage("b", 1)))
	receive(t, gotA)
	receive(t, gotA)
	assert.Equal(t, a.ConnectionCount(), 2)
	assert.Equal(t, a.counts.dials.Value()+b.counts.dials.Value(), int64(2))
}

// Guards against lost messages, and against two connections that both stay open,
// when both sides dial at the same time.
func TestSimultaneousDials(t *testing.T) {
	f := newTestFleet(t)
	a, gotA := f.startManager("a", nil)
	b, gotB := f.startManager("b", nil)
	var wg sync.WaitGroup
	wg.Go(func() { a.Send("b", relayMessage("a", 1)) })
	wg.Go(func() { b.Send("a", relayMessage("b", 1)) })
	wg.Wait()
	receive(t, gotA)
	receive(t, gotB)
	time.Sleep(simultaneousDialWindow + 500*time.Millisecond) // the redundant connection is closed
	a.Send("b", relayMessage("a", 2))
	b.Send("a", relayMessage("b", 2))
	receive(t, gotA)
	receive(t, gotB)
	assert.Equal(t, a.ConnectionCount()+b.ConnectionCount(), 2)
	assert.Assert(t, a.counts.dials.Value() <= 1 && b.counts.dials.Value() <= 1)
}

// Guards against accepting a listener or a peer whose certificate was issued to
// another instance or by the CA of another fleet.
func TestWrongCertificate(t *testing.T) {
	f := newTestFleet(t)
	_, got := f.startManager("b", nil)
	address, _ := f.address("b")
	f.setAddress("c", address) // the listener at this address is b
	a, _ := f.startManager("a", nil)
	a.Send("c", relayMessage("a", 1))
	a.Send("b", relayMessage("x", 2)) // the sender of the message is not the instance in the certificate
	otherFleet := newTestFleet(t)
	outsider, _ := otherFleet.startManager("a", nil)
	otherFleet.setAddress("b", address)
	outsider.Send("b", relayMessage("a", 3))
	a.Send("b", relayMessage("a", 4))
	assert.DeepEqual(t, receive(t, got).Relay.Datagram, []byte{4})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.counts.dialFailures.Value() > 0 && outsider.counts.dialFailures.Value() > 0 {
			return poll.Success()
		}
		return poll.Continue("dials still succeed or wait")
	})
	assert.Equal(t, len(got), 0)
	_, err := LoadCredentials("z", filepath.Join(f.dir, "ca.crt"), filepath.Join(f.dir, "a.crt"), filepath.Join(f.dir, "a.key"))
	assert.ErrorContains(t, err, `issued to "a" instead of "z"`)
}

// Guards against a peer that cannot be reached after it has restarted.
func TestReconnectAfterPeerRestart(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startManager("a", nil)
	b, got := f.startManager("b", nil)
	a.Send("b", relayMessage("a", 1))
	receive(t, got)
	b.Close()
	credentials := b.config.Credentials
	restarted := New(Config{Self: "b", Credentials: credentials, ControlBytesPerSecond: 1, QueueCapacity: 1, Log: slog.New(slog.DiscardHandler),
		Metrics: telemetry.NewRegistry(), LookupAddress: f.address, Receive: b.config.Receive})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.setAddress("b", l.Addr().String())
	go func() { _ = restarted.Serve(l) }()
	t.Cleanup(restarted.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.Send("b", relayMessage("a", 2))
		if len(got) > 0 {
			return poll.Success()
		}
		return poll.Continue("not reconnected")
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(8*time.Second))
}

// Guards against the continued use of a connection that no longer transports
// data but was not closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newTestFleet(t)
	_, got := f.startManager("b", nil)
	address, _ := f.address("b")
	proxy, blackhole := startProxy(t, address)
	f.setAddress("b", proxy)
	a, _ := f.startManager("a", nil)
	a.Send("b", relayMessage("a", 1))
	receive(t, got)
	blackhole()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.Send("b", relayMessage("a", 2))
		if len(got) > 0 {
			return poll.Success()
		}
		return poll.Continue("still silent")
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(8*time.Second))
	assert.Equal(t, a.counts.silentClosed.Value(), int64(1))
}

// Guards against idle data lanes that are never closed.
func TestIdleDataLaneCloses(t *testing.T) {
	f := newTestFleet(t)
	_, got := f.startManager("b", nil)
	a, _ := f.startManager("a", func(c *Config) { c.DataIdleTimeout = 300 * time.Millisecond })
	a.Send("b", relayMessage("a", 1))
	receive(t, got)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.lanes) == 0 {
			return poll.Success()
		}
		return poll.Continue("%d lanes", len(a.lanes))
	}, poll.WithTimeout(5*time.Second))
}

// Guards against malicious peers: invalid CBOR, text frames, oversized messages
// and a control message on the data lane must neither crash the process nor be
// delivered.
func TestMalformedMessagesAreCounted(t *testing.T) {
	f := newTestFleet(t)
	b, got := f.startManager("b", nil)
	a, _ := f.startManager("a", nil)
	a.Send("b", relayMessage("a", 1))
	receive(t, got)
	c := a.lanes[laneKey{"b", peerwire.Data}].currentConnection()
	misplaced, err := peerwire.Encode(nil, heartbeatMessage("a", 1))
	assert.NilError(t, err)
	ctx := context.Background()
	assert.NilError(t, c.ws.Write(ctx, websocket.MessageBinary, bytes.Repeat([]byte{0x81}, 100)))
	assert.NilError(t, c.ws.Write(ctx, websocket.MessageText, []byte("text")))
	assert.NilError(t, c.ws.Write(ctx, websocket.MessageBinary, misplaced))
	a.Send("b", relayMessage("a", 2))
	assert.DeepEqual(t, receive(t, got).Relay.Datagram, []byte{2})
	assert.Equal(t, b.counts.malformed.Value(), int64(3))
	_ = c.ws.Write(ctx, websocket.MessageBinary, make([]byte, peerwire.MaxMessage+1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.Send("b", relayMessage("a", 3))
		if len(got) > 0 {
			return poll.Success()
		}
		return poll.Continue("not reconnected")
	}, poll.WithTimeout(5*time.Second))
}

// Guards against a control budget that is exceeded or not fully used, and
// against bulk messages that delay heartbeats.
func TestBudget(t *testing.T) {
	const rate = 2048
	b, now := NewBudget(rate), time.Unix(100, 0)
	_, ok := b.Take(now, 64<<10, false)
	assert.Assert(t, ok)
	sent := 0
	for range 1000 { // 10 s with a heartbeat of 100 bytes every 100 ms, and bulk messages whenever the budget allows
		now = now.Add(10 * time.Millisecond)
		if now.UnixMilli()%100 == 0 {
			_, ok := b.Take(now, 100-messageOverhead, true)
			assert.Assert(t, ok, "heartbeat delayed")
			sent += 100
		}
		if _, ok := b.Take(now, 1000-messageOverhead, false); ok {
			sent += 1000
		}
	}
	assert.Equal(t, sent, 10000, "bulk sent while 64 KiB are owed")
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := b.Take(now, 1000-messageOverhead, false); ok {
			sent += 1000
		}
	}
	total := float64(sent + 64<<10)
	allowed := rate * (burstPeriod.Seconds() + 70)
	assert.Assert(t, total <= allowed+1000 && total > allowed-2000, "%v of %v bytes", total, allowed)
}

// Guards against a small configuration change that waits until the debt of a
// large one is paid off, which takes 30 s for a delta of 64 KB.
func TestSmallControlMessageOvertakes(t *testing.T) {
	f := newTestFleet(t)
	_, got := f.startManager("b", nil)
	a, _ := f.startManager("a", func(c *Config) { c.ControlBytesPerSecond = 2048 })
	delta := func(n int) *peerwire.Message {
		return &peerwire.Message{From: "a", ConfigDelta: &peerwire.ConfigDelta{Documents: []peerwire.Document{{Key: "k", Value: make([]byte, n)}}}}
	}
	for _, n := range []int{60 << 10, 60 << 10, 1000} {
		assert.Assert(t, a.Send("b", delta(n)))
	}
	assert.Equal(t, len(receive(t, got).ConfigDelta.Documents[0].Value), 60<<10)
	assert.Equal(t, len(receive(t, got).ConfigDelta.Documents[0].Value), 1000)
	assert.Assert(t, a.budget.Owed() > 50<<10)
}

// Guards against a startup grant that is lost or refilled, or that raises the
// rate permanently.
func TestBudgetGrant(t *testing.T) {
	const rate, granted = 2048, 64 << 10
	b, now := NewBudget(rate), time.Unix(100, 0)
	b.Grant(granted)
	sent := 0
	for range 12_000 { // 120 s
		now = now.Add(10 * time.Millisecond)
		for _, urgent := range []bool{true, false} {
			if _, ok := b.Take(now, 300-messageOverhead, urgent); ok {
				sent += 300
			}
		}
	}
	// The budget is not refilled while more than burstPeriod (2 s) of it is left
	// from the grant.
	allowed := granted + rate*(burstPeriod.Seconds()+120)
	assert.Assert(t, float64(sent) <= allowed+300 && float64(sent) > allowed-2*rate-1000, "%v of %v bytes", sent, allowed)
	b.Grant(granted)
	for range 1000 {
		b.Take(now, 300-messageOverhead, false)
	}
	before := sent
	for range 1000 { // 10 s
		now = now.Add(10 * time.Millisecond)
		if _, ok := b.Take(now, 300-messageOverhead, false); ok {
			sent += 300
		}
	}
	assert.Assert(t, sent-before <= rate*10+300, "%d bytes in 10 s", sent-before)
}

// startProxy forwards TCP connections to target. blackhole discards all further
// data of the open connections without closing them.
func startProxy(t testing.TB, target string) (address string, blackhole func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mu sync.Mutex
	var stopChannels []chan struct{}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			t.Cleanup(func() { _ = in.Close(); _ = out.Close() })
			stop := make(chan struct{})
			mu.Lock()
			stopChannels = append(stopChannels, stop)
			mu.Unlock()
			go forward(in, out, stop)
			go forward(out, in, stop)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), func() {
		mu.Lock()
		defer mu.Unlock()
		for _, stop := range stopChannels {
			close(stop)
		}
		stopChannels = nil
	}
}

func forward(from, to net.Conn, stop chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-stop: // discard the data
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}
