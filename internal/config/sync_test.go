package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const syncStart ids.Time = 1_700_000_000_000_000_000

// fleet drives one syncer; peers and platform answer after 5 ms unless silent.
type fleet struct {
	t        *testing.T
	now      ids.Time
	y        *Syncer
	store    Store
	peers    map[ids.Instance]*Store
	platform *Store // nil when down
	mute     map[ids.Instance]bool
	serving  []ids.Instance
	count    map[RequestKind]int
	pending  []func()
	page     int // bytes that one read returns
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, now: syncStart, y: NewSyncer("a", 1), peers: map[ids.Instance]*Store{},
		mute: map[ids.Instance]bool{}, count: map[RequestKind]int{}, page: big}
}

func storeAt(r ids.Revision) *Store {
	s := &Store{}
	for i := ids.Revision(1); i <= r; i++ {
		publish(s, "profile/p", i, profileDoc(int(i)))
	}
	return s
}

func (f *fleet) request(r Request) {
	f.count[r.Kind]++
	switch {
	case r.Kind == FetchFromPeer && !f.mute[r.Peer]:
		f.pending = append(f.pending, func() {
			d := f.peers[r.Peer].Delta(r.After, big)
			f.store.ApplyDocuments(d.Documents, d.Upto)
			f.y.DeltaApplied(f.now, r.Peer)
		})
	case r.Kind != FetchFromPeer && f.platform == nil:
		f.pending = append(f.pending, func() { f.y.Read(f.now, 0, false) })
	case r.Kind == ReadPlatform:
		f.pending = append(f.pending, func() {
			d := f.platform.Delta(r.After, f.page)
			f.store.ApplyDocuments(d.Documents, d.Upto)
			f.y.Read(f.now, d.Upto, true)
		})
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(10 * time.Millisecond)
		todo := f.pending
		f.pending = nil
		for _, do := range todo {
			do()
		}
		if f.now.Sub(syncStart)%(300*time.Millisecond) == 0 {
			for id, s := range f.peers {
				f.y.ObserveRevision(f.now, id, s.Revision())
			}
		}
		f.y.Tick(f.now, &f.store, f.serving, f.request)
	}
}

// Guards against a joining instance that reads the platform although a peer
// has everything, or serves before it has the newest configuration found.
func TestJoinAsksPeersFirst(t *testing.T) {
	f := newFleet(t)
	f.peers["b"], f.platform = storeAt(5), storeAt(5)
	f.y.ObserveRevision(f.now, "b", 5)
	f.run(100 * time.Millisecond)
	assert.Assert(t, f.y.Ready())
	assert.Equal(t, f.store.Revision(), ids.Revision(5))
	assert.Equal(t, f.count[ReadPlatform], 0)
}

// Guards against a joining instance that waits for silent peers or a stale
// platform beyond 3 s, or stops polling once it serves a stale copy.
func TestJoinIsBounded(t *testing.T) {
	f := newFleet(t)
	f.peers["b"], f.mute["b"], f.platform = storeAt(5), true, storeAt(3)
	f.run(2900 * time.Millisecond)
	assert.Assert(t, !f.y.Ready())
	f.run(200 * time.Millisecond)
	assert.Assert(t, f.y.Ready())
	assert.Equal(t, f.store.Revision(), ids.Revision(3))
	f.platform = storeAt(6)
	f.run(30 * time.Second)
	assert.Equal(t, f.store.Revision(), ids.Revision(6))
}

// Guards against an instance without any configuration that serves, and
// against one that hammers a platform that is down.
func TestJoinWithoutPlatform(t *testing.T) {
	f := newFleet(t)
	f.run(time.Minute)
	assert.Assert(t, !f.y.Ready())
	assert.Assert(t, f.count[ReadPlatform] <= 10, "%d reads", f.count[ReadPlatform])
	f.platform = &Store{}
	f.run(45 * time.Second)
	assert.Assert(t, f.y.Ready(), "an empty platform is a complete answer")
}

// Guards against an instance that serves after the first page of many.
func TestJoinReadsAllPages(t *testing.T) {
	f := newFleet(t)
	f.platform, f.page = benchStore(100), 10_000
	for !f.y.Ready() {
		f.run(10 * time.Millisecond)
	}
	assert.Equal(t, f.store.Revision(), f.platform.Revision())
}

// Guards against a missing or a second watch, a watch that goes silent for
// ever, and reads by instances that are not watchers.
func TestWatch(t *testing.T) {
	f := newFleet(t)
	f.platform, f.serving = storeAt(2), []ids.Instance{"a"}
	f.run(10 * time.Second)
	assert.Equal(t, f.count[WatchPlatform], 1)
	f.run(2 * time.Minute)
	assert.Assert(t, f.count[WatchPlatform] >= 3 && f.count[WatchPlatform] <= 4)

	many := []ids.Instance{"a", "b", "c", "d", "e", "f"}
	for _, id := range many {
		if w := Watchers(many); w[0] != id && w[1] != id {
			f = newFleet(t)
			f.y = NewSyncer(id, 1)
			f.peers["x"], f.platform, f.serving = storeAt(5), storeAt(5), many
			f.run(3 * time.Minute)
			assert.Equal(t, f.count[WatchPlatform], 0)
			assert.Assert(t, f.count[ReadPlatform] <= 3, "%d reads in 3 minutes", f.count[ReadPlatform])
		}
	}
}

// Guards against an instance that stays behind when it hears no one.
func TestSilenceLeadsToRead(t *testing.T) {
	f := newFleet(t)
	f.peers["b"], f.platform = storeAt(2), storeAt(2)
	f.serving = []ids.Instance{"b", "c", "d", "e", "f", "g"}
	f.run(time.Second)
	delete(f.peers, "b")
	f.platform = storeAt(4)
	f.run(16 * time.Second)
	assert.Equal(t, f.store.Revision(), ids.Revision(4))
	f.y.Resume(f.now)
	assert.Assert(t, !f.y.Ready())
	f.run(time.Second)
	assert.Assert(t, f.y.Ready())
}
