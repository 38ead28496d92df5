package member

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// expiryInterval is the time between two calls of expire while members are
	// suspected; cleanupInterval applies otherwise.
	expiryInterval  = 100 * time.Millisecond
	cleanupInterval = 10 * time.Second
	// probeInterval is the time between two heartbeats to seeds or to members
	// declared gone, which may be reachable again; aloneProbeInterval applies
	// while no other member is known to be alive.
	probeInterval      = 2 * time.Second
	aloneProbeInterval = 500 * time.Millisecond
	// aloneProbeCount is the number of seeds probed at a time while no other
	// member is known to be alive.
	aloneProbeCount = 3
	// maxInboundPeers bounds the senders whose heartbeats are answered although
	// they are not neighbours.
	maxInboundPeers = 16
	// replySeq marks the reply to a heartbeat of an instance that is not a
	// neighbour. A reply is never answered, which ends the exchange.
	replySeq = 0
	probeSeq = 1
	// A suspicion that is refuted while no heartbeats arrive on the link shows
	// that only the link has failed. The next suspicion is delayed by
	// minSuspicionBackoff, doubling up to maxSuspicionBackoff, so that a failed
	// link does not reassign slots repeatedly; the other neighbours still detect
	// a crash.
	minSuspicionBackoff = 5 * time.Second
	maxSuspicionBackoff = time.Minute
)

// sendFunc sends a message to another instance.
type sendFunc = func(to ids.Instance, m *peerwire.Message)

// inboundPeer is a sender of heartbeats that is not a neighbour in the local view.
type inboundPeer struct {
	id        ids.Instance
	repliedAt ids.Time
	replyDue  bool
}

// suspicionBackoff delays the next suspicion of a neighbour.
type suspicionBackoff struct {
	until  ids.Time
	length time.Duration
}

// Tick sends the heartbeats and deltas that are due and detects failures. It
// is called every 10 ms.
func (v *View) Tick(now ids.Time, send func(to ids.Instance, m *peerwire.Message)) {
	v.advance(now)
	v.refillBudgets()
	if v.now >= v.nextExpiryAt && v.suspected > 0 || v.now >= v.nextCleanupAt {
		v.nextExpiryAt = v.now.Add(expiryInterval)
		v.nextCleanupAt = v.now.Add(cleanupInterval)
		v.expire()
	}
	if v.linksStale || v.intervals.current == 0 {
		v.updateLinks()
	}
	v.detectFailures()
	for i := range v.links {
		if l := &v.links[i]; l.id != "" {
			v.repairMismatch(l, send)
			v.sendOnLink(i, l, send)
		}
	}
	v.urgentChange, v.urgentRevision = false, false
	v.sendReplies(send)
	if v.now >= v.nextProbeAt {
		v.sendProbes(send)
	}
	v.crossTick(send)
	if !v.synced {
		v.checkSyncTimeout()
	}
}

// refillBudgets adds to both budgets the part of the traffic limit that regular
// heartbeats leave unused.
func (v *View) refillBudgets() {
	if v.budgetsRefilledAt == 0 {
		v.deltaBudget, v.updateBudget, v.budgetsRefilledAt = maxDeltaBudget, maxUpdateBudget, v.now
	}
	links := 0
	for i := range v.links {
		if v.links[i].id != "" {
			links++
		}
	}
	rate := sendRate
	if v.intervals.current > 0 {
		rate -= links * heartbeatBytes * int(time.Second/time.Millisecond) / int(v.intervals.current/time.Millisecond)
	}
	rate = max(rate, minBudgetRate)
	perByte := time.Second / time.Duration(rate)
	if add := int(v.now.Sub(v.budgetsRefilledAt) / perByte); add > 0 {
		v.deltaBudget, v.updateBudget = min(v.deltaBudget+add, maxDeltaBudget), min(v.updateBudget+add, maxUpdateBudget)
		v.budgetsRefilledAt = v.budgetsRefilledAt.Add(time.Duration(add) * perByte)
	}
}

// detectFailures suspects neighbours that have missed too many heartbeats.
func (v *View) detectFailures() {
	limit := maxMissedHeartbeats*v.intervals.expected(v.now) + heartbeatSlack
	for i := range v.links {
		l := &v.links[i]
		if l.id == "" || v.now.Sub(l.lastHeartbeatAt) < limit || v.now < l.graceUntil {
			continue
		}
		if backoff, ok := v.suspicionBackoffs[l.id]; ok && v.now < backoff.until {
			continue
		}
		if r := v.members[l.id]; r != nil {
			v.suspect(r)
		}
	}
}

