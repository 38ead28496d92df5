package member

import (
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// newer reports whether a carries a later state of its instance than b, by
// incarnation and counter alone.
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

// recordHash covers what peers must agree on. Gone members do not count,
// since each instance forgets them at its own time.
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

// put adds the record of an instance that was not known.
func (v *View) put(m peerwire.Member) *record {
	r := &record{}
	v.members[m.ID] = r
	v.replace(r, m)
	return r
}

// replace sets a record and keeps everything derived from it.
func (v *View) replace(r *record, m peerwire.Member) {
	old := r.Member
	if old.Incarnation != m.Incarnation {
		delete(v.byRun, old.Incarnation)
		if old.ID != "" {
			delete(v.clocks, m.ID)
			v.forgetKnown(v.slot(m.ID))
		}
	}
	v.byRun[m.Incarnation] = r
	if m.Successor != 0 && m.Successor != m.Incarnation {
		v.successors[m.Incarnation] = successor{m.Successor, v.now}
	}
	wasWatched := old.Suspected && old.Lifecycle != peerwire.Gone
	watched := m.Suspected && m.Lifecycle != peerwire.Gone
	if watched != wasWatched {
		if watched {
			v.suspected++
		} else {
			v.suspected--
		}
	}
	if watched && !wasWatched || m.Lifecycle == peerwire.Gone && old.Lifecycle != peerwire.Gone {
		r.since = v.now
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
	v.lastChange = v.now
	v.log(r)
}

// merge handles a record received on link slot from, or -1 when the sender is
// no neighbour.
func (v *View) merge(m *peerwire.Member, from int) {
	if m.DataCentre != v.self.DataCentre || m.ID == "" || m.Lifecycle > peerwire.Gone {
		return
	}
	if m.ID == v.id {
		v.mergeSelf(m)
		return
	}
	r := v.members[m.ID]
	if r == nil {
		r = v.put(*m)
	} else {
		v.mergeOther(r, m)
	}
	if r.Incarnation == m.Incarnation && r.Counter == m.Counter && r.Suspected == m.Suspected {
		v.markKnown(from, r)
	}
}

// mergeSelf refutes every claim about this instance that it did not make
// itself. Only this instance raises its counter, so a higher one stems from an
// earlier process that had the same incarnation.
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
//   - A declaration of another instance that a member is gone counts as a
//     suspicion that starts here, so that the member has the full time to
//     refute it when a cut heals.
//   - A suspicion of a neighbour that was heard just now is not adopted but
//     passed on to it; its refutation then reaches everyone.
func (v *View) mergeOther(r *record, m *peerwire.Member) {
	in := *m
	if in.Suspected && !r.gone() && in.Incarnation == r.Incarnation {
		if in.Lifecycle == peerwire.Gone {
			in.Lifecycle = r.Lifecycle
		}
		if !newer(&in, &r.Member) && !newer(&r.Member, &in) && !r.Suspected && v.heardJustNow(r.ID) {
			v.attach(r.ID, in)
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
		v.refuted(r.ID)
	}
	v.replace(r, out)
}

// suspect marks a silent neighbour.
func (v *View) suspect(r *record) {
	_, actions, ok := chart.Suspicion.Next(suspicionState(r), chart.SuspicionSilent)
	if !ok || r.Suspected || r.gone() {
		return
	}
	m := r.Member
	m.Suspected = true
	v.replace(r, m)
	if len(actions) > 0 {
		v.broadcast(r)
	}
}

// broadcast sends a change made here to all neighbours with the next Tick.
func (v *View) broadcast(r *record) {
	v.urgent = true
	for i := range v.links {
		if v.links[i].id != "" {
			v.attach(v.links[i].id, r.Member)
			v.markKnown(i, r)
		}
	}
}

func suspicionState(r *record) chart.State {
	if r.Suspected {
		return chart.Suspected
	}
	return chart.Trusted
}

// expire declares members gone that were suspected for too long and forgets
// members that have been gone for long.
func (v *View) expire() {
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		r := v.members[id]
		if r == v.self {
			continue
		}
		switch age := v.now.Sub(r.since); {
		case r.gone() && age >= forgetAfter:
			v.forget(id, r)
		case !r.gone() && r.Suspected && age >= goneAfter:
			m := r.Member
			m.Lifecycle = peerwire.Gone
			v.replace(r, m)
			// Every instance that knows of the suspicion does the same by its
			// own clock, so this is not gossiped.
			r.quiet = true
		}
	}
	for i, s := range v.successors {
		if v.now.Sub(s.since) >= forgetAfter {
			delete(v.successors, i)
		}
	}
}

func (v *View) forget(id ids.Instance, r *record) {
	delete(v.members, id)
	delete(v.clocks, id)
	if v.byRun[r.Incarnation] == r {
		delete(v.byRun, r.Incarnation)
	}
}
