package follow

import (
	"slices"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

var epoch = time.Unix(1000, 0)

// written returns the record of target t as its write seq, in the incarnation born.
func written(revision uint64, born, seq int64, draining bool) *Target {
	return &Target{Name: "t", Revision: revision, Record: passthrough.TargetRecord{Name: "t", StartedAt: born, Seq: seq, Draining: draining, Address: passthrough.Endpoint{Port: 7}}}
}

func removed(revision uint64) *Target { return &Target{Name: "t", Revision: revision, Removed: true} }

// inForce applies an update and returns how target t is delivered: "ready", "draining",
// "gone" or "" if the update leaves it as it was.
func inForce(t *testing.T, r *Reconciler, now time.Time, u Update) string {
	t.Helper()
	assert.Assert(t, r.Apply(now, &u))
	state := ""
	if u.Complete {
		state = "gone"
	}
	for _, x := range u.Targets {
		switch {
		case x.Name != "t":
		case x.Removed:
			state = "gone"
		case x.Record.Draining:
			state = "draining"
		default:
			state = "ready"
		}
	}
	return state
}

// The table of docs/passthrough.md, "When the platform is restored". Each case is a
// target before the restore, in the restored copy, and in what is written afterwards.
func TestRecordsAfterRestore(t *testing.T) {
	ready, draining := written(900, 5, 3, false), written(950, 5, 40, true)
	for name, c := range map[string]struct {
		before []*Target // changes in the first era
		copied *Target   // in the copy, nil if missing
		at     string    // after the restore
		later  *Target   // a change in the new era, nil if none
		end    string    // after that, and after rewriteTime
	}{
		"missing, written again":          {[]*Target{ready}, nil, "ready", written(505, 5, 9, false), "ready"},
		"missing, never written again":    {[]*Target{ready}, nil, "ready", nil, "gone"},
		"missing, written draining":       {[]*Target{ready}, nil, "ready", written(505, 5, 9, true), "draining"},
		"missing and draining":            {[]*Target{ready, draining}, nil, "draining", nil, "gone"},
		"older: was not draining":         {[]*Target{ready, draining}, written(480, 5, 30, false), "draining", nil, "draining"},
		"older, drains again":             {[]*Target{ready, draining}, written(480, 5, 30, false), "draining", written(505, 5, 41, true), "draining"},
		"older, then ready by its word":   {[]*Target{ready, draining}, written(480, 5, 30, false), "draining", written(505, 5, 42, false), "ready"},
		"older, then removed":             {[]*Target{ready, draining}, written(480, 5, 30, false), "draining", removed(505), "gone"},
		"older: earlier incarnation":      {[]*Target{written(950, 8, 1, true)}, written(480, 5, 90, false), "draining", nil, "draining"},
		"newer: later incarnation":        {[]*Target{draining}, written(480, 8, 1, false), "ready", nil, "ready"},
		"newer: more writes":              {[]*Target{ready}, written(480, 5, 60, true), "draining", nil, "draining"},
		"gone, in the copy":               {[]*Target{ready, removed(960)}, written(480, 5, 30, false), "gone", nil, "gone"},
		"gone, lapses from the copy":      {[]*Target{ready, removed(960)}, written(480, 5, 30, false), "gone", removed(505), "gone"},
		"gone, publishes again":           {[]*Target{ready, removed(960)}, written(480, 5, 30, false), "gone", written(505, 5, 31, false), "ready"},
		"gone, restarts under its name":   {[]*Target{ready, removed(960)}, written(480, 5, 30, false), "gone", written(505, 9, 1, false), "ready"},
		"gone, not in the copy, is back":  {[]*Target{ready, removed(960)}, nil, "gone", written(505, 5, 31, false), "ready"},
		"gone, same word in a full read":  {[]*Target{ready, removed(960)}, written(480, 5, 30, false), "gone", written(500, 5, 30, false), "gone"},
		"unknown before, in the copy":     {nil, written(480, 5, 30, false), "ready", nil, "ready"},
		"unreadable in the copy":          {[]*Target{ready}, &Target{Name: "t", Revision: 480, Removed: true, Unreadable: true}, "gone", nil, "gone"},
		"unreadable, then readable again": {[]*Target{ready}, &Target{Name: "t", Revision: 480, Removed: true, Unreadable: true}, "gone", written(505, 5, 31, false), "ready"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReconciler()
			inForce(t, r, epoch, Update{Complete: true, Era: 3, Revision: 890, Config: &passthrough.Config{Version: 7}})
			for _, b := range c.before {
				inForce(t, r, epoch, Update{Era: 3, Revision: b.Revision, Targets: []*Target{b}})
			}
			u := Update{Complete: true, Era: 4, Revision: 500, Config: &passthrough.Config{Version: 6}}
			if c.copied != nil {
				u.Targets = []*Target{c.copied}
			}
			state := inForce(t, r, epoch, u)
			assert.Equal(t, state, c.at, "after the restore")
			assert.Equal(t, r.Position(), Position{4, 500})
			if c.later != nil {
				if s := inForce(t, r, epoch.Add(time.Second), Update{Era: 4, Revision: c.later.Revision, Targets: []*Target{c.later}}); s != "" {
					state = s
				}
			}
			assert.Assert(t, r.Expire(epoch.Add(rewriteTime-time.Millisecond)) == nil, "before the time to write again is over")
			if u := r.Expire(epoch.Add(rewriteTime)); u != nil {
				state = "gone"
				assert.Equal(t, u.Targets[0].Name, "t")
			}
			assert.Equal(t, state, c.end, "at the end")
			_, pending := r.NextExpiry(epoch.Add(rewriteTime))
			assert.Assert(t, !pending)
		})
	}
}

