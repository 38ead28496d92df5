package fanout

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// Guards against a follower of an earlier era that is told that nothing has changed: its
// revision is higher than that of the restored platform.
func TestStateSpansEras(t *testing.T) {
	s := NewState()
	s.Apply(&follow.Update{Complete: true, Era: 3, Revision: 1000, Targets: []*follow.Target{target("left", 900, false)}})
	s.Apply(&follow.Update{Complete: true, Era: 4, Revision: 500, Targets: []*follow.Target{target("old", 450, false)}})
	s.Apply(&follow.Update{Era: 4, Revision: 505, Targets: []*follow.Target{target("new", 505, false)}})
	u, _, _ := s.Since(Query{After: follow.Position{Era: 3, Revision: 1000}})
	assert.Assert(t, u.Complete)
	assert.Equal(t, u.Position(), follow.Position{Era: 4, Revision: 505})
	assert.Equal(t, len(u.Targets), 3, "two targets, and one that has left")
	u, _, _ = s.Since(Query{After: follow.Position{Era: 4, Revision: 500}})
	assert.Assert(t, !u.Complete && len(u.Targets) == 1)
	u, _, _ = s.Since(Query{After: follow.Position{Era: 5, Revision: 20}})
	assert.Assert(t, !u.Complete && len(u.Targets) == 0)
	assert.Equal(t, u.Era, uint64(4), "a follower that is ahead learns that it is")
	u, _, _ = s.Since(Query{After: follow.Position{Era: 5, Revision: 20}, Starting: true})
	assert.Assert(t, u.Complete, "a starting instance gets what was known before")
	gone := u.Targets[slices.IndexFunc(u.Targets, func(t *follow.Target) bool { return t.Name == "left" })]
	assert.Assert(t, gone.Removed && gone.Held == follow.HeldNewer && gone.Record.Name == "left", "and what has left, with its last record")
}

// Guards against an instance that follows one that has not noticed the restore yet, and
// against a follower that is left in the earlier era.
func TestSourceOfEarlierEra(t *testing.T) {
	p := &platformStub{}
	p.revision.Store(500)
	p.era.Store(4)
	upstream, n := newNode(t, "r", p), newNode(t, "n", p)
	n.source.setRanking(Ranking{Sources: []Instance{{"r", upstream.address()}}, Live: 2})
	upstream.state.Apply(&follow.Update{Complete: true, Era: 3, Revision: 1000})
	read := func(after follow.Position) follow.Update {
		u, err := n.source.ReadChanges(context.Background(), after, time.Second, time.Second)
		assert.NilError(t, err)
		return u
	}
	u := read(follow.Position{Era: 4, Revision: 500})
	assert.Equal(t, u.Era, uint64(4))
	assert.Equal(t, p.reads.Load(), int64(1), "the platform is read")
	clear(n.source.failedAt)
	upstream.state.Apply(&follow.Update{Complete: true, Era: 4, Revision: 501})
	u = read(follow.Position{Era: 3, Revision: 1000})
	assert.Assert(t, u.Complete && u.Era == 4)
	assert.Equal(t, p.reads.Load(), int64(1))
}

// Guards against an instance that starts right after a restore and serves what was
// dropped, moved or drained before it, as the restored copy says, although another
// instance knows better.
func TestStarterAsksBeforeItBelievesCopy(t *testing.T) {
	p := &platformStub{config: &passthrough.Config{Version: 6}}
	p.revision.Store(500)
	p.era.Store(4)
	other := newNode(t, "o", p)
	var first []Instance // instances that are asked before the other one
	start := func() follow.Update {
		n := newNode(t, "n", p)
		n.source.setRanking(Ranking{Sources: append(slices.Clone(first), Instance{"o", other.address()})})
		u, err := n.source.ReadAll(context.Background(), time.Second)
		assert.NilError(t, err)
		return u
	}
	assert.Equal(t, start().Config.Version, uint64(6), "the other one has no state")

	other.state.Apply(&follow.Update{Complete: true, Era: 3, Revision: 1000, Config: &passthrough.Config{Version: 7}})
	u := start()
	assert.Equal(t, u.Before.Era, uint64(3), "not yet aware of the restore")
	assert.Equal(t, u.Before.Config.Version, uint64(7))

	behind := newNode(t, "o", p)
	behind.state.Apply(&follow.Update{Complete: true, Era: 4, Revision: 400, Config: &passthrough.Config{Version: 5}})
	ahead := other
	other = behind
	assert.Equal(t, start().Config.Version, uint64(6), "an instance that is behind knows nothing more")
	other = ahead
	first = []Instance{{"b", behind.address()}}
	other.delay.Store(int64(20 * time.Millisecond))
	assert.Equal(t, start().Before.Config.Version, uint64(7), "nor does it keep others from being heard")

	held := target("gone", 450, true)
	held.Held = follow.HeldNewer
	other.state.Apply(&follow.Update{Complete: true, Era: 4, Revision: 500, Targets: []*follow.Target{held}})
	u = start()
	assert.Equal(t, u.Before.Config.Version, uint64(7))
	assert.Assert(t, len(u.Before.Targets) == 1 && u.Before.Targets[0].Removed && u.Before.Targets[0].Held == follow.HeldNewer)

	other.state.Apply(&follow.Update{Complete: true, Era: 4, Revision: 500})
	other.state.Apply(&follow.Update{Era: 4, Revision: 501})
	reads := other.reads.Load()
	u = start()
	assert.Equal(t, u.Config.Version, uint64(7), "only the configuration is newer than in the copy")
	assert.Assert(t, u.Before == nil)
	assert.Equal(t, other.reads.Load(), reads+1)
}

