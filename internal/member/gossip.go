package member

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// maxUpdates bounds the records in a heartbeat, partRecords those in a
	// delta of changes.
	maxUpdates  = 4
	partRecords = 20
	// deltaGap is the least time between two deltas of changes on a link.
	deltaGap = 500 * time.Millisecond
	// partBytes bounds one part of a view, so that a part fits in a packet.
	partBytes = 1200
	// partGap is the time between two parts to the same peer.
	partGap = 100 * time.Millisecond
	// repairRecords is the number of latest changes exchanged in the first
	// repair of a digest mismatch.
	repairRecords = 12
	// repairDelay is the time for which digests may differ while a change
	// spreads.
	repairDelay = 1500 * time.Millisecond
	// fullGap is the time between two requests for a complete view. It
	// doubles up to maxFullGap while the digests differ, so that a cold start
	// of many instances does not spend the budget on repeated views.
	fullGap    = 4 * time.Second
	maxFullGap = 16 * time.Second
	// knownFor is the time for which a record sent to a peer is not repeated
	// when the peer asks for a complete view.
	knownFor = 64 * time.Second
	// answerGap is the time after which an unanswered request is repeated to
	// another peer. It doubles up to maxAnswerGap: answers may wait for the
	// byte budget of the peer's link.
	answerGap    = time.Second
	maxAnswerGap = 16 * time.Second
	// updateGap is the least time between two heartbeats on a link that are
	// sent early to carry changes; urgentGap applies to changes made here.
	updateGap = 100 * time.Millisecond
	urgentGap = 20 * time.Millisecond
	// A change learned from others is forwarded at once to quickLinks of the
	// neighbours above fullMesh, and to the rest after forwardDelay, when most
	// have it from elsewhere and their digest agrees.
	forwardDelay = 600 * time.Millisecond
	slowForward  = time.Second
	quickLinks   = 3
	// maxRecent bounds the log of changes; a peer that is further behind is
	// repaired after a digest mismatch.
	maxRecent = 256
	// maxSessions bounds the complete views being sent at a time.
	maxSessions = 4
	// maxExtra bounds the records kept for one peer besides the log.
	maxExtra = 8

	// smallBytes is the burst of changes in heartbeats. It stays below the
	// burst that a link allows to heartbeats, 2 s at 2 KB/s.
	smallBytes = 2 << 10

	// outBytes is the share of the limit of 2 KB/s of control traffic that is
	// sent; burstBytes allows a complete view of 500 members to a joining
	// instance at once. heartbeatBytes and recordBytes are sizes in CBOR.
	outBytes     = 1000
	minExtraRate = 100
	// sessionReserve is left to changes by complete views, which would
	// otherwise hold up the changes that make the views agree.
	sessionReserve = 4 << 10
	burstBytes     = 256 << 10
	heartbeatBytes = 50
	// frameBytes is what TLS and WebSocket add to a message (internal/link).
	frameBytes  = 30
	recordBytes = 24 // without the strings
)

// gossip is the part of a View that deals with its links.
type gossip struct {
	links             [maxLinks]link
	linksStale        bool
	alive             int // other members that are not gone
	interval          intervals
	changes           uint64 // sequence number of the last change
	recent            []change
	lastChange        ids.Time
	urgent            bool // a change made here has not been sent
	urgentRevision    bool
	budget            int // bytes that may be sent besides regular heartbeats
	small             int // the same for heartbeats with changes
	budgetAt          ids.Time
	askAt             ids.Time // next request for a complete view
	askGap            time.Duration
	answerGap         time.Duration
	partAt            ids.Time // last part of a view received before synced
	awaiting          bool     // the last request has not been answered
	sessions          []session
	inbound           []inboundPeer
	suspicionBackoffs map[ids.Instance]suspicionBackoff
	clocks            map[ids.Instance]*clock
	probeAt           ids.Time
	expireAt          ids.Time
	forgetAt          ids.Time
}

