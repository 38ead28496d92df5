// Package fanout distributes the published configuration and target records among
// the instances of a data centre, so that few of them read the platform. Every
// instance keeps the full state and serves it to others. The first instance in a
// deterministic ranking reads the platform; the others follow an instance ranked
// before them. An instance whose sources are unreachable, stale or unknown reads the
// platform itself.
package fanout

import (
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/internal/follow"
)

// maxChanges is the number of changes that an instance keeps for its followers. A
// follower that is further behind receives the full state.
const maxChanges = 4096

// State is this instance's copy of the published configuration and target records,
// with a log of the latest changes. It is safe for concurrent use.
type State struct {
	now               func() time.Time
	mu                sync.Mutex
	position          follow.Position
	eraBegan          time.Time // zero if the begin of the era was not observed
	configHistory     configHistory
	targets           map[string]*follow.Target // absent when removed, unless unreadable or held
	held              int                       // number of held targets
	overridden        map[string]*follow.Target // published records of held targets, where there are any
	removed           map[string]removedTarget  // removed within follow.RemovalMemory
	prunedAt          time.Time                 // when removed was last pruned
	changes           []change                  // of the present era, in the order of their revisions
	compactedRevision uint64                    // changes up to this revision are no longer kept
	confirmedAt       time.Time                 // when the state was last confirmed to be up to date
	currentAt         time.Time                 // follow.Update.CurrentAt, the latest one; zero if none is known
	clockStart        time.Time                 // when the clock of follow.Update.SentAt was zero
	path              []uint32                  // follow.Update.Path of the last update that was read
	evacuations       *follow.Evacuations
	evacuationsAt     uint64        // revision of the update that changed evacuations last
	initialized       bool          // a full state has been applied
	changed           chan struct{} // closed at the next change
	lostNeighbour     chan struct{} // signalled when a follower or a source is lost
}

// removedTarget is a removed target with its last record.
type removedTarget struct {
	target *follow.Target
	era    uint64 // in which it was removed, or published last
	at     time.Time
}

type change struct {
	revision uint64
	name     string
}

// NewState returns an empty state.
func NewState() *State {
	return newState(time.Now)
}

// newState returns an empty state that takes the time from now.
func newState(now func() time.Time) *State {
	return &State{
		now:           now,
		targets:       map[string]*follow.Target{},
		removed:       map[string]removedTarget{},
		changed:       make(chan struct{}),
		lostNeighbour: make(chan struct{}, 1),
		clockStart:    now().Add(-time.Millisecond), // a SentAt of 0 stands for the former release
	}
}

// neighbourLost signals that the connection to a follower or a source has ended.
func (s *State) neighbourLost() {
	select {
	case s.lostNeighbour <- struct{}{}:
	default: // a signal is pending
	}
}

// Age returns the time since the state was last confirmed to be up to date, and false
// while there is none.
func (s *State) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.confirmedAt), s.initialized
}

// Apply records an update. It replaces a configuration delta in u by the complete
// configuration, for later users of u.
func (s *State) Apply(u *follow.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneRemoved()
	former, formerPosition := s.targets, s.position
	if u.Complete {
		s.targets = make(map[string]*follow.Target, len(u.Targets))
		s.held = 0
		s.overridden = make(map[string]*follow.Target, len(u.Overridden))
		for _, t := range u.Overridden {
			s.overridden[t.Name] = t
		}
		s.changes = s.changes[:0]
		s.compactedRevision = u.Revision
		s.initialized = true
	}
	s.eraBegan = time.Time{}
	if u.EraAge > 0 {
		s.eraBegan = s.now().Add(-u.EraAge)
	}
	if u.Config != nil || u.ConfigDelta != nil {
		u.Config = s.configHistory.apply(u)
		u.ConfigDelta = nil
	}
	if u.Evacuations != nil {
		s.evacuations, s.evacuationsAt = u.Evacuations, u.Revision
	}
	for _, t := range u.Targets {
		s.put(t, u.Era)
		// What is no longer held is no change; followers come to know it by themselves.
		if !u.Complete && t.Revision > formerPosition.Revision {
			s.changes = append(s.changes, change{t.Revision, t.Name})
		}
	}
	if u.Complete {
		for name, t := range former {
			if s.targets[name] == nil {
				s.remember(t, formerPosition.Era)
			}
		}
	}
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.compactedRevision = s.changes[excess-1].revision
		s.changes = append(s.changes[:0], s.changes[excess:]...)
	}
	advanced := u.Position().Compare(s.position) > 0 || u.Complete
	if advanced {
		s.position = u.Position()
	}
	s.confirmedAt = s.now().Add(-u.Age)
	if u.CurrentAt.After(s.currentAt) {
		s.currentAt = u.CurrentAt
	}
	if u.Direct || len(u.Path) > 0 {
		s.path = u.Path
	}
	if advanced {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// put replaces the entry of a target by one of the given era.
func (s *State) put(t *follow.Target, era uint64) {
	old := s.targets[t.Name]
	if old != nil && old.Held != follow.NotHeld {
		s.held--
	}
	if t.Held != follow.NotHeld {
		s.held++
	} else {
		delete(s.overridden, t.Name)
	}
	if t.Removed && !t.Unreadable && t.Held == follow.NotHeld {
		s.remember(t, era)
		delete(s.targets, t.Name)
		return
	}
	s.targets[t.Name] = t
	delete(s.removed, t.Name)
}

// remember keeps the last record of a target that is removed.
func (s *State) remember(t *follow.Target, era uint64) {
	if t.Record.Name != "" {
		s.removed[t.Name] = removedTarget{&follow.Target{Name: t.Name, Revision: t.Revision, Removed: true, Record: t.Record}, era, s.now()}
	}
}

// pruneRemoved forgets the targets that were removed long ago, at most once a second.
func (s *State) pruneRemoved() {
	if s.now().Sub(s.prunedAt) < time.Second {
		return
	}
	s.prunedAt = s.now()
	for name, r := range s.removed {
		if s.now().Sub(r.at) >= follow.RemovalMemory {
			delete(s.removed, name)
		}
	}
}

// Version returns the version of the configuration, 0 for none.
func (s *State) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configHistory.version()
}

