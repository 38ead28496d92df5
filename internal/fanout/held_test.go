package fanout

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// Guards against an instance of a former release that gets a held record and keeps it for
// good, as its marks for that cannot tell it when to stop.
func TestFormerReleaseGetsPublishedRecords(t *testing.T) {
	s := NewState()
	s.Apply(&follow.Update{Complete: true, Era: 1, Revision: 8, Targets: []*follow.Target{target("left", 5, false)}})
	held := *target("gone", 10, true)
	held.Held = follow.HeldNewer
	missing := *target("missing", 10, false)
	missing.Held = follow.HeldMissing
	s.Apply(&follow.Update{Complete: true, Era: 2, Revision: 10, Targets: []*follow.Target{&held, &missing}, Overridden: []*follow.Target{target("gone", 9, false)}})
	for former, want := range map[bool]int{true: 1, false: 4} {
		u, _, _ := s.Since(Query{FormerRelease: former})
		assert.Equal(t, len(u.Targets), want, "former release: %t", former)
		assert.Assert(t, slices.ContainsFunc(u.Targets, func(t *follow.Target) bool { return t.Name == "gone" && !t.Removed && t.Held == follow.NotHeld }))
	}
}

// Guards against a follower that misses a change since the source has used an older record
// again after it: the end of a hold is not a change.
func TestEndOfHoldIsNoChange(t *testing.T) {
	s := NewState()
	held := *target("gone", 9, true)
	held.Held = follow.HeldNewer
	s.Apply(&follow.Update{Complete: true, Era: 2, Revision: 10, Targets: []*follow.Target{&held}, Overridden: []*follow.Target{target("gone", 9, false)}})
	s.Apply(&follow.Update{Era: 2, Revision: 12, Targets: []*follow.Target{target("a", 12, false)}})
	s.Apply(&follow.Update{Era: 2, Revision: 12, Targets: []*follow.Target{target("gone", 9, false)}})
	assert.Equal(t, s.Held(), 0)
	s.Apply(&follow.Update{Era: 2, Revision: 14, Targets: []*follow.Target{target("b", 14, false)}})
	u, _, _ := s.Since(Query{After: follow.Position{Era: 2, Revision: 11}})
	assert.Assert(t, !u.Complete)
	assert.Equal(t, len(u.Targets), 2)
	u, _, _ = s.Since(Query{})
	assert.Equal(t, len(u.Targets), 3, "each target once")
}

// record returns the record of target x as its write seq.
func record(revision uint64, seq int64, draining bool) *follow.Target {
	return &follow.Target{Name: "x", Revision: revision, Record: passthrough.TargetRecord{Name: "x", StartedAt: 5, Seq: seq, Draining: draining}}
}

// readsFrom applies what another instance sends to i, from its position on or, with
// fullState, everything.
func (i *modelInstance) readsFrom(t assert.TestingT, now time.Time, other *modelInstance, fullState bool) {
	q := Query{After: i.reconciler.Position(), Version: i.version}
	if fullState {
		q = Query{}
	}
	u, _, ok := other.state.Since(q)
	assert.Assert(t, ok)
	i.apply(t, now, u)
}

// Guards against a removal of the present era that another instance takes for one that a
// restore may have undone (review/9): it went on believing it when the target was back.
func TestRemovalOfThisEraIsNotHeld(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newModelInstance(), newModelInstance()
	a.apply(t, now, follow.Update{Complete: true, Era: 1, Revision: 10, Targets: []*follow.Target{record(5, 3, false)}})
	b.apply(t, now, follow.Update{Complete: true, Era: 1, Revision: 10, Targets: []*follow.Target{record(5, 9, false)}})
	a.apply(t, now, follow.Update{Era: 1, Revision: 12, Targets: []*follow.Target{{Name: "x", Revision: 12, Removed: true}}})
	b.readsFrom(t, now, a, true) // its history is lost, and the platform does not answer
	assert.Assert(t, !b.inUse["x"])
	assert.Equal(t, b.reconciler.Held(), 0)
	for _, i := range []*modelInstance{a, b} {
		i.apply(t, now, follow.Update{Era: 1, Revision: 15, Targets: []*follow.Target{record(15, 12, false)}})
		assert.Assert(t, i.inUse["x"])
	}
}

