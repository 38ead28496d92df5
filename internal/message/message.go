// Package message defines the decoded form of CoAP messages (RFC 7252) that the
// decision logic uses, and decodes and encodes datagrams with the go-coap codec.
// The payload is passed through and never interpreted.
package message

// Type is the CoAP message type, RFC 7252 section 3.
type Type uint8

// The four message types of CoAP.
const (
	Confirmable Type = iota
	NonConfirmable
	Acknowledgement
	Reset
)

// Code is the CoAP code: the class in the upper three bits and the detail in the
// lower five (RFC 7252 section 12.1).
type Code uint8

// Codes that the decision logic reads or writes.
const (
	Empty              Code = 0
	GET                Code = 0x01
	POST               Code = 0x02
	PUT                Code = 0x03
	DELETE             Code = 0x04
	FETCH              Code = 0x05
	PATCH              Code = 0x06
	IPATCH             Code = 0x07
	Content            Code = 0x45 // 2.05
	BadRequest         Code = 0x80 // 4.00
	Unauthorized       Code = 0x81 // 4.01
	NotFound           Code = 0x84 // 4.04
	ServiceUnavailable Code = 0xa3 // 5.03
	GatewayTimeout     Code = 0xa4 // 5.04
)

// IsRequest reports whether c is a method code.
func (c Code) IsRequest() bool { return c > 0 && c < 0x20 }

// IsResponse reports whether c is a response code.
func (c Code) IsResponse() bool { return c >= 0x40 && c < 0xc0 }

// Token is a CoAP token of at most eight bytes. It is comparable and contains no
// pointer, so that its use as a map key does not allocate.
type Token struct {
	Bytes [8]byte
	Len   uint8
}

// Block is the value of a Block1 or Block2 option (RFC 7959).
type Block struct {
	Present bool
	Num     uint32
	More    bool
	SZX     uint8
}

// Message is the decoded form of one datagram. Raw, Echo, Host and ETag alias the
// datagram. A function that keeps one of them after the call in which it received
// the message must copy it.
type Message struct {
	Type     Type
	Code     Code
	ID       uint16
	Token    Token
	Raw      []byte // the datagram as received
	Echo     []byte // Echo option (RFC 9175), nil when absent
	Host     []byte // Uri-Host option, nil when absent
	ETag     []byte // ETag option, nil when absent
	PathHash uint64 // hash of the Uri-Path options
	Digest   uint64 // hash of code, options except Echo, and payload
	Observe  uint32
	// HasObserve is true when the Observe option is present.
	HasObserve bool
	MaxAge     uint32 // seconds; 60 when the option is absent (RFC 7252 section 5.10.5)
	Block1     Block
	Block2     Block
}
