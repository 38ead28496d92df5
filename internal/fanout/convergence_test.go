package fanout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

const (
	simTick = 100 * time.Millisecond
	// simReadInterval is the interval at which an instance reads the platform.
	simReadInterval = 400 * time.Millisecond
	simHeartbeat    = 770 * time.Millisecond
	simMaxAge       = 1500 * time.Millisecond
	// simCalm is the time without a disruption after which every instance has to know what
	// the platform has: the shortest contact-ms of the users' deployments.
	simCalm = 4 * time.Second
)

// simTarget is a backend server.
type simTarget struct {
	record   passthrough.TargetRecord // with the number of its writes
	alive    bool
	beatAt   time.Time // of the next heartbeat
	cutUntil time.Time // until then it does not reach the platform
	leaveAt  time.Time // when it has drained; zero unless it is draining
}

// simPlatform is a platform that can be away, forget its history, and be restored.
type simPlatform struct {
	era, revision, compacted uint64
	config                   *passthrough.Config
	items                    map[string]*follow.Target
	leases                   map[string]time.Time // last heartbeat of each item
	changes                  []*follow.Target     // nil entries are changes of the configuration
	revisions                []uint64             // of changes
	downUntil                time.Time
}

func (p *simPlatform) clone() *simPlatform {
	c := *p
	c.items, c.leases = maps.Clone(p.items), maps.Clone(p.leases)
	c.changes, c.revisions = slices.Clone(p.changes), slices.Clone(p.revisions)
	return &c
}

// write adds a change of a target, or of the configuration if t is nil.
func (p *simPlatform) write(t *follow.Target) {
	p.revision++
	if t != nil {
		t.Revision = p.revision
		p.items[t.Name] = t
		if t.Removed && !t.Unreadable {
			delete(p.items, t.Name)
		}
	}
	p.changes, p.revisions = append(p.changes, t), append(p.revisions, p.revision)
}

func (p *simPlatform) readAll(now time.Time) follow.Update {
	u := follow.Update{Complete: true, Direct: true, Era: p.era, Revision: p.revision, Config: p.config, Evacuations: &follow.Evacuations{}, CurrentAt: now}
	for _, name := range slices.Sorted(maps.Keys(p.items)) {
		u.Targets = append(u.Targets, p.items[name])
	}
	return u
}

func (p *simPlatform) readChanges(now time.Time, after follow.Position) (follow.Update, error) {
	switch {
	case after.Era != p.era:
		return follow.Update{}, follow.ErrRestored
	case after.Revision < p.compacted:
		return follow.Update{}, follow.ErrHistoryLost
	}
	u := follow.Update{Direct: true, Era: p.era, Revision: p.revision, CurrentAt: now}
	for n, c := range p.changes {
		switch {
		case p.revisions[n] <= after.Revision:
		case c == nil:
			u.Config = p.config
		default:
			u.Targets = append(u.Targets, c)
		}
	}
	return u, nil
}

// simNode is an instance without I/O: what Follower, Source and Forwarder do is done by
// step, one read at a time.
type simNode struct {
	reconciler *follow.Reconciler
	state      *State
	core       *passthrough.Core
	synced     bool
	failing    bool
	askedEra   uint64
	lost       follow.Position // position at which the history was lost
	late       *follow.Update  // answer of another instance that is under way
	lateAt     time.Time
	readAt     time.Time
	cutUntil   time.Time // until then it does not reach the platform
	loseReads  int       // full reads of the platform whose answers are lost
	follows    int       // index of the instance that it follows, -1 for the platform
}

// sim is a platform, its targets and some instances on virtual time.
type sim struct {
	t        *rapid.T
	now      time.Time
	rng      *rand.Rand
	platform *simPlatform
	copied   *simPlatform
	version  uint64 // of the latest configuration that the operator wrote
	rewrite  time.Time
	targets  []*simTarget
	nodes    []*simNode
}

func (s *sim) clock() time.Time { return s.now }

