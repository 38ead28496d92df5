package spread

import (
	"fmt"
	"testing"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestTable(instances []ids.Instance, targets int) *Table {
	t := NewTable("", dc, 1)
	t.SetInstances(startTime, instances)
	t.SetService(startTime, testService("s", targets))
	return t
}

// Guards against a target whose two owners are the same instance, and against an
// uneven number of slots per instance.
func TestAssignDistinctAndEven(t *testing.T) {
	for _, c := range []struct{ instances, targets int }{{2, 1}, {2, 15}, {3, 15}, {4, 15}, {5, 4}, {5, 15}, {6, 15}, {7, 100}, {50, 100}} {
		tab := newTestTable(instanceNames(c.instances), 0)
		for name := range 20 {
			s := ids.Service(fmt.Sprint(name))
			tab.SetService(startTime, testService(s, c.targets))
			checkEven(t, tab.services[s], c.instances)
		}
	}
}

func checkEven(t *testing.T, s *service, instances int) {
	total := 0
	for _, p := range s.assignment.targets {
		assert.Assert(t, p.owner[0] != p.owner[1] && p.owner[0] != "" && p.owner[1] != "", "%d instances", instances)
		total += p.slots
	}
	if total >= instances {
		assert.Equal(t, len(s.ownedSlots), instances, "an instance owns no slot")
	}
	for id, n := range s.ownedSlots {
		assert.Assert(t, n >= total/instances, "%s owns %d of %d slots, %d instances", id, n, total, instances)
		assert.Assert(t, n <= (total+instances-1)/instances, "%s owns %d of %d slots, %d instances", id, n, total, instances)
	}
}

// Guards against an incremental result that differs from a computation from scratch
// with the same membership list. Two instances would then use the same slot, or none
// would.
func TestAssignIsIndependentOfHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := instanceNames(12)
		tab := NewTable("", dc, 1)
		tab.SetService(startTime, testService("s", rapid.IntRange(1, 20).Draw(r, "targets")))
		for range rapid.IntRange(1, 8).Draw(r, "steps") {
			var members []ids.Instance
			for _, id := range all {
				if rapid.Bool().Draw(r, string(id)) {
					members = append(members, id)
				}
			}
			tab.SetInstances(startTime, members)
			fresh := newTestTable(members, len(tab.services["s"].assignment.targets))
			for i, p := range tab.services["s"].assignment.targets {
				assert.Equal(r, p.owner, fresh.services["s"].assignment.targets[i].owner)
			}
			for flow := range uint64(50) {
				a, _ := tab.Home("s", ids.Mix(flow, 1))
				b, _ := fresh.Home("s", ids.Mix(flow, 1))
				assert.Equal(r, a, b)
			}
		}
	})
}

// Guards against many flows of the remaining instances changing their home when an
// instance leaves. This would break their feeds without need.
func TestHomeMovesFewFlows(t *testing.T) {
	for _, targets := range []int{15, 400} {
		before, after := newTestTable(instanceNames(5), targets), newTestTable(instanceNames(4), targets)
		moved, onLeaving, flows := 0, 0, 10000
		for flow := range uint64(flows) {
			a, _ := before.Home("s", ids.Mix(flow, 7))
			b, _ := after.Home("s", ids.Mix(flow, 7))
			if a == "instance-004" {
				onLeaving++
			} else if a != b {
				moved++
			}
		}
		assert.Assert(t, onLeaving > flows/8 && onLeaving < flows*3/10, "%d targets: own %d", targets, onLeaving)
		assert.Assert(t, moved < flows/10, "%d targets: moved %d", targets, moved)
	}
}

// Guards against a home instance that owns no slot, and against a home for a service
// that is removed or without instances.
func TestHomeOwnsSlots(t *testing.T) {
	tab := newTestTable(instanceNames(9), 3)
	for flow := range uint64(100) {
		home, ok := tab.Home("s", ids.Mix(flow, 3))
		assert.Assert(t, ok && tab.SlotShare("s", home) > 0)
	}
	tab.SetInstances(startTime, nil)
	_, ok := tab.Home("s", 1)
	assert.Assert(t, !ok)
	tab.RemoveService("s")
	_, ok = tab.Home("s", 1)
	assert.Assert(t, !ok && tab.Pool("s") == nil && len(tab.Owners("s")) == 0)
}

// Guards against slots being assigned for targets in other data centres and for
// repeated target names.
func TestServiceFiltersTargets(t *testing.T) {
	r := testService("s", 3)
	r.Service.Targets[1].DataCentre = "elsewhere"
	r.Service.Targets[2].Name = r.Service.Targets[0].Name
	tab := NewTable("instance-000", dc, 1)
	tab.SetInstances(startTime, instanceNames(1))
	tab.SetService(startTime, r)
	assert.Equal(t, tab.Pool("s").Capacity(), 2)
}
