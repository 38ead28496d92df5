package member

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// maxHeartbeatRecords bounds the records in a heartbeat, maxDeltaRecords those
	// in a delta of changes.
	maxHeartbeatRecords = 4
	maxDeltaRecords     = 20
	// minDeltaInterval is the minimum time between two deltas of changes on a link.
	minDeltaInterval = 500 * time.Millisecond
	// maxPartBytes bounds one part of a view, so that a part fits in a packet.
	maxPartBytes = 1200
	// partInterval is the time between two parts sent to the same peer.
	partInterval = 100 * time.Millisecond
	// repairRecords is the number of most recently changed records exchanged in
	// the first repair of a digest mismatch.
	repairRecords = 12
	// repairDelay is the time for which digests may differ while a change spreads,
	// before a repair starts.
	repairDelay = 1500 * time.Millisecond
	// minFullRequestInterval is the time between two requests for a complete view.
	// It doubles up to maxFullRequestInterval while the digests differ, so that a
	// cold start of many instances does not use up the budget for repeated views.
	minFullRequestInterval = 4 * time.Second
	maxFullRequestInterval = 16 * time.Second
	// resendDelay is the time for which a record sent to a peer is not sent again
	// when the peer requests a complete view.
	resendDelay = 64 * time.Second
	// minResponseTimeout is the time after which a request without a response may
	// be repeated, also to another peer. It doubles up to maxResponseTimeout, since
	// responses may be waiting for the byte budget of the peer's link.
	minResponseTimeout = time.Second
	maxResponseTimeout = 16 * time.Second
	// minUpdateInterval is the minimum time between two heartbeats on a link that
	// are sent early to carry changes; minUrgentInterval applies to local changes.
	minUpdateInterval = 100 * time.Millisecond
	minUrgentInterval = 20 * time.Millisecond
	// A received change is forwarded after meshForwardDelay in a full mesh. With
	// more than maxFullMesh instances it is forwarded at once on immediateLinks of
	// the links and on the others after ringForwardDelay, when most peers have
	// received it from another instance and their digests agree.
	meshForwardDelay = 600 * time.Millisecond
	ringForwardDelay = time.Second
	immediateLinks   = 3
	// maxRecentChanges bounds the log of changes; a peer that has missed older
	// changes is repaired after a digest mismatch.
	maxRecentChanges = 256
	// maxTransfers bounds the number of complete views being sent at a time.
	maxTransfers = 4
	// maxQueuedRecords bounds the records queued for one peer besides the log.
	maxQueuedRecords = 8

	// maxUpdateBudget is the burst size of changes in heartbeats. It is below the
	// burst of heartbeats that a link allows, 2 s at 2 KB/s.
	maxUpdateBudget = 2 << 10

	// sendRate is the part of the limit of 2 KB/s for control traffic in both
	// directions that is used for sending, in bytes a second. maxDeltaBudget allows a
	// complete view of 500 members to be sent to a joining instance at once.
	// heartbeatBytes and recordBytes are sizes in CBOR.
	// minBudgetRate is the minimum rate, in bytes a second, at which the budgets
	// are refilled.
	sendRate      = 1000
	minBudgetRate = 100
	// repairReserve is the part of deltaBudget that complete views and deltas of
	// changes leave to repairs, since complete views would otherwise delay the
	// changes that make the views agree.
	repairReserve  = 4 << 10
	maxDeltaBudget = 256 << 10
	heartbeatBytes = 50
	// frameOverheadBytes is the overhead of TLS and WebSocket for each message
	// (internal/link).
	frameOverheadBytes = 30
	recordBytes        = 24 // without the lengths of the strings
)

// gossip is the part of a View that exchanges records with other instances.
type gossip struct {
	links               [maxLinks]link
	linksStale          bool
	aliveOthers         int // number of other members that are not gone
	intervals           heartbeatIntervals
	lastChangeSeq       uint64 // sequence number of the last change
	recentChanges       []change
	lastChangeAt        ids.Time
	urgentChange        bool // a local change has not been sent
	urgentRevision      bool
	deltaBudget         int // bytes that may be sent in deltas
	updateBudget        int // bytes that may be sent in early heartbeats and in the records of heartbeats
	budgetsRefilledAt   ids.Time
	nextFullRequestAt   ids.Time // earliest time of the next request for a complete view
	fullRequestInterval time.Duration
	responseTimeout     time.Duration
	partReceivedAt      ids.Time // time of the last part of a view received before synced was set
	requestPending      bool     // the last request for a complete view has had no response
	transfers           []viewTransfer
	inboundPeers        []inboundPeer
	suspicionBackoffs   map[ids.Instance]suspicionBackoff
	clockOffsets        map[ids.Instance]*clockOffset
	nextProbeAt         ids.Time
	nextExpiryAt        ids.Time
	nextCleanupAt       ids.Time
}

