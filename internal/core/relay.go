package core

import (
	"encoding/binary"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// relay sends a datagram to another instance, which responds to the caller
// directly.
func (c *Core) relay(d *callerDatagram, to ids.Instance) {
	c.sendRelay(&d.callerExchange, d.msg.Raw, d.age, d.hops, d.traceID, to)
}

func (c *Core) sendRelay(x *callerExchange, datagram []byte, age time.Duration, hops uint8, traceID uint64, to ids.Instance) {
	s := x.svc
	b := c.newPeerMessage(s)
	binary.BigEndian.PutUint64(b.traceBytes[:], traceID)
	b.relay = peerwire.Relay{
		Service: s.name, Caller: b.formatEndpoint(x.caller), Datagram: datagram, Hops: hops + 1, Trace: b.traceBytes[:],
		AgeMS: uint32(age / time.Millisecond), Acked: x.acked,
	}
	b.message.Relay = &b.relay
	if p := s.peer(to); p != nil && p.freeSlots > 0 {
		p.freeSlots-- // until the next report, so that one free slot is not used twice
	}
	c.sendPeerMessage(to, b)
	c.counters.Relayed++
	c.emitSpan(Relayed, s, traceID, c.now)
}

// offerFreeSlots offers the free slots that no request is queued for here to
// the co-owner with the longest reported backlog.
func (c *Core) offerFreeSlots(s *service) {
	if !c.accepting() || s.queues[spread.Short].Len() > 0 {
		return
	}
	free := s.pool.Free(spread.Short)
	if free <= 0 {
		return
	}
	var best *peer
	for i := range s.peers {
		p := &s.peers[i]
		if p.backlog > 0 && c.now.Sub(p.reportedAt) <= loadReportTTL && (best == nil || p.backlog > best.backlog) {
			best = p
		}
	}
	if best == nil {
		return
	}
	count := min(free, best.backlog)
	best.backlog -= count
	b := c.newPeerMessage(s)
	b.slotFree = peerwire.SlotFree{Service: s.name, Count: uint16(count)}
	b.message.SlotFree = &b.slotFree
	c.sendPeerMessage(best.id, b)
}

// handleSlotFree relays queued requests to an instance that has free slots.
// Admitted requests stay: only the incarnation that their token names may run
// them.
func (c *Core) handleSlotFree(from ids.Instance, m *peerwire.SlotFree) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	remaining := int(m.Count)
	s.queues[spread.Short].RemoveIf(func(r *request) bool {
		if remaining == 0 || !c.relayable(r) {
			return false
		}
		remaining--
		return true
	}, func(r *request) { c.forwardQueued(r, from) })
}

// relayable reports whether a queued request may be relayed. An admitted
// request may run only at this instance. A request that was sent to a backend
// server stays, since another instance would not have a record of the attempts
// and would count them from zero.
func (c *Core) relayable(r *request) bool {
	return !r.isAdmitted && r.attempts == 0 && r.hops < maxHops && c.now < r.deadline
}

// forwardQueued relays a request that was taken out of its queue.
func (c *Core) forwardQueued(r *request, to ids.Instance) {
	r.svc.partners[r.partner].queued[r.class]--
	c.sendRelay(&r.callerExchange, r.datagram, c.now.Sub(r.arrived), r.hops, r.traceID, to)
	c.remove(r)
}

// reportLoads reports the load of this instance to instances that would
// otherwise use an old report: those that relay to it while it has no free slot
// and, while requests are queued here, some that may have free slots.
func (c *Core) reportLoads(s *service) {
	if c.now.Sub(s.lastLoadReport) < loadReportInterval || len(s.peers) == 0 || s.ownedSlots() == 0 {
		return
	}
	free, backlog := s.pool.Free(spread.Short), s.backlog()
	if free > 0 && backlog == 0 {
		return
	}
	sent, start := 0, c.rng.IntN(len(s.peers))
	for i := range min(len(s.peers), maxScannedPeers) {
		p := &s.peers[(start+i)%len(s.peers)]
		relaysHere := c.now.Sub(p.lastRelay) < 2*loadReportInterval && p.lastRelay != 0
		hasBacklog := p.backlog > 0 && c.now.Sub(p.reportedAt) <= loadReportTTL
		if sent == maxLoadReports || !relaysHere && (backlog == 0 || hasBacklog) {
			continue
		}
		c.reportLoad(s, p.id)
		sent++
	}
	if sent > 0 {
		s.lastLoadReport = c.now
	}
}
