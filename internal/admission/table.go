package admission

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// TokenLifetime is the age up to which a token admits a request.
	TokenLifetime = 10 * time.Second
	// NotRunWindow is the age up to which the absence of an entry proves that
	// nothing has run under a token.
	NotRunWindow = 240 * time.Second
	// EntryLifetime is the time from admission to eviction. It exceeds
	// EXCHANGE_LIFETIME (247 s, RFC 7252 section 4.8.2) and NotRunWindow plus the
	// greatest clock error.
	EntryLifetime = 300 * time.Second
	// MaxClockSkew is the greatest clock error of an issuer. A token from further
	// in the future could outlive its entry.
	MaxClockSkew = 30 * time.Second

	// DefaultMaxEntries and DefaultMaxBytes are the default Limits: 300 s of 218 admissions a
	// second, three times the new flows per node of the target size.
	DefaultMaxEntries = 1 << 16
	DefaultMaxBytes   = 24 << 20
)

// Limits bound the memory of a table. An instance that admits n requests a
// second needs 300 n entries, of about 240 B without the response.
type Limits struct {
	Entries int
	Bytes   int // of stored responses
}

// DefaultLimits suit the target size of docs/design.md.
var DefaultLimits = Limits{DefaultMaxEntries, DefaultMaxBytes}

// State is the state of an admitted request.
type State uint8

// States of an entry.
const (
	Running  State = iota
	Answered       // Response holds the response of the backend server
	Refused        // not run; RetryAfter holds the seconds to wait
	Unknown        // the outcome is not known, or its response was not kept
)

// Decision tells what to do with a request that carries a valid token.
type Decision uint8

// Decisions of Table.Admit.
const (
	Admit          Decision = iota // run it; it has been entered
	Duplicate                      // same request again: see the entry
	NotRun                         // has not run and never will under this token
	OutcomeUnknown                 // nothing may be said
)

// ID identifies an admission.
type ID struct {
	Incarnation ids.Incarnation
	Nonce       Nonce
}

// Entry is one admitted request.
type Entry struct {
	ID         ID
	Digest     uint64
	Admitted   ids.Time
	State      State
	Response   []byte // encoded message
	RetryAfter uint32 // seconds
}

// moved is the state of an incarnation whose table was handed over.
type importState struct {
	offset   time.Duration // its clock minus the own clock
	parts    map[uint32]bool
	last     uint32
	hasLast  bool
	complete bool
}

// Table is the admission table of one incarnation, together with the tables
// that were handed over to it.
//
// Invariants: an ID is returned with Admit at most once; it is entered before
// Admit returns; while an ID is not entered and its token is younger than
// NotRunWindow, nothing has run under it.
type Table struct {
	self          ids.Incarnation
	limits        Limits
	closed        bool
	entries       map[ID]*Entry
	ring          []*Entry // ring in order of entry
	head          int
	length        int
	freeEntries   []*Entry
	responseBytes int
	imports       map[ids.Incarnation]*importState
}

// NewTable returns the table of incarnation self with the default limits.
func NewTable(self ids.Incarnation) *Table {
	return &Table{self: self, limits: DefaultLimits, entries: make(map[ID]*Entry), imports: make(map[ids.Incarnation]*importState)}
}

// SetLimits replaces the limits. Entries above a lower limit stay.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// Len returns the number of entries.
func (t *Table) Len() int { return t.length }

// Close ends admission for good.
func (t *Table) Close() { t.closed = true }

// MintingSuspended reports whether no further tokens that name this table should be
// minted: the rest is kept for the tokens that have been.
func (t *Table) MintingSuspended() bool { return t.closed || t.length > t.limits.Entries/10*9 }

// AuthoritativeFor reports whether this table decides for incarnation i.
func (t *Table) AuthoritativeFor(i ids.Incarnation) bool {
	if i == t.self {
		return true
	}
	m := t.imports[i]
	return m != nil && m.complete
}

// Admit decides on a request with digest that carries tok. The incarnation of
// tok must be one that the table answers for. The entry is nil for NotRun and
// OutcomeUnknown.
func (t *Table) Admit(now ids.Time, tok Token, digest uint64) (*Entry, Decision) {
	id := ID{tok.Incarnation, tok.Nonce}
	if e := t.entries[id]; e != nil {
		if e.Digest != digest {
			return nil, NotRun // another request that reuses the token
		}
		return e, Duplicate
	}
	clock, open := now, !t.closed
	if tok.Incarnation != t.self {
		clock, open = now.Add(t.imports[tok.Incarnation].offset), false
	}
	age := clock.Sub(ids.Time(tok.IssuedMS) * ids.Time(time.Millisecond))
	switch {
	case age < -MaxClockSkew || age > NotRunWindow:
		return nil, OutcomeUnknown
	case age > TokenLifetime || !open:
		return nil, NotRun
	case t.length >= t.limits.Entries:
		// "Not run" would be wrong if the same datagram came again after an
		// eviction, so nothing is said.
		return nil, OutcomeUnknown
	}
	return t.insert(id, digest, now), Admit
}

func (t *Table) insert(id ID, digest uint64, admitted ids.Time) *Entry {
	var e *Entry
	if n := len(t.freeEntries); n > 0 {
		e, t.freeEntries = t.freeEntries[n-1], t.freeEntries[:n-1]
	} else {
		e = new(Entry)
	}
	*e = Entry{ID: id, Digest: digest, Admitted: admitted, Response: e.Response[:0]}
	t.entries[id] = e
	t.push(e)
	return e
}

// Finish records the outcome of an admitted request. A response that does not
// fit the memory bound is not kept; duplicates are then told that the outcome
// is unknown.
func (t *Table) Finish(id ID, s State, response []byte, retryAfter uint32) {
	e := t.entries[id]
	if e == nil || e.State != Running {
		return
	}
	e.State, e.RetryAfter = s, retryAfter
	if s != Answered {
		return
	}
	if t.responseBytes+len(response) > t.limits.Bytes {
		e.State = Unknown
		return
	}
	e.Response = append(e.Response, response...)
	t.responseBytes += len(e.Response)
}

// Running returns the number of admitted requests without an outcome.
func (t *Table) Running() int {
	n := 0
	for i := range t.length {
		if t.at(i).State == Running {
			n++
		}
	}
	return n
}

// Evict removes the entries older than EntryLifetime, at most max of them. Entries
// are examined in order of entry, so one that was handed over may stay longer.
func (t *Table) Evict(now ids.Time, max int) {
	for ; max > 0 && t.length > 0; max-- {
		e := t.at(0)
		if now.Sub(e.Admitted) <= EntryLifetime {
			return
		}
		t.head = (t.head + 1) % len(t.ring)
		t.length--
		t.responseBytes -= len(e.Response)
		delete(t.entries, e.ID)
		t.freeEntries = append(t.freeEntries, e)
	}
}

func (t *Table) at(i int) *Entry { return t.ring[(t.head+i)%len(t.ring)] }

func (t *Table) push(e *Entry) {
	if t.length == len(t.ring) {
		grown := make([]*Entry, max(64, 2*len(t.ring)))
		for i := range t.length {
			grown[i] = t.at(i)
		}
		t.ring, t.head = grown, 0
	}
	t.ring[(t.head+t.length)%len(t.ring)] = e
	t.length++
}
