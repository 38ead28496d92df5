package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// watcherCount is the number of instances in each data centre that watch the
	// platform; watchRankKey is the rendezvous key by which they are ranked.
	watcherCount = 2
	watchRankKey = "config-watch"

	peerTimeout      = time.Second            // for the response of a peer
	readTimeout      = 5 * time.Second        // for the response to a read
	watchTimeout     = 45 * time.Second       // longer than a watch waits for a change, 30 s
	minReadInterval  = 100 * time.Millisecond // between a successful read or watch and the next one
	joinReadInterval = 500 * time.Millisecond // between reads while joining
	// staleReadInterval is the minimum time between reads of a platform that
	// reports a lower revision than the peers; 2,500 instances cause at most
	// 1,250 reads a second.
	staleReadInterval = 2 * time.Second
	// Time between requests for a valid value that may have been missed. It
	// doubles with each request, since possibly no peer has such a value.
	minUnconfirmedInterval = 5 * time.Second
	maxUnconfirmedInterval = 5 * time.Minute

	// joinPeerTimeout is the time for which a joining instance queries only its
	// peers before it also reads the platform; joinAloneTimeout applies while no
	// peer has sent a heartbeat. joinTimeout is the time after which the instance
	// serves the configuration that it has although a newer revision is known.
	joinPeerTimeout  = time.Second
	joinAloneTimeout = 500 * time.Millisecond
	joinTimeout      = 3 * time.Second
	// maxPeerFailures is the number of unanswered requests to peers after which
	// the platform is read.
	maxPeerFailures = 3
	// peerRetryDelay is the time after which a peer that did not respond is
	// queried again. It doubles up to silenceTimeout: the response may be waiting
	// for the byte budget of the link, and each request causes another one.
	peerRetryDelay = 2 * time.Second

	// silenceTimeout is the time without heartbeats after which an instance reads
	// the platform itself; silenceJitter spreads the reads of all instances.
	silenceTimeout = 10 * time.Second
	silenceJitter  = 5 * time.Second
	// pollInterval bounds the age of the configuration when the watchers lose the
	// platform without detecting it. 2,500 instances cause 33 reads a second, of
	// 2,000 allowed.
	pollInterval = time.Minute
	pollJitter   = 30 * time.Second // spreads the reads of all instances
	// Limits of the time until the next attempt after failed reads of the platform.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// maxWatcherBackoff is the limit for watchers, from which the other instances
	// learn of new revisions: 10 watchers in 5 data centres cause 5 reads a
	// second.
	maxWatcherBackoff = 2 * time.Second
)

// RequestKind is the operation that a Request asks for.
type RequestKind uint8

// Operations requested by a Syncer.
const (
	FetchFromPeer RequestKind = iota // send ConfigRequest{After} to Peer
	ReadPlatform                     // read the changes after After
	WatchPlatform                    // the same, but wait until there is one
)

// Request is an operation that the caller of Syncer.Tick has to carry out.
type Request struct {
	Kind  RequestKind
	Peer  ids.Instance
	After ids.Revision
}

// Syncer decides when an instance requests configuration from a peer, reads the
// platform, or watches it. It performs no I/O: Tick passes requests to a
// callback, and DeltaApplied and Read take the results.
type Syncer struct {
	self  ids.Instance
	rng   *rand.Rand
	peers map[ids.Instance]peer

	startedAt    ids.Time // start of the process, or end of its last pause
	ready        bool
	readComplete bool         // a read since startedAt returned nothing newer
	moreExpected bool         // the last read returned changes, so more may follow
	readRevision ids.Revision // the last read or watch requested the changes after this revision

	queriedPeer         ids.Instance // peer with an open request; empty when none
	queriedAt           ids.Time
	peerFailures        int // requests to peers without a response
	nextUnconfirmedAt   ids.Time
	unconfirmedInterval time.Duration // between requests for unconfirmed values
	readInFlight        bool          // a read or watch of the platform is open
	watchInFlight       bool          // the open request is a watch
	readSentAt          ids.Time
	platformRevision    ids.Revision // highest revision that the platform reported
	nextReadAt          ids.Time     // no read or watch starts before this time
	backoff             time.Duration
	nextPollAt          ids.Time
	lastHeartbeatAt     ids.Time      // time of the last heartbeat of a peer, or a later start of the wait for one
	silenceLimit        time.Duration // time without heartbeats after which the platform is read

	serving []ids.Instance // the list from which watcher was computed
	watcher bool
}

// peer is the state kept for a peer that has sent a heartbeat recently.
type peer struct {
	revision        ids.Revision
	lastHeartbeatAt ids.Time
	failedAt        ids.Time
	failures        int // requests without a response since the last response
}

// usable reports whether the peer may be queried at now.
func (p *peer) usable(now ids.Time) bool {
	return p.failures == 0 || now.Sub(p.failedAt) >= min(peerRetryDelay<<min(p.failures-1, 8), silenceTimeout)
}

