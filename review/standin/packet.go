//go:build review

// Command standin plays the cases of the review: it starts the daemon of the deploy file
// as separate processes on loopback addresses, beside stand-ins of the platform's store,
// routers, clients and targets that follow PROTOCOL.md.
package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

const (
	headBytes = 31
	flagSYN   = 4
	flagRST   = 8
	flagFIN   = 32
	flagACK   = 64
)

type packet struct {
	flags    byte
	src, dst netip.AddrPort
	echo     uint32
	seq, ack uint32
	sum      uint32
	data     []byte
}

// keyedSum covers all fields except echo and sum. The daemon does not know the key.
func keyedSum(b []byte) uint32 {
	c := crc32.Update(0x1badcafe, crc32.IEEETable, b[:15])
	c = crc32.Update(c, crc32.IEEETable, b[19:27])
	c = crc32.Update(c, crc32.IEEETable, b[headBytes:])
	if c == 0 {
		return 1
	}
	return c
}

func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	b[2] = p.flags
	binary.BigEndian.PutUint16(b[3:], p.src.Port())
	binary.BigEndian.PutUint16(b[5:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[7:], src[:])
	copy(b[11:], dst[:])
	binary.BigEndian.PutUint32(b[15:], p.echo)
	binary.BigEndian.PutUint32(b[19:], p.seq)
	binary.BigEndian.PutUint32(b[23:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[27:], keyedSum(b))
	return b
}

// decode decodes a packet. valid reports whether its length and sum are right; a reset of
// the system itself has the sum 0.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.BigEndian.Uint16(b)) {
		return p, false
	}
	p.flags = b[2]
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[7:11])), binary.BigEndian.Uint16(b[3:]))
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[11:15])), binary.BigEndian.Uint16(b[5:]))
	p.echo = binary.BigEndian.Uint32(b[15:])
	p.seq = binary.BigEndian.Uint32(b[19:])
	p.ack = binary.BigEndian.Uint32(b[23:])
	p.sum = binary.BigEndian.Uint32(b[27:])
	p.data = append([]byte(nil), b[headBytes:]...)
	return p, p.sum == keyedSum(b)
}
