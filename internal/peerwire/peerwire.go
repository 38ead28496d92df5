// Package peerwire defines the messages that instances exchange. They are
// encoded as CBOR with integer keys. Each message has exactly one body.
package peerwire

import "arbutusdock.example/arbutusdock/internal/ids"

// Lane is one of the two channels of a link between instances. The lanes
// separate control traffic, whose rate is limited, from relayed traffic of
// callers.
type Lane uint8

// The two lanes of a link.
const (
	Control Lane = iota
	Data
)

// Message is the envelope of every peer message. From, Incarnation and Load are
// its header; exactly one of the other fields, the bodies, is set.
type Message struct {
	From        ids.Instance    `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
	Load        *Load           `cbor:"3,keyasint,omitempty"`

	Heartbeat      *Heartbeat      `cbor:"10,keyasint,omitempty"`
	MemberDelta    *MemberDelta    `cbor:"11,keyasint,omitempty"`
	ConfigRequest  *ConfigRequest  `cbor:"12,keyasint,omitempty"`
	ConfigDelta    *ConfigDelta    `cbor:"13,keyasint,omitempty"`
	Relay          *Relay          `cbor:"20,keyasint,omitempty"`
	SlotFree       *SlotFree       `cbor:"21,keyasint,omitempty"`
	AckRoute       *AckRoute       `cbor:"22,keyasint,omitempty"`
	FeedMove       *FeedMove       `cbor:"23,keyasint,omitempty"`
	FeedMoved      *FeedMoved      `cbor:"24,keyasint,omitempty"`
	AdmissionMove  *AdmissionMove  `cbor:"25,keyasint,omitempty"`
	AdmissionMoved *AdmissionMoved `cbor:"26,keyasint,omitempty"`
}

// Lane returns the lane on which m is sent.
func (m *Message) Lane() Lane {
	if m.Heartbeat != nil || m.MemberDelta != nil || m.ConfigRequest != nil || m.ConfigDelta != nil {
		return Control
	}
	return Data
}

// Load is the sender's load for one service. It is piggybacked on data messages.
type Load struct {
	Service ids.Service `cbor:"1,keyasint"`
	Free    uint16      `cbor:"2,keyasint"`           // owned slots that are free
	Backlog uint16      `cbor:"3,keyasint"`           // queued requests
	Refuse  bool        `cbor:"4,keyasint"`           // the sender would refuse a new request now
	Slots   uint16      `cbor:"5,keyasint,omitempty"` // usable owned slots
	Long    uint16      `cbor:"6,keyasint,omitempty"` // owned slots that are occupied by long requests
	// LongKey is the predictor key of a long request that has just ended, and
	// LongDurationMS is its duration. Both are 0 in most reports.
	LongKey        uint64 `cbor:"7,keyasint,omitempty"`
	LongDurationMS uint32 `cbor:"8,keyasint,omitempty"`
}

// Lifecycle is the lifecycle state of an instance.
type Lifecycle uint8

// Lifecycle states of an instance, in the order in which it passes through them.
// The only exception is a resumed instance, which returns from Serving to
// Joining.
const (
	Joining Lifecycle = iota
	Serving
	Draining
	Gone
)

// Member is the membership record of one instance. Of two records of the same
// instance, the one with the higher (Incarnation, Counter) takes precedence. If
// these are equal, Suspected takes precedence over not suspected, and the later
// Lifecycle over the earlier.
type Member struct {
	ID          ids.Instance    `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
	Counter     uint32          `cbor:"3,keyasint"` // incremented by the instance itself on each change of its record
	DataCentre  ids.DataCentre  `cbor:"4,keyasint"`
	PeerAddr    string          `cbor:"5,keyasint"` // IP:port of its link listener
	Lifecycle   Lifecycle       `cbor:"6,keyasint"`
	Suspected   bool            `cbor:"7,keyasint,omitempty"`
	// Successor is the incarnation that takes over the admission table of this
	// one at its planned stop; 0 if there is none.
	Successor ids.Incarnation `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is sent on every control link at the heartbeat interval.
type Heartbeat struct {
	Seq      uint64       `cbor:"1,keyasint"`
	Clock    ids.Time     `cbor:"2,keyasint"` // sender's clock at the time of sending
	Digest   uint64       `cbor:"3,keyasint"` // hash of the sender's membership view
	Revision ids.Revision `cbor:"4,keyasint"` // configuration revision in force at the sender
	Updates  []Member     `cbor:"5,keyasint,omitempty"`
}

// MemberDelta contains membership records; it is sent after a digest mismatch.
// Reply requests the receiver's records in return.
type MemberDelta struct {
	Members []Member `cbor:"1,keyasint"`
	Reply   bool     `cbor:"2,keyasint,omitempty"`
}

// ConfigRequest requests the documents that changed after revision After.
type ConfigRequest struct {
	After ids.Revision `cbor:"1,keyasint"`
}

// Document is the state of one configuration key: its last valid value and, if
// a later publication was refused, the revision of that publication.
type Document struct {
	Key      string       `cbor:"1,keyasint"`
	Revision ids.Revision `cbor:"2,keyasint"` // revision of Value; 0 when no valid value is known
	Value    []byte       `cbor:"3,keyasint"` // nil when deleted at Revision
	Refused  ids.Revision `cbor:"4,keyasint,omitempty"`
	// Unconfirmed is true when the sender may have missed a valid value between
	// Revision and Refused. The receiver then queries other peers as well.
	Unconfirmed bool `cbor:"5,keyasint,omitempty"`
}

// ConfigDelta is the response to a ConfigRequest. More is true when the
// response is incomplete; a request for the changes after revision Upto returns
// the rest.
type ConfigDelta struct {
	Upto      ids.Revision `cbor:"1,keyasint"`
	Documents []Document   `cbor:"2,keyasint"`
	More      bool         `cbor:"3,keyasint,omitempty"`
}

// Relay forwards a caller's datagram to another instance.
type Relay struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"` // IP:port
	Datagram []byte      `cbor:"3,keyasint"`
	Hops     uint8       `cbor:"4,keyasint"` // number of relays so far, including this one
	Trace    []byte      `cbor:"5,keyasint,omitempty"`
	AgeMS    uint32      `cbor:"6,keyasint,omitempty"` // time that the request has spent in queues, in milliseconds
	Acked    bool        `cbor:"7,keyasint,omitempty"` // an empty ACK was already sent to the caller
}

