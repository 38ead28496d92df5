package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// watchers is the number of instances in each data centre that watch the
	// platform; watchKey ranks them.
	watchers = 2
	watchKey = "config-watch"

	peerTimeout  = time.Second      // for the answer of a peer
	readTimeout  = 5 * time.Second  // for the answer to a read
	watchTimeout = 45 * time.Second // longer than the wait of a watch, 30 s
	watchGap     = 100 * time.Millisecond
	joinGap      = 500 * time.Millisecond // between reads while joining
	// staleGap is the least time until the next read of a platform that is
	// behind the peers; 2,500 instances cause at most 1,250 reads a second.
	staleGap = 2 * time.Second
	// Time between requests for a good value that may have been missed; it
	// doubles, since perhaps no peer knows one.
	wantedMin = 5 * time.Second
	wantedMax = 5 * time.Minute

	// joinPeers is the time that a joining instance gives its peers before it
	// also reads the platform; joinAlone applies while none has been heard.
	// joinLimit is the time after which it serves
	// what it has although a newer revision is known.
	joinPeers = time.Second
	joinAlone = 500 * time.Millisecond
	joinLimit = 3 * time.Second
	// peerAttempts without an answer lead to a read of the platform.
	peerAttempts = 3
	// peerRetry is the time until a peer that did not answer is asked again. It
	// doubles up to silence: the answer may be waiting for the byte budget of
	// the link, and each request causes another.
	peerRetry = 2 * time.Second

	// silence is the time without heartbeats after which an instance reads
	// the platform itself; silenceJitter spreads the reads of a fleet.
	silence       = 10 * time.Second
	silenceJitter = 5 * time.Second
	// pollGap bounds the age of the configuration when the watchers cannot
	// reach the platform and do not know it. 2,500 instances cause 33 reads a
	// second, of 2,000 allowed.
	pollGap    = time.Minute
	pollJitter = 30 * time.Second
	// Time until the next attempt after failed reads of the platform.
	backoffMin = time.Second
	backoffMax = 30 * time.Second
	// watcherBackoff is the maximum for watchers, on whom the others wait: 10
	// in 5 data centres cause 5 reads a second.
	watcherBackoff = 2 * time.Second
)

// RequestKind selects what a Syncer asks for.
type RequestKind uint8

// Kinds of requests.
const (
	FetchFromPeer RequestKind = iota // send ConfigRequest{After} to Peer
	ReadPlatform                     // read the changes after After
	WatchPlatform                    // the same, and wait for one
)

// Request is one thing that a Syncer wants done.
type Request struct {
	Kind  RequestKind
	Peer  ids.Instance
	After ids.Revision
}

// Syncer decides when an instance asks a peer for configuration, reads the
// platform, or watches it. It performs nothing itself: Tick returns requests,
// and the results are reported to DeltaApplied and Read.
type Syncer struct {
	self  ids.Instance
	rng   *rand.Rand
	peers map[ids.Instance]peer

	startedAt ids.Time // start, or the end of a pause
	ready     bool
	answered  bool // the platform had nothing newer since startedAt
	more      bool // the last read brought something, so more may follow
	sentAfter ids.Revision

	asked     ids.Instance // peer asked; empty when none
	askedAt   ids.Time
	attempts  int // requests to peers without an answer
	wantedAt  ids.Time
	wantedGap time.Duration
	inFlight  bool // a read or watch of the platform
	watching  bool // it is a watch
	sentAt    ids.Time
	platform  ids.Revision // highest revision that the platform reported
	readAfter ids.Time     // no read before, after failures
	backoff   time.Duration
	pollAt    ids.Time
	newsAt    ids.Time // last heartbeat
	silentFor time.Duration

	serving []ids.Instance // for which watcher holds
	watcher bool
}

type peer struct {
	revision ids.Revision
	heardAt  ids.Time
	failedAt ids.Time
	failures int // requests without an answer since the last answer
}

// usable reports whether the peer may be asked at now.
func (p *peer) usable(now ids.Time) bool {
	return p.failures == 0 || now.Sub(p.failedAt) >= min(peerRetry<<min(p.failures-1, 8), silence)
}

