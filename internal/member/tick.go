package member

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	expireGap = 100 * time.Millisecond
	forgetGap = 10 * time.Second
	// probeGap is the time between two heartbeats to a seed or to a member
	// declared gone, which may be reachable again; probeAlone applies while
	// no other member is known.
	probeGap   = 2 * time.Second
	probeAlone = 500 * time.Millisecond
	// probesAlone is the number of seeds tried at a time by a lone instance.
	probesAlone = 3
	maxInbound  = 16
	// answerSeq marks the answer to a heartbeat of an instance that is no
	// neighbour. It is never answered, which ends the exchange.
	answerSeq = 0
	probeSeq  = 1
	// A suspicion that was refuted while the link stayed silent shows that
	// only the link is cut. It is not repeated before minSuspicionBackoff,
	// doubling up to maxSuspicionBackoff, so that a cut link does not move slots
	// again and again; the other neighbours still detect a crash.
	minSuspicionBackoff = 5 * time.Second
	maxSuspicionBackoff = time.Minute
)

type sender = func(to ids.Instance, m *peerwire.Message)

// inboundPeer is a sender of heartbeats that is no neighbour in the own view.
type inboundPeer struct {
	id     ids.Instance
	sentAt ids.Time
	due    bool
}

type suspicionBackoff struct {
	until  ids.Time
	length time.Duration
}

// Tick sends the heartbeats and deltas that are due and detects failures. It
// is called every 10 ms.
func (v *View) Tick(now ids.Time, send func(to ids.Instance, m *peerwire.Message)) {
	v.advance(now)
	v.refill()
	if v.now >= v.expireAt && v.suspected > 0 || v.now >= v.forgetAt {
		v.expireAt = v.now.Add(expireGap)
		v.forgetAt = v.now.Add(forgetGap)
		v.expire()
	}
	if v.linksStale || v.interval.current == 0 {
		v.setLinks()
	}
	v.detect()
	for i := range v.links {
		if l := &v.links[i]; l.id != "" {
			v.repair(l, send)
			v.serveLink(i, l, send)
		}
	}
	v.urgent, v.urgentRevision = false, false
	v.answer(send)
	if v.now >= v.probeAt {
		v.probe(send)
	}
	v.crossTick(send)
	if !v.synced {
		v.checkSynced()
	}
}

// refill adds to both budgets what regular heartbeats leave of the limit.
func (v *View) refill() {
	if v.budgetAt == 0 {
		v.budget, v.small, v.budgetAt = burstBytes, smallBytes, v.now
	}
	links := 0
	for i := range v.links {
		if v.links[i].id != "" {
			links++
		}
	}
	rate := outBytes
	if v.interval.current > 0 {
		rate -= links * heartbeatBytes * int(time.Second/time.Millisecond) / int(v.interval.current/time.Millisecond)
	}
	rate = max(rate, minExtraRate)
	perByte := time.Second / time.Duration(rate)
	if add := int(v.now.Sub(v.budgetAt) / perByte); add > 0 {
		v.budget, v.small = min(v.budget+add, burstBytes), min(v.small+add, smallBytes)
		v.budgetAt = v.budgetAt.Add(time.Duration(add) * perByte)
	}
}

// detect suspects neighbours that have missed too many heartbeats.
func (v *View) detect() {
	limit := maxMissed*v.interval.expected(v.now) + missedSlack
	for i := range v.links {
		l := &v.links[i]
		if l.id == "" || v.now.Sub(l.heardAt) < limit || v.now < l.graceUntil {
			continue
		}
		if h, ok := v.suspicionBackoffs[l.id]; ok && v.now < h.until {
			continue
		}
		if r := v.members[l.id]; r != nil {
			v.suspect(r)
		}
	}
}

// refuted notes that the suspicion of id was refuted although this instance
// may still not hear it.
func (v *View) refuted(id ids.Instance) {
	i := v.slot(id)
	if i < 0 || v.now.Sub(v.links[i].heardAt) < maxMissed*v.interval.expected(v.now) {
		return
	}
	if v.suspicionBackoffs == nil {
		v.suspicionBackoffs = map[ids.Instance]suspicionBackoff{}
	}
	length := min(max(2*v.suspicionBackoffs[id].length, minSuspicionBackoff), maxSuspicionBackoff)
	v.suspicionBackoffs[id] = suspicionBackoff{v.now.Add(length), length}
}

// serveLink sends a heartbeat on link i when one is due or a few changes are
// waiting, and many changes as a MemberDelta. The link drops a heartbeat that
// exceeds its rate but queues a delta, so heartbeats are kept short and rare.
func (v *View) serveLink(i int, l *link, send sender) {
	age := v.now.Sub(l.sentAt)
	due := l.sent == 0 || age >= v.interval.sending(v.now)
	if !due {
		gap := updateGap
		if v.urgent {
			gap = urgentGap
		}
		if age < gap || v.small <= 0 || !(v.urgentRevision || len(l.extra) > 0 || v.pending(i, l)) {
			v.beatDelta(i, l, send)
			return
		}
		v.small -= heartbeatBytes + frameBytes
	}
	l.sentAt = v.now
	l.sent++
	var list []peerwire.Member
	if v.small > 0 {
		list = v.updates(i, l, maxUpdates)
		for k := range list {
			v.small -= sizeOf(&list[k])
		}
	}
	v.sendHeartbeat(l.id, l.sent, list, send)
}

