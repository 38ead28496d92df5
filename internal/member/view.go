// Package member keeps the view that an instance has of the others in its data
// centre: gossip, failure detection and the lifecycle of the instance itself.
// It performs no I/O and reads no clock.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// pauseGap between two calls shows that the process was paused.
	pauseGap = time.Second
	// goneAfter is the time without refutation after which a suspected
	// instance is declared gone.
	goneAfter = 5 * time.Second
	// forgetAfter is the time for which records of gone instances and
	// successors are kept. It equals the lifetime of an admission entry, the
	// last use of a successor.
	forgetAfter = 300 * time.Second
	// joinAlone is the time without any answer after which an instance
	// considers itself the only one reachable.
	joinAlone = 3 * time.Second
	// joinLimit bounds the wait for a view that agrees with that of a peer;
	// joinLonger applies while parts of a view arrive. At 500 instances and
	// 2 KB/s a complete view takes about 18 s.
	joinLimit  = 10 * time.Second
	joinLonger = 30 * time.Second
	partPause  = 2 * time.Second // between two parts
	// maxSuccessors bounds a chain of successors in Lookup.
	maxSuccessors = 8
)

// Seed is an address at which an instance may be found. It comes from the
// settings or the platform's list and says nothing about liveness.
type Seed struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	PeerAddr   string // IP:port of its link listener
}

// Event is an event of the lifecycle chart of this instance.
type Event = chart.Event

// Lifecycle events for View.Fire.
const (
	Ready  = chart.InstanceReady
	Resume = chart.InstanceResume
	Stop   = chart.InstanceStop
	Leave  = chart.InstanceLeave
)

// record is a member of the own data centre and what this instance keeps
// with it.
type record struct {
	peerwire.Member
	hash    uint64   // contribution to the digest; 0 when gone
	since   ids.Time // when it became suspected or gone here
	change  uint64   // sequence number of its last change here
	knownBy uint16   // link slots whose peer has this record
	quiet   bool     // sent with complete views only
	at      ids.Time // of its last change here
}

func (r *record) gone() bool { return r.Lifecycle == peerwire.Gone }

// declaredGone tells a member declared gone after suspicion from one that has
// left as planned. Only the former may still be alive.
func (r *record) declaredGone() bool { return r.gone() && r.Suspected }

type successor struct {
	incarnation ids.Incarnation
	since       ids.Time
}

// View is everything known of the instances of the own data centre.
type View struct {
	id      ids.Instance
	self    *record // never gone unless this instance has left
	machine chart.Machine
	rng     *rand.Rand

	members    map[ids.Instance]*record
	byRun      map[ids.Incarnation]*record
	successors map[ids.Incarnation]successor
	digest     uint64 // XOR of the hashes of all members
	suspected  int    // members suspected and not yet gone
	superseded ids.Incarnation

	serving      []ids.Instance
	servingStale bool // serving must be computed again
	changed      bool // serving differs from what Changed last reported

	settings []Seed // from the settings
	listed   []Seed // from the platform's list
	revision ids.Revision

	now         ids.Time
	refreshFrom ids.Time // start of the join or of the refresh after a pause
	heardPeer   bool     // a peer has answered since refreshFrom
	synced      bool

	gossip
	cross
}

// New returns the view of the instance self, which knows only its seeds. Self
// starts as joining.
func New(self peerwire.Member, seeds []Seed, seed uint64) *View {
	self.Lifecycle = peerwire.Joining
	self.Suspected = false
	v := &View{
		id:         self.ID,
		machine:    chart.Instance.New(),
		rng:        rand.New(rand.NewPCG(seed, ids.Hash(string(self.ID)))),
		members:    map[ids.Instance]*record{},
		byRun:      map[ids.Incarnation]*record{},
		successors: map[ids.Incarnation]successor{},
		settings:   slices.Clone(seeds),
	}
	v.cross.peers = map[ids.Instance]*crossPeer{}
	v.gossip.clocks = map[ids.Instance]*clock{}
	v.self = v.put(self)
	v.changed = true
	return v
}

// SetPlatformSeeds replaces the seeds that come from the platform's list.
func (v *View) SetPlatformSeeds(now ids.Time, listed []Seed) {
	v.advance(now)
	v.listed = append(v.listed[:0], listed...)
}

// Fire applies a lifecycle event of this instance. It returns false when the
// current state does not react to it.
func (v *View) Fire(e Event) bool {
	actions, ok := v.machine.Fire(e)
	if !ok {
		return false
	}
	for _, a := range actions {
		switch a {
		case chart.InstanceAnnounce:
			m := v.self.Member
			m.Lifecycle = peerwire.Lifecycle(v.machine.State())
			v.announce(m)
		case chart.InstanceRefresh:
			v.refresh()
		}
	}
	return true
}