// NewSyncer returns the syncer of an instance that has no configuration.
func NewSyncer(self ids.Instance, seed uint64) *Syncer {
	return &Syncer{self: self, rng: rand.New(rand.NewPCG(seed, ids.Hash(string(self)))), peers: map[ids.Instance]peer{}}
}

// Resume starts the join again after a pause. What peers reported before it
// is no longer evidence.
func (y *Syncer) Resume(now ids.Time) {
	clear(y.peers)
	y.begin(now)
}

func (y *Syncer) begin(now ids.Time) {
	y.startedAt, y.newsAt, y.ready, y.answered = now, now, false, false
	y.more = false
	y.asked, y.attempts, y.inFlight, y.readAfter, y.backoff = "", 0, false, 0, 0
	y.pollAt = now.Add(pollGap + y.jitter(pollJitter))
	y.silentFor = silence + y.jitter(silenceJitter)
}

func (y *Syncer) jitter(d time.Duration) time.Duration { return time.Duration(y.rng.Int64N(int64(d))) }

// Ready reports whether the configuration is the newest one found, or the
// time to look for it has passed and there is at least a stale one.
func (y *Syncer) Ready() bool { return y.ready }

// ObserveRevision handles the revision in a heartbeat.
func (y *Syncer) ObserveRevision(now ids.Time, from ids.Instance, r ids.Revision) {
	if y.backoff > backoffMin && r > y.newest() {
		// A peer has news, so the platform can probably be reached again.
		// 2,500 instances cause at most 1,250 reads a second.
		y.backoff = backoffMin
		y.readAfter = min(y.readAfter, now.Add(y.jitter(staleGap)))
	}
	p := y.peers[from]
	p.revision, p.heardAt = r, now
	y.peers[from] = p
	y.newsAt = now
}

// DeltaApplied handles a ConfigDelta that has been applied to the store.
func (y *Syncer) DeltaApplied(now ids.Time, from ids.Instance) {
	if p, ok := y.peers[from]; ok {
		p.failures = 0
		y.peers[from] = p
	}
	if from == y.asked {
		y.asked, y.attempts = "", 0
	}
}

// Read handles the result of a read or watch after it was published to the
// store. upto is the highest revision that the platform knows.
func (y *Syncer) Read(now ids.Time, upto ids.Revision, ok bool) {
	y.inFlight, y.watching = false, false
	if !ok {
		y.failed(now)
		return
	}
	// A read returns at most 1 MB, so only one that brings nothing new shows
	// that everything has been read.
	y.more = upto > y.sentAfter
	y.answered, y.backoff = y.answered || !y.more, 0
	y.platform = upto
	y.pollAt = now.Add(pollGap + y.jitter(pollJitter))
	y.readAfter = now.Add(watchGap)
	switch {
	case !y.ready && !y.more:
		y.readAfter = now.Add(joinGap)
	case upto < y.newest():
		y.readAfter = now.Add(staleGap + y.jitter(staleGap))
	}
}

func (y *Syncer) failed(now ids.Time) {
	limit := backoffMax
	if y.watcher {
		limit = watcherBackoff
	}
	y.backoff = min(max(2*y.backoff, backoffMin), limit)
	y.readAfter = now.Add(y.backoff/2 + y.jitter(y.backoff))
}

// Tick returns what to do now. serving lists the serving instances of the own
// data centre. It is called every 10 ms.
func (y *Syncer) Tick(now ids.Time, s *Store, serving []ids.Instance, do func(Request)) {
	if y.startedAt == 0 {
		y.begin(now)
	}
	y.expire(now)
	if !y.ready {
		y.checkReady(now, s.Revision())
	}
	y.askPeer(now, s, do)
	if y.inFlight || now < y.readAfter {
		return
	}
	watch := y.isWatcher(serving)
	switch {
	case y.mustRead(now, s.Revision(), watch):
		y.silentFor = silence + y.jitter(silenceJitter)
		y.newsAt = max(y.newsAt, now.Add(-silence/2)) // next read of a silent instance
		y.attempts = 0
	case watch:
		y.watching = true
	default:
		return
	}
	y.inFlight, y.sentAt, y.sentAfter = true, now, s.Revision()
	kind := ReadPlatform
	if y.watching {
		kind = WatchPlatform
	}
	do(Request{Kind: kind, After: s.Revision()})
}

