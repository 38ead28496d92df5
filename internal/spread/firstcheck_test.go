package spread

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
)

// Guards against new requests to a draining target just after a change of ownership. A
// drain that only the health endpoint reports is unknown to a new owner until its first
// health check has ended.
func TestNewOwnerChecksFirst(t *testing.T) {
	f := newFixture(2)
	f.SetInstances(f.now, nil)
	f.SetInstances(f.now, instanceNames(1))
	f.pool = f.Pool("s")
	_, ok := f.pool.Acquire(f.now, Short, "")
	assert.Assert(t, !ok, "used before the first check")
	f.advance(10 * time.Millisecond)
	assert.DeepEqual(t, f.checksDue, map[ids.Target]int{"t00000": 1, "t00001": 1})
	f.pool.RecordCheck(f.now, CheckResult{Target: "t00000", Healthy: true, Draining: true})
	f.pool.RecordCheck(f.now, CheckResult{Target: "t00001", Healthy: true})
	assert.Equal(t, f.pool.Capacity(), 2)
	l, ok := f.pool.Acquire(f.now, Short, "")
	assert.Assert(t, ok && l.Target == "t00001")
}

// Guards against a target that stays unused only because its health endpoint never
// responds.
func TestFirstCheckWaitIsBounded(t *testing.T) {
	f := newFixture(1)
	f.SetInstances(f.now, nil)
	f.SetInstances(f.now, instanceNames(1))
	f.pool = f.Pool("s")
	f.advance(firstCheckWait + 10*time.Millisecond)
	assert.Equal(t, f.pool.Free(Short), 2)
}