// Guards against a target that stays gone at some instances after a restore although it lives
// (review/6): its entry had expired during an outage, and its later writes change only their
// number. One instance reads the platform, one also asks the first one, a third one follows.
func TestTargetIsBackAfterOutageAndRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, asking, follower := newModelInstance(), newModelInstance(), newModelInstance()
	all := []*modelInstance{reader, asking, follower}
	for _, i := range all {
		i.apply(t, now, follow.Update{Complete: true, Era: 1, Revision: 10, Targets: []*follow.Target{record(5, 3, false)}})
		i.apply(t, now, follow.Update{Era: 1, Revision: 12, Targets: []*follow.Target{{Name: "x", Revision: 12, Removed: true}}})
	}
	restored := func() follow.Update {
		return follow.Update{Complete: true, Era: 2, Revision: 10, Targets: []*follow.Target{record(5, 8, false)}}
	}
	reader.apply(t, now, restored())
	known, _, _ := reader.state.Since(Query{After: follow.Position{Era: 2, Revision: 10}, Starting: true})
	assert.Assert(t, known.Complete)
	u := restored()
	u.Before = &known
	asking.apply(t, now, u)
	follower.readsFrom(t, now, asking, false)
	for n, i := range all {
		assert.Assert(t, !i.inUse["x"], "instance %d believes the copy", n)
	}
	now = now.Add(4 * time.Second) // no change has been published
	reader.apply(t, now, follow.Update{Era: 2, Revision: 10})
	asking.apply(t, now, follow.Update{Era: 2, Revision: 10})
	follower.readsFrom(t, now, asking, false)
	for n, i := range all {
		assert.Assert(t, i.inUse["x"], "instance %d", n)
		assert.Equal(t, i.reconciler.Held()+i.state.Held(), 0, "instance %d", n)
	}
}

// Guards against a published change that gets lost on its way to a follower since the source
// believes something else (review/7): the follower sent new flows to a draining target.
func TestChangeOfHeldTargetReachesFollower(t *testing.T) {
	now := time.Unix(1000, 0)
	other, source, follower := newModelInstance(), newModelInstance(), newModelInstance()
	for _, i := range []*modelInstance{other, source} {
		i.apply(t, now, follow.Update{Complete: true, Era: 1, Revision: 10, Targets: []*follow.Target{record(5, 3, false)}})
		i.apply(t, now, follow.Update{Era: 1, Revision: 12, Targets: []*follow.Target{{Name: "x", Revision: 12, Removed: true}}})
	}
	known, _, _ := other.state.Since(Query{After: follow.Position{Era: 2, Revision: 10}, Starting: true}) // it has not noticed the restore yet
	source.apply(t, now, follow.Update{Complete: true, Era: 2, Revision: 10, Targets: []*follow.Target{record(5, 8, false)}, Before: &known})
	assert.Assert(t, !source.inUse["x"], "it is known as gone")
	follower.apply(t, now, follow.Update{Complete: true, Era: 2, Revision: 10, Targets: []*follow.Target{record(5, 90, false)}})
	assert.Assert(t, follower.inUse["x"])
	source.apply(t, now, follow.Update{Era: 2, Revision: 14, Targets: []*follow.Target{record(14, 95, true)}})
	follower.readsFrom(t, now, source, false)
	assert.Equal(t, follower.reconciler.Position(), follow.Position{Era: 2, Revision: 14})
	for _, i := range []*modelInstance{source, follower} {
		assert.Assert(t, !i.inUse["x"])
		i.apply(t, now, follow.Update{Era: 2, Revision: 16, Targets: []*follow.Target{record(16, 96, false)}})
		assert.Assert(t, i.inUse["x"], "and so does a later one")
	}
}
