package message

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	coap "github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"
)

const (
	// MaxOptions is the largest number of options in one message. go-coap
	// returns an error when its option slice is full. A message within the size
	// of a Block-wise block has far fewer options.
	MaxOptions = 128
	// MaxDatagram is the largest datagram that Encode produces, in bytes: the
	// maximum UDP payload over IPv4.
	MaxDatagram = 65507
	// Deadline is the number of the elective option that contains the remaining
	// time for a request, in milliseconds. It is in the experimental range (RFC
	// 7252 section 12.2).
	Deadline coap.OptionID = 65000

	headerSize          = 4 // RFC 7252 section 3
	maxOptionHeaderSize = 5 // option delta and length with their extensions, RFC 7252 section 3.1

	defaultMaxAge = 60 // seconds, RFC 7252 section 5.10.5
	maxObserve    = 1<<24 - 1
)

// Errors that Decode returns in addition to those of go-coap.
var (
	ErrEmptyWithContent = eris.New("decode CoAP: empty message carries a token, options or a payload")
	ErrReservedCode     = eris.New("decode CoAP: code of a reserved class")
)

// codec holds the buffers of one Decode or Encode call.
type codec struct {
	msg         coap.Message
	options     [MaxOptions + maxAddedOptions]coap.Option
	uintBuffers [3][4]byte // values of Observe, Max-Age and Deadline
	usedOptions int        // number of entries of options that may refer to memory of the caller
	token       [8]byte
	hash        xxhash.Digest
	hashPrefix  [6]byte
}

// maxAddedOptions is the number of options that Encode may add to a template.
const maxAddedOptions = 4

var codecPool = sync.Pool{New: func() any { return new(codec) }}

func (c *codec) decode(datagram []byte) error {
	c.msg.Options = c.options[:0:MaxOptions]
	_, err := coder.DefaultCoder.Decode(datagram, &c.msg)
	if err != nil {
		c.usedOptions = MaxOptions // go-coap does not report how many options it decoded
		return eris.Wrap(err, "decode CoAP")
	}
	c.usedOptions = len(c.msg.Options)
	return nil
}

// release clears the references to the caller's memory and returns c to the
// pool.
func (c *codec) release() {
	clear(c.options[:c.usedOptions])
	c.msg, c.usedOptions = coap.Message{}, 0
	codecPool.Put(c)
}

// Decode decodes datagram into m, which aliases it. On error m must not be used:
// the datagram is malformed. It has a truncated header or option, a reserved
// version or code class (RFC 7252 section 3), content in an empty message
// (section 4.1), or more than MaxOptions options. Only the first occurrence of
// an option that must not be repeated is used (section 5.4.5).
func Decode(datagram []byte, m *Message) error {
	c := codecPool.Get().(*codec)
	defer c.release()
	if err := c.decode(datagram); err != nil {
		return err
	}
	code := Code(c.msg.Code)
	switch {
	case code == Empty && len(datagram) != 4:
		return ErrEmptyWithContent
	case code != Empty && !code.IsRequest() && !code.IsResponse():
		return ErrReservedCode
	}
	*m = Message{
		Type:   Type(c.msg.Type),
		Code:   code,
		ID:     uint16(c.msg.MessageID),
		Raw:    datagram,
		MaxAge: defaultMaxAge,
	}
	m.Token.Len = uint8(copy(m.Token.Bytes[:], c.msg.Token))
	c.readOptions(m)
	m.PathHash = c.hashPath()
	m.Digest = c.computeDigest()
	return nil
}

// readOptions copies the options that the decision logic uses to m.
func (c *codec) readOptions(m *Message) {
	var hasMaxAge bool
	for _, o := range c.msg.Options {
		switch o.ID {
		case coap.Echo:
			setIfNil(&m.Echo, o.Value)
		case coap.URIHost:
			setIfNil(&m.Host, o.Value)
		case coap.ETag:
			setIfNil(&m.ETag, o.Value)
		case coap.Observe:
			if !m.HasObserve {
				m.HasObserve, m.Observe = true, decodeUint(o.Value)
			}
		case coap.MaxAge:
			if !hasMaxAge {
				hasMaxAge, m.MaxAge = true, decodeUint(o.Value)
			}
		case coap.Block1:
			setBlock(&m.Block1, o.Value)
		case coap.Block2:
			setBlock(&m.Block2, o.Value)
		}
	}
}

func setIfNil(dst *[]byte, value []byte) {
	if *dst == nil {
		*dst = value
	}
}

// setBlock decodes the value of a Block option (RFC 7959 section 2.2). A value of
// more than three bytes is invalid; it is ignored here, and the backend server
// rejects it.
func setBlock(b *Block, value []byte) {
	if b.Present || len(value) > 3 {
		return
	}
	v := decodeUint(value)
	*b = Block{Present: true, Num: v >> 4, More: v&8 != 0, SZX: uint8(v & 7)}
}

func decodeUint(value []byte) uint32 {
	var v uint32
	for _, b := range value {
		v = v<<8 | uint32(b)
	}
	return v
}

