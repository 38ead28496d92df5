package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// TargetRecord is the record that a backend server publishes about itself.
type TargetRecord struct {
	Name       string         `cbor:"1,keyasint,omitempty"` // published name of this incarnation
	Identity   uint64         `cbor:"2,keyasint,omitempty"` // number that identifies the backend server in datagrams
	Service    ids.Service    `cbor:"3,keyasint,omitempty"`
	Address    Endpoint       `cbor:"4,keyasint,omitempty"`
	Draining   bool           `cbor:"7,keyasint,omitempty"`
	DataCentre ids.DataCentre `cbor:"5,keyasint,omitempty"`
	Slots      int            `cbor:"6,keyasint,omitempty"`  // number of requests that it runs concurrently
	SlowStart  time.Duration  `cbor:"8,keyasint,omitempty"`  // remaining time of its slow start
	StartedAt  int64          `cbor:"9,keyasint,omitempty"`  // start time of this incarnation in Unix milliseconds; 0 if not published
	Seq        int64          `cbor:"10,keyasint,omitempty"` // number of times that this incarnation has published its record
}

// target is the state of one incarnation of a backend server.
type target struct {
	TargetRecord
	cookie         Cookie
	lifecycle      chart.Machine // runs chart.Backend
	suspicion      chart.Machine // runs chart.Suspicion
	slowStartUntil ids.Time
	cold           *coldState // nil for most targets
	// missingSince is when the record disappeared after an outage of the platform;
	// zero while the record exists.
	missingSince     ids.Time
	lastCheckAt      ids.Time
	unreachableUntil ids.Time // the target counts as unreachable until then
	// stalled are flows of idempotent requests whose caller has retransmitted data since
	// lastAlive, at most maxStalled.
	stalled []FlowKey
	// retryAt is the time from which a suspected target may get a flow again.
	retryAt     ids.Time
	lastAlive   ids.Time
	retries     int32 // number of calls of scheduleRetry since lastAlive
	retransmits int32 // packets with retransmitted data since lastAlive

	activeRequests int         // active requests from this instance
	flows          int         // open flows, from this instance
	pool           *pool       // pool that contains it or counts it as withheld, or nil
	list           *targetList // list of the pool that contains it; nil if it gets no new flows
	listIndex      int32       // index in list
	index          int32
	generation     uint32 // distinguishes it from former targets with the same index

	// Small fields stand together: an instance keeps 29,000 targets.
	presumedDead  bool // its record disappeared and nothing indicates that it is still alive
	addressReused bool // a health check found another target at its address
	shadowed      bool // an older target has the same cookie
	evacuated     bool // its data centre is evacuated
	local         bool // in the data centre of this instance
	otherRegion   bool // in another region than this instance
}

// addActiveRequests adds n to the number of active requests.
func (t *target) addActiveRequests(n int) {
	t.activeRequests += n
	if t.list != nil && t.local {
		t.pool.activeRequests += n
	}
}

// usable reports whether the target may get new flows, apart from suspicion.
func (t *target) usable() bool { return t.serving() && !t.evacuated }

// serving reports whether the target itself accepts new flows.
func (t *target) serving() bool {
	s := t.lifecycle.State()
	return !t.shadowed && !t.addressReused && (s == chart.BackendStarting || s == chart.BackendServing)
}

// resetReason reports whether to reset the flow of p because t will not answer p,
// and the reason. If t is unreachable, only packets with request data are reset,
// since t may become reachable again before an idle flow sends its next request.
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

// targetTable indexes the targets by name, by cookie and by service.
type targetTable struct {
	dataCentre     ids.DataCentre    // data centre of the instance
	regions        map[string]string // region of each data centre
	byName         map[string]*target
	byCookie       map[Cookie]*target
	pools          map[ids.Service]*pool
	evacuated      map[ids.DataCentre]evacuation
	slots          []*target // by target.index; nil entries are free
	freeIndexes    []int32
	lastGeneration uint32 // generation of the target that was inserted last
}

func newTargetTable(dc ids.DataCentre, regions map[string]string) targetTable {
	return targetTable{
		dataCentre: dc,
		regions:    regions,
		byName:     map[string]*target{},
		byCookie:   map[Cookie]*target{},
		pools:      map[ids.Service]*pool{},
		evacuated:  map[ids.DataCentre]evacuation{},
	}
}

// byIndex returns the target with the given index and generation, or nil.
func (tt *targetTable) byIndex(index int32, generation uint32) *target {
	if index < 0 || int(index) >= len(tt.slots) {
		return nil
	}
	if t := tt.slots[index]; t != nil && t.generation == generation {
		return t
	}
	return nil
}

// put adds or updates a target from its record. changed reports whether the target
// is new, was missing or gone, or has another drain state, address or service.
func (tt *targetTable) put(now ids.Time, r *TargetRecord) (t *target, changed bool) {
	t = tt.byName[r.Name]
	if t != nil && t.StartedAt != r.StartedAt {
		// A target that restarted under the same name does not have the flows of
		// its former incarnation.
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
		t.leavePool() // updatePool adds it again
	}
	t.TargetRecord = *r
	if changed {
		t.addressReused, t.unreachableUntil = false, 0 // a changed record proves that the target is alive
	}
	t.missingSince, t.presumedDead = 0, false
	t.slowStartUntil = now.Add(r.SlowStart)
	if t.lifecycle.State() == chart.BackendGone {
		t.lifecycle = chart.Backend.New()
		changed = true
	}
	switch {
	case r.Draining:
		t.lifecycle.Fire(chart.BackendDrain)
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

// retire stops new flows to t. Its cookie is kept, so that packets of open flows
// are forwarded to it while it is alive.
func (tt *targetTable) retire(t *target) {
	t.lifecycle.Fire(chart.BackendRemove)
	tt.updatePool(t)
}

// delete removes t and all of its state.
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

// assignCookie registers t under its cookie. Of two targets with the same cookie
// only the older one gets flows, since the cookie cannot distinguish their
// packets. All instances make the same choice because it depends only on the
// published records.
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

// inOtherRegion reports whether a data centre is known to be in another region than
// this instance.
func (tt *targetTable) inOtherRegion(dc ids.DataCentre) bool {
	own, ownKnown := tt.regions[string(tt.dataCentre)]
	other, otherKnown := tt.regions[string(dc)]
	return ownKnown && otherKnown && own != other
}

// updatePool adds t to the pool of its service if it is usable, and removes it
// otherwise.
func (tt *targetTable) updatePool(t *target) {
	_, t.evacuated = tt.evacuated[t.DataCentre]
	inList, counted := t.list != nil, t.pool != nil && t.list == nil
	switch {
	case !t.serving():
		t.leavePool()
	case t.evacuated && !counted:
		t.leavePool()
		tt.poolOf(t.Service).withhold(t)
	case !t.evacuated && !inList:
		t.leavePool()
		t.local = t.DataCentre == tt.dataCentre
		t.otherRegion = tt.inOtherRegion(t.DataCentre)
		tt.poolOf(t.Service).add(t, tt.regionOf(t))
	}
}

// regionOf returns the region of t, or "" if it is unknown.
func (tt *targetTable) regionOf(t *target) string { return tt.regions[string(t.DataCentre)] }

// poolOf returns the pool of a service.
func (tt *targetTable) poolOf(service ids.Service) *pool {
	p := tt.pools[service]
	if p == nil {
		p = &pool{}
		tt.pools[service] = p
	}
	return p
}
