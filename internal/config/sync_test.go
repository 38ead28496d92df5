package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const syncStart ids.Time = 1_700_000_000_000_000_000

// syncHarness drives one Syncer. Peers and the platform respond within one step
// of 10 ms, except those in silentPeers and a platform that is down.
type syncHarness struct {
	t            *testing.T
	now          ids.Time
	syncer       *Syncer
	store        Store
	peers        map[ids.Instance]*Store
	platform     *Store // nil when down
	silentPeers  map[ids.Instance]bool
	serving      []ids.Instance
	requestCount map[RequestKind]int
	pending      []func()
	pageBytes    int // maximum size of the response to one read
}

func newSyncHarness(t *testing.T) *syncHarness {
	return &syncHarness{t: t, now: syncStart, syncer: NewSyncer("a", 1), peers: map[ids.Instance]*Store{},
		silentPeers: map[ids.Instance]bool{}, requestCount: map[RequestKind]int{}, pageBytes: noLimit}
}

// storeAt returns a store with r publications of one profile.
func storeAt(r ids.Revision) *Store {
	s := &Store{}
	for i := ids.Revision(1); i <= r; i++ {
		applyPublication(s, "profile/p", i, profileDoc(int(i)))
	}
	return s
}

// request counts a request of the syncer and queues the response for the next
// step.
func (f *syncHarness) request(r Request) {
	f.requestCount[r.Kind]++
	switch {
	case r.Kind == FetchFromPeer && !f.silentPeers[r.Peer]:
		f.pending = append(f.pending, func() {
			d := f.peers[r.Peer].Delta(r.After, noLimit)
			f.store.ApplyDocuments(d.Documents, d.Upto)
			f.syncer.DeltaApplied(f.now, r.Peer)
		})
	case r.Kind != FetchFromPeer && f.platform == nil:
		f.pending = append(f.pending, func() { f.syncer.Read(f.now, 0, false) })
	case r.Kind == ReadPlatform:
		f.pending = append(f.pending, func() {
			d := f.platform.Delta(r.After, f.pageBytes)
			f.store.ApplyDocuments(d.Documents, d.Upto)
			f.syncer.Read(f.now, d.Upto, true)
		})
	}
}

func (f *syncHarness) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(10 * time.Millisecond)
		responses := f.pending
		f.pending = nil
		for _, respond := range responses {
			respond()
		}
		if f.now.Sub(syncStart)%(300*time.Millisecond) == 0 {
			for id, s := range f.peers {
				f.syncer.ObserveRevision(f.now, id, s.Revision())
			}
		}
		f.syncer.Tick(f.now, &f.store, f.serving, f.request)
	}
}

// Guards against a joining instance that reads the platform although a peer has
// the complete configuration, or that becomes ready before it has the newest
// configuration found.
func TestJoinQueriesPeersFirst(t *testing.T) {
	f := newSyncHarness(t)
	f.peers["b"], f.platform = storeAt(5), storeAt(5)
	f.syncer.ObserveRevision(f.now, "b", 5)
	f.run(100 * time.Millisecond)
	assert.Assert(t, f.syncer.Ready())
	assert.Equal(t, f.store.Revision(), ids.Revision(5))
	assert.Equal(t, f.requestCount[ReadPlatform], 0)
}

// Guards against a joining instance that waits longer than 3 s for silent peers
// or a stale platform, or stops polling once it serves a stale configuration.
func TestJoinIsBounded(t *testing.T) {
	f := newSyncHarness(t)
	f.peers["b"], f.silentPeers["b"], f.platform = storeAt(5), true, storeAt(3)
	f.run(2900 * time.Millisecond)
	assert.Assert(t, !f.syncer.Ready())
	f.run(200 * time.Millisecond)
	assert.Assert(t, f.syncer.Ready())
	assert.Equal(t, f.store.Revision(), ids.Revision(3))
	f.platform = storeAt(6)
	f.run(30 * time.Second)
	assert.Equal(t, f.store.Revision(), ids.Revision(6))
}

// Guards against an instance that becomes ready without any configuration, and
// against one that overloads an unreachable platform with reads.
func TestJoinWithoutPlatform(t *testing.T) {
	f := newSyncHarness(t)
	f.run(time.Minute)
	assert.Assert(t, !f.syncer.Ready())
	assert.Assert(t, f.requestCount[ReadPlatform] <= 10, "%d reads", f.requestCount[ReadPlatform])
	f.platform = &Store{}
	f.run(45 * time.Second)
	assert.Assert(t, f.syncer.Ready(), "an empty platform is a complete answer")
}

// Guards against an instance that becomes ready after the first of several pages
// of the platform's changes.
func TestJoinReadsAllPages(t *testing.T) {
	f := newSyncHarness(t)
	f.platform, f.pageBytes = benchStore(100), 10_000
	for !f.syncer.Ready() {
		f.run(10 * time.Millisecond)
	}
	assert.Equal(t, f.store.Revision(), f.platform.Revision())
}

// Guards against a missing or a second watch, a watch without a response that
// never times out, and frequent reads by instances that are not watchers.
func TestWatch(t *testing.T) {
	f := newSyncHarness(t)
	f.platform, f.serving = storeAt(2), []ids.Instance{"a"}
	f.run(10 * time.Second)
	assert.Equal(t, f.requestCount[WatchPlatform], 1)
	f.run(2 * time.Minute)
	assert.Assert(t, f.requestCount[WatchPlatform] >= 3 && f.requestCount[WatchPlatform] <= 4)

	many := []ids.Instance{"a", "b", "c", "d", "e", "f"}
	for _, id := range many {
		if w := Watchers(many); w[0] != id && w[1] != id {
			f = newSyncHarness(t)
			f.syncer = NewSyncer(id, 1)
			f.peers["x"], f.platform, f.serving = storeAt(5), storeAt(5), many
			f.run(3 * time.Minute)
			assert.Equal(t, f.requestCount[WatchPlatform], 0)
			assert.Assert(t, f.requestCount[ReadPlatform] <= 3, "%d reads in 3 minutes", f.requestCount[ReadPlatform])
		}
	}
}

// Guards against an instance that keeps an old revision when it receives no
// heartbeats.
func TestSilenceLeadsToRead(t *testing.T) {
	f := newSyncHarness(t)
	f.peers["b"], f.platform = storeAt(2), storeAt(2)
	f.serving = []ids.Instance{"b", "c", "d", "e", "f", "g"}
	f.run(time.Second)
	delete(f.peers, "b")
	f.platform = storeAt(4)
	f.run(16 * time.Second)
	assert.Equal(t, f.store.Revision(), ids.Revision(4))
	f.syncer.Resume(f.now)
	assert.Assert(t, !f.syncer.Ready())
	f.run(time.Second)
	assert.Assert(t, f.syncer.Ready())
}
