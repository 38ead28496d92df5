package admission

import (
	"encoding/binary"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"github.com/rotisserie/eris"
)

// MaxPartBytes is the approximate maximum size of the entries in one part of a handover.
// A single entry with a large response may exceed it.
const MaxPartBytes = 32 << 10

// entryOverhead is the approximate size of an entry without its response.
const entryOverhead = 40

// Errors of Import.
var (
	ErrNoIncarnation  = eris.New("import admissions: part names no incarnation")
	ErrMalformedEntry = eris.New("import admissions: malformed entry")
)

// Export returns the table as the parts of a handover. The table must be closed.
// Requests that are still running are exported with an unknown outcome.
func (t *Table) Export(now ids.Time) []*peerwire.AdmissionMove {
	incarnations := []ids.Incarnation{t.self}
	for i, m := range t.imports {
		if m.complete {
			incarnations = append(incarnations, i)
		}
	}
	slices.Sort(incarnations[1:])
	clocks := make([]ids.Time, len(incarnations))
	part := &peerwire.AdmissionMove{Incarnations: incarnations, Clocks: clocks}
	parts := []*peerwire.AdmissionMove{part}
	size := 0
	for i := range t.length {
		e := t.at(i)
		if e.ID.Incarnation != t.self && !t.AuthoritativeFor(e.ID.Incarnation) {
			continue
		}
		a := exportEntry(now, e)
		if size += entryOverhead + len(a.Response); size > MaxPartBytes && len(part.Entries) > 0 {
			part = &peerwire.AdmissionMove{Incarnations: incarnations, Clocks: clocks, Part: part.Part + 1}
			parts, size = append(parts, part), entryOverhead+len(a.Response)
		}
		part.Entries = append(part.Entries, a)
	}
	part.Last = true
	t.StampClocks(now, part)
	return parts
}

// StampClocks sets the clocks of the incarnations in p to their current values, which
// all parts of an export share. It must be called each time the parts are sent.
func (t *Table) StampClocks(now ids.Time, p *peerwire.AdmissionMove) {
	for k, i := range p.Incarnations {
		p.Clocks[k] = now
		if i != t.self {
			p.Clocks[k] = now.Add(t.imports[i].offset)
		}
	}
}

func exportEntry(now ids.Time, e *Entry) peerwire.Admission {
	a := peerwire.Admission{
		Incarnation: e.ID.Incarnation,
		Nonce:       slices.Clone(e.ID.Nonce[:]),
		Digest:      e.Digest,
		State:       uint8(e.State),
		AgeMS:       uint32(now.Sub(e.Admitted) / time.Millisecond),
	}
	switch e.State {
	case Running:
		a.State = uint8(Unknown)
	case Answered:
		a.Response = slices.Clone(e.Response)
	case Refused:
		a.Response = binary.BigEndian.AppendUint32(nil, e.RetryAfter)
	}
	return a
}

// Import adds one part of a table that another instance hands over. It returns true when
// all parts have arrived; from then on the table is authoritative for the incarnations.
// The age of a token is computed with the clock of the incarnation that it names, even
// after several handovers. A malformed entry causes the whole part to be rejected:
// without the entry the table would report that the request has not run.
func (t *Table) Import(now ids.Time, p *peerwire.AdmissionMove) (bool, error) {
	if len(p.Incarnations) == 0 {
		return false, ErrNoIncarnation
	}
	if len(p.Clocks) != len(p.Incarnations) {
		return false, ErrMalformedEntry
	}
	for i := range p.Entries {
		a := &p.Entries[i]
		if len(a.Nonce) != nonceSize || !slices.Contains(p.Incarnations, a.Incarnation) ||
			State(a.State) > Unknown || State(a.State) == Running || State(a.State) == Refused && len(a.Response) != 4 {
			return false, ErrMalformedEntry
		}
	}
	m := t.imports[p.Incarnations[0]]
	if m == nil {
		m = &importState{parts: make(map[uint32]bool)}
		t.imports[p.Incarnations[0]] = m
	}
	if m.complete {
		return true, nil
	}
	for i := range p.Entries {
		t.importEntry(now, &p.Entries[i])
	}
	m.parts[p.Part] = true
	if p.Last {
		m.last, m.hasLast = p.Part, true
	}
	if !m.hasLast || len(m.parts) != int(m.last)+1 {
		return false, nil
	}
	for k, i := range p.Incarnations {
		t.imports[i] = &importState{offset: p.Clocks[k].Sub(now), complete: true}
	}
	return true, nil
}

func (t *Table) importEntry(now ids.Time, a *peerwire.Admission) {
	id := ID{Incarnation: a.Incarnation, Nonce: Nonce(a.Nonce)}
	if t.entries[id] != nil {
		return
	}
	e := t.insert(id, a.Digest, now.Add(-time.Duration(a.AgeMS)*time.Millisecond))
	switch s := State(a.State); s {
	case Answered:
		t.Finish(id, s, a.Response, 0)
	case Refused:
		e.State, e.RetryAfter = s, binary.BigEndian.Uint32(a.Response)
	default:
		e.State = s
	}
}
