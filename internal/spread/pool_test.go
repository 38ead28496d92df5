package spread

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes the default run reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against uneven use of targets: each owned target must get the same number of
// requests.
func TestAcquireUsesTargetsEvenly(t *testing.T) {
	f := newFixture(5)
	used := map[ids.Target]int{}
	for range 100 {
		name, ok := f.request(1, time.Millisecond, Success)
		assert.Assert(t, ok)
		used[name]++
	}
	for name, n := range used {
		assert.Equal(t, n, 20, name)
	}
}

// Guards against more requests than slots, and against a repeated release that changes
// the number of free slots.
func TestAcquireBoundedBySlots(t *testing.T) {
	f := newFixture(2)
	var leases []Lease
	for range 4 {
		l, ok := f.pool.Acquire(f.now, Short, "")
		assert.Assert(t, ok)
		leases = append(leases, l)
	}
	_, ok := f.pool.Acquire(f.now, Short, "")
	assert.Assert(t, !ok)
	_, ok = f.pool.AcquireTarget(f.now, leases[0].Target)
	assert.Assert(t, !ok)
	for range 2 {
		f.pool.Release(f.now+ms, leases[0], 1, Success)
	}
	assert.Equal(t, f.pool.Free(Short), 1)
}

// Guards against a retry on the target on which the request has just failed while
// another one is usable, and against a refused retry when it is the only target.
func TestAcquireAvoidsFailedTarget(t *testing.T) {
	f := newFixture(2)
	for range 2 {
		l, ok := f.pool.Acquire(f.now, Short, "t00000")
		assert.Assert(t, ok && l.Target == "t00001")
	}
	_, ok := f.pool.Acquire(f.now, Short, "t00000")
	assert.Assert(t, !ok)
	single := newFixture(1)
	l, ok := single.pool.Acquire(single.now, Short, "t00000")
	assert.Assert(t, ok && l.Target == "t00000")
}

// Guards against head-of-line blocking: long requests may hold at most 60% of the slots,
// including requests that were predicted short but run long.
func TestLongRequestsAreCapped(t *testing.T) {
	f := newFixture(5)
	for k := range uint64(20) {
		f.request(k, 10*time.Millisecond, Success)
	}
	assert.Equal(t, f.pool.Classify(99), Short)
	first, _ := f.pool.Acquire(f.now, Short, "")
	f.advance(100 * time.Millisecond)
	assert.Equal(t, f.pool.Free(Long), 5, "a request that runs long counts as long")
	f.advance(400 * time.Millisecond)
	f.pool.Release(f.now, first, 99, Success)
	assert.Equal(t, f.pool.Classify(99), Long)
	for range 6 {
		_, ok := f.pool.Acquire(f.now, Long, "")
		assert.Assert(t, ok)
	}
	_, ok := f.pool.Acquire(f.now, Long, "")
	assert.Assert(t, !ok && f.pool.Free(Long) == 0 && f.pool.Free(Short) == 4)
	assert.Assert(t, f.pool.RunTime() < 20*time.Millisecond)
}

// Guards against requests being classified as long because their target is dead, and
// against requests that always time out being classified as short.
func TestPredictorAndTimeouts(t *testing.T) {
	p := newPredictor()
	for range 20 {
		p.record(1, 10*time.Millisecond, Short, Success)
	}
	p.record(1, 2*time.Second, Short, Timeout)
	p.record(1, 2*time.Second, Short, Timeout)
	assert.Equal(t, p.classify(1), Short)
	for range timeoutsForLong {
		p.record(2, 2*time.Second, Short, Timeout)
	}
	assert.Equal(t, p.classify(2), Long)
	for k := uint64(1000); k < 20000; k++ {
		p.record(k, 10*time.Millisecond, Short, Success)
	}
	assert.Equal(t, p.classify(2), Short, "an unused key is evicted")
}

// Guards against an error of the median above the bucket width.
func TestMedian(t *testing.T) {
	for _, d := range []time.Duration{20 * time.Microsecond, 3 * time.Millisecond, 47 * time.Millisecond, 9 * time.Second} {
		p := newPredictor()
		for range 100 {
			p.record(1, d, Short, Success)
		}
		ratio := float64(p.median) / float64(d)
		assert.Assert(t, ratio > 0.85 && ratio < 1.15, "%v: %v", d, p.median)
	}
}