type change struct {
	seq uint64
	id  ids.Instance
}

// session sends the complete view to one peer in parts.
type session struct {
	to    ids.Instance
	after ids.Instance // last member sent
	next  ids.Time
}

func sizeOf(m *peerwire.Member) int {
	return recordBytes + len(m.ID) + len(m.DataCentre) + len(m.PeerAddr)
}

// log records a change for the heartbeats to come.
func (v *View) log(r *record) {
	v.changes++
	r.change, r.knownBy, r.quiet, r.at = v.changes, 0, false, v.now
	if len(v.recent) >= maxRecent {
		v.recent = slices.Delete(v.recent, 0, maxRecent/2)
	}
	v.recent = append(v.recent, change{v.changes, r.ID})
}

// attach adds a record to the next heartbeat to id.
func (v *View) attach(id ids.Instance, m peerwire.Member) {
	i := v.slot(id)
	if i < 0 {
		return
	}
	l := &v.links[i]
	// A later record of the same instance replaces an earlier one.
	l.extra = slices.DeleteFunc(l.extra, func(o peerwire.Member) bool { return o.ID == m.ID })
	if len(l.extra) < maxExtra {
		l.extra = append(l.extra, m)
	}
}

// HandleHeartbeat handles a heartbeat from another instance.
func (v *View) HandleHeartbeat(now ids.Time, from ids.Instance, h *peerwire.Heartbeat) {
	v.advance(now)
	if from == v.id || from == "" {
		return
	}
	i := v.slot(from)
	for k := range h.Updates {
		v.merge(&h.Updates[k], i)
	}
	v.observeClock(from, h.Clock)
	if v.crossHeard(from, h) {
		return
	}
	v.heardPeer = true
	if r := v.members[from]; r != nil && r.Suspected {
		// It is alive: it learns of the suspicion and refutes it.
		v.attach(from, r.Member)
	}
	if i < 0 {
		if h.Seq != answerSeq {
			v.heardInbound(from)
		}
		if !v.synced && h.Digest != v.digest32() {
			v.askFull(from)
		}
		return
	}
	l := &v.links[i]
	l.heardAt, l.heard = now, true
	delete(v.suspicionBackoffs, from)
	v.compare(l, h.Digest)
}

// digest32 is the digest sent in heartbeats; 32 bits keep them short.
func (v *View) digest32() uint64 { return v.digest>>32 ^ v.digest&0xffffffff }

// compare notes whether the peer's view agrees with the own one.
func (v *View) compare(l *link, digest uint64) {
	if digest == v.digest32() {
		l.mismatchSince, l.repairs, v.synced = 0, 0, true
		l.sentChange = v.changes // the peer has them all
		v.askGap = 0
		return
	}
	if !v.synced {
		v.askFull(l.id)
	}
	if l.mismatchSince == 0 {
		l.mismatchSince = v.now
		l.repairAt = v.now.Add(repairDelay)
	}
}

// repair exchanges records with a peer whose view has differed for longer
// than a change takes to spread: the latest changes first, then everything.
func (v *View) repair(l *link, send sender) {
	if l.mismatchSince == 0 || v.now < l.repairAt || v.budget <= 0 {
		return
	}
	if v.now.Sub(v.lastChange) < repairDelay && v.now.Sub(l.mismatchSince) < 4*repairDelay {
		return
	}
	l.repairAt = v.now.Add(2 * repairDelay)
	l.repairs++
	if l.repairs > 1 {
		v.askFull(l.id)
		return
	}
	if v.id < l.id {
		v.sendDelta(l.id, v.latest(), true, send)
	}
}

// latest returns the members that changed last.
func (v *View) latest() []peerwire.Member {
	var list []*record
	for _, r := range v.members {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(b.change, a.change) })
	var out []peerwire.Member
	for _, r := range list[:min(len(list), repairRecords)] {
		out = append(out, r.Member)
	}
	return out
}

