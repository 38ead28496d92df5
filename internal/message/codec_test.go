package message

import (
	"bytes"
	"testing"

	coap "github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"gotest.tools/v3/assert"
)

func encodeRequest(t testing.TB, code codes.Code, payload string, options ...coap.Option) []byte {
	t.Helper()
	buf := make([]byte, 2048)
	n, err := coder.DefaultCoder.Encode(coap.Message{
		Type: coap.Confirmable, Code: code, MessageID: 0x1234, Token: coap.Token{1, 2, 3},
		Options: options, Payload: []byte(payload),
	}, buf)
	assert.NilError(t, err)
	return buf[:n]
}

func requestDatagram(t testing.TB) []byte {
	return encodeRequest(t, codes.POST, "lot 7",
		coap.Option{ID: coap.URIHost, Value: []byte("board.example")},
		coap.Option{ID: coap.Observe, Value: []byte{9}},
		coap.Option{ID: 9, Value: []byte("critical")}, // unassigned critical option
		coap.Option{ID: coap.URIPath, Value: []byte("claims")},
		coap.Option{ID: coap.Block2, Value: []byte{0x1e}},
		coap.Option{ID: coap.Echo, Value: []byte("token")},
		coap.Option{ID: 65002, Value: []byte("elective")})
}

// Guards against fields of a datagram that are lost or decoded wrongly.
func TestDecodeFields(t *testing.T) {
	var m Message
	assert.NilError(t, Decode(requestDatagram(t), &m))
	assert.Equal(t, m.Type, Confirmable)
	assert.Equal(t, m.Code, POST)
	assert.Equal(t, m.ID, uint16(0x1234))
	assert.Equal(t, m.Token, Token{Bytes: [8]byte{1, 2, 3}, Len: 3})
	assert.Equal(t, string(m.Host), "board.example")
	assert.Equal(t, string(m.Echo), "token")
	assert.Equal(t, m.Block2, Block{Present: true, Num: 1, More: true, SZX: 6})
	assert.Assert(t, m.HasObserve && m.Observe == 9 && m.MaxAge == 60)
	assert.Equal(t, m.PathHash, HashPath("/claims"))
}

// Guards against a retry with an Echo option whose digest differs from that of
// the original request, and against different requests with equal digests.
func TestDigest(t *testing.T) {
	var a, b, c Message
	path := coap.Option{ID: coap.URIPath, Value: []byte("claims")}
	assert.NilError(t, Decode(encodeRequest(t, codes.POST, "lot 7", path), &a))
	assert.NilError(t, Decode(encodeRequest(t, codes.POST, "lot 7", path, coap.Option{ID: coap.Echo, Value: []byte("x")}), &b))
	assert.NilError(t, Decode(encodeRequest(t, codes.POST, "lot 8", path), &c))
	assert.Equal(t, a.Digest, b.Digest)
	assert.Assert(t, a.Digest != c.Digest)
	query := coap.Option{ID: coap.URIQuery, Value: []byte("lot=7")}
	imitation := string([]byte{0, byte(coap.URIQuery), 0, 0, 0, byte(len(query.Value))}) + string(query.Value)
	assert.NilError(t, Decode(encodeRequest(t, codes.POST, "", path, query), &a))
	assert.NilError(t, Decode(encodeRequest(t, codes.POST, imitation, path), &b))
	assert.Assert(t, a.Digest != b.Digest, "a payload that looks like an option")
}

