package core

import (
	"encoding/binary"
	"net/netip"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// HandlePeer handles a message from another instance.
func (c *Core) HandlePeer(now ids.Time, e *PeerEvent, out *Effects) {
	c.begin(now, out)
	m := e.Message
	if c.exited || m.From == c.self.ID || m.From == "" {
		return
	}
	if incarnation := c.incarnations[m.From]; m.Incarnation > incarnation {
		c.incarnations[m.From] = m.Incarnation
	}
	if m.Load != nil {
		c.recordLoad(m.From, m.Load)
	}
	switch {
	case m.Heartbeat != nil:
		c.membership.HandleHeartbeat(c.now, m.From, m.Heartbeat)
		c.configSyncer.ObserveRevision(c.now, m.From, m.Heartbeat.Revision)
	case m.MemberDelta != nil:
		c.membership.HandleDelta(c.now, m.From, m.MemberDelta)
	case m.ConfigRequest != nil:
		c.handleConfigRequest(m.From, m.ConfigRequest)
	case m.ConfigDelta != nil:
		c.handleConfigDelta(m.From, m.ConfigDelta)
	case m.Relay != nil:
		c.handleRelayed(m, e)
	case m.SlotFree != nil:
		c.handleSlotFree(m.From, m.SlotFree)
	case m.AckRoute != nil:
		c.handleAckRoute(m.From, m.AckRoute)
	case m.FeedMove != nil:
		c.handleFeedMove(m.From, m.FeedMove)
	case m.FeedMoved != nil:
		c.handleFeedMoved(m.From, m.FeedMoved)
	case m.AdmissionMove != nil:
		c.handleAdmissionMove(m.From, m.AdmissionMove)
	case m.AdmissionMoved != nil:
		c.handleAdmissionMoved(m.From, m.AdmissionMoved)
	}
}

// handleRelayed handles a datagram that another instance has relayed.
func (c *Core) handleRelayed(m *peerwire.Message, e *PeerEvent) {
	r := m.Relay
	s := c.services[r.Service]
	caller, err := netip.ParseAddrPort(r.Caller)
	if s == nil || err != nil || e.RelayedDatagram == nil {
		c.counters.Malformed++
		return
	}
	traceID := c.lastTraceID
	if len(r.Trace) == 8 {
		traceID = binary.BigEndian.Uint64(r.Trace)
	}
	c.refreshOwnership(s)
	if p := s.peer(m.From); p != nil {
		p.lastRelay = c.now
		c.markBusy(s)
	}
	c.handleCallerDatagram(s, caller, e.RelayedDatagram, traceID, r)
}

// handleAckRoute records the instance to which ACKs or follow-up blocks of a
// caller are relayed.
func (c *Core) handleAckRoute(from ids.Instance, m *peerwire.AckRoute) {
	caller, err := netip.ParseAddrPort(m.Caller)
	if err != nil || c.services[m.Service] == nil {
		c.counters.Malformed++
		return
	}
	k := ids.FlowKey{Caller: caller, Service: c.services[m.Service].name}
	if m.PathHash != 0 {
		c.blockRoutes.Set(c.now, flow.BlockKey{FlowKey: k, Path: m.PathHash}, flow.BlockRoute{Instance: from})
		return
	}
	c.ackRoutes.Set(c.now, flow.AckKey{FlowKey: k, ID: m.ID}, from)
}