// expire gives up requests that went unanswered: a connection may go silent
// without being closed.
func (y *Syncer) expire(now ids.Time) {
	if y.asked != "" && now.Sub(y.askedAt) >= peerTimeout {
		p := y.peers[y.asked]
		p.failedAt = now
		p.failures++
		y.peers[y.asked] = p
		y.asked = ""
		y.attempts++
	}
	limit := readTimeout
	if y.watching {
		limit = watchTimeout
	}
	if y.inFlight && now.Sub(y.sentAt) >= limit {
		y.inFlight, y.watching = false, false
		y.failed(now)
	}
	for id, p := range y.peers {
		if now.Sub(p.heardAt) >= silence {
			delete(y.peers, id)
		}
	}
}

// newest returns the highest revision reported by a peer.
func (y *Syncer) newest() ids.Revision {
	var r ids.Revision
	for _, p := range y.peers {
		r = max(r, p.revision)
	}
	return r
}

func (y *Syncer) checkReady(now ids.Time, have ids.Revision) {
	newest := max(y.newest(), y.platform)
	waited := now.Sub(y.startedAt)
	found := have >= newest && (have > 0 && len(y.peers) > 0 || y.answered && waited >= joinPeers)
	y.ready = found || waited >= joinLimit && have > 0
}

// askPeer asks a peer that reported a newer revision, or any peer for good
// values that were missed.
func (y *Syncer) askPeer(now ids.Time, s *Store, do func(Request)) {
	if y.asked != "" {
		return
	}
	have := s.Revision()
	after, behind := have, y.newest() > have
	least := have + 1
	if !behind {
		var wanted bool
		if after, wanted = s.UnconfirmedAfter(); !wanted {
			y.wantedGap = 0
			return
		}
		if now < y.wantedAt {
			return
		}
		least = 0
		y.wantedGap = min(max(2*y.wantedGap, wantedMin), wantedMax)
		y.wantedAt = now.Add(y.wantedGap)
	}
	var list []ids.Instance
	for id, p := range y.peers {
		if p.revision >= least && p.usable(now) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		if behind {
			y.attempts = peerAttempts
		}
		return
	}
	slices.Sort(list)
	y.asked, y.askedAt = list[y.rng.IntN(len(list))], now
	do(Request{FetchFromPeer, y.asked, after})
}

// mustRead reports whether this instance reads the platform itself now.
func (y *Syncer) mustRead(now ids.Time, have ids.Revision, watch bool) bool {
	switch {
	case !y.ready:
		// Peers first; a large difference takes too long on control links.
		waited := now.Sub(y.startedAt)
		return waited >= joinPeers || y.more || len(y.peers) == 0 && !y.answered && waited >= joinAlone
	case y.platform > have || y.more && !watch:
		return true
	case y.attempts >= peerAttempts:
		return true
	case watch:
		return false
	}
	return now.Sub(y.newsAt) >= y.silentFor || now >= y.pollAt
}

// isWatcher reports whether this instance is one of those ranked first. The
// result is kept for as long as the same list is passed.
func (y *Syncer) isWatcher(serving []ids.Instance) bool {
	same := len(serving) == len(y.serving) && (len(serving) == 0 || &serving[0] == &y.serving[0])
	if !same {
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
	for _, i := range ids.Rank(nil, nodes, ids.Hash(watchKey), watchers) {
		out = append(out, serving[i])
	}
	return out
}

// Peers returns the revision that each peer reported last, for inspection.
func (y *Syncer) Peers() map[ids.Instance]ids.Revision {
	out := make(map[ids.Instance]ids.Revision, len(y.peers))
	for id, p := range maps.All(y.peers) {
		out[id] = p.revision
	}
	return out
}
