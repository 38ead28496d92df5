package passthrough

import (
	"encoding/binary"
	"net/netip"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Endpoint is an IPv4 address and port. It is smaller than netip.AddrPort
// because every entry of the flow table holds two.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// AddrPort returns e as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// EndpointOf converts a netip.AddrPort. ok is false if it is not an IPv4 address.
func EndpointOf(a netip.AddrPort) (e Endpoint, ok bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: a.Port()}, true
}

func (e Endpoint) String() string { return e.AddrPort().String() }

// FlowKey identifies a flow by its two endpoints.
type FlowKey struct {
	Caller  Endpoint
	Service Endpoint // address and port to which the caller opened the flow
}

// Hash returns a hash of k that is the same at all instances.
func (k FlowKey) Hash() uint64 {
	caller := uint64(binary.BigEndian.Uint32(k.Caller.IP[:]))<<16 | uint64(k.Caller.Port)
	service := uint64(binary.BigEndian.Uint32(k.Service.IP[:]))<<16 | uint64(k.Service.Port)
	return ids.Mix(caller, service)
}

// Flags are the TCP-like control flags of a packet.
type Flags uint8

// Flags that the forwarder evaluates.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Has reports whether all flags in want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is the header of one packet that a caller sent.
type Packet struct {
	Flow   FlowKey
	Flags  Flags
	Cookie Cookie // routing cookie that the caller echoes; zero on an opening packet
	Seq    uint32 // sequence number of the first data byte
	Ack    uint32 // sequence number of the next byte that the caller expects; on an opening packet the number of the copy
	Length int    // number of data bytes
	Raw    []byte // the packet as received, if it may be sent to a second target
}

// isOpening reports whether p opens a new flow.
func (p *Packet) isOpening() bool { return p.Flags.Has(SYN) && !p.Flags.Has(ACK) }