// backOffSuspicion handles the refutation of a suspicion of id. It delays the
// next suspicion if heartbeats of id are still missing on the local link.
func (v *View) backOffSuspicion(id ids.Instance) {
	i := v.linkIndex(id)
	if i < 0 || v.now.Sub(v.links[i].lastHeartbeatAt) < maxMissedHeartbeats*v.intervals.expected(v.now) {
		return
	}
	if v.suspicionBackoffs == nil {
		v.suspicionBackoffs = map[ids.Instance]suspicionBackoff{}
	}
	length := min(max(2*v.suspicionBackoffs[id].length, minSuspicionBackoff), maxSuspicionBackoff)
	v.suspicionBackoffs[id] = suspicionBackoff{v.now.Add(length), length}
}

// sendOnLink sends a heartbeat on link i when one is due or the update budget
// allows an early one for waiting changes; changes that exceed that budget go into
// a MemberDelta. The link drops a heartbeat that exceeds its rate limit but queues
// a delta, so heartbeats are kept short and rare.
func (v *View) sendOnLink(i int, l *link, send sendFunc) {
	age := v.now.Sub(l.heartbeatSentAt)
	due := l.heartbeatsSent == 0 || age >= v.intervals.sending(v.now)
	if !due {
		gap := minUpdateInterval
		if v.urgentChange {
			gap = minUrgentInterval
		}
		if age < gap || v.updateBudget <= 0 || !(v.urgentRevision || len(l.queued) > 0 || v.hasDueChange(i, l)) {
			v.sendChangesDelta(i, l, send)
			return
		}
		v.updateBudget -= heartbeatBytes + frameOverheadBytes
	}
	l.heartbeatSentAt = v.now
	l.heartbeatsSent++
	var list []peerwire.Member
	if v.updateBudget > 0 {
		list = v.takeUpdates(i, l, maxHeartbeatRecords)
		for k := range list {
			v.updateBudget -= recordSize(&list[k])
		}
	}
	v.sendHeartbeat(l.id, l.heartbeatsSent, list, send)
}

// sendChangesDelta sends the waiting changes on link i as a MemberDelta when the
// update budget for heartbeats is used up.
func (v *View) sendChangesDelta(i int, l *link, send sendFunc) {
	if v.updateBudget > 0 || v.deltaBudget < repairReserve || v.now.Sub(l.deltaSentAt) < minDeltaInterval || !v.hasDueChange(i, l) {
		return
	}
	l.deltaSentAt = v.now
	v.sendDelta(l.id, v.takeUpdates(i, l, maxDeltaRecords), false, send)
}

// hasDueChange reports whether a change is due to be sent on link i. It advances
// sentChangeSeq over changes that need not be sent any more.
func (v *View) hasDueChange(i int, l *link) bool {
	if l.sentChangeSeq >= v.lastChangeSeq {
		return false
	}
	waiting := false // an earlier change is not yet due
	for _, e := range v.recentChanges {
		if e.seq <= l.sentChangeSeq {
			continue
		}
		r := v.members[e.id]
		unsent := r != nil && r.changeSeq == e.seq && !r.fullViewOnly && r.knownToLinks&(1<<i) == 0
		if unsent && v.now.Sub(r.changedAt) >= v.forwardDelay(i, e.seq) {
			return true
		}
		waiting = waiting || unsent
		if !waiting {
			l.sentChangeSeq = e.seq
		}
	}
	return false
}

// forwardDelay returns the delay after which the change seq is forwarded on link
// i. The links on which it is forwarded at once differ from change to change.
func (v *View) forwardDelay(i int, seq uint64) time.Duration {
	switch {
	case v.aliveOthers < maxFullMesh:
		return meshForwardDelay // the origin has a link to every instance
	case (uint64(i)+seq)%maxLinks < immediateLinks:
		return 0
	}
	return ringForwardDelay
}

