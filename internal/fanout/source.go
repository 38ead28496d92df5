package fanout

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/httpget"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// peerRetryInterval is the time after a failure during which an instance is not
	// used as a source.
	peerRetryInterval = 3 * time.Second
	// seedTimeout bounds a request to a seed.
	seedTimeout = 500 * time.Millisecond
	// maxRankingBytes bounds the size of the response of a seed.
	maxRankingBytes = 64 << 10
)

// platformName is the source name of the platform in logs and metrics.
const platformName = "platform"

const (
	// platformHeadStart is the share of the timeout of a full read during which a
	// starting instance waits for the platform alone. When all instances start
	// together, the platform is slower and no other instance has a state yet.
	platformHeadStart = 0.5
	// staleSourceWait is the time for which an instance that cannot read the platform
	// follows a stale source before it retries the platform. 2,500 instances that
	// retried every 0.3 s would exceed the request rate of the platform when it
	// recovers.
	staleSourceWait = time.Second
	// startConnectTimeout and startPeerTimeout bound the time for which a starting
	// instance that has read the platform waits for a connection to other instances and
	// for what they know beyond that. Callers wait meanwhile: after a loss of power of
	// all instances, 300 ms for both cost a tenth of the requests of the next 2 s.
	startConnectTimeout = 40 * time.Millisecond
	startPeerTimeout    = 120 * time.Millisecond
	// latePeerTimeout bounds the time within which an answer is taken into account
	// although the instance serves already.
	latePeerTimeout = 700 * time.Millisecond
	// maxMemoryAge is the age up to which the state of another instance may know what
	// the platform lost in a restore.
	maxMemoryAge = 30 * time.Second
	// hedgeDelay is the time without a response after which the state, which is large,
	// is also requested from the next instance.
	hedgeDelay = 100 * time.Millisecond
)

// errNoSource is returned at start-up when no source responded in time.
var errNoSource = eris.New("no response from the platform or any instance")

// errStale is returned for an instance whose state is too old to be used.
var errStale = eris.New("state of the source is stale")

// Config holds the parameters of a Source.
type Config struct {
	DataCentre ids.DataCentre
	Self       Instance
	Seeds      []string // host and port
	// MaxAge is the maximum age of the state of another instance. If it is older, the
	// platform is read directly.
	MaxAge time.Duration
	Log    *slog.Logger
	// State is the state into which the updates of the source are applied.
	State *State
	// OnInstanceCount is called with the number of live instances of the data centre
	// when it changes.
	OnInstanceCount func(n int)
	// OnRead is called after each read with its source, "platform" or "instance", and
	// its error.
	OnRead func(source string, err error)
}

// Source reads from instances ranked above this one, or else from the platform. It
// implements follow.Source.
type Source struct {
	config   Config
	platform follow.Source
	seeds    []*httpget.Client

	mu       sync.Mutex
	ranking  Ranking
	rankedAt time.Time

	// Used by the follower's goroutine only.
	clients  map[ids.Instance]*client
	failedAt map[ids.Instance]time.Time
	// outage is set while neither the platform nor an up-to-date source responds.
	outage bool
	// staleSource is the instance most recently found to be stale.
	staleSource ids.Instance
	// lostPosition is the position after which the platform no longer has the changes.
	// A state of this position or older is useless, as the platform cannot provide the
	// changes that follow it.
	lostPosition follow.Position
	// askedEra is the latest era in which other instances were asked what a restore
	// lost.
	askedEra uint64
	// late gets the answer of another instance that did not come within
	// startPeerTimeout; nil if none is expected.
	late chan *follow.Update

	seedsLost bool // used by Announce only

	currentSource atomic.Value // string: source of the last update
}

// NewSource returns a source that reads from platform when no instance can be used.
func NewSource(platform follow.Source, c Config) *Source {
	if c.OnInstanceCount == nil {
		c.OnInstanceCount = func(int) {}
	}
	if c.OnRead == nil {
		c.OnRead = func(string, error) {}
	}
	s := &Source{config: c, platform: platform, clients: map[ids.Instance]*client{}, failedAt: map[ids.Instance]time.Time{}}
	s.currentSource.Store("")
	for _, seed := range c.Seeds {
		s.seeds = append(s.seeds, httpget.New("http://"+seed, maxRankingBytes))
	}
	return s
}

// Announce announces this instance to the seeds periodically until ctx ends, and
// records the ranking from their responses. It then notifies the seeds that the
// instance is shutting down.
func (s *Source) Announce(ctx context.Context) {
	var neighbourLostAt time.Time
	for {
		s.announce(ctx, false)
		timer := time.NewTimer(s.announceDelay(neighbourLostAt))
		for due := false; !due; {
			select {
			case <-ctx.Done():
				timer.Stop()
				leaving, cancel := context.WithTimeout(context.Background(), seedTimeout)
				s.announce(leaving, true)
				cancel()
				return
			case <-s.config.State.lostNeighbour:
				neighbourLostAt = time.Now()
				if s.urgent(neighbourLostAt) {
					timer.Reset(s.announceDelay(neighbourLostAt))
				}
			case <-timer.C:
				due = true
			}
		}
	}
}

