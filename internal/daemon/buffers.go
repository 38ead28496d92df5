package daemon

import (
	"sync"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// maxDatagram is the largest datagram that is accepted, in bytes. RFC 7252
// section 4.6 asks senders to stay within 1,152 bytes; a Block-wise block is at
// most 1,024. A socket that is in use holds one buffer of this size.
const maxDatagram = 2048

// packet is one datagram on its way between a socket and the core.
type packet struct {
	service ids.Service  // service on which it arrived; empty from a backend server
	peer    ids.Endpoint // source or destination
	data    []byte
	message message.Message // decoded view of data, on the way in
}

var packets = sync.Pool{New: func() any { return &packet{data: make([]byte, 0, maxDatagram+1)} }}

func newPacket() *packet { return packets.Get().(*packet) }

// release returns p to the pool. Nothing may refer to its data any more.
func (p *packet) release() {
	if cap(p.data) != maxDatagram+1 {
		return // does not keep the memory of a rare large response
	}
	*p = packet{data: p.data[:0]}
	packets.Put(p)
}
