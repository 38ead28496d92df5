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
	// crossLinkInstances is the number of instances on each side of the links
	// between two data centres.
	crossLinkInstances = 2
	// crossHeartbeatInterval is the heartbeat interval between data centres. With
	// 5 data centres an instance has up to 16 such links, which cost about 0.8 KB/s.
	crossHeartbeatInterval = 2 * time.Second
	// crossTimeout is the time without a heartbeat after which another instance of
	// the remote data centre is selected and the unresponsive one is not selected
	// for crossRetryDelay.
	crossTimeout    = 3*crossHeartbeatInterval + heartbeatSlack
	crossRetryDelay = time.Minute
	// crossRankKey is the rendezvous key that ranks the instances for these links.
	crossRankKey  = "config-link"
	maxCrossPeers = 64
)

// cross holds the links to other data centres, which carry configuration
// revisions only. Instances of other data centres are not part of the membership
// view.
type cross struct {
	crossPeers      map[ids.Instance]*crossPeer
	nextCrossTickAt ids.Time
	fullRequestTo   ids.Instance // peer that the next Tick asks for its complete view
	latestChangesTo ids.Instance // peer to which the next Tick sends the latest changes
}

// crossPeer is an instance of another data centre.
type crossPeer struct {
	dataCentre      ids.DataCentre
	addr            string
	lastHeartbeatAt ids.Time
	startedAt       ids.Time // start of the present attempt to reach the peer; 0 when there is none
	avoidUntil      ids.Time // not selected before this time
	replyDue        bool     // a heartbeat has to be answered
	heartbeatsSent  uint64
}

// handleCrossHeartbeat handles a heartbeat of an instance of another data centre.
// It returns false when the sender is not such an instance.
func (v *View) handleCrossHeartbeat(from ids.Instance, h *peerwire.Heartbeat) bool {
	for i := range h.Updates {
		if m := &h.Updates[i]; m.ID == from && m.DataCentre != v.self.DataCentre {
			if p := v.addCrossPeer(from, m.DataCentre); p != nil {
				p.addr = m.PeerAddr
			}
		}
	}
	p := v.crossPeers[from]
	if p == nil {
		return false
	}
	p.lastHeartbeatAt = v.now
	p.avoidUntil = 0
	p.replyDue = p.replyDue || h.Seq != replySeq
	return true
}

// addCrossPeer returns the peer id of another data centre and adds it if it is
// new. It returns nil when there are too many peers or id is a local member.
func (v *View) addCrossPeer(id ids.Instance, dc ids.DataCentre) *crossPeer {
	p := v.crossPeers[id]
	if p == nil && len(v.crossPeers) < maxCrossPeers && v.members[id] == nil {
		p = &crossPeer{dataCentre: dc}
		v.crossPeers[id] = p
	}
	return p
}

// crossTick sends the heartbeats to other data centres that are due and removes
// peers that have been silent for long.
func (v *View) crossTick(send sendFunc) {
	if v.now < v.nextCrossTickAt {
		return
	}
	v.nextCrossTickAt = v.now.Add(crossHeartbeatInterval)
	for id, p := range v.crossPeers {
		if p.startedAt == 0 && v.now.Sub(p.lastHeartbeatAt) > crossRetryDelay && v.now >= p.avoidUntil {
			delete(v.crossPeers, id)
		}
	}
	targets := v.crossTargets()
	for _, id := range v.sortedCrossPeers() {
		p := v.crossPeers[id]
		initiate := slices.Contains(targets, id)
		if !initiate {
			p.startedAt = 0
		}
		if !initiate && !p.replyDue {
			continue
		}
		p.replyDue = false
		p.heartbeatsSent++
		var updates []peerwire.Member
		if p.lastHeartbeatAt == 0 || p.heartbeatsSent == 1 || v.now.Sub(p.lastHeartbeatAt) > crossTimeout {
			updates = []peerwire.Member{v.self.Member}
		}
		seq := p.heartbeatsSent
		if !initiate {
			seq = replySeq
		}
		v.sendHeartbeat(id, seq, updates, send)
	}
}

// sortedCrossPeers returns the ids of the peers in other data centres, sorted.
func (v *View) sortedCrossPeers() []ids.Instance {
	return slices.Sorted(maps.Keys(v.crossPeers))
}

// crossTargets returns the instances of other data centres to which this instance
// keeps a link. The list is empty unless this instance is one of the two serving
// instances of its data centre with the highest rendezvous weights.
func (v *View) crossTargets() []ids.Instance {
	if !slices.Contains(rankByRendezvous(v.Serving(), crossRankKey, crossLinkInstances), v.id) {
		return nil
	}
	byDataCentre := map[ids.DataCentre][]Seed{}
	for _, seeds := range [][]Seed{v.platformSeeds, v.configuredSeeds} {
		for _, s := range seeds {
			if s.DataCentre != v.self.DataCentre {
				byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
			}
		}
	}
	var targets []ids.Instance
	for _, dc := range slices.Sorted(maps.Keys(byDataCentre)) {
		targets = append(targets, v.crossTargetsIn(dc, byDataCentre[dc])...)
	}
	return targets
}

// crossTargetsIn returns the seeds in data centre dc to which this instance keeps
// a link.
func (v *View) crossTargetsIn(dc ids.DataCentre, seeds []Seed) []ids.Instance {
	slices.SortFunc(seeds, func(a, b Seed) int { return cmp.Compare(a.ID, b.ID) })
	seeds = slices.CompactFunc(seeds, func(a, b Seed) bool { return a.ID == b.ID })
	list := make([]ids.Instance, len(seeds))
	for i, s := range seeds {
		list[i] = s.ID
	}
	var targets []ids.Instance
	for _, id := range rankByRendezvous(list, crossRankKey, len(list)) {
		if len(targets) == crossLinkInstances {
			break
		}
		p := v.addCrossPeer(id, dc)
		if p == nil || v.now < p.avoidUntil {
			continue
		}
		if p.startedAt == 0 {
			p.startedAt = v.now
		}
		if v.now.Sub(max(p.startedAt, p.lastHeartbeatAt)) > crossTimeout {
			p.startedAt, p.avoidUntil = 0, v.now.Add(crossRetryDelay)
			continue
		}
		targets = append(targets, id)
	}
	return targets
}

// rankByRendezvous returns the n instances of the sorted list with the highest
// rendezvous weights for key.
func rankByRendezvous(sorted []ids.Instance, key string, n int) []ids.Instance {
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
