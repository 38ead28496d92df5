// Package peerwire defines the typed messages between instances. They are
// encoded as CBOR with integer keys; a message holds exactly one body.
package peerwire

import "arbutusdock.example/arbutusdock/internal/ids"

// Lane separates control traffic, which has an enforced byte budget, from the
// relayed traffic of callers.
type Lane uint8

// The two lanes of a link.
const (
	Control Lane = iota
	Data
)

// Message is the envelope of every peer message.
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

// Lane returns the lane on which m travels.
func (m *Message) Lane() Lane {
	if m.Heartbeat != nil || m.MemberDelta != nil || m.ConfigRequest != nil || m.ConfigDelta != nil {
		return Control
	}
	return Data
}

// Load is piggybacked on data messages: the sender's state for one service.
type Load struct {
	Service ids.Service `cbor:"1,keyasint"`
	Free    uint16      `cbor:"2,keyasint"`           // owned slots that are free
	Backlog uint16      `cbor:"3,keyasint"`           // queued requests
	Refuse  bool        `cbor:"4,keyasint"`           // a new request would be refused now
	Slots   uint16      `cbor:"5,keyasint,omitempty"` // usable owned slots
	Long    uint16      `cbor:"6,keyasint,omitempty"` // owned slots that long requests hold
	// LongKey is the predictor key of a long request that has just ended after
	// LongDurationMS; both are 0 in most reports.
	LongKey        uint64 `cbor:"7,keyasint,omitempty"`
	LongDurationMS uint32 `cbor:"8,keyasint,omitempty"`
}

// Lifecycle is the place of an instance in its life.
type Lifecycle uint8

// Lifecycle states of an instance, in the order in which they are passed,
// except that a resumed instance returns from serving to joining.
const (
	Joining Lifecycle = iota
	Serving
	Draining
	Gone
)

// Member is what is known of one instance. Between two records of the same
// instance the higher (Incarnation, Counter) wins; at equal values Suspected
// wins over trusted and the later Lifecycle wins.
type Member struct {
	ID          ids.Instance    `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
	Counter     uint32          `cbor:"3,keyasint"` // raised by the instance itself on each change of its own record
	DataCentre  ids.DataCentre  `cbor:"4,keyasint"`
	PeerAddr    string          `cbor:"5,keyasint"` // IP:port of its link listener
	Lifecycle   Lifecycle       `cbor:"6,keyasint"`
	Suspected   bool            `cbor:"7,keyasint,omitempty"`
	// Successor answers for the admissions of this incarnation after its
	// planned stop; zero when there is none.
	Successor ids.Incarnation `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is sent on every control link at the heartbeat interval.
type Heartbeat struct {
	Seq      uint64       `cbor:"1,keyasint"`
	Clock    ids.Time     `cbor:"2,keyasint"` // sender's clock when sent
	Digest   uint64       `cbor:"3,keyasint"` // of the sender's membership view
	Revision ids.Revision `cbor:"4,keyasint"` // configuration revision in force at the sender
	Updates  []Member     `cbor:"5,keyasint,omitempty"`
}

// MemberDelta carries a view after a digest mismatch. Reply asks the receiver
// for its own in return.
type MemberDelta struct {
	Members []Member `cbor:"1,keyasint"`
	Reply   bool     `cbor:"2,keyasint,omitempty"`
}

// ConfigRequest asks for what changed after revision After.
type ConfigRequest struct {
	After ids.Revision `cbor:"1,keyasint"`
}

// Document is the state of one configuration key: its last good value and, if
// a later publication was refused, the revision of that one.
type Document struct {
	Key      string       `cbor:"1,keyasint"`
	Revision ids.Revision `cbor:"2,keyasint"` // of Value; 0 when no good value is known
	Value    []byte       `cbor:"3,keyasint"` // nil when deleted at Revision
	Refused  ids.Revision `cbor:"4,keyasint,omitempty"`
	// Unconfirmed tells that the sender may have missed a good value between
	// Revision and Refused; the receiver then asks other peers as well.
	Unconfirmed bool `cbor:"5,keyasint,omitempty"`
}

// ConfigDelta answers a ConfigRequest. More tells that further documents
// follow after revision Upto.
type ConfigDelta struct {
	Upto      ids.Revision `cbor:"1,keyasint"`
	Documents []Document   `cbor:"2,keyasint"`
	More      bool         `cbor:"3,keyasint,omitempty"`
}

// Relay hands a caller's datagram to another instance.
type Relay struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"` // IP:port
	Datagram []byte      `cbor:"3,keyasint"`
	Hops     uint8       `cbor:"4,keyasint"` // relays so far, this one included
	Trace    []byte      `cbor:"5,keyasint,omitempty"`
	AgeMS    uint32      `cbor:"6,keyasint,omitempty"` // time that the request has waited in queues
	Acked    bool        `cbor:"7,keyasint,omitempty"` // an empty ACK was sent
}

// SlotFree tells that the sender has Count free slots of a service and no
// queue.
type SlotFree struct {
	Service ids.Service `cbor:"1,keyasint"`
	Count   uint16      `cbor:"2,keyasint"`
}

// AckRoute asks the home of a caller to relay the ACK or RST with message id
// ID to the sender or, when Path is not 0, the follow-up blocks of the
// Block-wise transfer of Path.
type AckRoute struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"`
	ID       uint16      `cbor:"3,keyasint"`
	PathHash uint64      `cbor:"4,keyasint,omitempty"` // message.Message.PathHash
}

// FeedMove hands one feed over to its new home.
type FeedMove struct {
	Service  ids.Service `cbor:"1,keyasint"`
	Caller   string      `cbor:"2,keyasint"`
	Token    []byte      `cbor:"3,keyasint"` // caller's token
	Request  []byte      `cbor:"4,keyasint"` // the registration datagram
	Sequence uint32      `cbor:"5,keyasint"` // last Observe value sent to the caller
	NextID   uint16      `cbor:"6,keyasint"`
	Target   ids.Target  `cbor:"7,keyasint"` // backend server that serves the feed now
}

// FeedMoved tells the old home that the new one has received its first
// notification and the old registration may end.
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

// AdmissionMove hands a part of an admission table over. The sender has
// stopped admitting for Incarnations. Last marks the final part.
type AdmissionMove struct {
	Incarnations []ids.Incarnation `cbor:"1,keyasint"`
	Part         uint32            `cbor:"2,keyasint"`
	Last         bool              `cbor:"3,keyasint,omitempty"`
	Entries      []Admission       `cbor:"4,keyasint"`
	// Clocks holds the clock of each of Incarnations when the part was sent.
	Clocks []ids.Time `cbor:"5,keyasint"`
}

// AdmissionMoved acknowledges all parts of an AdmissionMove up to the last.
type AdmissionMoved struct {
	Incarnations []ids.Incarnation `cbor:"1,keyasint"`
}
