// Package flow holds the CoAP state that outlives a single exchange: feeds
// (Observe registrations, RFC 7641), the routes of follow-up blocks and late ACKs,
// and the handover of feeds between instances. It performs no I/O and reads no
// clock.
//
// The home of a feed is the instance that holds its state and sends its
// notifications to the caller.
package flow

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

const (
	// SequenceGap is added to the Observe value at a handover. The old home
	// continues its sequence until the new home takes over, so the gap must exceed
	// the number of notifications sent in the meantime.
	SequenceGap = 1 << 12
	// OverdueMargin is added to Max-Age before a feed counts as overdue.
	OverdueMargin = 5 * time.Second
	// MaxUnacked is the number of consecutive confirmable notifications without
	// an ACK that ends a feed.
	MaxUnacked = 3

	sequenceMask = 1<<24 - 1
	// idMask limits notifications to the lower half of the message ids. Separate
	// responses use the upper half, so that an instance that responds to a caller
	// does not use the message id of a notification that another instance sends
	// to the same caller.
	idMask = 1<<15 - 1
	// messageIDInterval is the interval after which the initial message id, which
	// is derived from the time, increases by one. 2^15 intervals exceed
	// EXCHANGE_LIFETIME (247 s).
	messageIDInterval = 8 * time.Millisecond
	// reorderWindow is the time since the last notification after which the next
	// one counts as newer regardless of its Observe value (RFC 7641 section 3.4).
	reorderWindow = 128 * time.Second
)

// Key identifies a feed by its flow and the token of the registration.
type Key struct {
	ids.FlowKey
	Token message.Token // chosen by the caller
}

// Upstream is the registration of a feed at a backend server. The zero value means
// that there is no registration.
type Upstream struct {
	Token            uint64
	Target           ids.Target
	Endpoint         ids.Endpoint
	ID               uint16   // message id of the registration request
	Established      bool     // a notification has been received
	Acked            bool     // the backend server is known to have received the registration
	CreatedAt        ids.Time // when the first registration request was prepared
	LastSent         ids.Time // time of the last transmission of the registration request
	Transmissions    int
	lastObserve      uint32
	lastNotification ids.Time
}

// AcceptIfNewer reports whether a notification with Observe value v is newer than
// all earlier ones, and records v if it is (RFC 7641 section 3.4).
func (u *Upstream) AcceptIfNewer(now ids.Time, v uint32) bool {
	if u.lastNotification != 0 && !isNewerSequence(u.lastObserve, v) && now.Sub(u.lastNotification) <= reorderWindow {
		return false
	}
	u.lastObserve, u.lastNotification = v, now
	return true
}

// IsLatest reports whether v is the latest accepted Observe value. A backend server
// may send it again in response to a repeated registration.
func (u *Upstream) IsLatest(v uint32) bool { return u.lastNotification != 0 && u.lastObserve == v }

func isNewerSequence(old, v uint32) bool {
	d := (v - old) & sequenceMask
	return d != 0 && d < 1<<23
}

// Pending is a registration request of the caller that has not been answered yet.
type Pending struct {
	Present bool
	Type    message.Type
	ID      uint16
	Acked   bool
	Since   ids.Time
}

// Feed is the state of an Observe registration at its home.
//
// Invariants: the Observe values that the caller receives increase, also across
// handovers; while Next is being established, notifications of Active are still
// delivered.
type Feed struct {
	Key
	Request              []byte // datagram of the caller's registration request
	Active               Upstream
	Next                 Upstream // registration that will replace Active once it is established
	Pending              Pending
	Sequence             uint32        // last Observe value sent to the caller
	LastNotification     ids.Time      // time of the last notification from a backend server; at first the creation time
	MaxAge               time.Duration // Max-Age of the last notification
	Reregistrations      int           // registrations at backend servers repeated since the last notification
	UnackedNotifications int           // consecutive confirmable notifications without an ACK
	RetryAt              ids.Time      // earliest time of the next registration attempt
	MovingTo             ids.Instance  // new home to which a handover was sent
	MoveSentAt           ids.Time      // when the handover was last sent
	MovedFrom            ids.Instance  // old home that waits for a FeedMoved reply
	Created              ids.Time
	LastConfirmable      ids.Time // time of the last confirmable notification
	flow                 *flowState
	index                int
}

// flowState is the state that the feeds of one flow share.
type flowState struct {
	nextID uint16
	feeds  int
}

// NextSequence increments and returns the Observe value for the caller.
func (f *Feed) NextSequence() uint32 {
	f.Sequence = (f.Sequence + 1) & sequenceMask
	return f.Sequence
}

// NextID returns the message id for the next notification to the caller.
func (f *Feed) NextID() uint16 {
	id := f.flow.nextID & idMask
	f.flow.nextID = (id + 1) & idMask
	return id
}

// Overdue reports whether no notification has arrived for longer than Max-Age plus
// OverdueMargin.
func (f *Feed) Overdue(now ids.Time) bool {
	return f.Active.Established && now.Sub(f.LastNotification) > f.MaxAge+OverdueMargin
}

// ResponseID returns the message id for a separate response at time now. The id is
// unique for a caller during EXCHANGE_LIFETIME unless two responses to the same
// caller are sent within the same messageIDInterval.
func ResponseID(now ids.Time) uint16 { return 1<<15 | initialID(now) }

func initialID(now ids.Time) uint16 { return uint16(uint64(now)/uint64(messageIDInterval)) & idMask }
