package member

import (
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// newer reports whether a has a higher incarnation than b, or the same
// incarnation and a higher counter.
func newer(a, b *peerwire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// Merge combines two records of the same instance by the rule of
// peerwire.Member. It is commutative, associative and idempotent.
func Merge(a, b peerwire.Member) peerwire.Member {
	if newer(&a, &b) {
		return a
	}
	if newer(&b, &a) {
		return b
	}
	a.Suspected = a.Suspected || b.Suspected
	a.Lifecycle = max(a.Lifecycle, b.Lifecycle)
	a.Successor = max(a.Successor, b.Successor)
	a.DataCentre = max(a.DataCentre, b.DataCentre)
	a.PeerAddr = max(a.PeerAddr, b.PeerAddr)
	return a
}

// recordHash hashes the fields of a record on which peers must agree. It is 0 for
// gone members, since each instance removes them at a different time.
func recordHash(m *peerwire.Member) uint64 {
	if m.Lifecycle == peerwire.Gone {
		return 0
	}
	state := uint64(m.Counter)<<8 | uint64(m.Lifecycle)<<1
	if m.Suspected {
		state |= 1
	}
	return ids.Mix(ids.Hash(string(m.ID)), ids.Mix(uint64(m.Incarnation), state))
}

// serves reports whether slots may be assigned to the member.
func serves(m *peerwire.Member) bool { return m.Lifecycle == peerwire.Serving && !m.Suspected }

// addRecord adds the record of an instance that was not known.
func (v *View) addRecord(m peerwire.Member) *record {
	r := &record{}
	v.members[m.ID] = r
	v.updateRecord(r, m)
	return r
}

// updateRecord sets the content of a record and updates all state derived from it.
func (v *View) updateRecord(r *record, m peerwire.Member) {
	old := r.Member
	if old.Incarnation != m.Incarnation {
		delete(v.byIncarnation, old.Incarnation)
		if old.ID != "" {
			delete(v.clockOffsets, m.ID)
			v.clearKnown(v.linkIndex(m.ID))
		}
	}
	v.byIncarnation[m.Incarnation] = r
	if m.Successor != 0 && m.Successor != m.Incarnation {
		v.successors[m.Incarnation] = successor{m.Successor, v.now}
	}
	wasSuspected := old.Suspected && old.Lifecycle != peerwire.Gone
	isSuspected := m.Suspected && m.Lifecycle != peerwire.Gone
	if isSuspected != wasSuspected {
		if isSuspected {
			v.suspected++
		} else {
			v.suspected--
		}
	}
	if isSuspected && !wasSuspected || m.Lifecycle == peerwire.Gone && old.Lifecycle != peerwire.Gone {
		r.stateSince = v.now
	}
	if old.ID == "" || (old.Lifecycle == peerwire.Gone) != (m.Lifecycle == peerwire.Gone) {
		v.linksStale = true
	}
	v.digest ^= r.hash
	r.Member, r.hash = m, recordHash(&m)
	v.digest ^= r.hash
	if serves(&old) != serves(&m) {
		v.servingStale = true
	}
	v.lastChangeAt = v.now
	v.logChange(r)
}

// merge handles a received record. fromLink is the index of the link to the
// sender, or -1 when the sender is not a neighbour.
func (v *View) merge(m *peerwire.Member, fromLink int) {
	if m.DataCentre != v.self.DataCentre || m.ID == "" || m.Lifecycle > peerwire.Gone {
		return
	}
	if m.ID == v.id {
		v.mergeSelf(m)
		return
	}
	r := v.members[m.ID]
	if r == nil {
		r = v.addRecord(*m)
	} else {
		v.mergeOther(r, m)
	}
	if r.Incarnation == m.Incarnation && r.Counter == m.Counter && r.Suspected == m.Suspected {
		v.markKnown(fromLink, r)
	}
}

// mergeSelf handles a received record of this instance and refutes a state that
// the instance did not announce itself. Only this instance raises its counter, so
// a higher one was announced by an earlier process with the same incarnation.
func (v *View) mergeSelf(m *peerwire.Member) {
	s := v.self
	switch {
	case m.Incarnation > s.Incarnation:
		v.superseded = max(v.superseded, m.Incarnation)
	case m.Incarnation < s.Incarnation || m.Counter < s.Counter:
	case m.Counter > s.Counter || m.Suspected || m.Lifecycle != s.Lifecycle:
		own := s.Member
		own.Counter = max(own.Counter, m.Counter)
		v.announce(own)
	}
}

// mergeOther merges a record of a known instance. Two rules add to Merge:
//   - When another instance has declared a suspected member gone, the member
//     becomes only suspected here, so that it has the full suspicionTimeout to
//     refute this after a partition has healed.
//   - A suspicion of a neighbour that recently sent a heartbeat is not adopted
//     but sent to the neighbour, whose refutation then spreads to all instances.
func (v *View) mergeOther(r *record, m *peerwire.Member) {
	in := *m
	if in.Suspected && !r.gone() && in.Incarnation == r.Incarnation {
		if in.Lifecycle == peerwire.Gone {
			in.Lifecycle = r.Lifecycle
		}
		if !newer(&in, &r.Member) && !newer(&r.Member, &in) && !r.Suspected && v.hasRecentHeartbeat(r.ID) {
			v.queueRecord(r.ID, in)
			return
		}
	}
	out := Merge(r.Member, in)
	if out.PeerAddr == "" {
		out.PeerAddr = r.PeerAddr
	}
	if out == r.Member {
		return
	}
	if r.Suspected && !out.Suspected && out.Incarnation == r.Incarnation {
		v.backOffSuspicion(r.ID)
	}
	v.updateRecord(r, out)
}

// suspect marks a neighbour without heartbeats as suspected and gossips this.
func (v *View) suspect(r *record) {
	_, actions, ok := chart.Suspicion.Next(suspicionState(r), chart.SuspicionSilent)
	if !ok || r.Suspected || r.gone() {
		return
	}
	m := r.Member
	m.Suspected = true
	v.updateRecord(r, m)
	if len(actions) > 0 {
		v.broadcast(r)
	}
}

// broadcast queues a locally made change for all neighbours; the next Tick sends
// it.
func (v *View) broadcast(r *record) {
	v.urgentChange = true
	for i := range v.links {
		if v.links[i].id != "" {
			v.queueRecord(v.links[i].id, r.Member)
			v.markKnown(i, r)
		}
	}
}

// suspicionState returns the state of the record in the chart Suspicion.
func suspicionState(r *record) chart.State {
	if r.Suspected {
		return chart.Suspected
	}
	return chart.Trusted
}

// expire declares members gone whose suspicion has timed out, and removes gone
// members and successors after goneRetention.
func (v *View) expire() {
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		r := v.members[id]
		if r == v.self {
			continue
		}
		switch age := v.now.Sub(r.stateSince); {
		case r.gone() && age >= goneRetention:
			v.forgetMember(id, r)
		case !r.gone() && r.Suspected && age >= suspicionTimeout:
			m := r.Member
			m.Lifecycle = peerwire.Gone
			v.updateRecord(r, m)
			// Every instance that has the suspicion declares the member gone by
			// its own clock, so this change is not gossiped.
			r.fullViewOnly = true
		}
	}
	for i, s := range v.successors {
		if v.now.Sub(s.recordedAt) >= goneRetention {
			delete(v.successors, i)
		}
	}
}

// forgetMember removes the record of a gone member.
func (v *View) forgetMember(id ids.Instance, r *record) {
	delete(v.members, id)
	delete(v.clockOffsets, id)
	if v.byIncarnation[r.Incarnation] == r {
		delete(v.byIncarnation, r.Incarnation)
	}
}
