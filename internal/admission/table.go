package admission

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// TokenLifetime is the maximum age of a token that admits a request.
	TokenLifetime = 10 * time.Second
	// NotRunWindow is the maximum age of a token for which a missing entry proves that
	// no request with the token has run.
	NotRunWindow = 240 * time.Second
	// EntryLifetime is the time from admission to eviction. It exceeds both
	// EXCHANGE_LIFETIME (247 s, RFC 7252 section 4.8.2) and NotRunWindow plus
	// MaxClockSkew.
	EntryLifetime = 300 * time.Second
	// MaxClockSkew is the maximum clock error of an issuer. A token with an issue time
	// further in the future could outlive its entry.
	MaxClockSkew = 30 * time.Second

	// DefaultMaxEntries and DefaultMaxBytes are the default Limits. They suffice for
	// 218 admissions per second over 300 s, three times the rate of new flows per node
	// at the target size.
	DefaultMaxEntries = 1 << 16
	DefaultMaxBytes   = 24 << 20
)

// Limits bounds the memory of a table. An instance that admits n requests per second
// needs 300 n entries of about 240 B each, not counting the response.
type Limits struct {
	Entries int
	Bytes   int // total size of stored responses
}

// DefaultLimits are the limits for the target size in docs/design.md.
var DefaultLimits = Limits{DefaultMaxEntries, DefaultMaxBytes}

// State is the state of an admitted request.
type State uint8

// States of an entry.
const (
	Running  State = iota
	Answered       // Response holds the response of the backend server
	Refused        // did not run; RetryAfter holds the seconds to wait
	Unknown        // the outcome is unknown, or the response was not stored
)

// Decision is the decision on a request that carries a valid token.
type Decision uint8

// Decisions of Table.Admit.
const (
	Admit          Decision = iota // run the request; its entry has been created
	Duplicate                      // repeated request: respond according to its entry
	NotRun                         // no request with this token has run or will run
	OutcomeUnknown                 // it is unknown whether a request with this token has run
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

// importState is the state of the import of another incarnation's table.
type importState struct {
	offset   time.Duration   // clock of that incarnation minus the local clock
	parts    map[uint32]bool // numbers of the received parts
	last     uint32          // number of the last part, if hasLast
	hasLast  bool
	complete bool
}

// Table is the admission table of one incarnation. It includes the tables that were
// handed over to this incarnation.
//
// Invariants: the decision Admit is returned at most once for an ID, and its entry is
// created before the method Admit returns. While there is no entry for an ID and its
// token is younger than NotRunWindow, no request with this ID has run.
type Table struct {
	self          ids.Incarnation
	limits        Limits
	closed        bool
	entries       map[ID]*Entry
	ring          []*Entry // ring buffer in order of insertion
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

// SetLimits replaces the limits. Existing entries above a lower limit are kept.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// Len returns the number of entries.
func (t *Table) Len() int { return t.length }

// Close stops the admission of requests permanently.
func (t *Table) Close() { t.closed = true }

// MintingSuspended reports whether no more tokens for this table should be minted: it
// is closed or more than 90% full. The remaining space is reserved for tokens that
// have already been minted.
func (t *Table) MintingSuspended() bool { return t.closed || t.length > t.limits.Entries/10*9 }

// AuthoritativeFor reports whether this table decides on the tokens of incarnation i.
func (t *Table) AuthoritativeFor(i ids.Incarnation) bool {
	if i == t.self {
		return true
	}
	m := t.imports[i]
	return m != nil && m.complete
}

// Admit decides on a request with the given digest that carries tok. The table must be
// authoritative for the incarnation of tok. The returned entry is nil for NotRun and
// OutcomeUnknown.
func (t *Table) Admit(now ids.Time, tok Token, digest uint64) (*Entry, Decision) {
	id := ID{tok.Incarnation, tok.Nonce}
	if e := t.entries[id]; e != nil {
		if e.Digest != digest {
			return nil, NotRun // a different request that reuses the token
		}
		return e, Duplicate
	}
	issuerNow, accepting := now, !t.closed
	if tok.Incarnation != t.self {
		issuerNow, accepting = now.Add(t.imports[tok.Incarnation].offset), false
	}
	age := issuerNow.Sub(ids.Time(tok.IssuedMS) * ids.Time(time.Millisecond))
	switch {
	case age < -MaxClockSkew || age > NotRunWindow:
		return nil, OutcomeUnknown
	case age > TokenLifetime || !accepting:
		return nil, NotRun
	case t.length >= t.limits.Entries:
		// NotRun would be wrong if a copy of the datagram arrived after an eviction
		// and was admitted.
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

// Finish records the outcome of an admitted request. A response that would exceed the
// memory limit is not stored. The outcome is then unknown to duplicates of the request.
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

// Evict removes entries older than EntryLifetime, at most limit of them. Entries are
// examined in order of insertion, so an imported entry may be kept longer.
func (t *Table) Evict(now ids.Time, limit int) {
	for ; limit > 0 && t.length > 0; limit-- {
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
