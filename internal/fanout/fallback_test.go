package fanout

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/platform"
	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// tryRead reads once and reports whether an instance or the platform answered.
func (n *node) tryRead(after uint64) (follow.Update, bool) {
	u, err := n.source.ReadChanges(context.Background(), follow.Position{Revision: after}, 0, time.Second)
	return u, err == nil
}

// Guards against an instance without a source, as the first of its ranking, that stays at
// an old state while the platform rejects it and serves others, and against one that goes
// on asking a platform that rejects it.
func TestRejectedInstanceFollowsFallback(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	head, other := newNode(t, "h", p), newNode(t, "o", p)
	head.source.setRanking(Ranking{Live: 1, Fallbacks: []Instance{{"o", other.address()}}})
	other.state.Apply(&follow.Update{Complete: true, Revision: 7})
	_, ok := head.tryRead(5)
	assert.Assert(t, !ok)
	time.Sleep(20 * time.Millisecond) // longer than the read below takes
	other.state.Apply(&follow.Update{Revision: 8, Direct: true})
	for range 3 {
		u, ok := head.tryRead(5)
		assert.Assert(t, ok)
		assert.Equal(t, u.Revision, uint64(8))
	}
	assert.Equal(t, p.reads.Load(), int64(1))

	p.down.Store(false)
	head.source.platformFailedAt = time.Now().Add(-platformRetryInterval)
	_, ok = head.tryRead(8)
	assert.Assert(t, ok)
	assert.Equal(t, head.source.Current(), platformName)
}

// Guards against instances that rely on each other's states while the platform is lost to
// all of them, and so notice its return late.
func TestFallbackMustHaveReadThePlatformSince(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	head, other := newNode(t, "h", p), newNode(t, "o", p)
	head.source.setRanking(Ranking{Live: 1, Fallbacks: []Instance{{"o", other.address()}}})
	other.state.Apply(&follow.Update{Complete: true, Revision: 7})
	for range 3 {
		_, ok := head.tryRead(7)
		assert.Assert(t, !ok)
	}
	assert.Equal(t, p.reads.Load(), int64(3))
	assert.Equal(t, other.reads.Load(), int64(1), "it is not asked again at once")
}

// Guards against two instances that follow each other, directly or through a third one:
// each keeps the other's state fresh, and neither learns anything.
func TestCycleIsRefused(t *testing.T) {
	p := &platformStub{}
	p.down.Store(true)
	head, middle, last := newNode(t, "h", p), newNode(t, "m", p), newNode(t, "l", p)
	head.state.Apply(&follow.Update{Complete: true, Revision: 7, Direct: true})
	for _, link := range []struct{ from, to *node }{{head, middle}, {middle, last}} {
		link.to.source.setRanking(Ranking{Sources: []Instance{{link.from.source.config.Self.ID, link.from.address()}}, Live: 3})
		u, ok := link.to.tryRead(5)
		assert.Assert(t, ok)
		u.Complete = true
		link.to.state.Apply(&u)
	}
	head.source.setRanking(Ranking{Live: 3})
	_, ok := head.tryRead(7)
	assert.Assert(t, !ok)
	head.source.platformLostAt = time.Now().Add(-time.Minute) // so that their states count as confirmed since
	for _, n := range []*node{middle, last} {
		head.source.setRanking(Ranking{Live: 3, Fallbacks: []Instance{{n.source.config.Self.ID, n.address()}}})
		_, ok := head.tryRead(7)
		assert.Assert(t, !ok, "%s", n.source.config.Self.ID)
		assert.Equal(t, n.reads.Load() > 0, true)
	}
}

