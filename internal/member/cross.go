package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// crossInstances is the number of instances on each side of the links
	// between two data centres.
	crossInstances = 2
	// crossGap is the heartbeat interval between data centres. 16 such links
	// at 5 data centres cost about 0.8 KB/s.
	crossGap = 2 * time.Second
	// crossSilent is the time without an answer after which another instance
	// of that data centre is tried, for crossAvoid.
	crossSilent = 3*crossGap + missedSlack
	crossAvoid  = time.Minute
	// crossKey ranks the instances for these links.
	crossKey = "config-link"
	maxCross = 64
)

// cross holds the links to other data centres. They carry configuration
// revisions only; their instances are not part of the membership view.
type cross struct {
	peers        map[ids.Instance]*crossPeer
	crossAt      ids.Time
	asking       ids.Instance // receives a request for its complete view
	answerLatest ids.Instance // receives the latest changes
}

type crossPeer struct {
	dataCentre ids.DataCentre
	addr       string
	heardAt    ids.Time
	startedAt  ids.Time // of the present attempt; 0 when there is none
	avoidUntil ids.Time
	due        bool // answer a heartbeat
	sent       uint64
}

// crossHeard handles a heartbeat of an instance of another data centre and
// reports whether it was one.
func (v *View) crossHeard(from ids.Instance, h *peerwire.Heartbeat) bool {
	for i := range h.Updates {
		if m := &h.Updates[i]; m.ID == from && m.DataCentre != v.self.DataCentre {
			if p := v.crossPeer(from, m.DataCentre); p != nil {
				p.addr = m.PeerAddr
			}
		}
	}
	p := v.peers[from]
	if p == nil {
		return false
	}
	p.heardAt = v.now
	p.avoidUntil = 0
	p.due = p.due || h.Seq != answerSeq
	return true
}

func (v *View) crossPeer(id ids.Instance, dc ids.DataCentre) *crossPeer {
	p := v.peers[id]
	if p == nil && len(v.peers) < maxCross && v.members[id] == nil {
		p = &crossPeer{dataCentre: dc}
		v.peers[id] = p
	}
	return p
}

func (v *View) crossTick(send sender) {
	if v.now < v.crossAt {
		return
	}
	v.crossAt = v.now.Add(crossGap)
	for id, p := range v.peers {
		if p.startedAt == 0 && v.now.Sub(p.heardAt) > crossAvoid && v.now >= p.avoidUntil {
			delete(v.peers, id)
		}
	}
	chosen := v.crossTargets()
	for _, id := range v.crossKnown() {
		p := v.peers[id]
		initiate := slices.Contains(chosen, id)
		if !initiate {
			p.startedAt = 0
		}
		if !initiate && !p.due {
			continue
		}
		p.due = false
		p.sent++
		var updates []peerwire.Member
		if p.heardAt == 0 || p.sent == 1 || v.now.Sub(p.heardAt) > crossSilent {
			updates = []peerwire.Member{v.self.Member}
		}
		seq := p.sent
		if !initiate {
			seq = answerSeq
		}
		v.sendHeartbeat(id, seq, updates, send)
	}
}

func (v *View) crossKnown() []ids.Instance {
	return slices.Sorted(maps.Keys(v.peers))
}

// crossTargets returns the instances of other data centres to which this one
// keeps a link now. It is empty unless this instance is one of the first two
// serving instances of its own data centre by rendezvous.
func (v *View) crossTargets() []ids.Instance {
	if !slices.Contains(ranked(v.Serving(), crossKey, crossInstances), v.id) {
		return nil
	}
	byCentre := map[ids.DataCentre][]Seed{}
	for _, seeds := range [][]Seed{v.listed, v.settings} {
		for _, s := range seeds {
			if s.DataCentre != v.self.DataCentre {
				byCentre[s.DataCentre] = append(byCentre[s.DataCentre], s)
			}
		}
	}
	var chosen []ids.Instance
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		chosen = append(chosen, v.crossIn(dc, byCentre[dc])...)
	}
	return chosen
}

func (v *View) crossIn(dc ids.DataCentre, seeds []Seed) []ids.Instance {
	slices.SortFunc(seeds, func(a, b Seed) int { return cmp.Compare(a.ID, b.ID) })
	seeds = slices.CompactFunc(seeds, func(a, b Seed) bool { return a.ID == b.ID })
	list := make([]ids.Instance, len(seeds))
	for i, s := range seeds {
		list[i] = s.ID
	}
	var chosen []ids.Instance
	for _, id := range ranked(list, crossKey, len(list)) {
		if len(chosen) == crossInstances {
			break
		}
		p := v.crossPeer(id, dc)
		if p == nil || v.now < p.avoidUntil {
			continue
		}
		if p.startedAt == 0 {
			p.startedAt = v.now
		}
		if v.now.Sub(max(p.startedAt, p.heardAt)) > crossSilent {
			p.startedAt, p.avoidUntil = 0, v.now.Add(crossAvoid)
			continue
		}
		chosen = append(chosen, id)
	}
	return chosen
}

// ranked returns the first n of the sorted list by rendezvous weight for key.
func ranked(sorted []ids.Instance, key string, n int) []ids.Instance {
	type node struct {
		id     ids.Instance
		weight uint64
	}
	nodes := make([]node, len(sorted))
	k := ids.Hash(key)
	for i, id := range sorted {
		nodes[i] = node{id, ids.Mix(ids.Hash(string(id)), k)}
	}
	slices.SortStableFunc(nodes, func(a, b node) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]ids.Instance, 0, n)
	for _, x := range nodes[:min(n, len(nodes))] {
		out = append(out, x.id)
	}
	return out
}
