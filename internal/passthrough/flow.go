package passthrough

import (
	"arbutusdock.example/arbutusdock/internal/ids"
)

// flowState is how far a flow has come, as seen from the caller's packets.
type flowState uint8

const (
	flowFree    flowState = iota // the record is not in use
	flowOpening                  // the opening packet was forwarded
	flowOpen                     // the caller has answered the target
	flowClosing                  // the caller has sent a FIN
)

// flow is what an instance remembers of a flow. Nothing in it is needed to
// forward packets of an open flow; it serves load figures, failure detection
// and the treatment of repeated opening packets. It takes FlowBytes.
type flow struct {
	key           FlowKey
	state         flowState
	requestActive bool   // a request is in progress
	requests      uint16 // seen so far
	target        int32  // index of the target
	generation    uint32 // of the target
	nextSeq       uint32 // end of the caller's data seen so far
	ack           uint32 // greatest acknowledgement of the caller so far
	lastSeen      ids.Time
	forwardedAt   ids.Time // when the opening packet last went to target
	requestedAt   ids.Time // when the request in progress was first seen
}

// FlowBytes is the memory that one remembered flow takes, with its entry in
// the index at the load factor of the map.
const FlowBytes = 72 + 32

// flowTable is a bounded set of flows. A full table forgets the flow that has
// been idle for longest among a few.
type flowTable struct {
	index      map[FlowKey]int32
	slots      []flow
	free       []int32
	sweepIndex int // position of the sweep
	limit      int
}

func newFlowTable(limit int) flowTable {
	return flowTable{index: map[FlowKey]int32{}, limit: limit}
}

// get returns the flow with this key, or nil.
func (ft *flowTable) get(key FlowKey) *flow {
	if i, ok := ft.index[key]; ok {
		return &ft.slots[i]
	}
	return nil
}

// add returns a new record for key, which is not in the table. evicted holds
// the flow that had to make room, if any.
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

// evictionSample is the number of records among which a full table looks for
// the one that has been idle for longest; it bounds the cost of an insertion.
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
