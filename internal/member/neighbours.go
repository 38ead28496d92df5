package member

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// maxFullMesh is the number of instances up to which each one keeps a link to
	// every other.
	maxFullMesh = 9
	// maxLinks is the maximum number of neighbours when there are more than
	// maxFullMesh instances: two on each ring.
	maxLinks = 8
	rings    = maxLinks / 2
	// ringHashSeed separates the ring hashes from other uses of the id hash.
	ringHashSeed = 0x6172627574757331

	// Heartbeat intervals. With a full mesh the interval grows with the links
	// so that heartbeats, with their framing, take half of the limit of 2 KB/s
	// of control traffic, both directions together.
	minHeartbeatInterval  = 300 * time.Millisecond
	intervalPerLink       = 75 * time.Millisecond
	ringHeartbeatInterval = time.Second
	// intervalChangeDelay is the time after a change of the interval for which an
	// instance sends at the shorter and expects the longer of the two intervals,
	// since its peers change theirs at different times.
	intervalChangeDelay = 3 * time.Second
	// A neighbour is suspected after maxMissedHeartbeats heartbeats in a row are
	// missing; heartbeatSlack allows for the tick interval and network delay.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 50 * time.Millisecond
	// linkGrace is the additional time allowed for opening a new link.
	linkGrace = 2 * time.Second
)

// link is the control link to a neighbour. An unused link has an empty id.
type link struct {
	id                ids.Instance
	lastHeartbeatAt   ids.Time // time of the last heartbeat, or the start of the wait for one
	graceUntil        ids.Time // the peer is not suspected before this time
	heartbeatReceived bool     // a heartbeat was received on this link
	heartbeatSentAt   ids.Time
	heartbeatsSent    uint64   // number of heartbeats sent
	deltaSentAt       ids.Time // time of the last delta of changes
	sentChangeSeq     uint64   // changes up to this sequence number have been sent
	mismatchSince     ids.Time // 0 while the digests agree
	nextRepairAt      ids.Time // time of the next repair of the mismatch
	repairs           int      // number of repairs since the digests last agreed
	knownSince        ids.Time // records sent since this time are assumed to be known to the peer
	queued            []peerwire.Member
}

// restartDeadlines restarts failure detection and digest comparison on the link.
func (l *link) restartDeadlines(now ids.Time) {
	l.lastHeartbeatAt, l.graceUntil, l.mismatchSince, l.repairs = now, now.Add(linkGrace), 0, 0
}

// heartbeatIntervals holds the current heartbeat interval and the previous one.
type heartbeatIntervals struct {
	current, previous time.Duration
	changedAt         ids.Time
}

// intervalFor returns the heartbeat interval for a number of instances.
func intervalFor(instances int) time.Duration {
	if instances <= maxFullMesh {
		return max(minHeartbeatInterval, intervalPerLink*time.Duration(instances-1))
	}
	return ringHeartbeatInterval
}

func (i *heartbeatIntervals) set(now ids.Time, d time.Duration) {
	if d != i.current {
		i.previous, i.current, i.changedAt = cmp.Or(i.current, d), d, now
	}
}

// sending returns the interval at which heartbeats are sent.
func (i *heartbeatIntervals) sending(now ids.Time) time.Duration {
	if now.Sub(i.changedAt) < intervalChangeDelay {
		return min(i.current, i.previous)
	}
	return i.current
}

// expected returns the interval at which heartbeats of the peers are expected.
func (i *heartbeatIntervals) expected(now ids.Time) time.Duration {
	if now.Sub(i.changedAt) < intervalChangeDelay {
		return max(i.current, i.previous)
	}
	return i.current
}

// linkIndex returns the index of the link to id, or -1.
func (v *View) linkIndex(id ids.Instance) int {
	for i := range v.links {
		if v.links[i].id == id && id != "" {
			return i
		}
	}
	return -1
}

// hasRecentHeartbeat reports whether a recent heartbeat on the link to id shows that it
// is alive, which outweighs a suspicion by other instances.
func (v *View) hasRecentHeartbeat(id ids.Instance) bool {
	i := v.linkIndex(id)
	return i >= 0 && v.links[i].heartbeatReceived && v.now.Sub(v.links[i].lastHeartbeatAt) <= 2*v.intervals.expected(v.now)
}

// updateLinks computes the neighbours from the members that are not gone. Between
// instances with the same view the relation is symmetric.
func (v *View) updateLinks() {
	v.linksStale = false
	alive := make([]ids.Instance, 0, len(v.members))
	for id, r := range v.members {
		if !r.gone() && r != v.self {
			alive = append(alive, id)
		}
	}
	slices.Sort(alive)
	v.aliveOthers = len(alive)
	v.intervals.set(v.now, intervalFor(len(alive)+1))
	neighbours := alive
	if len(alive)+1 > maxFullMesh {
		neighbours = ringNeighbours(v.id, alive)
	}
	for i := range v.links {
		if l := &v.links[i]; l.id != "" && !slices.Contains(neighbours, l.id) {
			*l = link{}
		}
	}
	for _, id := range neighbours {
		if v.linkIndex(id) < 0 {
			v.openLink(id)
		}
	}
}

// openLink assigns an unused link to id.
func (v *View) openLink(id ids.Instance) {
	for i := range v.links {
		l := &v.links[i]
		if l.id != "" {
			continue
		}
		*l = link{id: id, sentChangeSeq: v.lastChangeSeq, knownSince: v.now}
		l.restartDeadlines(v.now)
		v.clearKnown(i)
		// The peer may not have the record of this instance yet.
		l.queued = append(l.queued, v.self.Member)
		return
	}
}

// ringNeighbours returns the successor and the predecessor of self on each
// ring, without duplicates.
func ringNeighbours(self ids.Instance, others []ids.Instance) []ids.Instance {
	var list []ids.Instance
	ownHash := ids.Hash(string(self))
	hashes := make([]uint64, len(others))
	for i, id := range others {
		hashes[i] = ids.Hash(string(id))
	}
	for ring := range uint64(rings) {
		ownPosition := ids.Mix(ownHash, ringHashSeed+ring)
		next, prev := 0, 0
		var nextDistance, prevDistance uint64
		for i, h := range hashes {
			// Distances wrap around the ring of 2^64 positions.
			position := ids.Mix(h, ringHashSeed+ring)
			if distance := position - ownPosition; i == 0 || distance < nextDistance {
				next, nextDistance = i, distance
			}
			if distance := ownPosition - position; i == 0 || distance < prevDistance {
				prev, prevDistance = i, distance
			}
		}
		for _, i := range []int{next, prev} {
			if !slices.Contains(list, others[i]) {
				list = append(list, others[i])
			}
		}
	}
	return list
}