// Guards against a record that grows: 29,000 of 160 bytes took a megabyte more.
func TestTargetSize(t *testing.T) {
	assert.Assert(t, unsafe.Sizeof(Target{}) <= 128, "%d bytes", unsafe.Sizeof(Target{}))
}

// Guards against a configuration that goes back with the platform, and against an update
// of an earlier era that is taken for news.
func TestEraNeverGoesBack(t *testing.T) {
	r := NewReconciler()
	u := Update{Complete: true, Era: 4, Revision: 500, Config: &passthrough.Config{Version: 7}}
	assert.Assert(t, r.Apply(epoch, &u) && u.Config != nil && !u.Restored)
	u = Update{Era: 3, Revision: 900, Config: &passthrough.Config{Version: 8}}
	assert.Assert(t, !r.Apply(epoch, &u))
	u = Update{Complete: true, Era: 5, Revision: 300, Config: &passthrough.Config{Version: 6}}
	assert.Assert(t, r.Apply(epoch, &u) && u.Config == nil && u.Restored)
	u = Update{Revision: 301, Config: &passthrough.Config{Version: 9}} // no era: that of the last update
	assert.Assert(t, r.Apply(epoch, &u) && u.Config != nil && !u.Restored)
	assert.Equal(t, r.Position(), Position{5, 301})
	u = Update{Complete: true, Era: 5, Revision: 300}
	assert.Assert(t, !r.Apply(epoch, &u), "a full state that lies behind in the same era")
}

// Guards against an address that is held for a missing target after another one has
// started there: its flows would go to the wrong place until rewriteTime is over.
func TestReusedAddressEndsHold(t *testing.T) {
	r := NewReconciler()
	inForce(t, r, epoch, Update{Complete: true, Era: 3, Revision: 900, Targets: []*Target{written(900, 5, 3, false)}})
	successor := &Target{Name: "s", Revision: 490, Record: passthrough.TargetRecord{Name: "s", StartedAt: 6, Seq: 1, Address: passthrough.Endpoint{Port: 7}}}
	assert.Equal(t, inForce(t, r, epoch, Update{Complete: true, Era: 4, Revision: 500, Targets: []*Target{successor}}), "gone")
}

