package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// TargetRecord is what a backend server has published about itself.
type TargetRecord struct {
	Name       string         `cbor:"1,keyasint,omitempty"` // published name of this incarnation
	Identity   uint64         `cbor:"2,keyasint,omitempty"` // number by which a datagram names the backend server
	Service    ids.Service    `cbor:"3,keyasint,omitempty"`
	Address    Endpoint       `cbor:"4,keyasint,omitempty"`
	DataCentre ids.DataCentre `cbor:"5,keyasint,omitempty"`
	Slots      int            `cbor:"6,keyasint,omitempty"` // requests that it runs at a time
	Draining   bool           `cbor:"7,keyasint,omitempty"`
	SlowStart  time.Duration  `cbor:"8,keyasint,omitempty"` // how much longer it is slow after its start
	StartedAt  int64          `cbor:"9,keyasint,omitempty"` // start of this incarnation, Unix milliseconds; 0 if not published
}

// target is the state kept of one backend server.
type target struct {
	TargetRecord
	cookie         Cookie
	lifecycle      chart.Machine // chart.Backend
	suspicion      chart.Machine // chart.Suspicion
	slowStartUntil ids.Time
	// missingSince is when the record disappeared after the platform had been
	// away; zero while the record is there.
	missingSince     ids.Time
	presumedDead     bool // its record disappeared, and nothing shows that it lives on
	addressReused    bool // a check found another target at its address
	lastCheckAt      ids.Time
	unreachableUntil ids.Time // until then it counts as out of reach
	retransmits      int      // packets with data repeated to it since the last sign of life
	// retryAt is when a suspected target may get a flow again.
	retryAt   ids.Time
	retries   int // since the last sign of life
	lastAlive ids.Time

	activeRequests int // requests in progress, from this instance
	flows          int // open flows, from this instance
	index          int32
	generation     uint32 // tells it from other targets that have had the same index
	shadowed       bool   // an older target has the same cookie
	pool           *pool  // in which it is a candidate, nil for none
	local          bool   // it is in the data centre of the instance
	otherRegion    bool   // it is in another region
	poolIndex      int    // in its list of the pool
}

// addBusy changes the number of requests in progress.
func (t *target) addBusy(n int) {
	t.activeRequests += n
	if t.pool != nil && t.local {
		t.pool.activeRequests += n
	}
}

// usable reports whether the target may get new flows at all.
func (t *target) usable() bool {
	s := t.lifecycle.State()
	return !t.shadowed && !t.addressReused && (s == chart.BackendStarting || s == chart.BackendServing)
}

// unanswerable reports whether p, a packet of one of its flows, will not be
// answered any more, and why, so that the caller is better off with a reset.
// Where the target is out of reach this is said of requests only: a flow without
// one may outlast that.
func (t *target) resetReason(now ids.Time, p *Packet) (Reason, bool) {
	switch {
	case p.Flags.Has(RST):
		return KnownCookie, false
	case t.addressReused:
		return TargetGone, true
	case now.Before(t.unreachableUntil):
		return TargetUnreachable, p.Length > 0
	}
	return TargetGone, t.presumedDead
}

// targetTable holds the backend servers by cookie and by service.
type targetTable struct {
	dataCentre     ids.DataCentre    // of the instance
	regions        map[string]string // by data centre
	byName         map[string]*target
	byCookie       map[Cookie]*target
	pools          map[ids.Service]*pool
	slots          []*target // by index; nil entries are free
	freeIndexes    []int32
	lastGeneration uint32 // targets so far
}

func newTargetTable(dc ids.DataCentre, regions map[string]string) targetTable {
	return targetTable{
		dataCentre: dc,
		regions:    regions,
		byName:     map[string]*target{},
		byCookie:   map[Cookie]*target{},
		pools:      map[ids.Service]*pool{},
	}
}

// at returns the target with this index and run, or nil.
func (tt *targetTable) byIndex(index int32, run uint32) *target {
	if index < 0 || int(index) >= len(tt.slots) {
		return nil
	}
	if t := tt.slots[index]; t != nil && t.generation == run {
		return t
	}
	return nil
}

