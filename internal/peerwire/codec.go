package peerwire

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Limits on peer messages.
const (
	// MaxMessage is the largest size of an encoded message, in bytes. It leaves
	// room for the envelope around a document of 1 MB, the largest that the
	// platform stores.
	MaxMessage = 1<<20 + 64<<10
	// MaxControlPart is the size, in bytes, above which a sender splits a control
	// message, so that a single message does not use up the budget for many
	// seconds.
	MaxControlPart = 64 << 10

	maxNestingLevels    = 6       // the most deeply nested message, AdmissionMove, has four levels
	maxContainerEntries = 1 << 16 // entries of one array or map
)

// Errors that Decode returns in addition to those of the CBOR library.
var (
	ErrTooLarge      = eris.New("decode peer message: exceeds the size limit")
	ErrBodyCount     = eris.New("decode peer message: does not contain exactly one body")
	ErrMissingSender = eris.New("decode peer message: sender missing")
)

var (
	encMode = mustMode(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxContainerEntries,
		MaxMapPairs:      maxContainerEntries,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return mode
}

// Encode appends the CBOR encoding of m to dst and returns the result. m must
// have exactly one body.
func Encode(dst []byte, m *Message) ([]byte, error) {
	if n := m.countBodies(); n != 1 {
		return dst, eris.Errorf("encode peer message: %d bodies instead of one", n)
	}
	buf := bytes.NewBuffer(dst)
	if err := encMode.NewEncoder(buf).Encode(m); err != nil {
		return dst, eris.Wrap(err, "encode peer message")
	}
	if buf.Len()-len(dst) > MaxMessage {
		return dst, eris.Errorf("encode peer message: %d bytes exceed the limit of %d", buf.Len()-len(dst), MaxMessage)
	}
	return buf.Bytes(), nil
}

// Decode decodes data, which must contain exactly one message, into m. Unknown
// keys are ignored, so that a later release can add fields. m does not alias
// data afterwards.
func Decode(data []byte, m *Message) error {
	if len(data) > MaxMessage {
		return ErrTooLarge
	}
	*m = Message{}
	if err := decMode.Unmarshal(data, m); err != nil {
		return eris.Wrap(err, "decode peer message")
	}
	if m.countBodies() != 1 {
		return ErrBodyCount
	}
	if m.From == "" {
		return ErrMissingSender
	}
	return nil
}

func (m *Message) countBodies() int {
	n := 0
	for _, present := range [...]bool{
		m.Heartbeat != nil, m.MemberDelta != nil, m.ConfigRequest != nil, m.ConfigDelta != nil,
		m.Relay != nil, m.SlotFree != nil, m.AckRoute != nil, m.FeedMove != nil, m.FeedMoved != nil,
		m.AdmissionMove != nil, m.AdmissionMoved != nil,
	} {
		if present {
			n++
		}
	}
	return n
}

// Kinds lists the values that Kind returns for messages with a body.
var Kinds = [...]string{
	"heartbeat", "member_delta", "config_request", "config_delta",
	"relay", "slot_free", "ack_route", "feed_move", "feed_moved", "admission_move", "admission_moved",
}

// Kind returns the name of the body of m, for logs and metrics, or "none".
func (m *Message) Kind() string {
	switch {
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.MemberDelta != nil:
		return "member_delta"
	case m.ConfigRequest != nil:
		return "config_request"
	case m.ConfigDelta != nil:
		return "config_delta"
	case m.Relay != nil:
		return "relay"
	case m.SlotFree != nil:
		return "slot_free"
	case m.AckRoute != nil:
		return "ack_route"
	case m.FeedMove != nil:
		return "feed_move"
	case m.FeedMoved != nil:
		return "feed_moved"
	case m.AdmissionMove != nil:
		return "admission_move"
	case m.AdmissionMoved != nil:
		return "admission_moved"
	}
	return "none"
}