// Guards against a second restore during the first one's catch-up that forgets what was
// held, and against a hold that a second restore makes endless.
func TestSecondRestore(t *testing.T) {
	r := NewReconciler()
	inForce(t, r, epoch, Update{Complete: true, Era: 3, Revision: 900, Targets: []*Target{written(900, 5, 3, false)}})
	assert.Equal(t, inForce(t, r, epoch, Update{Complete: true, Era: 4, Revision: 500}), "ready")
	second := epoch.Add(time.Second)
	assert.Equal(t, inForce(t, r, second, Update{Complete: true, Era: 5, Revision: 400}), "ready")
	assert.Assert(t, r.Expire(epoch.Add(rewriteTime)) == nil, "it has as long after the second one")
	assert.Equal(t, len(r.Expire(second.Add(rewriteTime)).Targets), 1)

	inForce(t, r, second, Update{Era: 5, Revision: 410, Targets: []*Target{written(410, 5, 20, true)}})
	inForce(t, r, second, Update{Era: 5, Revision: 420, Targets: []*Target{removed(420)}})
	for era := uint64(6); era < 9; era++ {
		assert.Equal(t, inForce(t, r, second, Update{Complete: true, Era: era, Revision: 405, Targets: []*Target{written(405, 5, 19, false)}}), "gone")
	}
}

// Guards against a target that was taken for gone, is alive, and stays out of use: its
// later writes change only their number, of which no change event tells. Neither another
// full read nor another instance is needed; only a read that confirms the state late enough.
func TestHoldEnds(t *testing.T) {
	start := func() *Reconciler {
		r := NewReconciler()
		inForce(t, r, epoch, Update{Complete: true, Era: 3, Revision: 900, Targets: []*Target{written(900, 5, 3, false)}})
		inForce(t, r, epoch, Update{Era: 3, Revision: 910, Targets: []*Target{removed(910)}})
		assert.Equal(t, inForce(t, r, epoch, Update{Complete: true, Era: 4, Revision: 500, Targets: []*Target{written(480, 5, 30, false)}}), "gone")
		due, held := r.NextRelease(epoch.Add(time.Second))
		assert.Assert(t, held && due == holdTime-time.Second)
		return r
	}
	r := start()
	assert.Equal(t, inForce(t, r, epoch.Add(holdTime-1), Update{Era: 4, Revision: 500}), "")
	assert.Equal(t, inForce(t, r, epoch.Add(holdTime+time.Second), Update{Era: 4, Revision: 500, Age: time.Second + 1}), "", "confirmed too early")
	assert.Equal(t, inForce(t, r, epoch.Add(holdTime+time.Second), Update{Era: 4, Revision: 500, Age: time.Second}), "ready")
	_, held := r.NextRelease(epoch.Add(holdTime))
	assert.Assert(t, !held && r.Held() == 0)
	r = start()
	assert.Equal(t, inForce(t, r, epoch.Add(holdTime), Update{Complete: true, Era: 4, Revision: 500, Targets: []*Target{written(480, 5, 30, false)}}), "ready", "by a full read")
	r = start()
	assert.Equal(t, inForce(t, r, epoch.Add(time.Second), Update{Era: 4, Revision: 510, Targets: []*Target{removed(510)}}), "gone", "its entry expires first")
	assert.Equal(t, r.Held(), 0)
}

// Guards against removed targets of another instance that count as held for ever although
// nothing published contradicts their removal.
func TestRemovedTargetOfPeerIsNotHeld(t *testing.T) {
	r := NewReconciler()
	gone := written(900, 5, 3, false)
	gone.Removed, gone.Held = true, HeldNewer
	assert.Equal(t, inForce(t, r, epoch, Update{Complete: true, Era: 3, Revision: 900, Targets: []*Target{gone}}), "gone")
	assert.Equal(t, r.Held(), 0)
	assert.Equal(t, inForce(t, r, epoch, Update{Complete: true, Era: 4, Revision: 500, Targets: []*Target{written(480, 5, 3, false)}}), "gone")
	assert.Equal(t, r.Held(), 1)
}