// announce replaces the own record under a higher counter, which overrides
// every older record of this incarnation, and gossips it at once.
func (v *View) announce(m peerwire.Member) {
	m.Counter++
	m.Suspected = false
	v.replace(v.self, m)
	v.broadcast(v.self)
}

// refresh starts a new comparison with the peers. Silence during the pause
// says nothing about the neighbours, so their deadlines start again.
func (v *View) refresh() {
	v.refreshFrom, v.heardPeer, v.synced = v.now, false, false
	v.askGap, v.askAt = 0, v.now
	for i := range v.links {
		v.links[i].restart(v.now)
	}
}

// advance sets the current time and detects a pause of this process.
func (v *View) advance(now ids.Time) {
	last := v.now
	v.now = max(now, last)
	if last == 0 {
		v.refresh()
	} else if v.now.Sub(last) > pauseGap {
		v.Fire(Resume)
	}
}

// SetRevision sets the configuration revision that heartbeats announce. A new
// one is announced at once.
func (v *View) SetRevision(r ids.Revision) {
	if r > v.revision {
		v.revision = r
		v.urgentRevision = true
	}
}

// SetSuccessor announces the incarnation that answers for the admissions of
// this one after its planned stop.
func (v *View) SetSuccessor(i ids.Incarnation) {
	m := v.self.Member
	m.Successor = i
	v.announce(m)
}

// Synced reports whether, since the start or the last pause, the view has
// agreed with that of a peer or the bounded wait for that has ended.
func (v *View) Synced() bool { return v.synced }

func (v *View) checkSynced() {
	wait := v.now.Sub(v.refreshFrom)
	arriving := v.now.Sub(v.partAt) < partPause && wait < joinLonger
	if wait >= joinLimit && !arriving || wait >= joinAlone && !v.heardPeer {
		v.synced = true
	}
}

// Superseded returns the higher incarnation that runs, or has run, under the
// id of this instance. A process that gets one must stop or start again with
// an incarnation above it, since its own records are ignored by the others.
func (v *View) Superseded() (ids.Incarnation, bool) { return v.superseded, v.superseded != 0 }

// Serving returns the serving and trusted instances of the own data centre,
// sorted. The caller must not change it; it is valid until the next change.
func (v *View) Serving() []ids.Instance {
	v.refreshServing()
	return v.serving
}

func (v *View) refreshServing() {
	if !v.servingStale {
		return
	}
	v.servingStale = false
	var list []ids.Instance
	for id, r := range v.members {
		if serves(&r.Member) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	if !slices.Equal(list, v.serving) {
		v.serving, v.changed = list, true
	}
}

// Changed reports whether Serving changed since the last call.
func (v *View) Changed() bool {
	v.refreshServing()
	c := v.changed
	v.changed = false
	return c
}

// Lookup returns the instance that answers for incarnation i, following
// successors. It returns false when there is none.
func (v *View) Lookup(i ids.Incarnation) (peerwire.Member, bool) {
	for range maxSuccessors {
		if s, ok := v.successors[i]; ok {
			i = s.incarnation
			continue
		}
		r := v.byRun[i]
		if r == nil || r.gone() {
			return peerwire.Member{}, false
		}
		return r.Member, true
	}
	return peerwire.Member{}, false
}

// Address returns the link address of an instance or a seed.
func (v *View) Address(id ids.Instance) (string, bool) {
	if r := v.members[id]; r != nil && r.PeerAddr != "" {
		return r.PeerAddr, true
	}
	if p := v.cross.peers[id]; p != nil && p.addr != "" {
		return p.addr, true
	}
	for _, list := range [][]Seed{v.listed, v.settings} {
		for i := range list {
			if list[i].ID == id {
				return list[i].PeerAddr, true
			}
		}
	}
	return "", false
}

// State returns the lifecycle state of this instance.
func (v *View) State() peerwire.Lifecycle { return v.self.Lifecycle }

// Self returns the own record.
func (v *View) Self() peerwire.Member { return v.self.Member }

// Members returns all records, those of gone instances included, sorted by id.
func (v *View) Members() []peerwire.Member {
	list := make([]peerwire.Member, 0, len(v.members))
	for _, r := range v.members {
		list = append(list, r.Member)
	}
	slices.SortFunc(list, func(a, b peerwire.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
