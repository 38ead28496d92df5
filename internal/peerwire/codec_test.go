package peerwire

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func sampleMessages() []Message {
	return []Message{
		{From: "a", Incarnation: 7, Heartbeat: &Heartbeat{Seq: 1, Clock: 2, Digest: 3, Revision: 4,
			Updates: []Member{{ID: "b", Incarnation: 1, Lifecycle: Serving, PeerAddr: "127.0.0.1:1"}}}},
		{From: "a", Load: &Load{Service: "counter", Free: 1, Backlog: 2, Slots: 3, Long: 1, LongKey: 1 << 63, LongDurationMS: 500},
			Relay: &Relay{Service: "counter", Caller: "127.0.0.1:9", Datagram: []byte{1, 2}, Hops: 1}},
		{From: "a", ConfigDelta: &ConfigDelta{Upto: 3, Documents: []Document{{Key: "service/x", Revision: 3, Value: []byte("a")}}}},
		{From: "a", AdmissionMove: &AdmissionMove{Last: true, Entries: []Admission{{Nonce: []byte("n")}}}},
	}
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := Encode([]byte("x"), &m)
		assert.NilError(t, err)
		var got Message
		assert.NilError(t, Decode(data[1:], &got))
		assert.DeepEqual(t, got, m)
	}
}

// Guards against a deleted document, whose value is nil, that is decoded as an
// empty document.
func TestDeletedDocumentStaysNil(t *testing.T) {
	data, err := Encode(nil, &Message{From: "a", ConfigDelta: &ConfigDelta{Documents: []Document{{Key: "k"}}}})
	assert.NilError(t, err)
	var got Message
	assert.NilError(t, Decode(data, &got))
	assert.Assert(t, got.ConfigDelta.Documents[0].Value == nil)
}

// Guards against accepting malformed or malicious input.
func TestDecodeRejects(t *testing.T) {
	twoBodies, err := encMode.Marshal(Message{From: "a", SlotFree: &SlotFree{}, AckRoute: &AckRoute{}})
	assert.NilError(t, err)
	noBody, err := encMode.Marshal(Message{From: "a"})
	assert.NilError(t, err)
	noSender, err := encMode.Marshal(Message{SlotFree: &SlotFree{}})
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"empty":             nil,
		"two bodies":        twoBodies,
		"no body":           noBody,
		"no sender":         noSender,
		"trailing bytes":    append(append([]byte{}, noBody...), 0),
		"deep nesting":      append(bytes.Repeat([]byte{0x81}, 40), 0),
		"indefinite length": {0xbf, 0xff},
		"huge array":        {0xa1, 0x0b, 0xa1, 0x01, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0},
		"too large":         make([]byte, MaxMessage+1),
	} {
		var m Message
		assert.Assert(t, Decode(data, &m) != nil, name)
	}
}

// Checks that no input causes a panic, and that every message that can be
// decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := Encode(nil, &m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if Decode(data, &m) != nil {
			return
		}
		_, err := Encode(nil, &m)
		assert.NilError(t, err)
	})
}

func BenchmarkRelay(b *testing.B) {
	m := &Message{From: "a", Relay: &Relay{Service: "counter", Caller: "127.0.0.1:9", Datagram: make([]byte, 128), Hops: 1}}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = Encode(buf[:0], m)
		var got Message
		_ = Decode(buf, &got)
	}
}