// beatDelta sends waiting changes that did not fit in a heartbeat.
func (v *View) beatDelta(i int, l *link, send sender) {
	if v.small > 0 || v.budget < sessionReserve || v.now.Sub(l.deltaAt) < deltaGap || !v.pending(i, l) {
		return
	}
	l.deltaAt = v.now
	v.sendDelta(l.id, v.updates(i, l, partRecords), false, send)
}

// pending reports whether a change is to be sent to the peer now, and skips
// those that it has.
func (v *View) pending(i int, l *link) bool {
	if l.sentChange >= v.changes {
		return false
	}
	waiting := false // an earlier change is not due yet
	for _, e := range v.recent {
		if e.seq <= l.sentChange {
			continue
		}
		r := v.members[e.id]
		open := r != nil && r.change == e.seq && !r.quiet && r.knownBy&(1<<i) == 0
		if open && v.now.Sub(r.at) >= v.delay(i, e.seq) {
			return true
		}
		waiting = waiting || open
		if !waiting {
			l.sentChange = e.seq
		}
	}
	return false
}

// delay returns the time before a change is forwarded on link i. The links
// that get it at once differ from change to change.
func (v *View) delay(i int, seq uint64) time.Duration {
	switch {
	case v.alive < fullMesh:
		return forwardDelay // the origin has a link to everyone
	case (uint64(i)+seq)%maxLinks < quickLinks:
		return 0
	}
	return slowForward
}

// updates takes at most limit changes for the next message on link i.
func (v *View) updates(i int, l *link, limit int) []peerwire.Member {
	n := min(len(l.extra), limit)
	list := slices.Clone(l.extra[:n])
	l.extra = slices.Delete(l.extra, 0, n)
	for _, e := range v.recent {
		if len(list) >= limit {
			break
		}
		r := v.members[e.id]
		if e.seq <= l.sentChange || r == nil || r.change != e.seq || r.quiet || r.knownBy&(1<<i) != 0 ||
			v.now.Sub(r.at) < v.delay(i, e.seq) {
			continue
		}
		v.markKnown(i, r)
		list = append(list, r.Member)
	}
	return list
}

func (v *View) sendHeartbeat(to ids.Instance, seq uint64, updates []peerwire.Member, send sender) {
	send(to, &peerwire.Message{From: v.id, Incarnation: v.self.Incarnation, Heartbeat: &peerwire.Heartbeat{
		Seq: seq, Clock: v.now, Digest: v.digest32(), Revision: v.revision, Updates: updates}})
}

// heardInbound notes a heartbeat from an instance that is no neighbour here. It
// gets one in return, since this instance may be a neighbour in its view.
func (v *View) heardInbound(id ids.Instance) {
	i := slices.IndexFunc(v.inbound, func(g inboundPeer) bool { return g.id == id })
	if i < 0 {
		if len(v.inbound) >= maxInbound {
			v.inbound = slices.Delete(v.inbound, 0, 1)
		}
		v.inbound = append(v.inbound, inboundPeer{id: id})
		i = len(v.inbound) - 1
	}
	g := &v.inbound[i]
	g.due = g.sentAt == 0 || v.now.Sub(g.sentAt) >= intervalSmall/2
}

// answer replies to inbound peers and to requests for records.
func (v *View) answer(send sender) {
	for i := range v.inbound {
		g := &v.inbound[i]
		if !g.due || v.slot(g.id) >= 0 {
			continue
		}
		g.due, g.sentAt = false, v.now
		v.small -= heartbeatBytes + frameBytes
		v.sendProbe(g.id, answerSeq, send)
	}
	if v.asking != "" {
		v.sendDelta(v.asking, []peerwire.Member{v.self.Member}, true, send)
		v.asking = ""
	}
	if v.answerLatest != "" {
		v.sendDelta(v.answerLatest, v.latest(), false, send)
		v.answerLatest = ""
	}
	keep := v.sessions[:0]
	for _, s := range v.sessions {
		if v.part(&s, send) {
			keep = append(keep, s)
		}
	}
	v.sessions = keep
}

// sendProbe sends a heartbeat outside the links with the own record and, when
// the receiver is suspected or declared gone, its record to refute.
func (v *View) sendProbe(to ids.Instance, seq uint64, send sender) {
	list := []peerwire.Member{v.self.Member}
	if r := v.members[to]; r != nil && r.Suspected {
		list = append(list, r.Member)
	}
	v.sendHeartbeat(to, seq, list, send)
}

// probe tries seeds and members declared gone at random.
func (v *View) probe(send sender) {
	var list []ids.Instance
	for id, r := range v.members {
		if r.declaredGone() {
			list = append(list, id)
		}
	}
	for _, seeds := range [][]Seed{v.listed, v.settings} {
		for _, s := range seeds {
			r := v.members[s.ID]
			if s.DataCentre == v.self.DataCentre && s.ID != v.id && (r == nil || r.gone() && !r.Suspected) {
				list = append(list, s.ID)
			}
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	count, gap := 1, probeGap
	if v.alive == 0 {
		count, gap = probesAlone, probeAlone
	}
	v.probeAt = v.now.Add(gap)
	for range min(count, len(list)) {
		i := v.rng.IntN(len(list))
		id := list[i]
		list = slices.Delete(list, i, i+1)
		v.sendProbe(id, probeSeq, send)
	}
}
