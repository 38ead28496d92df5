package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/internal/syncbuf"
)

// Guards against seeds that are lost or back without a line, and against a line for
// each failed call.
func TestSeedsLost(t *testing.T) {
	var log syncbuf.Buffer
	s := NewSource(&platformStub{}, Config{Log: slog.New(slog.NewTextHandler(&log, nil)), ConfigVersion: noVersion})
	for _, answered := range []bool{true, false, false, true, true} {
		s.noteSeeds(answered)
	}
	assert.Equal(t, strings.Count(log.String(), "\n"), 2, log.String())
	assert.Assert(t, strings.Contains(log.String(), "msg=seeds-lost") && strings.Contains(log.String(), "msg=seeds-regained"))
}

// platformStub counts the reads of the platform.
type platformStub struct {
	reads    atomic.Int64
	revision atomic.Uint64
	down     atomic.Bool
	hang     atomic.Bool
	lost     atomic.Bool // has no history
	slow     atomic.Bool // takes 400 ms for a full read
}

func (p *platformStub) ReadAll(ctx context.Context, _ time.Duration) (follow.Update, error) {
	if p.hang.Load() {
		<-ctx.Done()
		return follow.Update{}, ctx.Err()
	}
	if p.slow.Load() {
		select {
		case <-ctx.Done():
			return follow.Update{}, ctx.Err()
		case <-time.After(400 * time.Millisecond):
		}
	}
	return p.ReadChanges(context.Background(), 0, 0, 0)
}

func (p *platformStub) ReadChanges(_ context.Context, after uint64, _, _ time.Duration) (follow.Update, error) {
	p.reads.Add(1)
	if p.down.Load() {
		return follow.Update{}, eris.New("down")
	}
	if p.lost.Load() {
		return follow.Update{}, follow.ErrHistoryLost
	}
	return follow.Update{Complete: after == 0, Revision: max(p.revision.Load(), after)}, nil
}

// node is an instance with its state and interface.
type node struct {
	state  *State
	source *Source
	server *httptest.Server
	dir    *Directory
	reads  atomic.Int64 // of its state by others
}

func newNode(t *testing.T, id ids.Instance, p follow.Source) *node {
	n := &node{state: NewState(), dir: NewDirectory()}
	mux := http.NewServeMux()
	NewServer(n.state, n.dir, quiet).Register(mux)
	n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == updatesPath {
			n.reads.Add(1)
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(n.server.Close)
	n.source = NewSource(p, Config{DataCentre: "dc", Self: Instance{id, n.address()}, MaxAge: 300 * time.Millisecond, Log: quiet, ConfigVersion: n.state.Version})
	return n
}

func (n *node) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(n.server.URL, "http://"))
}

func (n *node) read(t *testing.T, after uint64) follow.Update {
	t.Helper()
	u, err := n.source.ReadChanges(context.Background(), after, time.Second, time.Second)
	assert.NilError(t, err)
	return u
}

// Guards against an instance that reads the platform although one before it is
// up to date, and against one that follows a source that is stale, silent or
// gone.
func TestSourceFallsBack(t *testing.T) {
	p := &platformStub{}
	p.revision.Store(7)
	reader, other := newNode(t, "r", p), newNode(t, "o", p)
	other.source.rank(Ranking{Sources: []Instance{{"r", reader.address()}}, Live: 2})
	reader.source.rank(Ranking{Live: 2})

	reader.state.Apply(&follow.Update{Complete: true, Revision: 7})
	assert.Equal(t, other.read(t, 5).Revision, uint64(7))
	assert.Equal(t, p.reads.Load(), int64(0))
	assert.Equal(t, reader.read(t, 5).Revision, uint64(7))
	assert.Equal(t, p.reads.Load(), int64(1), "the first in the ranking reads the platform")

	time.Sleep(350 * time.Millisecond)
	other.read(t, 7)
	assert.Equal(t, p.reads.Load(), int64(2), "the reader is stale")

	other.source.failed = map[ids.Instance]time.Time{}
	reader.state.Apply(&follow.Update{Revision: 8})
	assert.Equal(t, other.read(t, 7).Revision, uint64(8))
	assert.Equal(t, p.reads.Load(), int64(2))

	reader.server.CloseClientConnections()
	reader.server.Close()
	other.read(t, 8)
	assert.Equal(t, p.reads.Load(), int64(3), "the reader is gone")
	other.read(t, 8)
	assert.Equal(t, p.reads.Load(), int64(4), "it is not asked again at once")
}

// Guards against an instance that starts without state while the platform
// refuses it and others have the state.
func TestStartWithoutPlatform(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	reader, other := newNode(t, "r", p), newNode(t, "o", p)
	reader.state.Apply(&follow.Update{Complete: true, Revision: 7, Config: &passthrough.Config{Version: 3}})
	other.source.rank(Ranking{Sources: []Instance{{"r", reader.address()}}})
	u, err := other.source.ReadAll(context.Background(), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, u.Complete)
	assert.Equal(t, u.Config.Version, uint64(3))
}

