package daemon

import (
	"sync"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// maxDatagram is the largest datagram that is accepted, in bytes. RFC 7252
// section 4.6 recommends messages of at most 1,152 bytes; the payload of one
// block of a Block-wise transfer is at most 1,024 bytes. Each active socket
// holds one buffer of this size.
const maxDatagram = 2048

// packet is one datagram that is passed between a socket and the core.
type packet struct {
	service ids.Service  // service whose socket received it; empty if it came from a backend server
	peer    ids.Endpoint // source or destination
	data    []byte
	message message.Message // decoded form of data; set on received packets only
}

var packetPool = sync.Pool{New: func() any { return &packet{data: make([]byte, 0, maxDatagram+1)} }}

func newPacket() *packet { return packetPool.Get().(*packet) }

// release returns p to the pool. The caller must not use p or its data
// afterwards.
func (p *packet) release() {
	if cap(p.data) != maxDatagram+1 {
		return // do not keep the memory of a rare large response in the pool
	}
	*p = packet{data: p.data[:0]}
	packetPool.Put(p)
}