// urgent reports whether this instance has no state, or may be one of the few that have
// one and are not listed: without the platform, an instance that starts can get a state
// only from another one, and the seeds may have lost their lists together with the
// neighbour.
func (s *Source) urgent(neighbourLostAt time.Time) bool {
	age, ok := s.config.State.Age()
	return !ok || age > outageAge && time.Since(neighbourLostAt) < neighbourLossPeriod
}

// announceDelay returns the jittered time until the next announcement.
func (s *Source) announceDelay(neighbourLostAt time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := announceInterval(s.ranking.Known)
	if s.urgent(neighbourLostAt) {
		d = urgentInterval(s.ranking.Known)
	}
	return d/2 + rand.N(d)
}

// announce sends the announcement to all seeds at once and uses the first response,
// so that seeds that are down cause no delay.
func (s *Source) announce(ctx context.Context, leaving bool) {
	if len(s.seeds) == 0 {
		return
	}
	_, holdsState := s.config.State.Age()
	a := announcement{s.config.DataCentre, s.config.Self, leaving, holdsState}
	path := instancesPath + "?" + a.query()
	var calls sync.WaitGroup
	var first sync.Once
	var reachable atomic.Bool
	for _, seed := range s.seeds {
		calls.Go(func() {
			var ranking Ranking
			if err := seed.Get(ctx, path, seedTimeout, &ranking); err != nil {
				s.config.Log.Debug("seed-unreachable", "seed", seed.BaseURL(), "error", err)
				return
			}
			reachable.Store(true)
			first.Do(func() { s.setRanking(ranking) })
		})
	}
	calls.Wait()
	if ctx.Err() != nil && !leaving && !reachable.Load() {
		return // cancelled by a planned stop, which says nothing about the seeds
	}
	s.recordSeedResult(reachable.Load())
}

// recordSeedResult logs when all seeds become unreachable and when one responds
// again.
func (s *Source) recordSeedResult(reachable bool) {
	switch {
	case reachable && s.seedsLost:
		s.config.Log.Info("seeds-regained")
	case !reachable && !s.seedsLost:
		s.config.Log.Warn("seeds-lost", "seeds", strings.Join(s.config.Seeds, ","))
	}
	s.seedsLost = !reachable
}

func (s *Source) setRanking(ranking Ranking) {
	s.mu.Lock()
	old := s.ranking
	s.ranking, s.rankedAt = ranking, time.Now()
	s.mu.Unlock()
	if ranking.Live != old.Live {
		s.config.OnInstanceCount(ranking.Live)
	}
	if !slices.Equal(ranking.Sources, old.Sources) {
		names := make([]string, len(ranking.Sources))
		for i, r := range ranking.Sources {
			names[i] = string(r.ID)
		}
		s.config.Log.Info("ranking-changed", "sources", strings.Join(names, ","), "live", ranking.Live)
	}
}

// sources returns the instances that this one may follow, in order of preference. It
// returns nil when the ranking has expired.
func (s *Source) sources() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.rankedAt) > s.rankingTTL() {
		return nil
	}
	return s.ranking.Sources
}

// rankingTTL returns the time for which a ranking stays valid while no seed responds.
func (s *Source) rankingTTL() time.Duration {
	return (expiryIntervals + 2) * announceInterval(s.ranking.Known)
}

// ReadAll implements follow.Source. It reads the platform first. If that fails or
// takes too long, it accepts the state of any instance, preferably of the same data
// centre and regardless of age: an instance cannot serve without a state, and reads
// the changes made since then afterwards. The read of the platform continues in
// parallel as long as it makes progress. Of the first read of the platform in an era,
// another instance is asked what a restore may have lost.
func (s *Source) ReadAll(ctx context.Context, timeout time.Duration) (follow.Update, error) {
	u, source, err := s.readAll(ctx, timeout)
	if err != nil {
		return u, err
	}
	if u.Era > s.askedEra && source == platformName { // without eras there are no restores
		s.askedEra = u.Era
		s.completeFromPeers(ctx, &u)
	}
	s.setCurrent(source, nil)
	return u, nil
}

// completeFromPeers adds to a full read of the platform what another instance knows
// beyond it. An answer that takes too long is returned by ReadChanges.
func (s *Source) completeFromPeers(ctx context.Context, u *follow.Update) {
	known := make(chan *follow.Update, 1)
	go s.askPeers(context.WithoutCancel(ctx), *u, known)
	select {
	case peer := <-known:
		addKnowledge(u, peer)
	case <-time.After(startPeerTimeout):
		s.late = known
	}
}

