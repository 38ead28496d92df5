// Package flow keeps the state that outlives one exchange: feeds (Observe
// registrations) at their home, the routes of follow-up blocks and late ACKs,
// and the handover records of feeds. It performs no I/O and reads no clock.
package flow

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

const (
	// SequenceGap is added to the Observe value at a handover. The old home
	// continues its own sequence until the new one takes over, so the gap must
	// exceed the notifications of that time.
	SequenceGap = 1 << 12
	// SilenceMargin is added to Max-Age before a feed counts as silent.
	OverdueMargin = 5 * time.Second
	// MaxFailed is the number of confirmable notifications in a row that may
	// stay without an ACK before the feed ends.
	MaxUnacked = 3

	sequenceMask = 1<<24 - 1
	// idMask selects the message ids of notifications. Separate responses use
	// the upper half, so that another instance that responds to the same
	// caller does not use the same id.
	idMask = 1<<15 - 1
	// idUnit is the time after which a fresh sequence of message ids moves on
	// by one. 2^15 units exceed EXCHANGE_LIFETIME (247 s).
	idUnit = 8 * time.Millisecond
	// reorderWindow is the age after which a notification counts as newer
	// whatever its Observe value (RFC 7641 section 3.4).
	reorderWindow = 128 * time.Second
)

// Key identifies a feed.
type Key struct {
	ids.FlowKey
	Token message.Token // chosen by the caller
}

// Upstream is one registration of a feed at a backend server. The zero value
// is no registration.
type Upstream struct {
	Token         uint64
	Target        ids.Target
	Endpoint      ids.Endpoint
	ID            uint16 // message id of the registration
	Established   bool   // a notification has arrived
	Acked         bool   // the backend server has received the registration
	CreatedAt     ids.Time
	LastSent      ids.Time // last transmission of the registration
	Transmissions int
	observe       uint32
	heard         ids.Time
}

// Newer reports whether a notification with Observe value v is newer than all
// before it, and records it if so (RFC 7641 section 3.4).
func (u *Upstream) AcceptIfNewer(now ids.Time, v uint32) bool {
	if u.heard != 0 && !sequenceNewer(u.observe, v) && now.Sub(u.heard) <= reorderWindow {
		return false
	}
	u.observe, u.heard = v, now
	return true
}

// Same reports whether v is the latest Observe value. A backend server may
// repeat it in response to a repeated registration.
func (u *Upstream) IsLatest(v uint32) bool { return u.heard != 0 && u.observe == v }

func sequenceNewer(old, v uint32) bool {
	d := (v - old) & sequenceMask
	return d != 0 && d < 1<<23
}

// Pending is a registration request of the caller that has no response yet.
type Pending struct {
	Present bool
	Type    message.Type
	ID      uint16
	Acked   bool
	Since   ids.Time
}

// Feed is an Observe registration at its home.
//
// Invariants: the caller sees increasing Observe values, across handovers too;
// while Next is present, Active keeps delivering until Next is established.
type Feed struct {
	Key
	Request              []byte // the registration datagram
	Active               Upstream
	Next                 Upstream // replacement that is being established
	Pending              Pending
	Sequence             uint32 // last Observe value sent to the caller
	LastNotification     ids.Time
	MaxAge               time.Duration
	Reregistrations      int // registrations repeated since the last notification
	UnackedNotifications int // confirmable notifications in a row without ACK
	RetryAt              ids.Time
	MovingTo             ids.Instance // new home that was asked to take the feed
	MoveSentAt           ids.Time     // when it was asked last
	MovedFrom            ids.Instance // old home that waits for FeedMoved
	Created              ids.Time
	LastConfirmable      ids.Time // last confirmable notification
	flow                 *shared
	index                int
}

// shared is what the feeds of one flow have in common.
type shared struct {
	nextID uint16
	feeds  int
}

// NextSequence advances and returns the Observe value for the caller.
func (f *Feed) NextSequence() uint32 {
	f.Sequence = (f.Sequence + 1) & sequenceMask
	return f.Sequence
}

// NextID returns the message id for a notification to the caller.
func (f *Feed) NextID() uint16 {
	id := f.flow.nextID & idMask
	f.flow.nextID = (id + 1) & idMask
	return id
}

// Quiet reports whether no notification has arrived for Max-Age plus the margin.
func (f *Feed) Overdue(now ids.Time) bool {
	return f.Active.Established && now.Sub(f.LastNotification) > f.MaxAge+OverdueMargin
}

// ResponseID returns the message id for a separate response at time now. It is
// unique for a caller during EXCHANGE_LIFETIME unless two responses to it fall
// into the same idUnit.
func ResponseID(now ids.Time) uint16 { return 1<<15 | startID(now) }

func startID(now ids.Time) uint16 { return uint16(uint64(now)/uint64(idUnit)) & idMask }
