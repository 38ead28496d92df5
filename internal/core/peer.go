package core

import (
	"encoding/binary"
	"net/netip"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Peer handles a message from another instance.
func (c *Core) HandlePeer(now ids.Time, e *PeerEvent, out *Effects) {
	c.begin(now, out)
	m := e.Message
	if c.exited || m.From == c.self.ID || m.From == "" {
		return
	}
	if run := c.runs[m.From]; m.Incarnation > run {
		c.runs[m.From] = m.Incarnation
	}
	if m.Load != nil {
		c.heard(m.From, m.Load)
	}
	switch {
	case m.Heartbeat != nil:
		c.view.HandleHeartbeat(c.now, m.From, m.Heartbeat)
		c.sync.ObserveRevision(c.now, m.From, m.Heartbeat.Revision)
	case m.MemberDelta != nil:
		c.view.HandleDelta(c.now, m.From, m.MemberDelta)
	case m.ConfigRequest != nil:
		c.configRequest(m.From, m.ConfigRequest)
	case m.ConfigDelta != nil:
		c.configDelta(m.From, m.ConfigDelta)
	case m.Relay != nil:
		c.relayed(m, e)
	case m.SlotFree != nil:
		c.slotFree(m.From, m.SlotFree)
	case m.AckRoute != nil:
		c.ackRouted(m.From, m.AckRoute)
	case m.FeedMove != nil:
		c.feedMove(m.From, m.FeedMove)
	case m.FeedMoved != nil:
		c.feedMovedAway(m.From, m.FeedMoved)
	case m.AdmissionMove != nil:
		c.admissionMove(m.From, m.AdmissionMove)
	case m.AdmissionMoved != nil:
		c.admissionMoved(m.From, m.AdmissionMoved)
	}
}

// relayed handles a datagram that another instance has relayed.
func (c *Core) relayed(m *peerwire.Message, e *PeerEvent) {
	r := m.Relay
	s := c.services[r.Service]
	caller, err := netip.ParseAddrPort(r.Caller)
	if s == nil || err != nil || e.RelayedDatagram == nil {
		c.counts.Malformed++
		return
	}
	trace := c.trace
	if len(r.Trace) == 8 {
		trace = binary.BigEndian.Uint64(r.Trace)
	}
	c.refresh(s)
	if p := s.peer(m.From); p != nil {
		p.relayed = c.now
		c.wake(s)
	}
	c.receive(s, caller, e.RelayedDatagram, trace, r)
}

// ackRouted records where ACKs or follow-up blocks of a caller are relayed to.
func (c *Core) ackRouted(from ids.Instance, m *peerwire.AckRoute) {
	caller, err := netip.ParseAddrPort(m.Caller)
	if err != nil || c.services[m.Service] == nil {
		c.counts.Malformed++
		return
	}
	k := ids.FlowKey{Caller: caller, Service: c.services[m.Service].name}
	if m.Path != 0 {
		c.blocks.Set(c.now, flow.BlockKey{FlowKey: k, Path: m.Path}, flow.BlockRoute{Instance: from})
		return
	}
	c.ackRoutes.Set(c.now, flow.AckKey{FlowKey: k, ID: m.ID}, from)
}
