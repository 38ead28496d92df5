package spread

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
)

func (f *fixture) recordCheck(t ids.Target, healthy bool) {
	f.pool.RecordCheck(f.now, CheckResult{Target: t, Healthy: healthy})
}

// Guards against a target that stays in use although its requests fail, and against
// concurrent probe requests and a back-off that does not grow.
func TestSuspectedTargetIsProbed(t *testing.T) {
	f := newFixture(4)
	f.failUntilSuspected("t00001")
	assert.Equal(t, f.state("t00001").Suspicion, "suspected")
	assert.Equal(t, f.pool.Capacity(), 6)
	for _, wait := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		f.advance(wait - 20*time.Millisecond)
		assert.Equal(t, f.pool.Free(Short), 6)
		f.advance(30 * time.Millisecond)
		assert.Equal(t, f.pool.Free(Short), 7)
		l, ok := f.pool.Acquire(f.now, Short, "")
		assert.Assert(t, ok && l.Target == "t00001")
		assert.Equal(t, f.pool.Free(Short), 6, "one probe at a time")
		f.pool.Release(f.now, l, 1, Failure)
	}
}

// Guards against a recovered target that gets its full load without slow start.
func TestRecoveredTargetStartsSlowly(t *testing.T) {
	f := newFixture(4)
	f.failUntilSuspected("t00001")
	f.advance(600 * time.Millisecond)
	f.request(1, 5*time.Millisecond, Success)
	s := f.state("t00001")
	assert.DeepEqual(t, []any{s.Suspicion, s.Lifecycle, s.Usable}, []any{"trusted", "starting", 1})
	f.advance(2100 * time.Millisecond)
	assert.Equal(t, f.state("t00001").Usable, 2)
}

// Guards against a faulty health endpoint that takes a working target out of use or
// keeps a failing target in use.
func TestRequestsOverrideChecks(t *testing.T) {
	f := newFixture(4)
	for range 20 {
		f.recordCheck("t00001", false)
		f.recordCheck("t00002", true)
		for range 8 {
			name, ok := f.request(1, 5*time.Millisecond, Success)
			assert.Assert(t, ok && name != "")
		}
		f.advance(time.Second)
	}
	assert.Equal(t, f.state("t00001").Suspicion, "trusted")
	f.failUntilSuspected("t00002")
	f.recordCheck("t00002", true)
	assert.Equal(t, f.state("t00002").Suspicion, "suspected")
}

// Guards against a dead target that is detected by failed requests only. Failed health
// checks must suffice while no successful request contradicts them.
func TestChecksSuspectWithoutRequests(t *testing.T) {
	f := newFixture(4)
	f.recordCheck("t00001", false)
	f.advance(time.Second)
	f.recordCheck("t00001", false)
	assert.Equal(t, f.state("t00001").Suspicion, "suspected")
	f.advance(time.Second)
	f.recordCheck("t00001", true)
	assert.Equal(t, f.state("t00001").Suspicion, "trusted")

	l, _ := f.pool.AcquireTarget(f.now, "t00002")
	f.recordCheck("t00002", false)
	f.pool.Release(f.now, l, 1, Timeout)
	assert.Equal(t, f.state("t00002").Suspicion, "suspected", "a failed check and a failed request")
}

// Guards against an outage of a service because most of its targets are suspected, and
// against a pool with a single target that keeps using it although it is dead.
func TestPanicThreshold(t *testing.T) {
	f := newFixture(4)
	f.failUntilSuspected("t00000")
	f.failUntilSuspected("t00001")
	assert.Equal(t, f.pool.Capacity(), 4)
	f.failUntilSuspected("t00002")
	assert.Equal(t, f.pool.Capacity(), 8)
	l, _ := f.pool.AcquireTarget(f.now, "t00002")
	f.pool.Release(f.now+ms, l, 1, Success)
	assert.Equal(t, f.state("t00002").Suspicion, "trusted")
	assert.Equal(t, f.pool.Capacity(), 3, "one slot of t00002 during slow start")
	single := newFixture(1)
	single.failUntilSuspected("t00000")
	assert.Equal(t, single.pool.Capacity(), 0)
}