// Guards against what one instance knows being lost on the way to an instance that
// starts after the restore and has only the copy.
func TestStarterLearnsHeldRecords(t *testing.T) {
	for name, c := range map[string]struct {
		before []*Target
		copied *Target
		want   string
	}{
		"draining": {[]*Target{written(950, 5, 40, true)}, written(480, 5, 30, false), "draining"},
		"gone":     {[]*Target{written(940, 5, 40, true), removed(950)}, written(480, 5, 30, false), "gone"},
		"missing":  {[]*Target{written(940, 5, 2, false)}, nil, "ready"},
	} {
		t.Run(name, func(t *testing.T) {
			old, starter := NewReconciler(), NewReconciler()
			inForce(t, old, epoch, Update{Complete: true, Era: 3, Revision: 890})
			for _, b := range c.before {
				inForce(t, old, epoch, Update{Era: 3, Revision: b.Revision, Targets: []*Target{b}})
			}
			u := Update{Complete: true, Era: 4, Revision: 500}
			if c.copied != nil {
				u.Targets = []*Target{c.copied}
			}
			assert.Assert(t, old.Apply(epoch, &u))
			full := append(slices.Clone(u.Targets), u.Overridden...) // as between instances
			passed := Update{Complete: true, Era: 4, Revision: 500, Targets: slices.Clone(full), EraAge: time.Second}
			assert.Equal(t, inForce(t, starter, epoch.Add(time.Second), passed), c.want)
			assert.Equal(t, starter.Held(), 1)
			late := NewReconciler()
			copied := Update{Complete: true, Era: 4, Revision: 500}
			if c.copied != nil {
				copied.Targets = []*Target{c.copied}
			}
			inForce(t, late, epoch, copied)
			before := Update{Complete: true, Era: 4, Revision: 500, Targets: slices.Clone(full), EraAge: time.Second, Config: &passthrough.Config{Version: 7}}
			learned := Update{Era: 4, Revision: 500, Before: &before}
			assert.Equal(t, inForce(t, late, epoch, learned), c.want, "learned after the copy")
			assert.Equal(t, inForce(t, late, epoch, Update{Complete: true, Era: 4, Revision: 501, Targets: copied.Targets}), c.want, "learned after the copy, which is then read again")
			reread := Update{Complete: true, Era: 4, Revision: 510}
			if c.copied != nil {
				reread.Targets = []*Target{c.copied}
			}
			assert.Equal(t, inForce(t, starter, epoch.Add(time.Second), reread), c.want, "the copy itself, read later")
			expired := starter.Expire(epoch.Add(rewriteTime))
			assert.Equal(t, expired != nil, name == "missing", "the time since the restore counts, not since the start")
		})
	}
}

// Guards against flows that are reset after a restore because of a record that is only held,
// or of a target that lives and is taken for gone until everything is read again.
func TestNotCurrentAfterRestore(t *testing.T) {
	r := NewReconciler()
	currentAt := func(u Update, after time.Duration) time.Time {
		u.CurrentAt = epoch
		assert.Assert(t, r.Apply(epoch.Add(after), &u))
		return u.CurrentAt
	}
	assert.Equal(t, currentAt(Update{Complete: true, Era: 3, Revision: 900}, 0), epoch)
	assert.Assert(t, currentAt(Update{Complete: true, Era: 4, Revision: 500}, 0).IsZero())
	assert.Assert(t, currentAt(Update{Era: 4, Revision: 510}, settleTime-1).IsZero())
	assert.Equal(t, currentAt(Update{Era: 4, Revision: 520}, settleTime), epoch)
	starter := NewReconciler()
	u := Update{Complete: true, Era: 4, Revision: 510, EraAge: time.Second, CurrentAt: epoch}
	assert.Assert(t, starter.Apply(epoch, &u))
	assert.Assert(t, u.CurrentAt.IsZero(), "the time since the restore counts, not since the start")
	reader := NewReconciler()
	before := Update{Complete: true, Era: 4, Revision: 505, EraAge: time.Second}
	u = Update{Complete: true, Era: 4, Revision: 510, CurrentAt: epoch, Before: &before}
	assert.Assert(t, reader.Apply(epoch, &u))
	assert.Assert(t, u.CurrentAt.IsZero(), "another instance tells when the restore was")
}
