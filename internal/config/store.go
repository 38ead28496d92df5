package config

import (
	"cmp"
	"slices"
	"strings"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Publication is one revision of a document, or its deletion, as read from the
// platform.
type Publication struct {
	Key      string
	Revision ids.Revision
	Value    []byte // nil when the key was deleted
}

// Refusal is a publication that failed validation, with the error.
type Refusal struct {
	Key      string
	Revision ids.Revision
	Err      error
}

// entry is the state of one key: its highest valid revision and, above that, its
// highest refused revision. Both are maxima, so the state depends neither on the
// order in which revisions arrive nor on repetitions.
type entry struct {
	key             string
	value           []byte       // last valid value; nil when deleted
	revision        ids.Revision // of value; 0 when no valid value is known
	refusedRevision ids.Revision // 0 unless a later publication was refused
	profile         *Profile
	service         *Service
	// unconfirmed is set when a valid value between revision and refusedRevision
	// may have been missed, since a read of the platform returns only the latest
	// value of a key.
	unconfirmed bool
}

// position is the place of an entry in the order in which deltas list
// documents. An entry with a refused revision has two positions, one at its
// valid and one at its refused revision. A store that has applied the parts of
// a delta up to some revision therefore has every valid value up to that
// revision that is still in force.
type position struct {
	revision ids.Revision
	entry    *entry
}

func (a position) compare(b position) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.entry.key, b.entry.key))
}

// Store holds the documents by key, the resolved services and the highest
// revision applied. The zero value is empty and ready to use.
type Store struct {
	revision         ids.Revision
	entries          map[string]*entry
	positions        []position // sorted by position.compare
	resolved         map[ids.Service]*Resolved
	unconfirmedCount int
}

// ApplyDocuments merges documents received from a peer. They must be the
// response to a request for the changes after a revision that this store had
// reached, and be complete up to revision upto. It returns the services whose
// resolved state changed.
func (s *Store) ApplyDocuments(docs []peerwire.Document, upto ids.Revision) (changed []ids.Service) {
	m := merger{s: s}
	for i := range docs {
		d := &docs[i]
		e := m.entry(d.Key)
		refusedBefore := e.refusedRevision
		if d.Revision > 0 {
			m.merge(e, d.Revision, d.Value)
		}
		m.recordRefusal(e, d.Refused)
		if e.refusedRevision != 0 && e.refusedRevision == d.Refused && (!d.Unconfirmed || refusedBefore != e.refusedRevision) {
			s.setUnconfirmed(e, d.Unconfirmed)
		}
	}
	return m.finish(upto)
}

// ApplyPublications merges publications read from the platform. They must be
// complete from the requested revision up to upto. It returns the services whose
// resolved state changed and the publications that were refused.
func (s *Store) ApplyPublications(p []Publication, upto ids.Revision) (changed []ids.Service, refused []Refusal) {
	m := merger{s: s}
	next := s.revision + 1 // every revision below next has been read
	for i := range p {
		if p[i].Revision == next {
			next++
		}
		e := m.entry(p[i].Key)
		refusedBefore := e.refusedRevision
		if err := m.merge(e, p[i].Revision, p[i].Value); err != nil {
			refused = append(refused, Refusal{p[i].Key, p[i].Revision, err})
		}
		if e.refusedRevision > refusedBefore {
			s.setUnconfirmed(e, e.unconfirmed || p[i].Revision >= next)
		}
	}
	return m.finish(upto), refused
}

// setUnconfirmed sets the unconfirmed flag of e and keeps unconfirmedCount.
func (s *Store) setUnconfirmed(e *entry, unconfirmed bool) {
	if e.unconfirmed != unconfirmed {
		e.unconfirmed = unconfirmed
		if unconfirmed {
			s.unconfirmedCount++
		} else {
			s.unconfirmedCount--
		}
	}
}