// takeUpdates returns at most limit queued records and due changes for the next
// message on link i and marks them as sent.
func (v *View) takeUpdates(i int, l *link, limit int) []peerwire.Member {
	n := min(len(l.queued), limit)
	list := slices.Clone(l.queued[:n])
	l.queued = slices.Delete(l.queued, 0, n)
	for _, e := range v.recentChanges {
		if len(list) >= limit {
			break
		}
		r := v.members[e.id]
		if e.seq <= l.sentChangeSeq || r == nil || r.changeSeq != e.seq || r.fullViewOnly || r.knownToLinks&(1<<i) != 0 ||
			v.now.Sub(r.changedAt) < v.forwardDelay(i, e.seq) {
			continue
		}
		v.markKnown(i, r)
		list = append(list, r.Member)
	}
	return list
}

// sendHeartbeat sends a heartbeat with the given sequence number and records.
func (v *View) sendHeartbeat(to ids.Instance, seq uint64, updates []peerwire.Member, send sendFunc) {
	send(to, &peerwire.Message{From: v.id, Incarnation: v.self.Incarnation, Heartbeat: &peerwire.Heartbeat{
		Seq: seq, Clock: v.now, Digest: v.digest32(), Revision: v.revision, Updates: updates}})
}

// recordInbound records a heartbeat from an instance that is not a neighbour in
// the local view. A reply is due, since this instance may be a neighbour in the
// view of the sender.
func (v *View) recordInbound(id ids.Instance) {
	i := slices.IndexFunc(v.inboundPeers, func(p inboundPeer) bool { return p.id == id })
	if i < 0 {
		if len(v.inboundPeers) >= maxInboundPeers {
			v.inboundPeers = slices.Delete(v.inboundPeers, 0, 1)
		}
		v.inboundPeers = append(v.inboundPeers, inboundPeer{id: id})
		i = len(v.inboundPeers) - 1
	}
	p := &v.inboundPeers[i]
	p.replyDue = p.repliedAt == 0 || v.now.Sub(p.repliedAt) >= minHeartbeatInterval/2
}

// sendReplies sends replies to inbound peers, responses to requests for records,
// and the pending request for a complete view.
func (v *View) sendReplies(send sendFunc) {
	for i := range v.inboundPeers {
		p := &v.inboundPeers[i]
		if !p.replyDue || v.linkIndex(p.id) >= 0 {
			continue
		}
		p.replyDue, p.repliedAt = false, v.now
		v.updateBudget -= heartbeatBytes + frameOverheadBytes
		v.sendProbe(p.id, replySeq, send)
	}
	if v.fullRequestTo != "" {
		v.sendDelta(v.fullRequestTo, []peerwire.Member{v.self.Member}, true, send)
		v.fullRequestTo = ""
	}
	if v.latestChangesTo != "" {
		v.sendDelta(v.latestChangesTo, v.latestChanges(), false, send)
		v.latestChangesTo = ""
	}
	remaining := v.transfers[:0]
	for _, s := range v.transfers {
		if v.sendPart(&s, send) {
			remaining = append(remaining, s)
		}
	}
	v.transfers = remaining
}

// sendProbe sends a heartbeat to an instance that is not a neighbour. It carries
// the record of this instance and, when the receiver is suspected or declared
// gone, the record that the receiver has to refute.
func (v *View) sendProbe(to ids.Instance, seq uint64, send sendFunc) {
	list := []peerwire.Member{v.self.Member}
	if r := v.members[to]; r != nil && r.Suspected {
		list = append(list, r.Member)
	}
	v.sendHeartbeat(to, seq, list, send)
}

// sendProbes sends heartbeats to randomly selected seeds and members declared
// gone.
func (v *View) sendProbes(send sendFunc) {
	var list []ids.Instance
	for id, r := range v.members {
		if r.declaredGone() {
			list = append(list, id)
		}
	}
	for _, seeds := range [][]Seed{v.platformSeeds, v.configuredSeeds} {
		for _, s := range seeds {
			r := v.members[s.ID]
			if s.DataCentre == v.self.DataCentre && s.ID != v.id && (r == nil || r.gone() && !r.Suspected) {
				list = append(list, s.ID)
			}
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	count, gap := 1, probeInterval
	if v.aliveOthers == 0 {
		count, gap = aloneProbeCount, aloneProbeInterval
	}
	v.nextProbeAt = v.now.Add(gap)
	for range min(count, len(list)) {
		i := v.rng.IntN(len(list))
		id := list[i]
		list = slices.Delete(list, i, i+1)
		v.sendProbe(id, probeSeq, send)
	}
}