// change is an entry of the log of recent changes.
type change struct {
	seq uint64
	id  ids.Instance
}

// viewTransfer sends the complete view to one peer in parts.
type viewTransfer struct {
	to         ids.Instance
	lastSent   ids.Instance // id of the last member sent
	nextPartAt ids.Time
}

// recordSize returns the approximate encoded size of a record.
func recordSize(m *peerwire.Member) int {
	return recordBytes + len(m.ID) + len(m.DataCentre) + len(m.PeerAddr)
}

// logChange adds a change to the log from which later messages are filled.
func (v *View) logChange(r *record) {
	v.lastChangeSeq++
	r.changeSeq, r.knownToLinks, r.fullViewOnly, r.changedAt = v.lastChangeSeq, 0, false, v.now
	if len(v.recentChanges) >= maxRecentChanges {
		v.recentChanges = slices.Delete(v.recentChanges, 0, maxRecentChanges/2)
	}
	v.recentChanges = append(v.recentChanges, change{v.lastChangeSeq, r.ID})
}

// queueRecord adds a record to the next message on the link to id. It does nothing
// if there is no such link.
func (v *View) queueRecord(id ids.Instance, m peerwire.Member) {
	i := v.linkIndex(id)
	if i < 0 {
		return
	}
	l := &v.links[i]
	// A later record replaces a queued one of the same instance.
	l.queued = slices.DeleteFunc(l.queued, func(o peerwire.Member) bool { return o.ID == m.ID })
	if len(l.queued) < maxQueuedRecords {
		l.queued = append(l.queued, m)
	}
}

// HandleHeartbeat handles a heartbeat from another instance.
func (v *View) HandleHeartbeat(now ids.Time, from ids.Instance, h *peerwire.Heartbeat) {
	v.advance(now)
	if from == v.id || from == "" {
		return
	}
	i := v.linkIndex(from)
	for k := range h.Updates {
		v.merge(&h.Updates[k], i)
	}
	v.observeClock(from, h.Clock)
	if v.handleCrossHeartbeat(from, h) {
		return
	}
	v.peerHeartbeatReceived = true
	if r := v.members[from]; r != nil && r.Suspected {
		// The instance is alive: send it the suspicion so that it can refute it.
		v.queueRecord(from, r.Member)
	}
	if i < 0 {
		if h.Seq != replySeq {
			v.recordInbound(from)
		}
		if !v.synced && h.Digest != v.digest32() {
			v.requestFullView(from)
		}
		return
	}
	l := &v.links[i]
	l.lastHeartbeatAt, l.heartbeatReceived = now, true
	delete(v.suspicionBackoffs, from)
	v.compareDigest(l, h.Digest)
}

// digest32 returns the digest sent in heartbeats, folded to 32 bits to keep them
// short.
func (v *View) digest32() uint64 { return v.digest>>32 ^ v.digest&0xffffffff }

// compareDigest compares the digest of the peer of l with the local one. A
// mismatch starts the delay before a repair.
func (v *View) compareDigest(l *link, digest uint64) {
	if digest == v.digest32() {
		l.mismatchSince, l.repairs, v.synced = 0, 0, true
		l.sentChangeSeq = v.lastChangeSeq // the peer has all changes
		v.fullRequestInterval = 0
		return
	}
	if !v.synced {
		v.requestFullView(l.id)
	}
	if l.mismatchSince == 0 {
		l.mismatchSince = v.now
		l.nextRepairAt = v.now.Add(repairDelay)
	}
}

// repairMismatch exchanges records with a peer whose view has differed for longer
// than a change takes to spread: first the latest changes, then complete views.
func (v *View) repairMismatch(l *link, send sendFunc) {
	if l.mismatchSince == 0 || v.now < l.nextRepairAt || v.deltaBudget <= 0 {
		return
	}
	if v.now.Sub(v.lastChangeAt) < repairDelay && v.now.Sub(l.mismatchSince) < 4*repairDelay {
		return
	}
	l.nextRepairAt = v.now.Add(2 * repairDelay)
	l.repairs++
	if l.repairs > 1 {
		v.requestFullView(l.id)
		return
	}
	if v.id < l.id {
		v.sendDelta(l.id, v.latestChanges(), true, send)
	}
}

// latestChanges returns the most recently changed records.
func (v *View) latestChanges() []peerwire.Member {
	var list []*record
	for _, r := range v.members {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(b.changeSeq, a.changeSeq) })
	var out []peerwire.Member
	for _, r := range list[:min(len(list), repairRecords)] {
		out = append(out, r.Member)
	}
	return out
}

