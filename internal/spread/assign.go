package spread

import (
	"cmp"
	"slices"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// instance is a serving instance with its hash for rendezvous hashing.
type instance struct {
	id   ids.Instance
	hash uint64
}

// placement records the two owners of a target. The first owns the even-numbered
// slots, the second the odd-numbered ones. With a single serving instance both
// owners are that instance; with none both are empty.
type placement struct {
	key    uint64 // hash of service and target
	slots  int
	owner  [2]ids.Instance
	weight [2]uint64 // rendezvous weight of each owner, 0 when it owns no slot
}

// ownerSlots returns the number of slots of the n-th owner (0 or 1) of a target.
func ownerSlots(slots, n int) int { return (slots + 1 - n) / 2 }

// ownedBy returns the number of slots of the target that instance id owns.
func (p *placement) ownedBy(id ids.Instance) int {
	n := 0
	for i, owner := range p.owner {
		if owner == id && id != "" {
			n += ownerSlots(p.slots, i)
		}
	}
	return n
}

// assignment is the ownership of all slots of one service. It is a function of
// the current instances and targets only, independent of earlier states, so that
// instances with the same membership list compute the same owners.
//
// Plain rendezvous hashing gives each of 5 instances 1 to 11 of 30 slots,
// while each receives a fifth of the requests. Each instance may therefore own at
// most maxOwned slots: a target is assigned to the two highest ranked instances
// that are still below this limit. An instance that could not reach its minimum
// with the remaining targets alone takes precedence. Without this rule only one
// instance has room for the last targets, and some instance exceeds the limit
// (counts of 7, 7, 6, 6 and 4 were seen).
type assignment struct {
	targets    []placement // sorted by key
	maxOwned   int         // limit of owned slots per instance
	totalSlots int
	// forced is set when rank alone did not determine the owners: an instance below
	// its minimum took precedence, or too few instances were below the limit. Any
	// change of the instances may then change the result.
	forced     bool
	ownedSlots map[ids.Instance]int
}

// maxOwnedFor returns the maximum number of slots per instance with n instances.
func (a *assignment) maxOwnedFor(n int) int {
	most := 1
	for i := range a.targets {
		most = max(most, ownerSlots(a.targets[i].slots, 0))
	}
	return max(most, (a.totalSlots+n-1)/max(n, 1))
}

// assign recomputes the whole ownership in O(targets × instances).
func (a *assignment) assign(instances []instance) {
	a.totalSlots = 0
	for i := range a.targets {
		a.totalSlots += a.targets[i].slots
	}
	a.maxOwned = a.maxOwnedFor(len(instances))
	a.forced = false
	spare, minOwned := a.spareCapacity(len(instances)), a.totalSlots/max(len(instances), 1)
	laterSlots := 0 // maximum number of slots that one instance can get from the targets not yet placed
	for i := range a.targets {
		laterSlots += ownerSlots(a.targets[i].slots, 0)
	}
	unplaced, shortfall := a.totalSlots, minOwned*len(instances) // slots not yet placed, and slots still needed for every instance to own minOwned
	a.ownedSlots = make(map[ids.Instance]int)
	owned := make([]int, len(instances))
	for i := range a.targets {
		t := &a.targets[i]
		t.owner, t.weight = [2]ids.Instance{}, [2]uint64{}
		if len(instances) == 0 {
			continue
		}
		laterSlots -= ownerSlots(t.slots, 0)
		urgentBelow, preferBelow := max(a.maxOwned-spare, minOwned)-laterSlots, 0
		if shortfall >= unplaced {
			preferBelow = minOwned
		}
		first, second := a.pickOwners(t, instances, owned, urgentBelow, preferBelow)
		if first < 0 {
			first = a.leastLoaded(instances, owned, -1)
		}
		unplaced -= t.slots
		shortfall -= a.assignOwner(t, 0, first, instances, owned, minOwned)
		if ownerSlots(t.slots, 1) == 0 {
			continue
		}
		if len(instances) == 1 {
			second = first
		} else if second < 0 || second == first {
			second = a.leastLoaded(instances, owned, first)
		}
		shortfall -= a.assignOwner(t, 1, second, instances, owned, minOwned)
	}
}

// assignOwner makes instance i the n-th owner of t. It returns how many of the
// assigned slots count towards the instance's minimum of minOwned.
func (a *assignment) assignOwner(t *placement, n, i int, instances []instance, owned []int, minOwned int) int {
	t.owner[n] = instances[i].id
	t.weight[n] = rendezvousWeight(instances[i].hash, t.key)
	needed := min(max(minOwned-owned[i], 0), ownerSlots(t.slots, n))
	owned[i] += ownerSlots(t.slots, n)
	a.ownedSlots[t.owner[n]] = owned[i]
	return needed
}

// spareCapacity returns by how much the combined limit of n instances exceeds the
// number of slots.
func (a *assignment) spareCapacity(n int) int { return a.maxOwnedFor(n)*n - a.totalSlots }

// rendezvousWeight returns the weight of an instance for a target. Its two highest
// bits are 0, so that pickOwners can use them for precedence.
func rendezvousWeight(instance, target uint64) uint64 { return ids.Mix(instance, target) >> 2 }

// pickOwners returns the indices of the two highest ranked instances that are
// below the limit, or -1 where there is none. Both must have room for the slots of
// the first owner, which gets at least as many as the second. Instances with fewer
// than urgentBelow slots rank above those with fewer than preferBelow, and these
// above all others.
func (a *assignment) pickOwners(t *placement, instances []instance, owned []int, urgentBelow, preferBelow int) (first, second int) {
	first, second = -1, -1
	var firstWeight, secondWeight uint64
	maxBefore := a.maxOwned - ownerSlots(t.slots, 0)
	for i := range instances {
		w := rendezvousWeight(instances[i].hash, t.key)
		if owned[i] < urgentBelow {
			w |= 1 << 63
			a.forced = true
		} else if owned[i] < preferBelow {
			w |= 1 << 62
			a.forced = true
		}
		if w <= secondWeight && second >= 0 || owned[i] > maxBefore {
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

// leastLoaded returns the index of the instance with the fewest slots, excluding
// index except. It is used when too few instances are below the limit.
func (a *assignment) leastLoaded(instances []instance, owned []int, except int) int {
	a.forced = true
	least := -1
	for i := range instances {
		if i != except && (least < 0 || owned[i] < owned[least]) {
			least = i
		}
	}
	return least
}

// affectedBy reports whether a change to n instances can change the result. No
// instance takes precedence when the spare capacity is at least the limit and there
// are fewer slots than instances. An instance without slots can then leave, and one
// that ranks below both owners of every target can join, without any effect.
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

// virtualNode represents a part of the owned slots of an instance in home
// selection.
type virtualNode struct {
	hash  uint64
	owner ids.Instance
}

const (
	// maxVirtualNodes is the number of virtual nodes of an instance that owns
	// maxOwned slots; with fewer slots the number is proportional. With a node per
	// slot, 10% of the flows of the remaining instances moved when one of 5 left,
	// because these took over its slots and so got new nodes.
	maxVirtualNodes = 4
	// homeWindow is the maximum number of nodes that are ranked for a flow. It
	// bounds the cost of Home at 29,000 targets: with more nodes, only this many
	// consecutive ones on a hash ring are ranked.
	homeWindow = 64
)

// homeSelector maps the flows of one service to their home instances by rendezvous
// hashing, weighted by owned slots.
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

// pick returns the owner of the highest ranked node for the flow.
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