// put records what a target has published. changed is false when nothing but
// counters differ from the present record.
func (tt *targetTable) put(now ids.Time, r *TargetRecord) (t *target, changed bool) {
	t = tt.byName[r.Name]
	if t != nil && t.StartedAt != r.StartedAt {
		// The same name after a restart knows nothing of the flows before.
		tt.delete(t)
		t = nil
	}
	if t == nil {
		t = &target{TargetRecord: *r, cookie: cookieOf(r.Identity), lifecycle: chart.Backend.New(), suspicion: chart.Suspicion.New()}
		tt.insert(t)
		changed = true
	}
	changed = changed || t.Draining != r.Draining || t.Address != r.Address || t.Service != r.Service || t.missingSince != 0
	if t.Service != r.Service || t.DataCentre != r.DataCentre || t.Slots != r.Slots {
		t.leavePool()
	}
	t.TargetRecord = *r
	if changed {
		t.addressReused, t.unreachableUntil = false, 0 // it has written since
	}
	t.missingSince, t.presumedDead = 0, false
	t.slowStartUntil = now.Add(r.SlowStart)
	switch {
	case r.Draining:
		t.lifecycle.Fire(chart.BackendDrain)
	case t.lifecycle.State() == chart.BackendGone:
		t.lifecycle = chart.Backend.New()
		changed = true
	case t.lifecycle.State() == chart.BackendDraining:
		t.lifecycle.Fire(chart.BackendRestart)
	}
	tt.updatePool(t)
	return t, changed
}

func (tt *targetTable) insert(t *target) {
	tt.lastGeneration++
	t.generation = tt.lastGeneration
	tt.byName[t.Name] = t
	tt.assignCookie(t)
	if n := len(tt.freeIndexes); n > 0 {
		t.index = tt.freeIndexes[n-1]
		tt.freeIndexes = tt.freeIndexes[:n-1]
		tt.slots[t.index] = t
		return
	}
	t.index = int32(len(tt.slots))
	tt.slots = append(tt.slots, t)
}

// remove ends the use of t for new flows. Its cookie stays known, so that open
// flows reach it for as long as it lives.
func (tt *targetTable) retire(t *target) {
	t.lifecycle.Fire(chart.BackendRemove)
	tt.updatePool(t)
}

// forget drops everything about t.
func (tt *targetTable) delete(t *target) {
	tt.retire(t)
	delete(tt.byName, t.Name)
	tt.slots[t.index] = nil
	tt.freeIndexes = append(tt.freeIndexes, t.index)
	if tt.byCookie[t.cookie] != t {
		return
	}
	delete(tt.byCookie, t.cookie)
	for _, other := range tt.slots {
		if other != nil && other.cookie == t.cookie {
			tt.assignCookie(other)
		}
	}
}

// claimCookie gives t its cookie. Of two targets with the same cookie only the
// older one gets flows, since packets of the other could not be told apart. All
// instances agree on it, as it follows from what the targets publish.
func (tt *targetTable) assignCookie(t *target) {
	t.shadowed = false
	if holder := tt.byCookie[t.cookie]; holder != nil && holder != t {
		if holder.isOlderThan(t) {
			t.shadowed = true
			return
		}
		holder.shadowed = true
		tt.updatePool(holder)
	}
	tt.byCookie[t.cookie] = t
	tt.updatePool(t)
}

func (t *target) isOlderThan(o *target) bool {
	if t.StartedAt != o.StartedAt {
		return t.StartedAt < o.StartedAt
	}
	return t.Identity < o.Identity
}

// far reports whether a data centre is known to be in another region.
func (tt *targetTable) inOtherRegion(dc ids.DataCentre) bool {
	own, known := tt.regions[string(tt.dataCentre)]
	other, also := tt.regions[string(dc)]
	return known && also && own != other
}

// list puts t among the candidates of its service, or takes it out.
func (tt *targetTable) updatePool(t *target) {
	switch {
	case !t.usable():
		t.leavePool()
	case t.pool == nil:
		p := tt.pools[t.Service]
		if p == nil {
			p = &pool{}
			tt.pools[t.Service] = p
		}
		t.local = t.DataCentre == tt.dataCentre
		t.otherRegion = tt.inOtherRegion(t.DataCentre)
		p.add(t)
	}
}