// requestFullView requests the complete view of id; the next Tick sends the
// request. To bound the control traffic only one request is open at a time.
func (v *View) requestFullView(id ids.Instance) {
	if v.now < v.nextFullRequestAt {
		return
	}
	if v.requestPending {
		v.responseTimeout = min(2*v.responseTimeout, maxResponseTimeout)
	} else {
		v.fullRequestInterval = min(max(2*v.fullRequestInterval, minFullRequestInterval), maxFullRequestInterval)
		v.responseTimeout = minResponseTimeout
	}
	v.requestPending = true
	v.nextFullRequestAt = v.now.Add(v.responseTimeout)
	v.fullRequestTo = id
}

// HandleDelta merges the records in d. If Reply is set, d is also a request: a
// delta with at most one record, that of the sender, requests the complete view; a
// delta with more records requests the latest changes.
func (v *View) HandleDelta(now ids.Time, from ids.Instance, d *peerwire.MemberDelta) {
	v.advance(now)
	if from == v.id || from == "" {
		return
	}
	i := v.linkIndex(from)
	joinsRunningDataCentre := !v.synced && mostlyServing(d.Members)
	for k := range d.Members {
		v.merge(&d.Members[k], i)
		if r := v.members[d.Members[k].ID]; joinsRunningDataCentre && r != nil && r != v.self {
			r.fullViewOnly = true
		}
	}
	if !d.Reply {
		v.requestPending = false
		if !v.synced {
			v.partReceivedAt = now
		}
		v.nextFullRequestAt = max(v.nextFullRequestAt, now.Add(v.fullRequestInterval))
		return
	}
	if len(d.Members) > 1 {
		v.latestChangesTo = from
		return
	}
	transferring := slices.ContainsFunc(v.transfers, func(s viewTransfer) bool { return s.to == from })
	if !transferring && len(v.transfers) < maxTransfers {
		v.expireKnown(i)
		v.transfers = append(v.transfers, viewTransfer{to: from, nextPartAt: now})
	}
}

// mostlyServing reports whether members are part of the view of a running data
// centre, as opposed to a cold start. The records that an instance receives when
// it joins a running data centre are known to the other instances; forwarding
// them would occupy its links for minutes.
func mostlyServing(members []peerwire.Member) bool {
	n := 0
	for i := range members {
		if members[i].Lifecycle == peerwire.Serving {
			n++
		}
	}
	return len(members) > maxLinks && n >= len(members)*3/4
}

// sendPart sends the next part of a transfer when it is due and reports whether
// the transfer is incomplete.
func (v *View) sendPart(s *viewTransfer, send sendFunc) bool {
	if v.now < s.nextPartAt || v.deltaBudget < repairReserve {
		return true
	}
	var list []ids.Instance
	index := v.linkIndex(s.to)
	for id, r := range v.members {
		if id > s.lastSent && (index < 0 || r.knownToLinks&(1<<index) == 0) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	var out []peerwire.Member
	size := 0
	for _, id := range list {
		m := v.members[id].Member
		if size += recordSize(&m); size > maxPartBytes && len(out) > 0 {
			break
		}
		out = append(out, m)
		s.lastSent = id
		v.markKnown(index, v.members[id])
	}
	s.nextPartAt = v.now.Add(partInterval)
	v.sendDelta(s.to, out, false, send)
	return len(out) < len(list)
}

// sendDelta sends records to another instance and charges them to deltaBudget.
func (v *View) sendDelta(to ids.Instance, members []peerwire.Member, reply bool, send sendFunc) {
	v.deltaBudget -= heartbeatBytes
	for i := range members {
		v.deltaBudget -= recordSize(&members[i])
	}
	send(to, &peerwire.Message{From: v.id, Incarnation: v.self.Incarnation,
		MemberDelta: &peerwire.MemberDelta{Members: members, Reply: reply}})
}

// markKnown records that the peer of a link has, or is being sent, r. A negative
// index stands for no link.
func (v *View) markKnown(index int, r *record) {
	if index >= 0 {
		r.knownToLinks |= 1 << index
	}
}

// expireKnown marks every record as unknown to the peer of a link if resendDelay
// has passed since this was last done. The records are then sent again to a peer
// that requests a complete view, since earlier messages may have been lost.
func (v *View) expireKnown(index int) {
	if index < 0 || v.now.Sub(v.links[index].knownSince) < resendDelay {
		return
	}
	v.links[index].knownSince = v.now
	v.clearKnown(index)
}

// clearKnown marks every record as unknown to the peer of a link.
func (v *View) clearKnown(index int) {
	if index < 0 {
		return
	}
	for _, r := range v.members {
		r.knownToLinks &^= 1 << index
	}
}
