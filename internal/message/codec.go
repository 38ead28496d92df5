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
	// MaxOptions bounds the options of one message. go-coap fails when its
	// option slice is full; a message of Block-wise size has far fewer.
	MaxOptions = 128
	// MaxDatagram is the largest datagram that is encoded, in bytes: the
	// greatest UDP payload over IPv4.
	MaxDatagram = 65507
	// Deadline is the number of the elective option that carries the time left
	// for a request, in milliseconds (experimental range, RFC 7252 section 12.2).
	Deadline coap.OptionID = 65000

	headerBytes     = 4 // RFC 7252 section 3
	maxOptionHeader = 5 // delta and length with their extensions, section 3.1

	defaultMaxAge = 60 // seconds, RFC 7252 section 5.10.5
	maxObserve    = 1<<24 - 1
)

// Errors of Decode beyond those of go-coap.
var (
	ErrEmptyWithContent = eris.New("decode CoAP: empty message carries a token, options or a payload")
	ErrReservedCode     = eris.New("decode CoAP: code of a reserved class")
)

// codec holds the buffers of one Decode or Encode call.
type codec struct {
	msg     coap.Message
	options [MaxOptions + spareOptions]coap.Option
	uints   [3][4]byte // values of Observe, Max-Age and Deadline
	used    int        // options that may refer to the caller's memory
	token   [8]byte
	hash    xxhash.Digest
	prefix  [6]byte
}

// spareOptions is the room for the options that Encode may add to a template.
const spareOptions = 4

var codecs = sync.Pool{New: func() any { return new(codec) }}

func (c *codec) decode(datagram []byte) error {
	c.msg.Options = c.options[:0:MaxOptions]
	_, err := coder.DefaultCoder.Decode(datagram, &c.msg)
	if err != nil {
		c.used = MaxOptions // how far go-coap got is unknown
		return eris.Wrap(err, "decode CoAP")
	}
	c.used = len(c.msg.Options)
	return nil
}

// release returns c to the pool without references to the caller's memory.
func (c *codec) release() {
	clear(c.options[:c.used])
	c.msg, c.used = coap.Message{}, 0
	codecs.Put(c)
}

// Decode fills m with the view of datagram. On error m is not usable and the
// datagram is malformed: a truncated header or option, a reserved version or
// code class (RFC 7252 section 3), an empty message with content (section
// 4.1), or more than MaxOptions options. Of an option that must not be
// repeated the first occurrence counts (section 5.4.5).
func Decode(datagram []byte, m *Message) error {
	c := codecs.Get().(*codec)
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
	c.view(m)
	m.PathHash = c.pathHash()
	m.Digest = c.digest()
	return nil
}

// view copies the options that the decision logic reads into m.
func (c *codec) view(m *Message) {
	var hasMaxAge bool
	for _, o := range c.msg.Options {
		switch o.ID {
		case coap.Echo:
			setFirst(&m.Echo, o.Value)
		case coap.URIHost:
			setFirst(&m.Host, o.Value)
		case coap.ETag:
			setFirst(&m.ETag, o.Value)
		case coap.Observe:
			if !m.HasObserve {
				m.HasObserve, m.Observe = true, uintValue(o.Value)
			}
		case coap.MaxAge:
			if !hasMaxAge {
				hasMaxAge, m.MaxAge = true, uintValue(o.Value)
			}
		case coap.Block1:
			setBlock(&m.Block1, o.Value)
		case coap.Block2:
			setBlock(&m.Block2, o.Value)
		}
	}
}

func setFirst(dst *[]byte, value []byte) {
	if *dst == nil {
		*dst = value
	}
}

// setBlock decodes RFC 7959 section 2.2. A value of more than three bytes is
// no valid block option and is left for the backend server to reject.
func setBlock(b *Block, value []byte) {
	if b.Present || len(value) > 3 {
		return
	}
	v := uintValue(value)
	*b = Block{Present: true, Num: v >> 4, More: v&8 != 0, SZX: uint8(v & 7)}
}

func uintValue(value []byte) uint32 {
	var v uint32
	for _, b := range value {
		v = v<<8 | uint32(b)
	}
	return v
}

// digest hashes the code, every option except Echo, and the payload. Number
// and length precede each value, so that no two messages hash the same bytes.
func (c *codec) digest() uint64 {
	c.hash.Reset()
	c.prefix[0] = byte(c.msg.Code)
	_, _ = c.hash.Write(c.prefix[:1])
	for i := range c.msg.Options {
		if o := &c.msg.Options[i]; o.ID != coap.Echo {
			c.hashOption(o)
		}
	}
	_, _ = c.hash.Write(c.msg.Payload)
	return c.hash.Sum64()
}

func (c *codec) hashOption(o *coap.Option) {
	binary.BigEndian.PutUint16(c.prefix[:2], uint16(o.ID))
	binary.BigEndian.PutUint32(c.prefix[2:], uint32(len(o.Value)))
	_, _ = c.hash.Write(c.prefix[:])
	_, _ = c.hash.Write(o.Value)
}

func (c *codec) pathHash() uint64 {
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
	c := codecs.Get().(*codec)
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
// All options of the template that o does not replace are kept, in order and
// unchanged, critical ones included; only elective options whose length
// RFC 7252 section 5.4.3 forbids are left out by go-coap. On error dst is
// returned as it was.
func Encode(dst []byte, o *Outgoing) ([]byte, error) {
	c := codecs.Get().(*codec)
	defer c.release()
	if o.Template != nil {
		if err := c.decode(o.Template); err != nil {
			return dst, eris.Wrap(err, "encode CoAP: template")
		}
	}
	// Raises the capacity to include the spare options.
	c.msg.Options = c.options[:len(c.msg.Options)]
	c.used = len(c.msg.Options) + spareOptions
	c.apply(o)
	return c.append(dst)
}

func (c *codec) apply(o *Outgoing) {
	c.msg.Type, c.msg.MessageID = coap.Type(o.Type), int32(o.ID)
	if o.Template == nil || o.Code != Empty {
		c.msg.Code = codes.Code(o.Code)
	}
	c.token = o.Token.Bytes // a slice of o itself would force every Outgoing onto the heap
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

// setUint sets an option to v in the shortest form, RFC 7252 section 3.2.
func (c *codec) setUint(slot int, id coap.OptionID, v uint32) {
	value := c.uints[slot][:]
	binary.BigEndian.PutUint32(value, v)
	for len(value) > 0 && value[0] == 0 {
		value = value[1:]
	}
	c.msg.Options = c.msg.Options.Set(coap.Option{ID: id, Value: value})
}

// bound returns an upper limit of the encoded size. It is cheaper than the
// size that go-coap computes, which marshals all options.
func (c *codec) bound() int {
	size := headerBytes + len(c.msg.Token) + 1 + len(c.msg.Payload)
	for i := range c.msg.Options {
		size += maxOptionHeader + len(c.msg.Options[i].Value)
	}
	return size
}

func (c *codec) append(dst []byte) ([]byte, error) {
	dst = slices.Grow(dst, c.bound())
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