// UnconfirmedAfter returns the revision after which changes should be requested
// from a peer that may have a valid value missed by this store. ok is false when
// no entry is unconfirmed.
func (s *Store) UnconfirmedAfter() (after ids.Revision, ok bool) {
	if s.unconfirmedCount == 0 {
		return 0, false
	}
	for _, p := range s.positions {
		if e := p.entry; e.unconfirmed && p.revision == e.refusedRevision {
			return e.refusedRevision - 1, true
		}
	}
	return 0, false
}

// merger collects the services and profiles that one call of ApplyDocuments or
// ApplyPublications changes.
type merger struct {
	s        *Store
	services map[ids.Service]bool
	profiles map[string]bool
}

// entry returns the entry of key and adds it if it is new.
func (m *merger) entry(key string) *entry {
	if m.s.entries == nil {
		m.s.entries = map[string]*entry{}
		m.s.resolved = map[ids.Service]*Resolved{}
	}
	e := m.s.entries[key]
	if e == nil {
		e = &entry{key: key}
		m.s.entries[key] = e
	}
	return e
}

// merge stores value at revision r unless a later revision is known. It returns
// the validation error when value is refused.
func (m *merger) merge(e *entry, r ids.Revision, value []byte) error {
	if r <= e.revision || r == e.refusedRevision {
		return nil
	}
	if value == nil && strings.HasPrefix(e.key, profilePrefix) {
		// Services that still reference a deleted profile keep using it. Joining
		// instances therefore need its last value, so the deletion is recorded
		// like a refusal.
		m.recordRefusal(e, r)
		return nil
	}
	var profile *Profile
	var service *Service
	if value != nil {
		var err error
		if profile, service, err = parseDocument(e.key, value); err != nil {
			m.recordRefusal(e, r)
			return err
		}
		value = slices.Clone(value)
	}
	m.s.removePositions(e)
	e.value, e.revision, e.profile, e.service = value, r, profile, service
	if e.refusedRevision <= r {
		e.refusedRevision = 0
		m.s.setUnconfirmed(e, false)
	}
	m.s.insertPositions(e)
	m.markAffected(e)
	return nil
}

// recordRefusal records that revision r of the key is not in force: its value
// was refused, or it deletes a profile.
func (m *merger) recordRefusal(e *entry, r ids.Revision) {
	if r > max(e.revision, e.refusedRevision) {
		m.s.removePositions(e)
		e.refusedRevision = r
		m.s.insertPositions(e)
	}
}

// markAffected records the service or profile of e as changed.
func (m *merger) markAffected(e *entry) {
	if name, ok := strings.CutPrefix(e.key, profilePrefix); ok {
		if m.profiles == nil {
			m.profiles = map[string]bool{}
		}
		m.profiles[name] = true
	} else if name, ok := strings.CutPrefix(e.key, servicePrefix); ok {
		if m.services == nil {
			m.services = map[ids.Service]bool{}
		}
		m.services[ids.Service(name)] = true
	}
}

