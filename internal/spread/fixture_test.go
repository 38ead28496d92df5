package spread

import (
	"fmt"
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	dc        = ids.DataCentre("dc1")
	startTime = ids.Time(1_000_000 * int64(time.Second))
	ms        = ids.Time(time.Millisecond)
)

func instanceNames(n int) []ids.Instance {
	list := make([]ids.Instance, n)
	for i := range list {
		list[i] = ids.Instance(fmt.Sprintf("instance-%03d", i))
	}
	return list
}

func testService(name ids.Service, targets int) *config.Resolved {
	r := &config.Resolved{
		Service: config.Service{Name: name},
		Profile: config.Profile{
			Spread:  config.Spread{LongShare: 0.6, LongFactor: 8, SlowStart: 2 * time.Second},
			Protect: config.Protect{MaxFeeds: 10},
		},
	}
	for i := range targets {
		r.Service.Targets = append(r.Service.Targets, config.Target{
			Name: ids.Target(fmt.Sprintf("t%05d", i)), DataCentre: dc, Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 5683),
			Health:  fmt.Sprintf("http://127.0.0.1/%d", i),
		})
	}
	return r
}

// fixture is the table of a single instance, which owns every slot, with a simulated
// clock and a record of the health checks that were due.
type fixture struct {
	*Table
	r         *config.Resolved
	now       ids.Time
	checksDue map[ids.Target]int
	pool      *Pool
}

func newFixture(targets int) *fixture {
	f := &fixture{Table: NewTable("instance-000", dc, 1), r: testService("s", targets), now: startTime, checksDue: map[ids.Target]int{}}
	f.SetInstances(f.now, instanceNames(1))
	f.SetService(f.now, f.r)
	f.pool = f.Pool("s")
	f.passFirstChecks()
	return f
}

// passFirstChecks reports every target as healthy, like the first health checks after
// slots were acquired.
func (f *fixture) passFirstChecks() {
	for _, t := range f.pool.Targets(nil) {
		f.pool.RecordCheck(f.now, CheckResult{Target: t.Target, Healthy: true})
	}
}

func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.Tick(f.now, func(_ ids.Service, t ids.Target, _ string) { f.checksDue[t]++ })
	}
}

// request runs one request with the given run time on the next target and returns the target.
func (f *fixture) request(key uint64, runTime time.Duration, o Outcome) (ids.Target, bool) {
	l, ok := f.pool.Acquire(f.now, f.pool.Classify(key), "")
	if !ok {
		return "", false
	}
	f.now = f.now.Add(runTime)
	f.pool.Release(f.now, l, key, o)
	return l.Target, true
}

// state returns the state of target t.
func (f *fixture) state(t ids.Target) TargetState {
	for _, s := range f.pool.Targets(nil) {
		if s.Target == t {
			return s
		}
	}
	return TargetState{}
}

// failUntilSuspected makes requests fail on target t until it is suspected.
func (f *fixture) failUntilSuspected(t ids.Target) {
	for range failuresToSuspect {
		l, _ := f.pool.AcquireTarget(f.now, t)
		f.now = f.now.Add(time.Millisecond)
		f.pool.Release(f.now, l, 1, Failure)
	}
}