func (s *sim) coreTime() ids.Time { return ids.Time(s.now.UnixNano()) }

func (s *sim) newNode() *simNode {
	return &simNode{
		reconciler: follow.NewReconciler(), state: newState(s.clock), follows: -1,
		core: passthrough.New(passthrough.Settings{DataCentre: "a", MaxFlows: 16, FlowLifetime: time.Minute, HeartbeatInterval: simHeartbeat, Seed: 1}),
	}
}

func simConfig(version uint64) *passthrough.Config { return &passthrough.Config{Version: version} }

// tick advances the time.
func (s *sim) tick() {
	s.now = s.now.Add(simTick)
	up := !s.now.Before(s.platform.downUntil)
	for _, x := range s.targets {
		if !x.leaveAt.IsZero() && !s.now.Before(x.leaveAt) {
			x.alive, x.leaveAt = false, time.Time{}
			if s.platform.items[x.record.Name] != nil && up && !s.now.Before(x.cutUntil) {
				s.platform.write(&follow.Target{Name: x.record.Name, Removed: true})
			}
		}
		if x.alive && !s.now.Before(x.beatAt) {
			x.beatAt = s.now.Add(simHeartbeat)
			if up && !s.now.Before(x.cutUntil) {
				s.beat(x)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.platform.items)) {
		if s.now.Sub(s.platform.leases[name]) > 3*simHeartbeat {
			s.platform.write(&follow.Target{Name: name, Removed: true})
		}
	}
	if up && s.platform.config.Version < s.version && !s.now.Before(s.rewrite) {
		s.platform.config = simConfig(s.version)
		s.platform.write(nil)
	}
	for _, n := range s.nodes {
		s.step(n)
		n.core.Tick(s.coreTime())
	}
}

// beat publishes the record of a target. It is a change only if more than the number of
// writes differs.
func (s *sim) beat(x *simTarget) {
	x.record.Seq++
	written := &follow.Target{Name: x.record.Name, Record: x.record}
	s.platform.leases[x.record.Name] = s.now
	if old := s.platform.items[x.record.Name]; old != nil && !old.Unreadable && old.Record.StartedAt == x.record.StartedAt && old.Record.Draining == x.record.Draining {
		written.Revision = old.Revision
		s.platform.items[x.record.Name] = written
		return
	}
	s.platform.write(written)
}

// step lets an instance read once, if it is time to.
func (s *sim) step(n *simNode) {
	if u := n.reconciler.Expire(s.now); u != nil {
		s.deliver(n, u)
	}
	if n.late != nil && !s.now.Before(n.lateAt) {
		p := n.reconciler.Position()
		u := follow.Update{Era: p.Era, Revision: p.Revision, Direct: true, Before: n.late}
		n.late = nil
		s.apply(n, u)
	}
	if !n.synced {
		s.readAll(n)
		return
	}
	if n.follows >= 0 {
		if u, ok := s.readPeer(s.nodes[n.follows], Query{After: n.reconciler.Position(), Version: n.state.Version()}); ok && u.Age <= simMaxAge && u.Era >= n.reconciler.Position().Era {
			s.apply(n, u)
			return
		}
	}
	if s.now.Before(n.readAt) {
		return
	}
	n.readAt = s.now.Add(simReadInterval)
	if s.now.Before(s.platform.downUntil) || s.now.Before(n.cutUntil) {
		n.failing = true
		return
	}
	u, err := s.platform.readChanges(s.now, n.reconciler.Position())
	if err != nil {
		n.synced, n.lost = false, n.reconciler.Position()
		s.readAll(n)
		return
	}
	s.apply(n, u)
}

// readPeer reads from another instance.
func (s *sim) readPeer(from *simNode, q Query) (follow.Update, bool) {
	u, _, ok := from.state.Since(q)
	if !ok || u.ConfigDelta != nil && u.ConfigDelta.Base != q.Version {
		return u, false
	}
	u.Targets = slices.Clone(u.Targets)
	if u.Lag != 0 {
		u.CurrentAt = s.now.Add(-time.Duration(u.Lag) * time.Millisecond)
	}
	return u, true
}

// readAll reads the full state from the platform or else from another instance.
func (s *sim) readAll(n *simNode) {
	if s.now.Before(n.readAt) && n.failing {
		return
	}
	n.readAt = s.now.Add(simReadInterval)
	if s.now.Before(s.platform.downUntil) || s.now.Before(n.cutUntil) || n.loseReads > 0 {
		n.failing, n.loseReads = true, max(n.loseReads-1, 0)
		for _, k := range s.rng.Perm(len(s.nodes)) {
			if s.nodes[k] == n {
				continue
			}
			if u, ok := s.readPeer(s.nodes[k], Query{}); ok && (n.lost.Revision == 0 || u.Position().Compare(n.lost) > 0) {
				s.apply(n, u)
				return
			}
		}
		return
	}
	u := s.platform.readAll(s.now)
	if u.Era > n.askedEra {
		n.askedEra = u.Era
		s.askPeer(n, &u)
	}
	s.apply(n, u)
}

// askPeer asks another instance what it knows beyond a full read of the platform.
func (s *sim) askPeer(n *simNode, u *follow.Update) {
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	if other == n || s.rng.IntN(4) == 0 {
		return // no answer
	}
	peer, ok := s.readPeer(other, Query{After: u.Position(), Version: u.Config.Version, Starting: true})
	if !ok || peer.Age > maxMemoryAge || !peer.Complete {
		return
	}
	if s.rng.IntN(3) == 0 {
		n.late, n.lateAt = &peer, s.now.Add(time.Duration(1+s.rng.IntN(7))*simTick)
		u.CurrentAt = time.Time{}
		return
	}
	u.Before = &peer
}

// apply is Follower.handleUpdate.
func (s *sim) apply(n *simNode, u follow.Update) {
	u.Targets = slices.Clone(u.Targets)
	if !n.reconciler.Apply(s.now, &u) {
		n.failing = true
		return
	}
	u.AfterOutage = n.failing
	n.failing, n.synced = false, true
	s.deliver(n, &u)
}

// deliver is Forwarder.deliver.
func (s *sim) deliver(n *simNode, u *follow.Update) {
	n.state.Apply(u)
	u.ApplyTo(s.coreTime(), n.core)
}

// disturb draws one event and carries it out.
func (s *sim) disturb() {
	seconds := func(least, most int) time.Time {
		return s.now.Add(time.Duration(rapid.IntRange(10*least, 10*most).Draw(s.t, "tenths")) * simTick)
	}
	x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "target")]
	n := rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "instance")
	up := !s.now.Before(s.platform.downUntil)
	switch rapid.SampledFrom([]string{"configure", "drain", "crash", "start", "start", "cut target", "overwrite", "outage", "copy", "restore", "forget history", "cut instance", "restart instance", "follow", "lose reads"}).Draw(s.t, "event") {
	case "configure":
		if up {
			s.version++
			s.platform.config = simConfig(s.version)
			s.platform.write(nil)
		}
	case "drain":
		if x.alive && !x.record.Draining {
			x.record.Draining, x.beatAt, x.leaveAt = true, s.now, seconds(3, 8)
		}
	case "crash":
		x.alive, x.leaveAt = false, time.Time{}
	case "start":
		if !x.alive {
			x.alive, x.beatAt = true, s.now
			x.record.StartedAt, x.record.Seq, x.record.Draining = s.now.UnixMilli(), 0, false
		}
	case "cut target":
		x.cutUntil = seconds(1, 6)
	case "overwrite": // by another writer
		if up && s.platform.items[x.record.Name] != nil {
			s.platform.write(&follow.Target{Name: x.record.Name, Removed: true, Unreadable: true})
		}
	case "outage":
		s.platform.downUntil = seconds(0, 5)
	case "copy":
		s.copied = s.platform.clone()
	case "restore":
		if s.copied != nil {
			era := s.platform.era
			s.platform = s.copied.clone()
			s.platform.era, s.platform.downUntil = era+1, s.now.Add(3*simTick)
			s.rewrite = s.now.Add(time.Second)
			for name := range s.platform.items {
				s.platform.leases[name] = s.now
			}
		}
	case "forget history":
		s.platform.compacted = s.platform.revision
	case "cut instance":
		s.nodes[n].cutUntil = seconds(1, 6)
	case "restart instance":
		s.nodes[n] = s.newNode()
	case "follow": // an instance of lower index, so that there is no cycle
		s.nodes[n].follows = rapid.IntRange(-1, n-1).Draw(s.t, "source")
	case "lose reads":
		s.nodes[n].loseReads = 1
	}
}

