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
	mu                sync.Mutex
	revision          uint64
	configHistory     configHistory
	targets           map[string]*follow.Target // absent when removed
	changes           []change                  // in the order of their revisions
	compactedRevision uint64                    // changes up to this revision are no longer kept
	confirmedAt       time.Time                 // when the state was last confirmed to be up to date
	initialized       bool                      // a full state has been applied
	changed           chan struct{}             // closed at the next change
}

type change struct {
	revision uint64
	name     string
}

// NewState returns an empty state.
func NewState() *State {
	return &State{targets: map[string]*follow.Target{}, changed: make(chan struct{})}
}

// Apply records an update. It replaces a configuration delta in u by the complete
// configuration, for later users of u.
func (s *State) Apply(u *follow.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Complete {
		s.targets = make(map[string]*follow.Target, len(u.Targets))
		s.changes = s.changes[:0]
		s.compactedRevision = u.Revision
		s.initialized = true
	}
	if u.Config != nil || u.ConfigDelta != nil {
		u.Config = s.configHistory.apply(u)
		u.ConfigDelta = nil
	}
	for _, t := range u.Targets {
		if t.Removed && !t.Unreadable {
			delete(s.targets, t.Name)
		} else {
			s.targets[t.Name] = t
		}
		if !u.Complete {
			s.changes = append(s.changes, change{t.Revision, t.Name})
		}
	}
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.compactedRevision = s.changes[excess-1].revision
		s.changes = append(s.changes[:0], s.changes[excess:]...)
	}
	advanced := u.Revision > s.revision || u.Complete
	s.revision = max(s.revision, u.Revision)
	s.confirmedAt = time.Now().Add(-u.Age)
	if advanced {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Version returns the version of the configuration, 0 for none.
func (s *State) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configHistory.version()
}

// Since returns the changes after a revision for a follower that has the given
// version of the configuration, or the full state when those changes are no longer
// kept. next is closed at the next change. ok is false while this instance has no
// state yet.
func (s *State) Since(after, version uint64) (u follow.Update, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.initialized {
		return follow.Update{}, s.changed, false
	}
	u.Revision = max(s.revision, after)
	u.Age = time.Since(s.confirmedAt)
	if after < s.compactedRevision {
		u.Complete = true
		u.Revision = s.revision
		u.Config = s.configHistory.config
		for _, t := range s.targets {
			u.Targets = append(u.Targets, t)
		}
		return u, s.changed, true
	}
	s.configHistory.addChanges(version, &u)
	first := len(s.changes)
	for first > 0 && s.changes[first-1].revision > after {
		first--
	}
	for _, c := range s.changes[first:] {
		t, present := s.targets[c.name]
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
