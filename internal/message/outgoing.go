package message

// Outgoing describes a datagram to encode. With a Template the result is the
// template message with the fields below replaced; without one it is built
// from the fields alone.
type Outgoing struct {
	Template []byte // encoded CoAP message to start from; nil for none
	Type     Type
	Code     Code // replaces the code of the template unless Empty
	ID       uint16
	Token    Token
	// DropEcho removes the Echo option of the template.
	DropEcho bool
	Echo     []byte // sets the Echo option unless nil
	// SetObserve replaces the Observe option by Observe; DropObserve removes it.
	SetObserve  bool
	DropObserve bool
	Observe     uint32
	// SetMaxAge replaces the Max-Age option by MaxAge, in seconds.
	SetMaxAge bool
	MaxAge    uint32
	// DeadlineMS sets the Deadline option (number 65000, elective,
	// experimental range of RFC 7252 section 12.2), the time left in
	// milliseconds, unless 0.
	DeadlineMS uint32
	Payload    []byte // replaces the payload unless nil
}