// Guards against a starting instance that resets flows of others by the copy that it has
// read, while the answer of another instance, which may know better, is under way.
func TestNotCurrentWhileAnswerIsPending(t *testing.T) {
	p := &platformStub{}
	p.revision.Store(500)
	p.era.Store(4)
	other := newNode(t, "o", p)
	other.state.Apply(&follow.Update{Complete: true, Era: 4, Revision: 500})
	for delay, current := range map[time.Duration]bool{0: true, 2 * startPeerTimeout: false} {
		other.delay.Store(int64(delay))
		n := newNode(t, "n", p)
		n.source.setRanking(Ranking{Sources: []Instance{{"o", other.address()}}})
		u, err := n.source.ReadAll(context.Background(), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, !u.CurrentAt.IsZero(), current, "answer after %s", delay)
	}
}

// Guards against a late answer that a starting instance ignores because it serves
// already, as on a machine that is busy.
func TestLateKnowledgeOfPeers(t *testing.T) {
	n := newNode(t, "n", &platformStub{})
	n.source.late = make(chan *follow.Update, 1)
	n.source.late <- &follow.Update{Complete: true, Era: 3, Revision: 1000, Config: &passthrough.Config{Version: 7}}
	u, err := n.source.ReadChanges(context.Background(), follow.Position{Era: 4, Revision: 500}, time.Second, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !u.Complete && u.Before.Complete)
	assert.Equal(t, u.Position(), follow.Position{Era: 4, Revision: 500})
	assert.Assert(t, n.source.late == nil)
}