// askFull requests the complete view of id; the request is sent by the next
// Tick. One request at a time bounds the control traffic.
func (v *View) askFull(id ids.Instance) {
	if v.now < v.askAt {
		return
	}
	if v.awaiting {
		v.answerGap = min(2*v.answerGap, maxAnswerGap)
	} else {
		v.askGap = min(max(2*v.askGap, fullGap), maxFullGap)
		v.answerGap = answerGap
	}
	v.awaiting = true
	v.askAt = v.now.Add(v.answerGap)
	v.asking = id
}

// HandleDelta handles a part of the view of another instance. A request with
// at most the sender's own record asks for the complete view, one with more
// for the latest changes.
func (v *View) HandleDelta(now ids.Time, from ids.Instance, d *peerwire.MemberDelta) {
	v.advance(now)
	if from == v.id || from == "" {
		return
	}
	i := v.slot(from)
	running := !v.synced && mostlyServing(d.Members)
	for k := range d.Members {
		v.merge(&d.Members[k], i)
		if r := v.members[d.Members[k].ID]; running && r != nil && r != v.self {
			r.quiet = true
		}
	}
	if !d.Reply {
		v.awaiting = false
		if !v.synced {
			v.partAt = now
		}
		v.askAt = max(v.askAt, now.Add(v.askGap))
		return
	}
	if len(d.Members) > 1 {
		v.answerLatest = from
		return
	}
	known := slices.ContainsFunc(v.sessions, func(s session) bool { return s.to == from })
	if !known && len(v.sessions) < maxSessions {
		v.forgetLost(i)
		v.sessions = append(v.sessions, session{to: from, next: now})
	}
}

// mostlyServing tells a part of the view of a running fleet from one of a cold
// start. What an instance learns when it joins a running fleet is known to the
// others already; forwarding it would hold up its links for minutes.
func mostlyServing(members []peerwire.Member) bool {
	n := 0
	for i := range members {
		if members[i].Lifecycle == peerwire.Serving {
			n++
		}
	}
	return len(members) > maxLinks && n >= len(members)*3/4
}

// part sends the next part of a session and reports whether more remain.
func (v *View) part(s *session, send sender) bool {
	if v.now < s.next || v.budget < sessionReserve {
		return true
	}
	var list []ids.Instance
	slot := v.slot(s.to)
	for id, r := range v.members {
		if id > s.after && (slot < 0 || r.knownBy&(1<<slot) == 0) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	var out []peerwire.Member
	size := 0
	for _, id := range list {
		m := v.members[id].Member
		if size += sizeOf(&m); size > partBytes && len(out) > 0 {
			break
		}
		out = append(out, m)
		s.after = id
		v.markKnown(slot, v.members[id])
	}
	s.next = v.now.Add(partGap)
	v.sendDelta(s.to, out, false, send)
	return len(out) < len(list)
}

func (v *View) sendDelta(to ids.Instance, members []peerwire.Member, reply bool, send sender) {
	v.budget -= heartbeatBytes
	for i := range members {
		v.budget -= sizeOf(&members[i])
	}
	send(to, &peerwire.Message{From: v.id, Incarnation: v.self.Incarnation,
		MemberDelta: &peerwire.MemberDelta{Members: members, Reply: reply}})
}

// markKnown notes that the peer of a link has, or is being sent, a record.
func (v *View) markKnown(slot int, r *record) {
	if slot >= 0 {
		r.knownBy |= 1 << slot
	}
}

// forgetLost lets records be sent again to a peer that asks for everything
// although it should have them: messages were lost.
func (v *View) forgetLost(slot int) {
	if slot < 0 || v.now.Sub(v.links[slot].knownFrom) < knownFor {
		return
	}
	v.links[slot].knownFrom = v.now
	v.forgetKnown(slot)
}

// forgetKnown makes every record count as unknown to the peer of a link.
func (v *View) forgetKnown(slot int) {
	if slot < 0 {
		return
	}
	for _, r := range v.members {
		r.knownBy &^= 1 << slot
	}
}
