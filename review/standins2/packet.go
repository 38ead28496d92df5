//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of a packet as on the protocol page.
const (
	headerBytes = 31
	maxData     = 1200
	flagSYN     = 4
	flagRST     = 8
	flagFIN     = 32
	flagACK     = 64
)

type packet struct {
	flags    byte
	src, dst netip.AddrPort
	echo     uint32
	seq, ack uint32
	data     []byte
	signed   bool // received with a valid sum, which only clients and targets can compute
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
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
	binary.BigEndian.PutUint32(b[27:], sum(b))
	return b
}

// sum covers all fields except echo and the sum itself.
func sum(b []byte) uint32 {
	c := crc32.ChecksumIEEE(b[:15])
	c = crc32.Update(c, crc32.IEEETable, b[19:27])
	return crc32.Update(c, crc32.IEEETable, b[headerBytes:]) ^ 0x3c3c3c3c
}

// decode decodes a packet; ok is false if its length is wrong.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false
	}
	p.flags = b[2]
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[7:11])), binary.BigEndian.Uint16(b[3:]))
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[11:15])), binary.BigEndian.Uint16(b[5:]))
	p.echo = binary.BigEndian.Uint32(b[15:])
	p.seq = binary.BigEndian.Uint32(b[19:])
	p.ack = binary.BigEndian.Uint32(b[23:])
	p.data = append([]byte(nil), b[headerBytes:]...)
	p.signed = binary.BigEndian.Uint32(b[27:]) == sum(b)
	return p, true
}