// finish raises the revision of the store to upto, resolves the changed services
// and those that use a changed profile, and returns the ones that changed.
func (m *merger) finish(upto ids.Revision) []ids.Service {
	s := m.s
	s.revision = max(s.revision, upto)
	if len(m.profiles) > 0 {
		for _, e := range s.entries {
			if e.service != nil && m.profiles[e.service.Profile] {
				m.markAffected(e)
			}
		}
	}
	var changed []ids.Service
	for name := range m.services {
		if s.resolve(name) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// resolve combines a service with its profile and reports whether the resolved
// service was replaced or removed. A service whose profile is unknown keeps the
// profile with which it was last resolved.
func (s *Store) resolve(name ids.Service) bool {
	e := s.entries[servicePrefix+string(name)]
	old := s.resolved[name]
	if e == nil || e.service == nil {
		delete(s.resolved, name)
		return old != nil
	}
	r := &Resolved{Service: *e.service, Revision: e.revision}
	if p := s.entries[profilePrefix+e.service.Profile]; p != nil && p.profile != nil {
		r.Profile, r.Revision = *p.profile, max(e.revision, p.revision)
	} else if old != nil {
		r.Profile, r.Revision = old.Profile, max(e.revision, old.Revision)
	} else {
		return false
	}
	s.resolved[name] = r
	return true
}

// parseDocument parses the document at key. Either the profile or the service is
// set, depending on the kind of document.
func parseDocument(key string, value []byte) (*Profile, *Service, error) {
	if name, ok := strings.CutPrefix(key, profilePrefix); ok {
		p, err := ParseProfile(name, value)
		return &p, nil, err
	}
	if name, ok := strings.CutPrefix(key, servicePrefix); ok {
		v, err := ParseService(name, value)
		return nil, &v, err
	}
	return nil, nil, &DocumentError{key, []Fault{{Problem: "unknown kind of document, allowed: profile/<name>, service/<name>"}}}
}

// insertPositions adds the positions of e to the sorted positions.
func (s *Store) insertPositions(e *entry) {
	for _, revision := range []ids.Revision{e.revision, e.refusedRevision} {
		if revision != 0 {
			p := position{revision, e}
			i, _ := slices.BinarySearchFunc(s.positions, p, position.compare)
			s.positions = slices.Insert(s.positions, i, p)
		}
	}
}

// removePositions removes the positions of e. It is called before its revisions
// change.
func (s *Store) removePositions(e *entry) {
	for _, revision := range []ids.Revision{e.revision, e.refusedRevision} {
		if i, ok := slices.BinarySearchFunc(s.positions, position{revision, e}, position.compare); ok {
			s.positions = slices.Delete(s.positions, i, i+1)
		}
	}
}

// Delta returns the documents that changed after revision after: at least one
// if there are any, and further ones up to about maxBytes. When More is set, a
// request for the changes after Upto returns the rest.
func (s *Store) Delta(after ids.Revision, maxBytes int) *peerwire.ConfigDelta {
	i, _ := slices.BinarySearchFunc(s.positions, after, func(p position, r ids.Revision) int {
		if p.revision <= r {
			return -1
		}
		return 1
	})
	d := &peerwire.ConfigDelta{Upto: s.revision}
	size, lastRevision := 0, after
	add := func(e *entry) {
		// A document also carries its key, two revisions and CBOR headers.
		size += len(e.key) + len(e.value) + 24
		d.Documents = append(d.Documents, peerwire.Document{Key: e.key, Revision: e.revision, Value: e.value,
			Refused: e.refusedRevision, Unconfirmed: e.unconfirmed})
	}
	if s.unconfirmedCount > 0 {
		// Unconfirmed entries come first. Otherwise the receiver of one part
		// would be regarded as complete up to a revision for which this store
		// may lack a valid value.
		for _, p := range s.positions[i:] {
			if p.entry.unconfirmed && p.revision == p.entry.refusedRevision {
				add(p.entry)
			}
		}
	}
	documents := 0
	for _, p := range s.positions[i:] {
		e := p.entry
		if e.unconfirmed || p.revision == e.refusedRevision && e.revision > after {
			lastRevision = p.revision // already added
			continue
		}
		if documents > 0 && size+len(e.key)+len(e.value)+24 > maxBytes {
			d.More, d.Upto = true, min(s.revision, lastRevision)
			break
		}
		add(e)
		documents++
		lastRevision = p.revision
	}
	return d
}

// Resolved returns a service with its profile. It returns false when the service
// is unknown or deleted, or when its profile has never been known. The caller must
// not change the result.
func (s *Store) Resolved(service ids.Service) (*Resolved, bool) {
	r, ok := s.resolved[service]
	return r, ok
}

// Services returns the names of all resolved services, sorted.
func (s *Store) Services() []ids.Service {
	list := make([]ids.Service, 0, len(s.resolved))
	for name := range s.resolved {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Documents returns the state of all keys in the order of their revisions.
func (s *Store) Documents() []peerwire.Document {
	return s.Delta(0, int(^uint(0)>>1)).Documents
}

// Revision returns the highest revision applied to the store.
func (s *Store) Revision() ids.Revision { return s.revision }