// Guards against instances that all keep asking a platform that is away, of which
// 2,500 would exceed its rate at its return, and against one that does not notice
// when the instance that it follows is up to date again.
func TestOutageIsWaitedOut(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	reader, n := newNode(t, "r", p), newNode(t, "n", p)
	n.source.rank(Ranking{Sources: []Instance{{"r", reader.address()}}, Live: 2})
	reader.state.Apply(&follow.Update{Complete: true, Revision: 7, Age: time.Minute})
	var back time.Time
	time.AfterFunc(4*time.Second, func() {
		back = time.Now()
		reader.state.Apply(&follow.Update{Revision: 8})
	})
	var err error
	for start := time.Now(); time.Since(start) < 8*time.Second; {
		if _, err = n.source.ReadChanges(context.Background(), 7, time.Second, time.Second); err == nil {
			break
		}
		time.Sleep(200 * time.Millisecond) // as the follower does
	}
	assert.NilError(t, err, "it does not notice the return")
	assert.Assert(t, p.reads.Load() <= 5, "%d reads of the platform in 4 s", p.reads.Load())
	assert.Assert(t, !back.IsZero() && time.Since(back) < time.Second, "noticed after %s", time.Since(back))
}

// Guards against instances that take each other's old state for ever: the platform
// has lost the history after it, and takes longer for a full read than the others.
// Found by TestMemoryAtTargetSize of the soak.
func TestLostHistoryNeedsNewerState(t *testing.T) {
	p := &platformStub{}
	p.lost.Store(true)
	other, n := newNode(t, "o", p), newNode(t, "n", p)
	other.state.Apply(&follow.Update{Complete: true, Revision: 7})
	n.source.rank(Ranking{Sources: []Instance{{"o", other.address()}}})
	n.source.failed["o"] = time.Now() // not followed for now
	_, err := n.source.ReadChanges(context.Background(), 7, time.Second, time.Second)
	assert.ErrorIs(t, err, follow.ErrHistoryLost)
	p.lost.Store(false)
	p.slow.Store(true)
	p.revision.Store(50)
	u, err := n.source.ReadAll(context.Background(), 200*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, u.Revision, uint64(50))
	other.state.Apply(&follow.Update{Revision: 8})
	u, err = n.source.ReadAll(context.Background(), 200*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, u.Revision, uint64(8), "a newer state is taken at once")
}

// slowConn is a connection over a slow link.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (n int, err error) {
	for piece := range slices.Chunk(b, 16<<10) {
		time.Sleep(time.Duration(len(piece)) * time.Second / (1 << 20))
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

// Guards against a state that is given up because a slow link needs longer for it
// than an instance may be silent.
func TestLargeStateOverSlowLink(t *testing.T) {
	n := newNode(t, "n", &platformStub{})
	u := follow.Update{Complete: true, Revision: 7}
	const targets, routes = 3 * partTargets, 20_000 // the configuration is one message
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
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, version: noVersion}
	defer c.close()
	start := time.Now()
	got, err := c.read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Targets), targets)
	assert.Equal(t, len(got.Config.Routes), routes)
	assert.Assert(t, time.Since(start) > silence, "the state is too small for this test: %s", time.Since(start))
}

// Found in kelani-bump inc-25e5: the only instance of a data centre was restarted
// while the platform was down, and dropped 51 openings until it returned. Guards
// against an instance that waits for the platform while one of another data
// centre has everything, however old.
func TestLoneInstanceStartsWithoutPlatform(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	seed := newNode(t, "s", p)
	seed.state.Apply(&follow.Update{Complete: true, Revision: 7, Age: time.Minute, Config: &passthrough.Config{Version: 3}})
	n := newNode(t, "n", p)
	n.source = NewSource(p, Config{DataCentre: "other", Self: Instance{"n", n.address()}, MaxAge: time.Second, Log: quiet, ConfigVersion: noVersion,
		Seeds: []string{"127.0.0.1:1", n.address().String(), seed.address().String()}})
	u, err := n.source.ReadAll(context.Background(), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, u.Config.Version, uint64(3))
	start := time.Now()
	p.hang.Store(true)
	timeout := follow.TimingFor(3 * time.Second).Timeout
	_, err = n.source.ReadAll(context.Background(), timeout)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < timeout, "it waits for a platform that hangs")
	seed.server.CloseClientConnections()
	seed.server.Close()
	p.hang.Store(false)
	_, err = n.source.ReadAll(context.Background(), time.Second)
	assert.ErrorContains(t, err, "down")
}