// check compares what each instance uses with what the platform has.
func (s *sim) check() {
	for k, n := range s.nodes {
		assert.Equal(s.t, n.reconciler.Position(), follow.Position{Era: s.platform.era, Revision: s.platform.revision}, "instance %d", k)
		assert.Equal(s.t, n.core.Version(), s.version, "instance %d", k)
		assert.Equal(s.t, n.reconciler.Held(), 0, "instance %d", k)
		assert.Equal(s.t, n.state.Held(), 0, "instance %d", k)
		lifecycle := map[string]string{}
		for _, x := range n.core.Snapshot(s.coreTime()).Targets {
			lifecycle[x.Name] = x.Lifecycle
		}
		for _, x := range s.targets {
			published := s.platform.items[x.record.Name]
			got := lifecycle[x.record.Name]
			inUse := got == "starting" || got == "serving"
			assert.Equal(s.t, inUse, published != nil && !published.Unreadable && !published.Record.Draining, "instance %d: %s is %q", k, x.record.Name, got)
			if published != nil && !published.Unreadable {
				assert.Assert(s.t, got != "gone", "instance %d: %s", k, x.record.Name)
			}
		}
	}
}

// Guards against an instance that goes on believing what the platform contradicts (review/6,
// review/7, review/9), or waits for a read that nobody does: after any sequence of outages,
// restores, lost history, lost answers and partitions, of targets that leave, crash, start
// again under their names and whose entries another writer makes unreadable, and of instances that restart and change their sources,
// and some calm, every instance uses what the platform has.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, converge)
}