// Guards against a new target that is used before it is up or without slow start, and
// against one that is never used because its health endpoint reports no success.
func TestNewTargetStartsSlowly(t *testing.T) {
	f := newFixture(4)
	f.advance(10 * time.Second)
	f.r.Service.Targets = testService("s", 6).Service.Targets
	f.SetService(f.now, f.r)
	f.checksDue = map[ids.Target]int{}
	f.advance(10 * time.Millisecond)
	assert.Equal(t, f.checksDue["t00004"], 1, "checked at once")
	assert.Equal(t, f.pool.Capacity(), 8)
	f.recordCheck("t00004", true)
	assert.Equal(t, f.pool.Capacity(), 9)
	f.advance(2100 * time.Millisecond)
	assert.Equal(t, f.pool.Capacity(), 10)
	f.advance(3 * time.Second)
	assert.Equal(t, f.pool.Capacity(), 11, "a probe request of the target that was not checked")
}

// Guards against new requests to a draining target, and against a target that is not
// used again after the drain has ended.
func TestDrainingTarget(t *testing.T) {
	f := newFixture(2)
	f.pool.RecordCheck(f.now, CheckResult{Target: "t00000", Healthy: true, Draining: true})
	assert.Assert(t, f.pool.Capacity() == 2 && f.pool.OutOfService("t00000"))
	_, ok := f.pool.AcquireTarget(f.now, "t00000")
	assert.Assert(t, ok, "a follow-up block")
	f.recordCheck("t00000", true)
	assert.Equal(t, f.state("t00000").Lifecycle, "starting")
	f.r.Service.Targets[0].Draining = true
	f.SetService(f.now, f.r)
	f.recordCheck("t00000", true)
	assert.Equal(t, f.state("t00000").Lifecycle, "draining", "a check does not undo the configuration")
	f.r.Service.Targets[0].Draining = false
	f.SetService(f.now, f.r)
	f.advance(2100 * time.Millisecond)
	assert.Equal(t, f.pool.Capacity(), 4)
}

// Guards against requests that are sent repeatedly, without a pause, to a full target.
func TestShedPausesTarget(t *testing.T) {
	f := newFixture(1)
	f.request(1, time.Millisecond, Shed)
	assert.Equal(t, f.pool.Free(Short), 0)
	f.advance(30 * time.Millisecond)
	assert.Equal(t, f.pool.Free(Short), 2)
	assert.Equal(t, f.state("t00000").Suspicion, "trusted")
}

// Guards against health checks that are missed, repeated or not spread over the interval.
func TestCheckSchedule(t *testing.T) {
	f := newFixture(20)
	f.advance(20 * time.Millisecond)
	f.checksDue = map[ids.Target]int{}
	most := 0
	for range 1000 {
		before := len(f.checksDue)
		f.advance(10 * time.Millisecond)
		most = max(most, len(f.checksDue)-before)
	}
	assert.Equal(t, len(f.checksDue), 20)
	for name, n := range f.checksDue {
		assert.Equal(t, n, 10, name)
	}
	assert.Assert(t, most < 8, "%d new targets checked in one tick", most)
}

// Guards against a successful request that cancels the drain of a target. The restart
// event of a recovered target would also end the draining state.
func TestResponseDoesNotCancelDrain(t *testing.T) {
	f := newFixture(4)
	var leases []Lease
	for range 2 {
		l, ok := f.pool.AcquireTarget(f.now, "t00001")
		assert.Assert(t, ok)
		leases = append(leases, l)
	}
	f.now = f.now.Add(time.Millisecond)
	f.recordCheck("t00001", false)
	f.recordCheck("t00001", false)
	f.recordCheck("t00001", false)
	assert.Equal(t, f.state("t00001").Suspicion, "suspected")
	f.pool.RecordCheck(f.now, CheckResult{Target: "t00001", Draining: true})
	for _, l := range leases {
		f.pool.Release(f.now, l, 1, Success)
	}
	assert.Equal(t, f.state("t00001").Lifecycle, "draining")
	assert.Assert(t, f.pool.OutOfService("t00001"))
}