// Guards against options that Encode changes or drops. Unknown options, both
// elective and critical, must reach the backend server unchanged.
func TestEncodeKeepsUnknownOptions(t *testing.T) {
	out, err := Encode(nil, &Outgoing{Template: requestDatagram(t), Type: NonConfirmable, ID: 5,
		Token: Token{Bytes: [8]byte{9}, Len: 1}, DropEcho: true, DropObserve: true, DeadlineMS: 300, SetMaxAge: true, MaxAge: 0})
	assert.NilError(t, err)
	m := coap.Message{Options: make(coap.Options, 0, 16)}
	_, err = coder.DefaultCoder.Decode(out, &m)
	assert.NilError(t, err)
	assert.Equal(t, m.Code, codes.POST)
	assert.Equal(t, m.MessageID, int32(5))
	assert.Equal(t, string(m.Payload), "lot 7")
	want := map[coap.OptionID]string{coap.URIHost: "board.example", 9: "critical", coap.URIPath: "claims",
		coap.MaxAge: "", coap.Block2: "\x1e", Deadline: "\x01\x2c", 65002: "elective"}
	assert.Equal(t, len(m.Options), len(want))
	for _, o := range m.Options {
		assert.Equal(t, string(o.Value), want[o.ID], "option %d", o.ID)
	}
}

// Guards against an encoder that overwrites the existing bytes of dst, and
// against a malformed template that is accepted.
func TestEncodeAppends(t *testing.T) {
	out, err := Encode([]byte("ab"), &Outgoing{Type: Acknowledgement, ID: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, out, []byte{'a', 'b', 0x60, 0, 0, 7})
	out, err = Encode([]byte("ab"), &Outgoing{Template: []byte{1}})
	assert.Assert(t, err != nil && bytes.Equal(out, []byte("ab")))
}

// Guards against malformed datagrams that are accepted.
func TestDecodeRejects(t *testing.T) {
	for name, d := range map[string][]byte{
		"nothing":                 nil,
		"short header":            {0x40, 1, 0},
		"version 2":               {0x80, 1, 0, 1},
		"long token":              {0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		"truncated option":        {0x40, 1, 0, 1, 0xb5, 'a'},
		"marker without payload":  {0x40, 1, 0, 1, 0xff},
		"empty code with payload": {0x40, 0, 0, 1, 0xff, 1},
		"reserved class 1":        {0x40, 0x20, 0, 1},
		"reserved class 7":        {0x40, 0xe1, 0, 1},
		"too many options":        append([]byte{0x40, 1, 0, 1, 0xb0}, make([]byte, MaxOptions)...),
	} {
		var m Message
		assert.Assert(t, Decode(d, &m) != nil, name)
	}
}

// Guards against memory allocations for each datagram on the hot path.
func TestDecodeEncodeDoNotAllocate(t *testing.T) {
	datagram, dst := requestDatagram(t), make([]byte, 0, 2048)
	var m Message
	n := testing.AllocsPerRun(1000, func() {
		_ = Decode(datagram, &m)
		dst, _ = Encode(dst[:0], &Outgoing{Template: datagram, ID: 1, Token: m.Token, DropEcho: true, DeadlineMS: 70000})
	})
	assert.Assert(t, n < 1, "%v allocations", n)
}

// Checks that no input causes a panic, and that every message that can be decoded
// can be encoded to a message with the same digest.
func FuzzDecode(f *testing.F) {
	f.Add(requestDatagram(f))
	f.Add([]byte{0x40, 0, 0, 1})
	f.Fuzz(func(t *testing.T, d []byte) {
		var m, decodedAgain Message
		if Decode(d, &m) != nil || m.Code == Empty {
			return
		}
		out, err := Encode(nil, &Outgoing{Template: d, Type: m.Type, ID: m.ID, Token: m.Token})
		assert.NilError(t, err)
		assert.NilError(t, Decode(out, &decodedAgain))
		assert.Equal(t, decodedAgain.Digest, m.Digest)
		assert.Equal(t, decodedAgain.PathHash, m.PathHash)
	})
}

func BenchmarkDecode(b *testing.B) {
	datagram := requestDatagram(b)
	var m Message
	b.ReportAllocs()
	for b.Loop() {
		_ = Decode(datagram, &m)
	}
}

func BenchmarkDecodeEncode(b *testing.B) {
	datagram, dst := requestDatagram(b), make([]byte, 0, 2048)
	var m Message
	b.ReportAllocs()
	for b.Loop() {
		_ = Decode(datagram, &m)
		dst, _ = Encode(dst[:0], &Outgoing{Template: datagram, ID: 1, Token: m.Token, DropEcho: true, DeadlineMS: 300})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}