// Guards against slots that are lost or counted twice when ownership, health and requests
// change in any order.
func TestPoolCounters(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(6)
		var leases []Lease
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 6).Draw(r, "step") {
			case 0, 1:
				if l, ok := f.pool.Acquire(f.now, Class(rapid.IntRange(0, 1).Draw(r, "class")), ""); ok {
					leases = append(leases, l)
				}
			case 2:
				if len(leases) > 0 {
					i := rapid.IntRange(0, len(leases)-1).Draw(r, "lease")
					f.pool.Release(f.now, leases[i], uint64(i), Outcome(rapid.IntRange(0, 4).Draw(r, "outcome")))
					leases = append(leases[:i], leases[i+1:]...)
				}
			case 3:
				f.SetInstances(f.now, instanceNames(rapid.IntRange(1, 4).Draw(r, "instances")))
			case 4:
				f.r.Service.Targets = testService("s", rapid.IntRange(1, 8).Draw(r, "targets")).Service.Targets
				f.r.Service.Targets[0].Draining = rapid.Bool().Draw(r, "draining")
				f.SetService(f.now, f.r)
			case 5:
				f.pool.RecordCheck(f.now, CheckResult{Target: "t00001", Healthy: rapid.Bool().Draw(r, "healthy")})
			case 6:
				f.advance(time.Duration(rapid.IntRange(1, 300).Draw(r, "time")) * 10 * time.Millisecond)
			}
			f.checkCounters(r, len(leases))
		}
	})
}

func (f *fixture) checkCounters(r *rapid.T, leases int) {
	p := f.pool
	usable, free, running, listed, longRunning, panicTotal, panicSuspected := 0, 0, 0, 0, 0, 0, 0
	for _, t := range p.targets {
		if t == nil {
			continue
		}
		usable, free, running = usable+t.usable, free+t.free, running+t.inUse
		if t.inFreeList {
			listed++
			assert.Assert(r, t.free > 0)
		}
		if t.countsForPanic() {
			panicTotal++
			if t.suspected() {
				panicSuspected++
			}
		}
	}
	for _, e := range p.requests {
		if e.active && e.class == Long {
			longRunning++
		}
	}
	assert.DeepEqual(r, []int{usable, free, running, longRunning, panicTotal, panicSuspected},
		[]int{p.usable, p.free, leases, p.longRunning, p.panicTotal, p.panicSuspected})
	n := 0
	for i := p.freeHead; i != none; i = p.targets[i].next {
		n++
	}
	assert.Equal(r, n, listed)
}

// Guards against a pool that is deleted while its requests run, and against one that is
// never deleted.
func TestPoolOutlivesOwnership(t *testing.T) {
	f := newFixture(1)
	l, _ := f.pool.Acquire(f.now, Short, "")
	name, _, _ := f.pool.OpenFeed(f.now, "")
	f.RemoveService("s")
	assert.Assert(t, f.Pool("s") == f.pool && f.pool.Free(Short) == 0 && f.pool.OutOfService(name))
	f.pool.Release(f.now, l, 1, Success)
	f.pool.CloseFeed(name, Success)
	f.advance(20 * time.Millisecond)
	assert.Assert(t, f.Pool("s") == nil)
}

// Guards against feeds that stay on a target whose slots have moved to another instance.
// This instance no longer checks its health, so it would miss a drain.
func TestTargetWithoutOwnedSlotsIsOutOfService(t *testing.T) {
	f := newFixture(3)
	f.SetInstances(f.now, instanceNames(3))
	f.pool = f.Pool("s")
	for i := range 3 {
		name := ids.Target(fmt.Sprintf("t%05d", i))
		j, ok := f.pool.byName[name]
		assert.Equal(t, f.pool.OutOfService(name), !ok || f.pool.targets[j].owned == 0, "%s", name)
	}
	f.SetInstances(f.now, instanceNames(1))
	name, _, _ := f.pool.OpenFeed(f.now, "")
	assert.Assert(t, !f.pool.OutOfService(name))
	f.SetInstances(f.now, []ids.Instance{"instance-001", "instance-002"})
	assert.Assert(t, f.pool.OutOfService(name))
}

