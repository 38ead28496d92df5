package config

import (
	"cmp"
	"slices"
	"strings"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Publication is one publication as read from the platform.
type Publication struct {
	Key      string
	Revision ids.Revision
	Value    []byte // nil when the key was deleted
}

// Refusal tells why a publication was not accepted.
type Refusal struct {
	Key      string
	Revision ids.Revision
	Err      error
}

// entry is the state of one key. For each key the highest good revision and
// the highest refused revision above it are kept. Both are maxima, so the
// state depends neither on the order of arrival nor on repetition.
type entry struct {
	key      string
	value    []byte       // last good value; nil when deleted
	revision ids.Revision // of value; 0 when no good value is known
	refused  ids.Revision // 0 unless a later publication was refused
	profile  *Profile
	service  *Service
	// unconfirmed: a good value between revision and refused may have been
	// missed, since a read of the platform returned only the latest one.
	unconfirmed bool
}

// position is the place of an entry in the order of deltas. An entry with a
// refused revision has two: one at its good revision too, so that a store
// which has applied the parts of a delta up to some revision has missed no
// good value up to it that is still in force.
type position struct {
	at    ids.Revision
	entry *entry
}

func (a position) compare(b position) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.entry.key, b.entry.key))
}

// Store holds the documents by key, the resolved services and the revision in
// force. The zero value is empty and ready to use.
type Store struct {
	revision    ids.Revision
	entries     map[string]*entry
	order       []position // sorted
	resolved    map[ids.Service]*Resolved
	unconfirmed int
}

// ApplyDocuments merges documents received from a peer. They must answer a request for
// what changed after a revision that this store had reached, and be complete
// up to upto. It returns the services whose resolved state changed.
func (s *Store) ApplyDocuments(docs []peerwire.Document, upto ids.Revision) (changed []ids.Service) {
	m := merger{s: s}
	for i := range docs {
		d := &docs[i]
		e := m.entry(d.Key)
		before := e.refused
		if d.Revision > 0 {
			m.merge(e, d.Revision, d.Value)
		}
		m.refuse(e, d.Refused)
		if e.refused != 0 && e.refused == d.Refused && (!d.Unconfirmed || before != e.refused) {
			s.setUnconfirmed(e, d.Unconfirmed)
		}
	}
	return m.finish(upto)
}

// ApplyPublications merges publications read from the platform. They must be complete
// from the revision asked for up to upto. It returns the services whose
// resolved state changed, and why publications were refused.
func (s *Store) ApplyPublications(p []Publication, upto ids.Revision) (changed []ids.Service, refused []Refusal) {
	m := merger{s: s}
	next := s.revision + 1 // all revisions before it are accounted for
	for i := range p {
		if p[i].Revision == next {
			next++
		}
		e := m.entry(p[i].Key)
		before := e.refused
		if err := m.merge(e, p[i].Revision, p[i].Value); err != nil {
			refused = append(refused, Refusal{p[i].Key, p[i].Revision, err})
		}
		if e.refused > before {
			s.setUnconfirmed(e, e.unconfirmed || p[i].Revision >= next)
		}
	}
	return m.finish(upto), refused
}

func (s *Store) setUnconfirmed(e *entry, on bool) {
	if e.unconfirmed != on {
		e.unconfirmed = on
		if on {
			s.unconfirmed++
		} else {
			s.unconfirmed--
		}
	}
}

// UnconfirmedAfter returns the revision after which a peer should be asked because it
// may know a good value that this store missed.
func (s *Store) UnconfirmedAfter() (after ids.Revision, ok bool) {
	if s.unconfirmed == 0 {
		return 0, false
	}
	for _, p := range s.order {
		if e := p.entry; e.unconfirmed && p.at == e.refused {
			return e.refused - 1, true
		}
	}
	return 0, false
}

// merger collects the effects of one ApplyDocuments or ApplyPublications.
type merger struct {
	s        *Store
	services map[ids.Service]bool
	profiles map[string]bool
}

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

