// Package fanout passes what is published on to the instances of a data centre,
// so that few of them read the platform. Every instance keeps the whole state
// and serves it; the first in a ranking that all compute alike reads the
// platform, the others follow an instance ranked before them. An instance whose
// sources are unreachable, stale or unknown reads the platform itself.
package fanout

import (
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/internal/follow"
)

// logLimit is the number of changes that an instance keeps for others; one that
// is further behind gets everything.
const logLimit = 4096

// State is everything that is published, as far as this instance knows, with
// its latest changes. It is safe for concurrent use.
type State struct {
	mu        sync.Mutex
	revision  uint64
	routes    routes
	targets   map[string]*follow.Target // absent when removed
	log       []change                  // in the order of their revisions
	floor     uint64                    // changes up to this revision are not in the log
	confirmed time.Time                 // when the state was last known to be complete
	known     bool
	changed   chan struct{} // closed at the next change
}

type change struct {
	revision uint64
	name     string
}

// NewState returns an empty state.
func NewState() *State {
	return &State{targets: map[string]*follow.Target{}, changed: make(chan struct{})}
}

// Apply records an update. It turns a difference of the configuration into the
// whole version, for those who use u afterwards.
func (s *State) Apply(u *follow.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Complete {
		s.targets = make(map[string]*follow.Target, len(u.Targets))
		s.log = s.log[:0]
		s.floor = u.Revision
		s.known = true
	}
	if u.Config != nil || u.ConfigDelta != nil {
		u.Config = s.routes.apply(u)
		u.ConfigDelta = nil
	}
	for _, t := range u.Targets {
		if t.Removed && !t.Unreadable {
			delete(s.targets, t.Name)
		} else {
			s.targets[t.Name] = t
		}
		if !u.Complete {
			s.log = append(s.log, change{t.Revision, t.Name})
		}
	}
	if over := len(s.log) - logLimit; over > 0 {
		s.floor = s.log[over-1].revision
		s.log = append(s.log[:0], s.log[over:]...)
	}
	advanced := u.Revision > s.revision || u.Complete
	s.revision = max(s.revision, u.Revision)
	s.confirmed = time.Now().Add(-u.Age)
	if advanced {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Version returns the version of the configuration, 0 for none.
func (s *State) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.version()
}

// Since returns what a follower lacks that knows everything up to a revision and
// has a version of the configuration, or everything when that is not known any
// more, and a channel that is closed at the next change. ok is false while nothing
// is known.
func (s *State) Since(after, version uint64) (u follow.Update, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return follow.Update{}, s.changed, false
	}
	u.Revision = max(s.revision, after)
	u.Age = time.Since(s.confirmed)
	if after < s.floor {
		u.Complete = true
		u.Revision = s.revision
		u.Config = s.routes.config
		for _, t := range s.targets {
			u.Targets = append(u.Targets, t)
		}
		return u, s.changed, true
	}
	s.routes.since(version, &u)
	first := len(s.log)
	for first > 0 && s.log[first-1].revision > after {
		first--
	}
	for _, c := range s.log[first:] {
		t, present := s.targets[c.name]
		switch {
		case !present:
			t = &follow.Target{Name: c.name, Revision: c.revision, Removed: true}
		case t.Revision != c.revision:
			continue // a later entry of the log has it
		}
		u.Targets = append(u.Targets, t)
	}
	return u, s.changed, true
}
