package member

import (
	"cmp"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// fullMesh is the number of instances up to which each one keeps a link
	// to every other.
	fullMesh = 9
	// maxLinks is the number of neighbours above that: two on each ring.
	maxLinks = 8
	rings    = maxLinks / 2
	// ringKey separates the ring hashes from other uses of the id hash.
	ringKey = 0x6172627574757331

	// Heartbeat intervals. With a full mesh the interval grows with the links
	// so that heartbeats, with their framing, take half of the limit of 2 KB/s
	// of control traffic, both directions together.
	intervalSmall   = 300 * time.Millisecond
	intervalPerLink = 75 * time.Millisecond
	intervalLarge   = time.Second
	// intervalHold delays the slower of two intervals at the sender and the
	// faster one at the receiver, since the peers change over at different
	// times.
	intervalHold = 3 * time.Second
	// maxMissed heartbeats in a row make a neighbour suspected; missedSlack
	// allows for the tick and the network.
	maxMissed   = 3
	missedSlack = 50 * time.Millisecond
	// linkGrace is the additional time for a new link to be opened.
	linkGrace = 2 * time.Second
)

// link is the control link to a neighbour. A free slot has an empty id.
type link struct {
	id            ids.Instance
	heardAt       ids.Time // last heartbeat, or the start of the wait for one
	graceUntil    ids.Time // the peer is not suspected before
	heard         bool
	sentAt        ids.Time
	sent          uint64   // heartbeats sent
	deltaAt       ids.Time // last delta of changes
	sentChange    uint64   // changes up to this sequence number have been sent
	mismatchSince ids.Time // 0 while the digests agree
	repairAt      ids.Time // next repair of a mismatch
	repairs       int      // repairs since the digests agreed
	knownFrom     ids.Time // records sent since then count as known to the peer
	extra         []peerwire.Member
}

func (l *link) restart(now ids.Time) {
	l.heardAt, l.graceUntil, l.mismatchSince, l.repairs = now, now.Add(linkGrace), 0, 0
}

// intervals keeps the present heartbeat interval and the one before it.
type intervals struct {
	current, previous time.Duration
	changedAt         ids.Time
}

func intervalFor(instances int) time.Duration {
	if instances <= fullMesh {
		return max(intervalSmall, intervalPerLink*time.Duration(instances-1))
	}
	return intervalLarge
}

func (i *intervals) set(now ids.Time, d time.Duration) {
	if d != i.current {
		i.previous, i.current, i.changedAt = cmp.Or(i.current, d), d, now
	}
}

func (i *intervals) sending(now ids.Time) time.Duration {
	if now.Sub(i.changedAt) < intervalHold {
		return min(i.current, i.previous)
	}
	return i.current
}

func (i *intervals) expected(now ids.Time) time.Duration {
	if now.Sub(i.changedAt) < intervalHold {
		return max(i.current, i.previous)
	}
	return i.current
}

// slot returns the index of the link to id, or -1.
func (v *View) slot(id ids.Instance) int {
	for i := range v.links {
		if v.links[i].id == id && id != "" {
			return i
		}
	}
	return -1
}

// heardJustNow reports whether the own evidence that id is alive is stronger
// than a suspicion by others.
func (v *View) heardJustNow(id ids.Instance) bool {
	i := v.slot(id)
	return i >= 0 && v.links[i].heard && v.now.Sub(v.links[i].heardAt) <= 2*v.interval.expected(v.now)
}

// setLinks computes the neighbours from the members that are not gone. All
// instances with the same view get a symmetric relation.
func (v *View) setLinks() {
	v.linksStale = false
	alive := make([]ids.Instance, 0, len(v.members))
	for id, r := range v.members {
		if !r.gone() && r != v.self {
			alive = append(alive, id)
		}
	}
	slices.Sort(alive)
	v.alive = len(alive)
	v.interval.set(v.now, intervalFor(len(alive)+1))
	want := alive
	if len(alive)+1 > fullMesh {
		want = ringNeighbours(v.id, alive)
	}
	for i := range v.links {
		if l := &v.links[i]; l.id != "" && !slices.Contains(want, l.id) {
			*l = link{}
		}
	}
	for _, id := range want {
		if v.slot(id) < 0 {
			v.openLink(id)
		}
	}
}

func (v *View) openLink(id ids.Instance) {
	for i := range v.links {
		l := &v.links[i]
		if l.id != "" {
			continue
		}
		*l = link{id: id, sentChange: v.changes, knownFrom: v.now}
		l.restart(v.now)
		v.forgetKnown(i)
		// The peer learns the own record even if it has never heard of this
		// instance.
		l.extra = append(l.extra, v.self.Member)
		return
	}
}

// ringNeighbours returns the successor and the predecessor of self on each
// ring, without duplicates.
func ringNeighbours(self ids.Instance, others []ids.Instance) []ids.Instance {
	var list []ids.Instance
	own := ids.Hash(string(self))
	hashes := make([]uint64, len(others))
	for i, id := range others {
		hashes[i] = ids.Hash(string(id))
	}
	for ring := range uint64(rings) {
		at := ids.Mix(own, ringKey+ring)
		next, prev := 0, 0
		var nextGap, prevGap uint64
		for i, h := range hashes {
			// Gaps wrap around the ring of 2^64 positions.
			p := ids.Mix(h, ringKey+ring)
			if g := p - at; i == 0 || g < nextGap {
				next, nextGap = i, g
			}
			if g := at - p; i == 0 || g < prevGap {
				prev, prevGap = i, g
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