// merge takes over value at revision r unless a later one is known. The error
// is the reason for a refusal.
func (m *merger) merge(e *entry, r ids.Revision, value []byte) error {
	if r <= e.revision || r == e.refused {
		return nil
	}
	if value == nil && strings.HasPrefix(e.key, profilePrefix) {
		// Services that still name a deleted profile keep it. Its last value
		// must therefore travel to joining instances, as after a refusal.
		m.refuse(e, r)
		return nil
	}
	var profile *Profile
	var service *Service
	if value != nil {
		var err error
		if profile, service, err = parseDocument(e.key, value); err != nil {
			m.refuse(e, r)
			return err
		}
		value = slices.Clone(value)
	}
	m.s.displace(e)
	e.value, e.revision, e.profile, e.service = value, r, profile, service
	if e.refused <= r {
		e.refused = 0
		m.s.setUnconfirmed(e, false)
	}
	m.s.place(e)
	m.note(e)
	return nil
}

// refuse records that revision r of the key is not in force.
func (m *merger) refuse(e *entry, r ids.Revision) {
	if r > max(e.revision, e.refused) {
		m.s.displace(e)
		e.refused = r
		m.s.place(e)
	}
}

func (m *merger) note(e *entry) {
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

// finish resolves the services concerned and raises the revision in force.
func (m *merger) finish(upto ids.Revision) []ids.Service {
	s := m.s
	s.revision = max(s.revision, upto)
	if len(m.profiles) > 0 {
		for _, e := range s.entries {
			if e.service != nil && m.profiles[e.service.Profile] {
				m.note(e)
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

// resolve combines a service with its profile and reports a change. A service
// whose profile is unknown keeps the last one that it was resolved with.
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

func (s *Store) place(e *entry) {
	for _, at := range []ids.Revision{e.revision, e.refused} {
		if at != 0 {
			p := position{at, e}
			i, _ := slices.BinarySearchFunc(s.order, p, position.compare)
			s.order = slices.Insert(s.order, i, p)
		}
	}
}

func (s *Store) displace(e *entry) {
	for _, at := range []ids.Revision{e.revision, e.refused} {
		if i, ok := slices.BinarySearchFunc(s.order, position{at, e}, position.compare); ok {
			s.order = slices.Delete(s.order, i, i+1)
		}
	}
}

// Delta returns what changed after revision after. It holds at least one
// document if there is one, and further ones up to about maxBytes. More tells
// that a request after Upto gets the rest.
func (s *Store) Delta(after ids.Revision, maxBytes int) *peerwire.ConfigDelta {
	i, _ := slices.BinarySearchFunc(s.order, after, func(p position, r ids.Revision) int {
		if p.at <= r {
			return -1
		}
		return 1
	})
	d := &peerwire.ConfigDelta{Upto: s.revision}
	size, last := 0, after
	add := func(e *entry) {
		// A document also carries its key, two revisions and CBOR headers.
		size += len(e.key) + len(e.value) + 24
		d.Documents = append(d.Documents, peerwire.Document{Key: e.key, Revision: e.revision, Value: e.value,
			Refused: e.refused, Unconfirmed: e.unconfirmed})
	}
	if s.unconfirmed > 0 {
		// These come first: otherwise the receiver of a part would count as
		// complete up to a revision at which this store lacks a value.
		for _, p := range s.order[i:] {
			if p.entry.unconfirmed && p.at == p.entry.refused {
				add(p.entry)
			}
		}
	}
	parts := 0
	for _, p := range s.order[i:] {
		e := p.entry
		if e.unconfirmed || p.at == e.refused && e.revision > after {
			last = p.at // included above
			continue
		}
		if parts > 0 && size+len(e.key)+len(e.value)+24 > maxBytes {
			d.More, d.Upto = true, min(s.revision, last)
			break
		}
		add(e)
		parts++
		last = p.at
	}
	return d
}

// Resolved returns a service with its profile. It returns false when the
// service is unknown, deleted, or has never had a known profile. The caller
// must not change the result.
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

// Revision returns the revision in force.
func (s *Store) Revision() ids.Revision { return s.revision }