// computeDigest hashes the code, all options except Echo, and the payload. The
// number and length of each option precede its value, so that different
// options never produce the same input of the hash function.
func (c *codec) computeDigest() uint64 {
	c.hash.Reset()
	c.hashPrefix[0] = byte(c.msg.Code)
	_, _ = c.hash.Write(c.hashPrefix[:1])
	for i := range c.msg.Options {
		if o := &c.msg.Options[i]; o.ID != coap.Echo {
			c.hashOption(o)
		}
	}
	c.hashValue(payloadID, c.msg.Payload)
	return c.hash.Sum64()
}

// payloadID precedes the payload in the digest, in place of the number of an option. It
// is reserved (RFC 7252 section 12.2), and only the payload comes last.
const payloadID = 65535

func (c *codec) hashOption(o *coap.Option) { c.hashValue(uint16(o.ID), o.Value) }

// hashValue hashes a value with its number and its length, without which one value could
// imitate several.
func (c *codec) hashValue(id uint16, value []byte) {
	binary.BigEndian.PutUint16(c.hashPrefix[:2], id)
	binary.BigEndian.PutUint32(c.hashPrefix[2:], uint32(len(value)))
	_, _ = c.hash.Write(c.hashPrefix[:])
	_, _ = c.hash.Write(value)
}

func (c *codec) hashPath() uint64 {
	c.hash.Reset()
	for i := range c.msg.Options {
		if o := &c.msg.Options[i]; o.ID == coap.URIPath {
			c.hashOption(o)
		}
	}
	return c.hash.Sum64()
}

// HashPath returns the value that Decode gives Message.PathHash for the segments
// of path, which are separated by slashes.
func HashPath(path string) uint64 {
	c := codecPool.Get().(*codec)
	defer c.release()
	c.hash.Reset()
	path = strings.Trim(path, "/")
	for segment := range strings.SplitSeq(path, "/") {
		if path != "" {
			c.hashOption(&coap.Option{ID: coap.URIPath, Value: []byte(segment)})
		}
	}
	return c.hash.Sum64()
}

// Encode appends the datagram that o describes to dst and returns the result.
// All options of the template that o does not replace, including critical ones,
// are kept unchanged and in order. The only exceptions are elective options with
// a length that RFC 7252 section 5.4.3 forbids; go-coap omits them. On error,
// Encode returns dst unchanged.
func Encode(dst []byte, o *Outgoing) ([]byte, error) {
	c := codecPool.Get().(*codec)
	defer c.release()
	if o.Template != nil {
		if err := c.decode(o.Template); err != nil {
			return dst, eris.Wrap(err, "encode CoAP: invalid template")
		}
	}
	// Raise the capacity by maxAddedOptions.
	c.msg.Options = c.options[:len(c.msg.Options)]
	c.usedOptions = len(c.msg.Options) + maxAddedOptions
	c.applyOutgoing(o)
	return c.appendTo(dst)
}

func (c *codec) applyOutgoing(o *Outgoing) {
	c.msg.Type, c.msg.MessageID = coap.Type(o.Type), int32(o.ID)
	if o.Template == nil || o.Code != Empty {
		c.msg.Code = codes.Code(o.Code)
	}
	c.token = o.Token.Bytes // copied, because a slice of o.Token would move every Outgoing to the heap
	c.msg.Token = c.token[:min(o.Token.Len, coap.MaxTokenSize)]
	if o.Payload != nil {
		c.msg.Payload = o.Payload
	}
	if o.DropEcho {
		c.msg.Options = c.msg.Options.Remove(coap.Echo)
	}
	if o.Echo != nil {
		c.msg.Options = c.msg.Options.Set(coap.Option{ID: coap.Echo, Value: o.Echo})
	}
	switch {
	case o.SetObserve:
		c.setUint(0, coap.Observe, o.Observe&maxObserve)
	case o.DropObserve:
		c.msg.Options = c.msg.Options.Remove(coap.Observe)
	}
	if o.SetMaxAge {
		c.setUint(1, coap.MaxAge, o.MaxAge)
	}
	if o.DeadlineMS != 0 {
		c.setUint(2, Deadline, o.DeadlineMS)
	}
}

// setUint sets an option to the shortest encoding of v (RFC 7252 section 3.2).
// slot selects the buffer that holds the value.
func (c *codec) setUint(slot int, id coap.OptionID, v uint32) {
	value := c.uintBuffers[slot][:]
	binary.BigEndian.PutUint32(value, v)
	for len(value) > 0 && value[0] == 0 {
		value = value[1:]
	}
	c.msg.Options = c.msg.Options.Set(coap.Option{ID: id, Value: value})
}

// maxEncodedSize returns an upper bound of the encoded size. It is cheaper than
// the size computation of go-coap, which marshals all options.
func (c *codec) maxEncodedSize() int {
	size := headerSize + len(c.msg.Token) + 1 + len(c.msg.Payload)
	for i := range c.msg.Options {
		size += maxOptionHeaderSize + len(c.msg.Options[i].Value)
	}
	return size
}

func (c *codec) appendTo(dst []byte) ([]byte, error) {
	dst = slices.Grow(dst, c.maxEncodedSize())
	start := len(dst)
	size, err := coder.DefaultCoder.Encode(c.msg, dst[start:cap(dst)])
	if err != nil {
		return dst, eris.Wrap(err, "encode CoAP")
	}
	if size > MaxDatagram {
		return dst, eris.Errorf("encode CoAP: %d bytes exceed the limit of %d", size, MaxDatagram)
	}
	return dst[:start+size], nil
}
