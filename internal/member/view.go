// Package member implements group membership for the instances of one data
// centre: the local membership view, gossip, failure detection and the lifecycle
// of the local instance. It performs no I/O and reads no clock.
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
	// pauseThreshold is the time between two calls above which the process is
	// assumed to have been paused.
	pauseThreshold = time.Second
	// suspicionTimeout is the time without refutation after which a suspected
	// instance is declared gone.
	suspicionTimeout = 5 * time.Second
	// goneRetention is the time for which records of gone instances and of
	// successors are kept. It equals the lifetime of an admission entry, after
	// which a successor is no longer looked up.
	goneRetention = 300 * time.Second
	// joinAloneTimeout is the time without any response after which an instance
	// assumes that no other one is reachable.
	joinAloneTimeout = 3 * time.Second
	// joinTimeout bounds the wait for a view that agrees with that of a peer;
	// joinReceivingTimeout applies while parts of a view arrive. At 500 instances
	// and 2 KB/s a complete view takes about 18 s.
	joinTimeout          = 10 * time.Second
	joinReceivingTimeout = 30 * time.Second
	maxPartDelay         = 2 * time.Second // maximum time between two parts of a view
	// maxSuccessorHops is the maximum length of the chain of successors that
	// Lookup follows.
	maxSuccessorHops = 8
)

// Seed is an address at which an instance may run. It comes from the settings or
// from the platform's list of instances and does not imply that the instance is
// alive.
type Seed struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	PeerAddr   string // IP:port of its listener for peer links
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

// record is the membership record of an instance of the local data centre, with
// the local state kept for it.
type record struct {
	peerwire.Member
	hash         uint64   // contribution to the digest; 0 when the member is gone
	stateSince   ids.Time // local time at which the member became suspected or gone
	changeSeq    uint64   // local sequence number of the last change of the record
	knownToLinks uint16   // bit set of the links whose peer has this record
	fullViewOnly bool     // sent in complete views only, not as a change
	changedAt    ids.Time // local time of the last change of the record
}

func (r *record) gone() bool { return r.Lifecycle == peerwire.Gone }

// declaredGone reports whether the member was declared gone after a suspicion,
// as opposed to a planned stop. Only such a member may still be alive.
func (r *record) declaredGone() bool { return r.gone() && r.Suspected }

// successor is the incarnation that takes over the admissions of a stopped one.
type successor struct {
	incarnation ids.Incarnation
	recordedAt  ids.Time
}

// View is the membership view of the local instance: the records of all known
// instances of its data centre.
type View struct {
	id        ids.Instance
	self      *record // gone only after this instance has left
	lifecycle chart.Machine
	rng       *rand.Rand

	members       map[ids.Instance]*record
	byIncarnation map[ids.Incarnation]*record
	successors    map[ids.Incarnation]successor
	digest        uint64          // XOR of the hashes of all records
	suspected     int             // number of members that are suspected and not yet gone
	superseded    ids.Incarnation // highest incarnation above that of self reported for id; 0 for none

	serving        []ids.Instance
	servingStale   bool // serving has to be computed again
	servingChanged bool // serving changed since the last call of Changed

	configuredSeeds []Seed // seeds from the settings
	platformSeeds   []Seed // seeds from the platform's list
	revision        ids.Revision

	now                   ids.Time
	refreshStartedAt      ids.Time // start of the join or of the refresh after a pause
	peerHeartbeatReceived bool     // a heartbeat was received since refreshStartedAt
	synced                bool

	gossip
	cross
}

// New returns the view of the instance self, which contains self in the state
// joining and the seeds from the settings.
func New(self peerwire.Member, seeds []Seed, seed uint64) *View {
	self.Lifecycle = peerwire.Joining
	self.Suspected = false
	v := &View{
		id:              self.ID,
		lifecycle:       chart.Instance.New(),
		rng:             rand.New(rand.NewPCG(seed, ids.Hash(string(self.ID)))),
		members:         map[ids.Instance]*record{},
		byIncarnation:   map[ids.Incarnation]*record{},
		successors:      map[ids.Incarnation]successor{},
		configuredSeeds: slices.Clone(seeds),
	}
	v.cross.crossPeers = map[ids.Instance]*crossPeer{}
	v.gossip.clockOffsets = map[ids.Instance]*clockOffset{}
	v.self = v.addRecord(self)
	v.servingChanged = true
	return v
}