// addKnowledge adds the answer of another instance, which may be nil, to an update.
func addKnowledge(u, peer *follow.Update) {
	switch {
	case peer == nil:
	case peer.Complete:
		u.Before = peer
	default:
		u.Config = peer.Config
	}
}

// askPeers sends to known what another instance knows beyond u: its full state, or a
// configuration. It sends nil if none knows more.
func (s *Source) askPeers(ctx context.Context, u follow.Update, known chan<- *follow.Update) {
	ctx, cancel := context.WithTimeout(ctx, latePeerTimeout)
	defer cancel()
	version := uint64(0)
	if u.Config != nil {
		version = u.Config.Version
	}
	results := s.hedgedReads(ctx, 0, func(ctx context.Context, i Instance) (follow.Update, error) {
		c := client{instance: i, configVersion: func() uint64 { return version }, connectTimeout: startConnectTimeout}
		defer c.close()
		return c.readStarting(ctx, u.Position())
	})
	for result := range results {
		peer := &result.update
		switch {
		case result.err != nil, peer.Age > maxMemoryAge:
			continue // it has no state yet, is unreachable or has been cut off
		case peer.Complete:
		case peer.Config != nil && peer.Config.Version > version:
		case peer.ConfigDelta != nil && peer.ConfigDelta.Version > version && peer.ConfigDelta.Base == version:
			peer.Config, peer.ConfigDelta = applyDelta(u.Config, peer.ConfigDelta), nil
		default:
			known <- nil
			return
		}
		known <- peer
		return
	}
	known <- nil
}

// lateKnowledge waits for an answer of another instance that did not come in time for
// the full read. It returns false if there is none.
func (s *Source) lateKnowledge(after follow.Position) (follow.Update, bool) {
	if s.late == nil {
		return follow.Update{}, false
	}
	peer := <-s.late // within latePeerTimeout
	s.late = nil
	u := follow.Update{Era: after.Era, Revision: after.Revision, Direct: true}
	addKnowledge(&u, peer)
	return u, peer != nil
}

// readAll returns a full state and its source.
func (s *Source) readAll(ctx context.Context, timeout time.Duration) (follow.Update, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the remaining reads
	platformResults := make(chan readResult, 1)
	go func() {
		u, err := s.platform.ReadAll(ctx, timeout)
		platformResults <- readResult{u, err, platformName}
	}()
	headStart := time.NewTimer(time.Duration(float64(timeout) * platformHeadStart))
	defer headStart.Stop()
	platformResult := readResult{err: errNoSource}
	select {
	case platformResult = <-platformResults:
		s.config.OnRead(platformName, platformResult.err)
		if platformResult.err == nil {
			return platformResult.update, platformName, nil
		}
		platformResults = nil
	case <-headStart.C:
	}
	peerResults := s.hedgedReads(ctx, hedgeDelay, func(ctx context.Context, i Instance) (follow.Update, error) {
		c := client{instance: i, configVersion: noVersion}
		defer c.close()
		return c.read(ctx, follow.Position{})
	})
	for platformResults != nil || peerResults != nil {
		select {
		case result := <-platformResults:
			s.config.OnRead(platformName, result.err)
			platformResults = nil
			if result.err == nil {
				return result.update, platformName, nil
			}
			platformResult = result
		case result, ok := <-peerResults:
			if !ok {
				peerResults = nil
				continue
			}
			if result.err == nil && s.lostPosition.Revision != 0 && result.update.Position().Compare(s.lostPosition) <= 0 {
				result.err = errStale
			}
			s.config.OnRead("instance", result.err)
			if result.err == nil {
				return result.update, result.source, nil
			}
		}
	}
	return follow.Update{}, "", platformResult.err
}

// readResult is the result of one of several concurrent reads.
type readResult struct {
	update follow.Update
	err    error
	source string
}

// hedgedReads reads from the instances of the same data centre and then from the seeds
// in random order. The next read starts when the previous one has failed or has not
// completed within delay. The channel is closed after the last result, or when ctx ends.
func (s *Source) hedgedReads(ctx context.Context, delay time.Duration, read func(context.Context, Instance) (follow.Update, error)) <-chan readResult {
	candidates := s.startCandidates()
	results := make(chan readResult, len(candidates))
	go func() {
		var reads sync.WaitGroup
		defer func() { reads.Wait(); close(results) }()
		for _, i := range candidates {
			failed := make(chan struct{})
			reads.Go(func() {
				u, err := read(ctx, i)
				results <- readResult{u, err, string(i.ID)}
				if err != nil {
					close(failed)
				}
			})
			select {
			case <-failed:
			case <-time.After(delay):
			case <-ctx.Done():
				return
			}
		}
	}()
	return results
}