// Guards against an instance that is told to fall back on itself or on one without a
// state, and against a data centre of which all are cut off and know only each other.
func TestFallbacksOfDirectory(t *testing.T) {
	d := NewDirectory()
	now, at := time.Now(), netip.MustParseAddrPort("127.0.0.1:80")
	for _, i := range []struct {
		dc         ids.DataCentre
		id         ids.Instance
		holdsState bool
	}{{"a", "a-1", true}, {"a", "a-2", true}, {"a", "a-3", false}, {"b", "b-1", true}, {"b", "b-2", false}} {
		d.Announce(now, i.dc, Instance{i.id, at}, i.holdsState)
	}
	server := httptest.NewServer(http.HandlerFunc(NewServer(NewState(), d, discardLog).serveInstances))
	defer server.Close()
	for _, cutOff := range []bool{false, true} {
		s := NewSource(&platformStub{}, Config{DataCentre: "a", Self: Instance{"a-1", at}, Log: discardLog, State: NewState(),
			Seeds: []string{strings.TrimPrefix(server.URL, "http://")}})
		s.config.State.Apply(&follow.Update{Complete: true, Revision: 1})
		s.recordPlatformRead(cutOff)
		s.announce(context.Background(), false)
		var names []ids.Instance
		for _, i := range s.ranking.Fallbacks {
			names = append(names, i.ID)
		}
		slices.Sort(names)
		if cutOff {
			assert.DeepEqual(t, names, []ids.Instance{"a-2", "b-1"})
		} else {
			assert.Equal(t, len(names), 0)
		}
	}
}

// rejecting is a source that can be made to reject all reads.
type rejecting struct {
	follow.Source
	rejects atomic.Bool
}

func (r *rejecting) ReadAll(ctx context.Context, timeout time.Duration) (follow.Update, error) {
	if r.rejects.Load() {
		return follow.Update{}, eris.New("rejected")
	}
	return r.Source.ReadAll(ctx, timeout)
}

func (r *rejecting) ReadChanges(ctx context.Context, after follow.Position, wait, timeout time.Duration) (follow.Update, error) {
	if r.rejects.Load() {
		return follow.Update{}, eris.New("rejected")
	}
	return r.Source.ReadChanges(ctx, after, wait, timeout)
}

// Guards against a choice of sources, whichever instances the platform rejects, with which
// an instance is not told a version in time although one at least can read the platform.
// Those that are rejected learn it from one that may itself take the whole time.
func TestVersionsWhileRandomInstancesAreRejected(t *testing.T) {
	t.Parallel()
	const (
		apply  = 3 * time.Second
		rounds = 8
	)
	store := platformtest.NewStore()
	defer store.Close()
	route := platformtest.Route{IP: "198.18.0.1", Port: 443, Service: "slips", Kind: "safe"}
	store.PutConfig(1, route)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var nodes []*node
	var platforms []*rejecting
	timing := follow.TimingFor(apply)
	for n, id := range []ids.Instance{"a-0", "a-1", "a-2", "a-3", "b-4", "b-5", "b-6"} {
		p := &rejecting{Source: follow.Paced(platform.NewStore(store.Address()), timing.Interval)}
		i := newNode(t, id, p)
		nodes, platforms = append(nodes, i), append(platforms, p)
		i.source = NewSource(p, Config{DataCentre: ids.DataCentre(id[:1]), Self: Instance{id, i.address()}, MaxAge: timing.Wait + timing.Timeout,
			Log: discardLog, State: i.state, Seeds: []string{nodes[0].address().String(), nodes[min(n, 1)].address().String()}})
		running.Go(func() { i.source.Announce(ctx) })
		follower := follow.New(i.source, timing, func(u follow.Update) { i.state.Apply(&u) }, discardLog)
		running.Go(func() { follower.Run(ctx) })
	}
	rng := rand.New(rand.NewPCG(22, 0))
	for version := 2; version < 2+rounds; version++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		able := rng.IntN(len(nodes))
		var rejected []ids.Instance
		for n, p := range platforms {
			p.rejects.Store(n != able && rng.IntN(3) > 0)
			if p.rejects.Load() {
				rejected = append(rejected, nodes[n].source.config.Self.ID)
			}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		store.PutConfig(version, route)
		published := time.Now()
		for n := range nodes {
			limit := apply
			if platforms[n].rejects.Load() {
				limit = 2 * apply
			}
			for nodes[n].state.Version() < uint64(version) && time.Since(published) < limit {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, nodes[n].state.Version() >= uint64(version), "%s has version %d and not %d after %s, rejected: %v",
				nodes[n].source.config.Self.ID, nodes[n].state.Version(), version, limit, rejected)
		}
	}
}