// SetPlatformSeeds replaces the seeds that come from the platform's list.
func (v *View) SetPlatformSeeds(now ids.Time, listed []Seed) {
	v.advance(now)
	v.platformSeeds = append(v.platformSeeds[:0], listed...)
}

// Fire applies a lifecycle event of this instance. It returns false when the
// current state has no transition for it.
func (v *View) Fire(e Event) bool {
	actions, ok := v.lifecycle.Fire(e)
	if !ok {
		return false
	}
	for _, a := range actions {
		switch a {
		case chart.InstanceAnnounce:
			m := v.self.Member
			m.Lifecycle = peerwire.Lifecycle(v.lifecycle.State())
			v.announce(m)
		case chart.InstanceRefresh:
			v.refresh()
		}
	}
	return true
}

// announce replaces the record of this instance with a higher counter, which
// overrides every older record of this incarnation, and gossips it at once.
func (v *View) announce(m peerwire.Member) {
	m.Counter++
	m.Suspected = false
	v.updateRecord(v.self, m)
	v.broadcast(v.self)
}

// refresh marks the view as unsynced until it has been compared with that of a
// peer again. Heartbeats missed during a pause of this process are no evidence
// against the neighbours, so their deadlines restart.
func (v *View) refresh() {
	v.refreshStartedAt, v.peerHeartbeatReceived, v.synced = v.now, false, false
	v.fullRequestInterval, v.nextFullRequestAt = 0, v.now
	for i := range v.links {
		v.links[i].restartDeadlines(v.now)
	}
}

// advance sets the current time and detects whether this process was paused.
func (v *View) advance(now ids.Time) {
	last := v.now
	v.now = max(now, last)
	if last == 0 {
		v.refresh()
	} else if v.now.Sub(last) > pauseThreshold {
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

// SetSuccessor announces the incarnation that takes over the admissions of this
// one after its planned stop.
func (v *View) SetSuccessor(i ids.Incarnation) {
	m := v.self.Member
	m.Successor = i
	v.announce(m)
}

// Synced reports whether, since the start or the last pause, the view has
// agreed with that of a peer or the wait for this has timed out.
func (v *View) Synced() bool { return v.synced }

// checkSyncTimeout marks the view as synced when the wait for a peer with the same
// view has timed out.
func (v *View) checkSyncTimeout() {
	waited := v.now.Sub(v.refreshStartedAt)
	receiving := v.now.Sub(v.partReceivedAt) < maxPartDelay && waited < joinReceivingTimeout
	if waited >= joinTimeout && !receiving || waited >= joinAloneTimeout && !v.peerHeartbeatReceived {
		v.synced = true
	}
}

// Superseded returns the higher incarnation that runs, or has run, under the id
// of this instance, if one was reported. The process must then stop or restart
// with an incarnation above it, since the other instances ignore its records.
func (v *View) Superseded() (ids.Incarnation, bool) { return v.superseded, v.superseded != 0 }

// Serving returns the sorted ids of the instances of the local data centre that
// are serving and not suspected. The caller must not change the slice, which is
// valid until the next change.
func (v *View) Serving() []ids.Instance {
	v.updateServing()
	return v.serving
}

// updateServing computes serving again if it is stale.
func (v *View) updateServing() {
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
		v.serving, v.servingChanged = list, true
	}
}

// Changed reports whether Serving changed since the last call.
func (v *View) Changed() bool {
	v.updateServing()
	c := v.servingChanged
	v.servingChanged = false
	return c
}

// Lookup returns the instance that is responsible for incarnation i, following
// successors. It returns false when there is none.
func (v *View) Lookup(i ids.Incarnation) (peerwire.Member, bool) {
	for range maxSuccessorHops {
		if s, ok := v.successors[i]; ok {
			i = s.incarnation
			continue
		}
		r := v.byIncarnation[i]
		if r == nil || r.gone() {
			return peerwire.Member{}, false
		}
		return r.Member, true
	}
	return peerwire.Member{}, false
}

// Address returns the address for peer links of an instance or a seed, and false
// when it is unknown.
func (v *View) Address(id ids.Instance) (string, bool) {
	if r := v.members[id]; r != nil && r.PeerAddr != "" {
		return r.PeerAddr, true
	}
	if p := v.cross.crossPeers[id]; p != nil && p.addr != "" {
		return p.addr, true
	}
	for _, list := range [][]Seed{v.platformSeeds, v.configuredSeeds} {
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

// Self returns the record of this instance.
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