// NewSyncer returns the syncer of an instance that has no configuration.
func NewSyncer(self ids.Instance, seed uint64) *Syncer {
	return &Syncer{self: self, rng: rand.New(rand.NewPCG(seed, ids.Hash(string(self)))), peers: map[ids.Instance]peer{}}
}

// Resume starts the join again after a pause of the process. Revisions that
// peers reported before the pause are outdated and discarded.
func (y *Syncer) Resume(now ids.Time) {
	clear(y.peers)
	y.startJoin(now)
}

// startJoin resets the state for a join that starts at now.
func (y *Syncer) startJoin(now ids.Time) {
	y.startedAt, y.lastHeartbeatAt, y.ready, y.readComplete = now, now, false, false
	y.moreExpected = false
	y.queriedPeer, y.peerFailures, y.readInFlight, y.nextReadAt, y.backoff = "", 0, false, 0, 0
	y.nextPollAt = now.Add(pollInterval + y.jitter(pollJitter))
	y.silenceLimit = silenceTimeout + y.jitter(silenceJitter)
}

// jitter returns a random duration from 0 up to, but excluding, d.
func (y *Syncer) jitter(d time.Duration) time.Duration { return time.Duration(y.rng.Int64N(int64(d))) }

// Ready reports whether the configuration is the newest one found, or
// joinTimeout has passed and there is at least a stale one.
func (y *Syncer) Ready() bool { return y.ready }

// ObserveRevision records the revision announced in a heartbeat of a peer.
func (y *Syncer) ObserveRevision(now ids.Time, from ids.Instance, r ids.Revision) {
	if y.backoff > minBackoff && r > y.newestPeerRevision() {
		// A peer has a newer revision, so the platform is probably reachable again.
		// 2,500 instances cause at most 1,250 reads a second.
		y.backoff = minBackoff
		y.nextReadAt = min(y.nextReadAt, now.Add(y.jitter(staleReadInterval)))
	}
	p := y.peers[from]
	p.revision, p.lastHeartbeatAt = r, now
	y.peers[from] = p
	y.lastHeartbeatAt = now
}

// DeltaApplied records that a ConfigDelta of a peer has been applied to the
// store.
func (y *Syncer) DeltaApplied(now ids.Time, from ids.Instance) {
	if p, ok := y.peers[from]; ok {
		p.failures = 0
		y.peers[from] = p
	}
	if from == y.queriedPeer {
		y.queriedPeer, y.peerFailures = "", 0
	}
}

// Read handles the result of a read or watch after its publications have been
// applied to the store. upto is the highest revision that the platform reported;
// ok is false when the request failed.
func (y *Syncer) Read(now ids.Time, upto ids.Revision, ok bool) {
	y.readInFlight, y.watchInFlight = false, false
	if !ok {
		y.backOff(now)
		return
	}
	// A read returns at most 1 MB, so only a read without changes shows that
	// everything has been read.
	y.moreExpected = upto > y.readRevision
	y.readComplete, y.backoff = y.readComplete || !y.moreExpected, 0
	y.platformRevision = upto
	y.nextPollAt = now.Add(pollInterval + y.jitter(pollJitter))
	y.nextReadAt = now.Add(minReadInterval)
	switch {
	case !y.ready && !y.moreExpected:
		y.nextReadAt = now.Add(joinReadInterval)
	case upto < y.newestPeerRevision():
		y.nextReadAt = now.Add(staleReadInterval + y.jitter(staleReadInterval))
	}
}

// backOff delays the next read or watch after a failed one.
func (y *Syncer) backOff(now ids.Time) {
	limit := maxBackoff
	if y.watcher {
		limit = maxWatcherBackoff
	}
	y.backoff = min(max(2*y.backoff, minBackoff), limit)
	y.nextReadAt = now.Add(y.backoff/2 + y.jitter(y.backoff))
}

// Tick calls do for each request that is due. serving lists the serving instances
// of the local data centre. Tick is called every 10 ms.
func (y *Syncer) Tick(now ids.Time, s *Store, serving []ids.Instance, do func(Request)) {
	if y.startedAt == 0 {
		y.startJoin(now)
	}
	y.expireRequests(now)
	if !y.ready {
		y.updateReady(now, s.Revision())
	}
	y.queryPeer(now, s, do)
	if y.readInFlight || now < y.nextReadAt {
		return
	}
	watch := y.isWatcher(serving)
	switch {
	case y.shouldRead(now, s.Revision(), watch):
		y.silenceLimit = silenceTimeout + y.jitter(silenceJitter)
		y.lastHeartbeatAt = max(y.lastHeartbeatAt, now.Add(-silenceTimeout/2)) // the next read because of silence is due at least 5 s later
		y.peerFailures = 0
	case watch:
		y.watchInFlight = true
	default:
		return
	}
	y.readInFlight, y.readSentAt, y.readRevision = true, now, s.Revision()
	kind := ReadPlatform
	if y.watchInFlight {
		kind = WatchPlatform
	}
	do(Request{Kind: kind, After: s.Revision()})
}