// Guards against feeds that concentrate on one target, exceed the limit of the profile or
// go to a draining target.
func TestFeedsAreEvenAndBounded(t *testing.T) {
	f := newFixture(4)
	f.r.Service.Targets[3].Draining = true
	f.SetService(f.now, f.r)
	count := map[ids.Target]int{}
	for range 30 {
		name, _, ok := f.pool.OpenFeed(f.now, "t00001")
		assert.Assert(t, ok)
		count[name]++
	}
	assert.DeepEqual(t, count, map[ids.Target]int{"t00000": 10, "t00001": 10, "t00002": 10})
	_, _, ok := f.pool.OpenFeed(f.now, "")
	assert.Assert(t, !ok)
	f.pool.CloseFeed("t00002", Success)
	name, _, _ := f.pool.OpenFeed(f.now, "")
	assert.Equal(t, name, ids.Target("t00002"))
	assert.Assert(t, f.pool.OutOfService("t00003") && !f.pool.OutOfService("t00000") && f.pool.OutOfService("unknown"))
}

// Guards against a target that keeps its old address, health and running requests when
// its name is reassigned to another backend server.
func TestTargetMovesToNewAddress(t *testing.T) {
	f := newFixture(3)
	l, _ := f.pool.AcquireTarget(f.now, "t00000")
	moved := testService("s", 3)
	moved.Service.Targets = append([]config.Target{}, moved.Service.Targets...)
	moved.Service.Targets[0].Address = moved.Service.Targets[2].Address
	f.SetService(f.now, moved)
	assert.Equal(t, f.state("t00000").InUse, 0)
	assert.Equal(t, f.state("t00000").Lifecycle, "starting")
	f.pool.Release(f.now+ms, l, 1, Failure)
	assert.Equal(t, f.state("t00000").Suspicion, "suspected", "unproven until checked")
}

// Guards against a slow target that is used as much as the others. A target is slow, for
// example, when its slots are also used by an instance with a different membership list.
func TestAcquirePrefersFastTargets(t *testing.T) {
	f := newFixture(5)
	used := map[ids.Target]int{}
	for range 500 {
		l, _ := f.pool.Acquire(f.now, Short, "")
		run := 10 * time.Millisecond
		if l.Target == "t00003" {
			run *= 2
		}
		used[l.Target]++
		f.now = f.now.Add(run)
		f.pool.Release(f.now, l, 1, Success)
	}
	assert.Assert(t, used["t00003"] < 20, "%v", used)
	for range 10 { // under saturation all slots must be used, also the slow ones
		_, ok := f.pool.Acquire(f.now, Short, "")
		assert.Assert(t, ok)
	}
}

// Guards against decisions that depend on map iteration order. The core guarantees that
// two runs with the same events make the same decisions.
func TestPoolIsDeterministic(t *testing.T) {
	trace := func() (list []ids.Target) {
		f := newFixture(12)
		for i := range 60 {
			if i%20 == 10 {
				f.r.Service.Targets = testService("s", 9+i%7).Service.Targets
				f.SetService(f.now, f.r)
			}
			name, _ := f.request(uint64(i%3), time.Duration(i%7+1)*time.Millisecond, Success)
			feed, _, _ := f.pool.OpenFeed(f.now, "")
			list = append(list, name, feed)
		}
		return list
	}
	first := trace()
	for range 5 {
		assert.DeepEqual(t, trace(), first)
	}
}

// Guards against allocations, and so garbage collection, on the path of every request.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	f := newFixture(15)
	due := func(ids.Service, ids.Target, string) {}
	key := uint64(0)
	cycle := func() {
		l, _ := f.pool.Acquire(f.now, f.pool.Classify(key%50), "")
		key++
		f.now = f.now.Add(10 * time.Millisecond)
		f.pool.Release(f.now, l, key%50, Success)
		f.Home("s", key)
		f.Tick(f.now, due)
	}
	for range 200 {
		cycle()
	}
	assert.Equal(t, testing.AllocsPerRun(1000, cycle), 0.0)
}

// Guards against a service rate that ignores long requests, which hold much of the slot
// time. Refused callers would then retry at twice the rate that can be served.
func TestServiceRateCountsLongRequests(t *testing.T) {
	f := newFixture(5)
	for i := range 2000 {
		key, run := uint64(1), 10*time.Millisecond
		if i%50 == 0 {
			key, run = 2, 500*time.Millisecond
		}
		f.request(key, run, Success)
	}
	want := 10 / 0.0198 // slots divided by mean run time
	assert.Assert(t, f.pool.ServiceRate() > want/2 && f.pool.ServiceRate() < want*2, "%v, want about %v", f.pool.ServiceRate(), want)
}