// Guards against a starting instance that gets no state from instances of the former
// release while the platform is down.
func TestFullStateOfFormerRelease(t *testing.T) {
	s := NewState()
	s.Apply(&follow.Update{Complete: true, Revision: 7, Config: &passthrough.Config{Version: 3}})
	mux := http.NewServeMux()
	path := ""
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		NewServer(s, NewDirectory(), discardLog).serveUpdates(w, r)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	c := client{instance: Instance{"old", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	for _, path = range formerUpdatesPaths {
		u, err := c.read(context.Background(), follow.Position{})
		assert.NilError(t, err)
		assert.Assert(t, u.Complete && u.Config.Version == 3)
		assert.Assert(t, u.FormerRelease && u.Config.Partial, "it does not say which data centres are evacuated")
		c.close()
	}
	path = updatesPath
	u, err := c.read(context.Background(), follow.Position{})
	assert.NilError(t, err)
	assert.Assert(t, u.FormerRelease && u.Config.Partial, "it has started from the state of a former release")
	c.close()
	path = formerUpdatesPaths[0]
	s.Apply(&follow.Update{Complete: true, Era: 1, Revision: 8, Config: &passthrough.Config{Version: 3}, Evacuations: &follow.Evacuations{}})
	u, err = c.read(context.Background(), follow.Position{})
	assert.NilError(t, err)
	assert.Assert(t, u.FormerRelease, "it says nothing of what is published about held targets")
	c.close()
	path = updatesPath
	u, err = c.read(context.Background(), follow.Position{})
	assert.NilError(t, err)
	assert.Assert(t, u.Complete && !u.FormerRelease)
	c.close()
	path = formerUpdatesPaths[0]
	_, err = c.read(context.Background(), follow.Position{Era: 1, Revision: 7})
	assert.ErrorContains(t, err, "404")
}

// modelStore is a platform with a copy of itself.
type modelStore struct {
	era, revision uint64
	config        *passthrough.Config
	targets       map[string]*follow.Target
	changes       []*follow.Target // nil entries are changes of the configuration
	revisions     []uint64         // of changes
}

func (m *modelStore) clone() *modelStore {
	c := *m
	c.targets, c.changes, c.revisions = maps.Clone(m.targets), slices.Clone(m.changes), slices.Clone(m.revisions)
	return &c
}

func (m *modelStore) write(t *follow.Target) {
	m.revision++
	if t != nil {
		c := *t
		c.Revision = m.revision
		t = &c
		m.targets[t.Name] = t
		if t.Removed {
			delete(m.targets, t.Name)
		}
	}
	m.changes, m.revisions = append(m.changes, t), append(m.revisions, m.revision)
}

func (m *modelStore) readAll() follow.Update {
	u := follow.Update{Complete: true, Direct: true, Era: m.era, Revision: m.revision, Config: m.config}
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		u.Targets = append(u.Targets, m.targets[name])
	}
	return u
}

// readChanges returns the changes after a position, or everything where the position is
// not of this era or lies ahead.
func (m *modelStore) readChanges(after follow.Position) follow.Update {
	if after.Era != m.era || after.Revision > m.revision {
		return m.readAll()
	}
	u := follow.Update{Direct: true, Era: m.era, Revision: m.revision}
	for n, c := range m.changes {
		switch {
		case m.revisions[n] <= after.Revision:
		case c == nil:
			u.Config = m.config
		default:
			u.Targets = append(u.Targets, c)
		}
	}
	return u
}

// modelInstance is an instance without I/O.
type modelInstance struct {
	reconciler *follow.Reconciler
	state      *State
	version    uint64
	inUse      map[string]bool // targets that get new flows
	inFlight   []follow.Update // read, but not applied yet
}

func newModelInstance() *modelInstance {
	return &modelInstance{reconciler: follow.NewReconciler(), state: NewState(), inUse: map[string]bool{}}
}

func (i *modelInstance) apply(t assert.TestingT, now time.Time, u follow.Update) {
	u.Targets = slices.Clone(u.Targets)
	if u.ConfigDelta != nil && u.ConfigDelta.Base != i.version || !i.reconciler.Apply(now, &u) {
		return
	}
	i.state.Apply(&u)
	if u.Config != nil {
		assert.Assert(t, u.Config.Version > i.version, "the configuration goes back from %d to %d", i.version, u.Config.Version)
		i.version = u.Config.Version
	}
	i.use(&u)
}

func (i *modelInstance) use(u *follow.Update) {
	if u.Complete {
		clear(i.inUse)
	}
	for _, x := range u.Targets {
		i.inUse[x.Name] = !x.Removed && !x.Record.Draining
	}
}

func (i *modelInstance) expire(now time.Time) {
	if u := i.reconciler.Expire(now); u != nil {
		i.state.Apply(u)
		i.use(u)
	}
}

// Guards against each way in which a restore can undo what is known, with any order of
// reads. One platform with copies and restores, an operator, targets that leave and
// whose names and addresses do not come back, and three instances that read the platform
// or each other, late and out of order, and restart. Checked throughout: the version of a
// running instance never decreases, and a target that an instance knew as leaving is not
// used again by it. At the end, when all have written again and every instance has read,
// all agree with the platform.
func TestModelOfRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := &modelStore{era: 1, revision: 10, config: &passthrough.Config{Version: 1}, targets: map[string]*follow.Target{}}
		copied := store.clone()
		version := uint64(1)
		writes := map[string]*follow.Target{} // latest write of each target; Removed once it has left
		instances := []*modelInstance{newModelInstance(), newModelInstance(), newModelInstance()}
		left := make([]map[string]bool, len(instances)) // targets that an instance knew as leaving or gone
		forget := func(n int) { instances[n], left[n] = newModelInstance(), map[string]bool{} }
		for n := range instances {
			forget(n)
		}
		write := func(name string, draining, removed bool) {
			old := writes[name]
			x := &follow.Target{Name: name, Removed: removed, Record: passthrough.TargetRecord{Name: name, StartedAt: 5, Draining: draining}}
			if old != nil {
				x.Record.Seq = old.Record.Seq + 1
			}
			writes[name] = x
			store.write(x)
		}
		check := func() {
			for n, i := range instances {
				for name, used := range i.inUse {
					if used {
						assert.Assert(t, !left[n][name], "instance %d uses %s again", n, name)
					} else if x := writes[name]; x.Removed || x.Record.Draining {
						left[n][name] = true
					}
				}
			}
		}
		writeAgain := func() {
			if store.config.Version < version {
				store.config = &passthrough.Config{Version: version}
				store.write(nil)
			}
			for _, name := range slices.Sorted(maps.Keys(writes)) {
				x := writes[name]
				switch published := store.targets[name]; {
				case x.Removed && published != nil:
					store.write(&follow.Target{Name: name, Removed: true}) // it lapses
				case !x.Removed && (published == nil || published.Record.Seq < x.Record.Seq):
					write(name, x.Record.Draining, false)
				}
			}
		}
		read := func(n, from int) (follow.Update, bool) {
			i := instances[n]
			u, _, ok := instances[from].state.Since(Query{After: i.reconciler.Position(), Version: i.version})
			return u, ok && u.Era >= i.reconciler.Position().Era
		}
		// readPlatform reads the platform and, for the first time in an era, asks another
		// instance.
		readPlatform := func(n int) {
			i := instances[n]
			u := store.readChanges(i.reconciler.Position())
			asked := rapid.IntRange(0, 2).Draw(t, "asked")
			if u.Era == i.reconciler.Position().Era || asked == n {
				i.apply(t, now, u)
				return
			}
			peer, _, ok := instances[asked].state.Since(Query{After: u.Position(), Version: u.Config.Version, Starting: true})
			if !ok || !peer.Complete {
				i.apply(t, now, u)
				return
			}
			maps.Copy(left[n], left[asked])
			if rapid.Bool().Draw(t, "late") {
				i.apply(t, now, u)
				u = follow.Update{Era: u.Era, Revision: u.Revision}
			}
			u.Before = &peer
			i.apply(t, now, u)
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "instance")
			i := instances[n]
			name := fmt.Sprint("t", rapid.IntRange(1, 3).Draw(t, "target"))
			x := writes[name]
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				version++
				store.config = &passthrough.Config{Version: version}
				store.write(nil)
			case 1:
				if x == nil {
					write(name, false, false)
				}
			case 2:
				if x != nil && !x.Removed && !x.Record.Draining {
					write(name, true, false)
				}
			case 3:
				if x != nil && x.Record.Draining && !x.Removed {
					write(name, true, true)
				}
			case 4:
				copied = store.clone()
			case 5:
				era := store.era
				store = copied.clone()
				store.era = era + 1
			case 6:
				writeAgain()
			case 7: // restart
				forget(n)
				readPlatform(n)
			case 8:
				if len(i.inFlight) > 0 { // a late answer
					k := rapid.IntRange(0, len(i.inFlight)-1).Draw(t, "answer")
					u := i.inFlight[k]
					i.inFlight = slices.Delete(i.inFlight, k, k+1)
					if u.Complete { // changes count only from the position that they were read for
						i.apply(t, now, u)
					}
				}
			default:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				if from == n {
					readPlatform(n)
				} else if u, ok := read(n, from); ok {
					if u.Complete && rapid.IntRange(0, 4).Draw(t, "delay") == 0 && u.Era < store.era {
						i.inFlight = append(i.inFlight, u)
					} else {
						i.apply(t, now, u)
					}
				}
			}
			check()
		}
		writeAgain()
		for _, i := range instances {
			i.apply(t, now, store.readChanges(i.reconciler.Position()))
		}
		for name, x := range store.targets { // a heartbeat, which is no change
			c := *x
			c.Record.Seq++
			store.targets[name] = &c
		}
		later := now.Add(time.Minute)
		for _, i := range instances {
			i.expire(later)
			i.apply(t, later, store.readChanges(i.reconciler.Position()))
		}
		check()
		for n, i := range instances {
			assert.Equal(t, i.version, max(version, i.version), "instance %d", n)
			assert.Equal(t, i.version, version, "instance %d", n)
			for name, x := range store.targets {
				assert.Equal(t, i.inUse[name], !x.Record.Draining, "instance %d, %s", n, name)
			}
			for name, used := range i.inUse {
				assert.Assert(t, !used || store.targets[name] != nil, "instance %d still uses %s", n, name)
			}
		}
	})
}