// Position returns the position up to which the state is complete.
func (s *State) Position() follow.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// Held returns the number of targets with a record other than the published one.
func (s *State) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Query is what a follower asks for.
type Query struct {
	After   follow.Position // position of the follower
	Version uint64          // version of its configuration, 0 for none
	// Starting is set by an instance that has read the platform for the first time in
	// the present era. It may not know what was lost in a restore.
	Starting bool
	// FormerRelease is set by an instance of a former release. It takes only published
	// records, as it may keep others for good.
	FormerRelease bool
}

// Since returns the changes after the position of a follower, or the full state when
// those changes are no longer kept, are of an earlier era, or omit what a starting
// instance must know. The position of a follower that is ahead does not go back. next
// is closed at the next change. ok is false while this instance has no state yet.
func (s *State) Since(q Query) (u follow.Update, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.initialized {
		return follow.Update{}, s.changed, false
	}
	u.Era, u.Revision = s.position.Era, s.position.Revision
	u.Age = s.now().Sub(s.confirmedAt)
	now := s.now()
	u.SentAt = uint64(now.Sub(s.clockStart).Milliseconds())
	if !s.currentAt.IsZero() {
		u.Lag = uint64(max(now.Sub(s.currentAt), 0).Milliseconds()) + 1
	}
	u.Path = s.path
	if !s.eraBegan.IsZero() {
		u.EraAge = max(s.now().Sub(s.eraBegan), 1)
	}
	sameEra := q.After.Era == s.position.Era
	switch {
	case q.After.Era > s.position.Era && !q.Starting:
		return u, s.changed, true // behind the follower, which has to look elsewhere
	case !sameEra || q.After.Revision < s.compactedRevision || q.Starting && s.held > 0:
		u.Complete = true
		u.Config, u.Evacuations = s.configHistory.config, s.evacuations
		u.Targets = s.allTargets(!q.FormerRelease, q.Starting || !sameEra)
		return u, s.changed, true
	}
	u.Revision = max(u.Revision, q.After.Revision)
	s.configHistory.addChanges(q.Version, &u)
	if q.After.Revision < s.evacuationsAt {
		u.Evacuations = s.evacuations
	}
	first := len(s.changes)
	for first > 0 && s.changes[first-1].revision > q.After.Revision {
		first--
	}
	for _, c := range s.changes[first:] {
		t, present := s.targets[c.name] // not held: a change of this era is in force
		switch {
		case !present:
			t = &follow.Target{Name: c.name, Revision: c.revision, Removed: true}
		case t.Revision != c.revision:
			continue // a later change of this target follows
		}
		u.Targets = append(u.Targets, t)
	}
	return u, s.changed, true
}

// allTargets returns the targets of a full state. With held, it has also those held, beside
// what is published about them; with removed also those that are remembered as removed.
func (s *State) allTargets(held, removed bool) []*follow.Target {
	list := make([]*follow.Target, 0, len(s.targets)+len(s.overridden))
	for _, t := range s.overridden {
		list = append(list, t)
	}
	for _, t := range s.targets {
		if held || t.Held == follow.NotHeld {
			list = append(list, t)
		}
	}
	if !removed {
		return list
	}
	for _, r := range s.removed {
		switch t := r.target; {
		case r.era == s.position.Era:
			list = append(list, t) // part of the present era
		case held:
			former := *t
			former.Held = follow.HeldNewer
			list = append(list, &former)
		}
	}
	return list
}