// noVersion returns the configuration version of an instance that has none yet.
func noVersion() uint64 { return 0 }

// startCandidates returns the instances whose state may be read at start-up.
func (s *Source) startCandidates() []Instance {
	s.mu.Lock()
	candidates := slices.Clone(s.ranking.Holders)
	s.mu.Unlock()
	for _, i := range s.sources() {
		if !slices.Contains(candidates, i) {
			candidates = append(candidates, i)
		}
	}
	seeds := slices.Clone(s.config.Seeds)
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil && at != s.config.Self.Address {
			candidates = append(candidates, Instance{ID: ids.Instance("seed " + seed), Address: at})
		}
	}
	return candidates
}

// ReadChanges implements follow.Source.
func (s *Source) ReadChanges(ctx context.Context, after follow.Position, wait, timeout time.Duration) (follow.Update, error) {
	if u, ok := s.lateKnowledge(after); ok {
		return u, nil
	}
	if u, ok := s.readPeers(ctx, after); ok {
		s.outage = false
		return u, nil
	}
	u, err := s.platform.ReadChanges(ctx, after, wait, timeout)
	s.config.OnRead(platformName, err)
	if s.outage = err != nil; s.outage {
		delete(s.failedAt, s.staleSource) // follow it again until it or the platform recovers
	}
	if errors.Is(err, follow.ErrHistoryLost) || errors.Is(err, follow.ErrRestored) {
		s.lostPosition = after
	}
	if err == nil {
		s.setCurrent(platformName, nil)
	}
	return u, err
}

// readPeers reads the next update from the first source that is up to date. It returns
// false if there is none.
func (s *Source) readPeers(ctx context.Context, after follow.Position) (follow.Update, bool) {
	for _, i := range s.sources() {
		if time.Since(s.failedAt[i.ID]) < peerRetryInterval {
			continue
		}
		c := s.clients[i.ID]
		if c == nil || c.instance != i {
			c = &client{instance: i, configVersion: s.config.State.Version}
			s.clients[i.ID] = c
		}
		u, err := s.readFresh(ctx, c, after)
		s.config.OnRead("instance", err)
		if errors.Is(err, errStale) && s.outage {
			// The source is followed again after the next attempt to read the platform.
			s.setCurrent("none", eris.Wrapf(err, "source %s", i.ID))
			s.closeOthers(i.ID)
			return follow.Update{}, false
		}
		if err != nil {
			s.failedAt[i.ID] = time.Now()
			if errors.Is(err, errStale) {
				s.staleSource = i.ID
			}
			c.close()
			if ctx.Err() == nil {
				s.config.State.neighbourLost()
				s.setCurrent("none", eris.Wrapf(err, "source %s", i.ID))
			}
			continue
		}
		s.setCurrent(string(i.ID), nil)
		s.closeOthers(i.ID)
		return u, true
	}
	s.closeOthers("")
	return follow.Update{}, false
}

// readFresh reads the next update from an instance and returns errStale if its state
// is older than MaxAge. During an outage it first waits up to staleSourceWait for a
// fresh one: the first instance that reaches the platform again passes the update on,
// so that the others need not retry the platform.
func (s *Source) readFresh(ctx context.Context, c *client, after follow.Position) (follow.Update, error) {
	start := time.Now()
	for {
		u, err := c.read(ctx, after)
		if err == nil && u.Era < after.Era {
			c.close()
			return u, eris.Wrapf(errStale, "era %d, expected %d", u.Era, after.Era)
		}
		if err != nil || u.Age <= s.config.MaxAge {
			return u, err
		}
		if len(u.Targets) > 0 || u.Complete || u.Config != nil || u.ConfigDelta != nil {
			c.close() // the content is discarded and must be sent again
			return u, errStale
		}
		if !s.outage || time.Since(start) >= staleSourceWait {
			return u, errStale
		}
		after = u.Position()
	}
}

// closeOthers closes the connections to all instances except the one that is
// followed, as their messages would not be read.
func (s *Source) closeOthers(followed ids.Instance) {
	for id, c := range s.clients {
		if id != followed {
			c.close()
			delete(s.clients, id)
		}
	}
}

// Current returns the source of the last update: "platform" or the ID of an
// instance. It returns "none" after a source was lost, until the next update.
func (s *Source) Current() string { return s.currentSource.Load().(string) }

// setCurrent records the source of the last update and logs a change of it.
func (s *Source) setCurrent(source string, cause error) {
	old := s.Current()
	if source == old {
		return
	}
	if cause != nil {
		s.config.Log.Warn("source-lost", "source", old, "error", cause)
	} else {
		s.config.Log.Info("source-changed", "from", old, "to", source)
	}
	s.currentSource.Store(source)
}