// expireRequests abandons requests whose response is overdue, since a connection
// can fail without being closed. It also removes peers without heartbeats.
func (y *Syncer) expireRequests(now ids.Time) {
	if y.queriedPeer != "" && now.Sub(y.queriedAt) >= peerTimeout {
		p := y.peers[y.queriedPeer]
		p.failedAt = now
		p.failures++
		y.peers[y.queriedPeer] = p
		y.queriedPeer = ""
		y.peerFailures++
	}
	limit := readTimeout
	if y.watchInFlight {
		limit = watchTimeout
	}
	if y.readInFlight && now.Sub(y.readSentAt) >= limit {
		y.readInFlight, y.watchInFlight = false, false
		y.backOff(now)
	}
	for id, p := range y.peers {
		if now.Sub(p.lastHeartbeatAt) >= silenceTimeout {
			delete(y.peers, id)
		}
	}
}

// newestPeerRevision returns the highest revision reported by a peer.
func (y *Syncer) newestPeerRevision() ids.Revision {
	var r ids.Revision
	for _, p := range y.peers {
		r = max(r, p.revision)
	}
	return r
}

// updateReady updates ready from the revision of the store.
func (y *Syncer) updateReady(now ids.Time, ownRevision ids.Revision) {
	newest := max(y.newestPeerRevision(), y.platformRevision)
	waited := now.Sub(y.startedAt)
	upToDate := ownRevision >= newest && (ownRevision > 0 && len(y.peers) > 0 || y.readComplete && waited >= joinPeerTimeout)
	y.ready = upToDate || waited >= joinTimeout && ownRevision > 0
}

// queryPeer requests changes from a peer that reported a newer revision or, when
// there is none, from any peer for valid values that may have been missed.
func (y *Syncer) queryPeer(now ids.Time, s *Store, do func(Request)) {
	if y.queriedPeer != "" {
		return
	}
	ownRevision := s.Revision()
	after, behind := ownRevision, y.newestPeerRevision() > ownRevision
	minRevision := ownRevision + 1
	if !behind {
		var unconfirmed bool
		if after, unconfirmed = s.UnconfirmedAfter(); !unconfirmed {
			y.unconfirmedInterval = 0
			return
		}
		if now < y.nextUnconfirmedAt {
			return
		}
		minRevision = 0
		y.unconfirmedInterval = min(max(2*y.unconfirmedInterval, minUnconfirmedInterval), maxUnconfirmedInterval)
		y.nextUnconfirmedAt = now.Add(y.unconfirmedInterval)
	}
	var list []ids.Instance
	for id, p := range y.peers {
		if p.revision >= minRevision && p.usable(now) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		if behind {
			y.peerFailures = maxPeerFailures // no peer can respond: read the platform
		}
		return
	}
	slices.Sort(list)
	y.queriedPeer, y.queriedAt = list[y.rng.IntN(len(list))], now
	do(Request{FetchFromPeer, y.queriedPeer, after})
}

// shouldRead reports whether this instance should read the platform itself now.
func (y *Syncer) shouldRead(now ids.Time, ownRevision ids.Revision, watch bool) bool {
	switch {
	case !y.ready:
		// Peers are queried first, but a large difference takes too long to
		// transfer over control links.
		waited := now.Sub(y.startedAt)
		return waited >= joinPeerTimeout || y.moreExpected || len(y.peers) == 0 && !y.readComplete && waited >= joinAloneTimeout
	case y.platformRevision > ownRevision || y.moreExpected && !watch:
		return true
	case y.peerFailures >= maxPeerFailures:
		return true
	case watch:
		return false
	}
	return now.Sub(y.lastHeartbeatAt) >= y.silenceLimit || now >= y.nextPollAt
}

// isWatcher reports whether this instance is one of the Watchers. The result is
// cached for as long as the same slice is passed.
func (y *Syncer) isWatcher(serving []ids.Instance) bool {
	unchanged := len(serving) == len(y.serving) && (len(serving) == 0 || &serving[0] == &y.serving[0])
	if !unchanged {
		y.serving, y.watcher = serving, slices.Contains(Watchers(serving), y.self)
	}
	return y.watcher
}

// Watchers returns the instances that watch the platform for a data centre
// with the given serving instances.
func Watchers(serving []ids.Instance) []ids.Instance {
	nodes := make([]uint64, len(serving))
	for i, id := range serving {
		nodes[i] = ids.Hash(string(id))
	}
	var out []ids.Instance
	for _, i := range ids.Rank(nil, nodes, ids.Hash(watchRankKey), watcherCount) {
		out = append(out, serving[i])
	}
	return out
}

// Peers returns the last revision reported by each peer, for inspection.
func (y *Syncer) Peers() map[ids.Instance]ids.Revision {
	out := make(map[ids.Instance]ids.Revision, len(y.peers))
	for id, p := range maps.All(y.peers) {
		out[id] = p.revision
	}
	return out
}
