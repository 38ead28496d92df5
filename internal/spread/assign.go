package spread

import (
	"cmp"
	"slices"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// instance is a serving instance with the hash that ranks it.
type instance struct {
	id   ids.Instance
	hash uint64
}

// placement names the two owners of a target: the first owns the slots with
// even numbers, the second those with odd numbers. With a single serving
// instance both are the same; without any they are empty.
type placement struct {
	key    uint64 // hash of service and target
	slots  int
	owner  [2]ids.Instance
	weight [2]uint64 // rendezvous weight of owner, 0 when it owns no slot
}

// slotsOf returns how many slots the n-th owner of a target has.
func ownerSlots(slots, n int) int { return (slots + 1 - n) / 2 }

// owned returns how many slots of the target id owns.
func (p *placement) ownedBy(id ids.Instance) int {
	n := 0
	for i, owner := range p.owner {
		if owner == id && id != "" {
			n += ownerSlots(p.slots, i)
		}
	}
	return n
}

// assignment is the ownership of all slots of one service. It depends on the
// set of instances and the set of targets only, never on their history, so
// that instances with equal views agree.
//
// Plain rendezvous hashing gives each of 5 instances 1 to 11 of 30 slots,
// while each receives a fifth of the requests. Ownership is therefore limited
// to limit slots per instance: each target takes the two highest ranked
// instances that are still below it. An instance that could no longer reach
// its part with the targets that remain is taken first; otherwise the last
// targets find room at a single instance, and some instance ends above the
// limit (counts of 7, 7, 6, 6 and 4 were seen).
type assignment struct {
	targets    []placement // in order of key
	maxOwned   int
	totalSlots int // slots
	// forced tells that a slot had to go to an instance at its limit, so that
	// any change of the instances may change the result.
	forced     bool
	ownedSlots map[ids.Instance]int
}

// limitFor returns the greatest number of slots that one of n instances owns.
func (a *assignment) maxOwnedFor(n int) int {
	most := 1
	for i := range a.targets {
		most = max(most, ownerSlots(a.targets[i].slots, 0))
	}
	return max(most, (a.totalSlots+n-1)/max(n, 1))
}

// assign computes the ownership from scratch in O(targets × instances).
func (a *assignment) assign(instances []instance) {
	a.totalSlots = 0
	for i := range a.targets {
		a.totalSlots += a.targets[i].slots
	}
	a.maxOwned = a.maxOwnedFor(len(instances))
	a.forced = false
	slack, least := a.spareCapacity(len(instances)), a.totalSlots/max(len(instances), 1)
	after := 0 // slots that one instance could get of the targets not yet placed
	for i := range a.targets {
		after += ownerSlots(a.targets[i].slots, 0)
	}
	left, missing := a.totalSlots, least*len(instances) // slots not yet placed, and needed to give least to all
	a.ownedSlots = make(map[ids.Instance]int)
	used := make([]int, len(instances))
	for i := range a.targets {
		t := &a.targets[i]
		t.owner, t.weight = [2]ids.Instance{}, [2]uint64{}
		if len(instances) == 0 {
			continue
		}
		after -= ownerSlots(t.slots, 0)
		due, wanting := max(a.maxOwned-slack, least)-after, 0
		if missing >= left {
			wanting = least
		}
		first, second := a.pickOwners(t, instances, used, due, wanting)
		if first < 0 {
			first = a.leastLoaded(instances, used, -1)
		}
		left -= t.slots
		missing -= a.assignOwner(t, 0, first, instances, used, least)
		if ownerSlots(t.slots, 1) == 0 {
			continue
		}
		if len(instances) == 1 {
			second = first
		} else if second < 0 || second == first {
			second = a.leastLoaded(instances, used, first)
		}
		missing -= a.assignOwner(t, 1, second, instances, used, least)
	}
}

// give makes instance i the n-th owner of t. It returns how many slots of these
// the instance needed to reach least.
func (a *assignment) assignOwner(t *placement, n, i int, instances []instance, used []int, least int) int {
	t.owner[n] = instances[i].id
	t.weight[n] = rendezvousWeight(instances[i].hash, t.key)
	needed := min(max(least-used[i], 0), ownerSlots(t.slots, n))
	used[i] += ownerSlots(t.slots, n)
	a.ownedSlots[t.owner[n]] = used[i]
	return needed
}

// slack returns how many slots more than there are n instances could own.
func (a *assignment) spareCapacity(n int) int { return a.maxOwnedFor(n)*n - a.totalSlots }

// rank returns the rendezvous weight of an instance for a target. Its two
// highest bits are 0.
func rendezvousWeight(instance, target uint64) uint64 { return ids.Mix(instance, target) >> 2 }

// pick returns the two highest ranked instances that are below the limit, -1
// for one that does not exist. Both are given room for the part of the first
// owner, which is the larger one. Instances with fewer than due slots rank
// before those with fewer than wanting, and these before all others.
func (a *assignment) pickOwners(t *placement, instances []instance, used []int, due, wanting int) (first, second int) {
	first, second = -1, -1
	var firstWeight, secondWeight uint64
	room := a.maxOwned - ownerSlots(t.slots, 0)
	for i := range instances {
		w := rendezvousWeight(instances[i].hash, t.key)
		if used[i] < due {
			w |= 1 << 63
			a.forced = true
		} else if used[i] < wanting {
			w |= 1 << 62
			a.forced = true
		}
		if w <= secondWeight && second >= 0 || used[i] > room {
			continue
		}
		if first < 0 || w > firstWeight {
			second, secondWeight = first, firstWeight
			first, firstWeight = i, w
		} else {
			second, secondWeight = i, w
		}
	}
	return first, second
}

// spill returns the instance other than not with the fewest slots.
func (a *assignment) leastLoaded(instances []instance, used []int, not int) int {
	a.forced = true
	least := -1
	for i := range instances {
		if i != not && (least < 0 || used[i] < used[least]) {
			least = i
		}
	}
	return least
}

// affected reports whether a change of the instances can change the result.
// With a slack of at least the limit and fewer slots than instances no instance
// is ever due.
// An instance that owns no slot was never considered, and one that ranks below
// both owners of every target would not be.
func (a *assignment) affectedBy(n int, joined, left []instance) bool {
	if a.forced || a.maxOwnedFor(n) != a.maxOwned || a.spareCapacity(n) < a.maxOwned || a.totalSlots >= n {
		return true
	}
	for _, l := range left {
		if a.ownedSlots[l.id] > 0 {
			return true
		}
	}
	for _, j := range joined {
		for i := range a.targets {
			t := &a.targets[i]
			w := rendezvousWeight(j.hash, t.key)
			if w > t.weight[0] || ownerSlots(t.slots, 1) > 0 && w > t.weight[1] || t.owner[0] == t.owner[1] {
				return true
			}
		}
	}
	return false
}

// virtualNode stands for a part of the owned slots of an instance in the
// choice of homes.
type virtualNode struct {
	hash  uint64
	owner ids.Instance
}

const (
	// An instance with the greatest number of slots has this many nodes, one
	// with fewer has a proportional part. A node per slot moved 10% of the flows
	// of the surviving instances when one of 5 left, because these took over
	// its slots and so got new nodes.
	maxVirtualNodes = 4
	// homeWindow bounds the cost of Home at 29,000 targets: a flow ranks the
	// nodes of one window on a hash ring. Up to this number all are ranked.
	homeWindow = 64
)

// homes is the choice of homes of one service by rendezvous hashing, weighted
// by owned slots.
type homeSelector struct{ nodes []virtualNode }

func (h *homeSelector) build(a *assignment) {
	h.nodes = h.nodes[:0]
	for id, n := range a.ownedSlots {
		base := ids.Hash(string(id))
		for k := range max(1, (n*maxVirtualNodes+a.maxOwned/2)/a.maxOwned) {
			h.nodes = append(h.nodes, virtualNode{ids.Mix(base, uint64(k)), id})
		}
	}
	slices.SortFunc(h.nodes, func(a, b virtualNode) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.owner, b.owner))
	})
}

// pick returns the owner of the highest ranked node of the flow's window.
func (h *homeSelector) pick(flow uint64) (ids.Instance, bool) {
	n := len(h.nodes)
	if n == 0 {
		return "", false
	}
	start, count := 0, n
	if n > homeWindow {
		lo, hi := 0, n
		for lo < hi {
			mid := int(uint(lo+hi) >> 1)
			if h.nodes[mid].hash < flow {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		start, count = lo, homeWindow
	}
	best, bestWeight := 0, uint64(0)
	for k := range count {
		i := start + k
		if i >= n {
			i -= n
		}
		if w := ids.Mix(h.nodes[i].hash, flow); w >= bestWeight {
			best, bestWeight = i, w
		}
	}
	return h.nodes[best].owner, true
}
