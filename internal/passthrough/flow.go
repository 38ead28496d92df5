package passthrough

import (
	"arbutusdock.example/arbutusdock/internal/ids"
)

// flowState is the connection state of a flow, derived from the caller's packets.
type flowState uint8

const (
	flowFree    flowState = iota // the entry is unused
	flowOpening                  // an opening packet was forwarded
	flowOpen                     // opened here: the caller has sent a packet after the target's answer
	flowAdopted                  // opened at another instance
	flowReset                    // was reset here; its packets are reset again
)

// flow is the state that an instance keeps of a flow. Forwarding packets of an
// open flow does not need it; it is used for load figures, failure detection and
// the handling of repeated opening packets. FlowBytes is its size.
type flow struct {
	key           FlowKey
	state         flowState
	requestActive bool   // a request is in progress
	requests      uint16 // number of requests so far
	target        int32  // index of the target in targetTable.slots
	generation    uint32 // generation of the target
	nextSeq       uint32 // next sequence number after the caller's data so far
	ack           uint32 // highest acknowledgement number of the caller so far
	lastSeen      ids.Time
	forwardedAt   ids.Time // when the last opening packet was sent to target, or an adopted flow's first packet
	requestedAt   ids.Time // when the first packet of the active request arrived
}

// FlowBytes is the memory use of one entry of the flow table, including its entry
// in the index at the load factor of the map.
const FlowBytes = 72 + 32

// flowTable is a bounded table of flows. When it is full, a new flow evicts the
// one that has been idle for the longest time among evictionSample entries.
type flowTable struct {
	index      map[FlowKey]int32
	slots      []flow
	free       []int32
	sweepIndex int // slot that the sweep or the eviction examined last
	limit      int
}

func newFlowTable(limit int) flowTable {
	return flowTable{index: map[FlowKey]int32{}, limit: limit}
}

// get returns the flow with the given key, or nil.
func (ft *flowTable) get(key FlowKey) *flow {
	if i, ok := ft.index[key]; ok {
		return &ft.slots[i]
	}
	return nil
}

// add returns a new entry for key, which must not be in the table. evicted is a
// copy of the flow that was evicted for it, or the zero value.
func (ft *flowTable) add(key FlowKey) (f *flow, evicted flow) {
	var i int32
	switch n := len(ft.free); {
	case n > 0:
		i = ft.free[n-1]
		ft.free = ft.free[:n-1]
	case len(ft.slots) < ft.limit:
		i = int32(len(ft.slots))
		ft.slots = append(ft.slots, flow{})
	default:
		i = ft.evictionCandidate()
		evicted = ft.slots[i]
		delete(ft.index, evicted.key)
	}
	ft.index[key] = i
	ft.slots[i] = flow{key: key, target: -1}
	return &ft.slots[i], evicted
}

// evictionSample is the number of entries that a full table examines for the one
// that has been idle for the longest time. It bounds the cost of an insertion.
const evictionSample = 16

func (ft *flowTable) evictionCandidate() int32 {
	best := int32(ft.sweepIndex)
	for range evictionSample {
		ft.sweepIndex = (ft.sweepIndex + 1) % len(ft.slots)
		if ft.slots[ft.sweepIndex].lastSeen.Before(ft.slots[best].lastSeen) {
			best = int32(ft.sweepIndex)
		}
	}
	return best
}

func (ft *flowTable) remove(f *flow) {
	i := ft.index[f.key]
	delete(ft.index, f.key)
	ft.slots[i] = flow{}
	ft.free = append(ft.free, i)
}