// Guards against instances that never learn the ranking from a seed, or that
// stay in it after a planned stop.
func TestAnnounce(t *testing.T) {
	var log syncbuf.Buffer
	p := &platformStub{}
	seed, n := newNode(t, "s", p), newNode(t, "n", p)
	n.source = NewSource(p, Config{DataCentre: "dc", Self: Instance{"n", n.address()}, MaxAge: time.Second,
		Log: slog.New(slog.NewTextHandler(&log, nil)), ConfigVersion: noVersion, Seeds: []string{"127.0.0.1:1", seed.address().String()}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.source.Announce(ctx); close(done) }()
	for range 100 {
		if seed.dir.Ranking(time.Now(), "dc", "n").Live == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, seed.dir.Ranking(time.Now(), "dc", "n").Live, 1)
	cancel()
	<-done
	assert.Assert(t, !strings.Contains(log.String(), "seeds-lost"), "one of them answers")
	assert.Equal(t, seed.dir.Ranking(time.Now(), "dc", "n").Live, 0)
}

// Guards against a message that loses a field on the way, and against one that
// grows beyond its share of the control traffic: 2.5 heartbeats a second to 8
// followers, and a change of a target, within 2 KB/s and 300 bytes.
func TestMessageSize(t *testing.T) {
	heartbeat, err := cbor.Marshal(&follow.Update{Revision: 1 << 40, Age: time.Second})
	assert.NilError(t, err)
	const tcp, frame, perSecond = 40, 4, 2.5
	assert.Assert(t, float64(len(heartbeat)+tcp+frame)*degree*perSecond <= 2048, "%d bytes", len(heartbeat))
	u := follow.Update{Complete: true, Revision: 7, Age: 3, AfterOutage: true, Config: &passthrough.Config{Version: 3},
		Targets: []*follow.Target{{Name: "i-1234567890", Revision: 9, Record: passthrough.TargetRecord{Name: "i-1234567890", Identity: 1 << 39,
			Service: "counter12a", Address: passthrough.Endpoint{IP: [4]byte{10, 1, 2, 3}, Port: 8080}, DataCentre: "gnr-a", Slots: 2, Draining: true,
			SlowStart: time.Second, StartedAt: 1 << 41}}, {Name: "i-2", Removed: true, Unreadable: true}}}
	data, err := cbor.Marshal(&u)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 300, "%d bytes", len(data))
	var got follow.Update
	assert.NilError(t, cbor.Unmarshal(data, &got))
	assert.DeepEqual(t, got, u)
}

// Found by a sweep to 300 instances: after a common start every instance asked all
// seeds for everything, 2.2 MB/s at each. Guards against an instance that sends
// its state to those who asked before it had one, and against several that are
// asked for everything while the first answers.
func TestCommonStart(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	nodes := []*node{newNode(t, "a", p), newNode(t, "b", p), newNode(t, "c", p)}
	asking := newNode(t, "n", p)
	asking.source.config.Seeds = []string{nodes[0].address().String(), nodes[1].address().String(), nodes[2].address().String()}
	_, err := asking.source.ReadAll(context.Background(), 300*time.Millisecond)
	assert.ErrorContains(t, err, "down")
	for _, n := range nodes {
		assert.Equal(t, n.reads.Swap(0), int64(1))
		n.state.Apply(&follow.Update{Complete: true, Revision: 7})
	}
	_, err = asking.source.ReadAll(context.Background(), 300*time.Millisecond)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // for others that may have been asked
	assert.Equal(t, nodes[0].reads.Load()+nodes[1].reads.Load()+nodes[2].reads.Load(), int64(1))
}

// Guards against a connection to a former source that stays open unread.
func TestFormerSourceIsLeft(t *testing.T) {
	p := &platformStub{}
	a, b, n := newNode(t, "a", p), newNode(t, "b", p), newNode(t, "n", p)
	for _, x := range []*node{a, b} {
		x.state.Apply(&follow.Update{Complete: true, Revision: 7})
	}
	n.source.rank(Ranking{Sources: []Instance{{"a", a.address()}}, Live: 3})
	n.read(t, 5)
	n.source.rank(Ranking{Sources: []Instance{{"b", b.address()}}, Live: 3})
	n.read(t, 7)
	assert.Equal(t, len(n.source.clients), 1)
	n.source.rank(Ranking{Live: 1})
	n.read(t, 7)
	assert.Equal(t, len(n.source.clients), 0)
}

// Guards against a difference that is applied to another version than that from
// which it differs: this instance has read the platform meanwhile.
func TestDifferenceFromOtherVersion(t *testing.T) {
	p := &platformStub{}
	a, n := newNode(t, "a", p), newNode(t, "n", p)
	for _, x := range []*node{a, n} {
		x.state.Apply(&follow.Update{Complete: true, Revision: 7, Config: &passthrough.Config{Version: 1}})
	}
	n.source.rank(Ranking{Sources: []Instance{{"a", a.address()}}, Live: 2})
	assert.Equal(t, n.read(t, 7).Revision, uint64(7))
	n.state.Apply(&follow.Update{Complete: true, Revision: 8, Config: &passthrough.Config{Version: 2}})
	a.state.Apply(&follow.Update{Revision: 9, Config: &passthrough.Config{Version: 3}})
	for p.reads.Load() == 0 { // heartbeats may come before the difference
		u := n.read(t, 7)
		assert.Assert(t, u.ConfigDelta == nil)
	}
}
