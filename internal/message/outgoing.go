package message

// Outgoing describes a datagram to encode. If Template is set, the result is the
// template message with the fields below replaced. Otherwise the message is
// built from the fields alone.
type Outgoing struct {
	Template []byte // encoded CoAP message to start from; nil for none
	Type     Type
	Code     Code // replaces the code of the template unless Empty
	ID       uint16
	Token    Token
	// DropEcho removes the Echo option of the template.
	DropEcho bool
	Echo     []byte // sets the Echo option unless nil
	// SetObserve sets the Observe option to Observe; DropObserve removes the
	// option.
	SetObserve  bool
	DropObserve bool
	Observe     uint32
	// SetMaxAge sets the Max-Age option to MaxAge, in seconds.
	SetMaxAge bool
	MaxAge    uint32
	// DeadlineMS, unless 0, is the value of the Deadline option (number 65000,
	// elective, experimental range of RFC 7252 section 12.2): the remaining time
	// in milliseconds.
	DeadlineMS uint32
	Payload    []byte // replaces the payload unless nil
}