// SlotFree announces that the sender has Count free slots of a service and no
// queued requests for it.
type SlotFree struct {
	Service ids.Service `cbor:"1,keyasint"`
	Count   uint16      `cbor:"2,keyasint"`
}

// AckRoute requests that the home instance of a caller relay certain datagrams
// of the caller to the sender of this message: the ACK or RST with message ID
// ID or, when PathHash is not 0, the further blocks of the Block-wise transfer
// of that path.
type AckRoute struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"`
	ID       uint16      `cbor:"3,keyasint"`
	PathHash uint64      `cbor:"4,keyasint,omitempty"` // message.Message.PathHash
}

// FeedMove hands one feed (an observation, RFC 7641) over to its new home
// instance.
type FeedMove struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"`
	Token    []byte      `cbor:"3,keyasint"` // caller's CoAP token
	Request  []byte      `cbor:"4,keyasint"` // the registration datagram
	Sequence uint32      `cbor:"5,keyasint"` // last Observe value sent to the caller
	NextID   uint16      `cbor:"6,keyasint"`
	Target   ids.Target  `cbor:"7,keyasint"` // backend server that serves the feed now
}

// FeedMoved informs the old home instance of a feed that the new one has
// received its first notification, so that the old registration may be
// cancelled.
type FeedMoved struct {
	Service ids.Service `cbor:"1,keyasint"`
	Caller  string      `cbor:"2,keyasint"`
	Token   []byte      `cbor:"3,keyasint"`
	Refused bool        `cbor:"4,keyasint,omitempty"` // the receiver could not take the feed
}

// Admission is one entry of an admission table.
type Admission struct {
	Incarnation ids.Incarnation `cbor:"1,keyasint"`
	Nonce       []byte          `cbor:"2,keyasint"`
	Digest      uint64          `cbor:"3,keyasint"`
	State       uint8           `cbor:"4,keyasint"`
	Response    []byte          `cbor:"5,keyasint,omitempty"`
	AgeMS       uint32          `cbor:"6,keyasint"` // time since admission, in milliseconds
}

// AdmissionMove transfers a part of an admission table. The sender has stopped
// admitting requests for Incarnations. Last marks the final part.
type AdmissionMove struct {
	Incarnations []ids.Incarnation `cbor:"1,keyasint"`
	Part         uint32            `cbor:"2,keyasint"`
	Last         bool              `cbor:"3,keyasint,omitempty"`
	Entries      []Admission       `cbor:"4,keyasint"`
	// Clocks holds the clock of each of Incarnations at the time of sending.
	Clocks []ids.Time `cbor:"5,keyasint"`
}

// AdmissionMoved acknowledges all parts of an admission table that were sent by
// AdmissionMove, including the last.
type AdmissionMoved struct {
	Incarnations []ids.Incarnation `cbor:"1,keyasint"`
}