// converge plays one sequence.
func converge(t *rapid.T) {
	s := &sim{t: t, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), version: 1}
	s.platform = &simPlatform{era: 1, revision: 10, config: simConfig(1), items: map[string]*follow.Target{}, leases: map[string]time.Time{}}
	for k := range 4 {
		s.targets = append(s.targets, &simTarget{alive: k > 0, beatAt: s.now.Add(time.Duration(k+1) * simTick), record: passthrough.TargetRecord{
			Name: fmt.Sprint("t", k), Identity: uint64(k + 1), Service: "counter", DataCentre: "a", Slots: 2, StartedAt: s.now.UnixMilli(),
			Address: passthrough.Endpoint{IP: [4]byte{127, 0, 0, byte(k + 1)}, Port: 8080},
		}})
	}
	for range 4 {
		s.nodes = append(s.nodes, s.newNode())
	}
	s.nodes[2].follows, s.nodes[3].follows = 0, 2
	run := func(d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); {
			s.tick()
		}
	}
	run(3 * time.Second)
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		s.disturb()
		run(time.Duration(rapid.IntRange(0, 25).Draw(t, "pause")) * simTick)
	}
	// Everything that is cut off comes back now.
	s.platform.downUntil = s.now
	for _, x := range s.targets {
		x.cutUntil, x.leaveAt = s.now, time.Time{} // one that drains goes on doing so
	}
	for _, n := range s.nodes {
		n.cutUntil, n.loseReads = s.now, 0
	}
	run(simCalm)
	s.check()
}
