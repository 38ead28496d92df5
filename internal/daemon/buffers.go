package daemon

import (
	"sync"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

const (
	// maxDatagram is the largest UDP payload, in bytes.
	maxDatagram = message.MaxDatagram
	// pooledBytes is the size of pooled buffers. A Block-wise block of 1 KiB
	// with its options fits; larger datagrams are allocated one by one.
	pooledBytes = 2048
)

// packet is one datagram on its way between a socket and the core.
type packet struct {
	service ids.Service  // service on which it arrived; empty from a backend server
	peer    ids.Endpoint // source or destination
	data    []byte
	message message.Message // decoded view of data, on the way in
}

var packets = sync.Pool{New: func() any { return &packet{data: make([]byte, 0, pooledBytes)} }}

func newPacket() *packet { return packets.Get().(*packet) }

// release returns p to the pool. Nothing may refer to its data any more.
func (p *packet) release() {
	if cap(p.data) > pooledBytes {
		return // does not keep the memory of a rare large datagram
	}
	*p = packet{data: p.data[:0]}
	packets.Put(p)
}
