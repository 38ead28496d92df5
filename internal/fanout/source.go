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
	// retryPeer is the time for which an instance that failed as a source is not
	// asked again.
	retryPeer = 3 * time.Second
	// seedTimeout bounds the call of a seed.
	seedTimeout = 500 * time.Millisecond
	// maxRanking bounds the answer of a seed, in bytes.
	maxRanking = 64 << 10
)

// platformName is the name of the platform as a source.
const platformName = "platform"

const (
	// platformHead is the share of the time for a full read for which an instance
	// that starts waits for the platform alone. When all start together the
	// platform takes longer, and nobody else knows anything.
	platformHead = 0.5
	// staleWait is the time for which an instance that cannot read the platform
	// listens to a source that cannot either, before it tries again. 2,500 instances
	// that tried every 0.3 s would exceed the rate of the platform at its return.
	staleWait = time.Second
	// hedgeAfter is the time without an answer after which the next instance is
	// asked as well.
	hedgeAfter = 100 * time.Millisecond
)

// errNoInstance is the error of a start at which nobody answered in time.
var errNoInstance = eris.New("neither the platform nor an instance has answered")

// errStale is the error of an instance that has not heard from the platform
// for too long.
var errStale = eris.New("its state is stale")

// Config of a Source.
type Config struct {
	DataCentre ids.DataCentre
	Self       Instance
	Seeds      []string // host and port
	// MaxAge is the greatest age of the state of another instance: beyond it
	// the platform is read directly.
	MaxAge time.Duration
	Log    *slog.Logger
	// ConfigVersion returns the present version of the configuration, 0 for none.
	ConfigVersion func() uint64
	// OnInstanceCount is called with the number of live instances of the data centre
	// when it has changed.
	OnInstanceCount func(n int)
	// OnRead is called for each read with its source, "platform" or "instance".
	OnRead func(source string, err error)
}

// Source reads from the instances above this one in the ranking, or else from
// the platform. It implements follow.Source.
type Source struct {
	config   Config
	platform follow.Source
	seeds    []*httpget.Client

	mu       sync.Mutex
	ranking  Ranking
	rankedAt time.Time

	// Used by the follower's goroutine only.
	clients map[ids.Instance]*client
	failed  map[ids.Instance]time.Time
	// outage is set while neither the platform nor an up to date source answers.
	outage bool
	// stale is the source that was last found to be stale.
	stale ids.Instance
	// lost is the revision after which the platform no longer has the changes.
	// The state of an instance that knows no more leads nowhere.
	lost uint64

	seedsLost bool // used by Announce only

	current atomic.Value // string: source of the last update
}

// NewSource returns a source that falls back to platform.
func NewSource(platform follow.Source, c Config) *Source {
	if c.OnInstanceCount == nil {
		c.OnInstanceCount = func(int) {}
	}
	if c.OnRead == nil {
		c.OnRead = func(string, error) {}
	}
	s := &Source{config: c, platform: platform, clients: map[ids.Instance]*client{}, failed: map[ids.Instance]time.Time{}}
	s.current.Store("")
	for _, seed := range c.Seeds {
		s.seeds = append(s.seeds, httpget.New("http://"+seed, maxRanking))
	}
	return s
}

// Announce keeps this instance known at the seeds until ctx ends, and learns
// the ranking from them. Then it tells them that the instance leaves.
func (s *Source) Announce(ctx context.Context) {
	for {
		s.announce(ctx, false)
		select {
		case <-ctx.Done():
			leaving, cancel := context.WithTimeout(context.Background(), seedTimeout)
			s.announce(leaving, true)
			cancel()
			return
		case <-time.After(s.pause()):
		}
	}
}

// pause returns the jittered time until the next announcement.
func (s *Source) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := interval(s.ranking.Known)
	return d/2 + rand.N(d)
}

// announce asks all seeds at once and takes the first answer, so that seeds
// that are down cost no time.
func (s *Source) announce(ctx context.Context, leaving bool) {
	if len(s.seeds) == 0 {
		return
	}
	a := announcement{s.config.DataCentre, s.config.Self, leaving}
	path := instancesPath + "?" + a.query()
	var calls sync.WaitGroup
	var first sync.Once
	var answered atomic.Bool
	for _, seed := range s.seeds {
		calls.Go(func() {
			var ranking Ranking
			if err := seed.Get(ctx, path, seedTimeout, &ranking); err != nil {
				s.config.Log.Debug("seed-unreachable", "seed", seed.BaseURL(), "error", err)
				return
			}
			answered.Store(true)
			first.Do(func() { s.rank(ranking) })
		})
	}
	calls.Wait()
	s.noteSeeds(answered.Load())
}

// noteSeeds logs when the seeds are lost or answer again.
func (s *Source) noteSeeds(answered bool) {
	switch {
	case answered && s.seedsLost:
		s.config.Log.Info("seeds-regained")
	case !answered && !s.seedsLost:
		s.config.Log.Warn("seeds-lost", "seeds", strings.Join(s.config.Seeds, ","))
	}
	s.seedsLost = !answered
}

func (s *Source) rank(ranking Ranking) {
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

// sources returns the instances that this one may follow, the best first.
func (s *Source) sources() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.rankedAt) > s.rankingLife() {
		return nil
	}
	return s.ranking.Sources
}

// rankingLife is the time for which a ranking holds when no seed answers.
func (s *Source) rankingLife() time.Duration {
	return (lifeIntervals + 2) * interval(s.ranking.Known)
}

// ReadAll implements follow.Source. An instance that starts asks the platform
// first. If that fails or does not answer soon it takes the state of any instance,
// of the own or else another data centre and however old: it cannot serve without
// one, and reads on from there. The read of the platform goes on as long as it makes
// progress.
func (s *Source) ReadAll(ctx context.Context, timeout time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the reads that are not needed any more
	platform := make(chan answer, 1)
	go func() {
		u, err := s.platform.ReadAll(ctx, timeout)
		platform <- answer{u, err, platformName}
	}()
	head := time.NewTimer(time.Duration(float64(timeout) * platformHead))
	defer head.Stop()
	first := answer{err: errNoInstance}
	select {
	case first = <-platform:
		s.config.OnRead(platformName, first.err)
		if first.err == nil {
			s.note(platformName, nil)
			return first.update, nil
		}
		platform = nil
	case <-head.C:
	}
	others := s.askInTurn(ctx)
	for platform != nil || others != nil {
		select {
		case a := <-platform:
			s.config.OnRead(platformName, a.err)
			platform = nil
			if a.err == nil {
				s.note(platformName, nil)
				return a.update, nil
			}
			first = a
		case a, ok := <-others:
			if !ok {
				others = nil
				continue
			}
			if a.err == nil && s.lost != 0 && a.update.Revision <= s.lost {
				a.err = errStale
			}
			s.config.OnRead("instance", a.err)
			if a.err == nil {
				s.note(a.source, nil)
				return a.update, nil
			}
		}
	}
	return follow.Update{}, first.err
}

// answer is the outcome of one of several reads.
type answer struct {
	update follow.Update
	err    error
	source string
}

// askInTurn reads the state of one instance after the other, those of the own
// data centre first and then the seeds in random order. The next is asked when the
// one before has failed or not answered for hedgeAfter: a state is large. The
// channel is closed after the last answer, or when ctx ends.
func (s *Source) askInTurn(ctx context.Context) <-chan answer {
	list := s.known()
	answers := make(chan answer, len(list))
	go func() {
		var reads sync.WaitGroup
		defer func() { reads.Wait(); close(answers) }()
		for _, i := range list {
			failed := make(chan struct{})
			reads.Go(func() {
				c := client{instance: i, version: noVersion}
				u, err := c.read(ctx, 0)
				c.close()
				answers <- answer{u, err, string(i.ID)}
				if err != nil {
					close(failed)
				}
			})
			select {
			case <-failed:
			case <-time.After(hedgeAfter):
			case <-ctx.Done():
				return
			}
		}
	}()
	return answers
}

// noVersion is the version of an instance that starts.
func noVersion() uint64 { return 0 }

// known returns the instances whose state may be read at a start.
func (s *Source) known() []Instance {
	list := slices.Clone(s.sources())
	seeds := slices.Clone(s.config.Seeds)
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil && at != s.config.Self.Address {
			list = append(list, Instance{ID: ids.Instance("seed " + seed), Address: at})
		}
	}
	return list
}

// ReadChanges implements follow.Source.
func (s *Source) ReadChanges(ctx context.Context, after uint64, wait, timeout time.Duration) (follow.Update, error) {
	if u, ok := s.readPeers(ctx, after); ok {
		s.outage = false
		return u, nil
	}
	u, err := s.platform.ReadChanges(ctx, after, wait, timeout)
	s.config.OnRead(platformName, err)
	if s.outage = err != nil; s.outage {
		delete(s.failed, s.stale) // it is listened to until either is back
	}
	if errors.Is(err, follow.ErrHistoryLost) {
		s.lost = after
	}
	if err == nil {
		s.note(platformName, nil)
	}
	return u, err
}

// readPeers reads from the first source that is up to date.
func (s *Source) readPeers(ctx context.Context, after uint64) (follow.Update, bool) {
	for _, i := range s.sources() {
		if time.Since(s.failed[i.ID]) < retryPeer {
			continue
		}
		c := s.clients[i.ID]
		if c == nil || c.instance != i {
			c = &client{instance: i, version: s.config.ConfigVersion}
			s.clients[i.ID] = c
		}
		u, err := s.readFresh(ctx, c, after)
		s.config.OnRead("instance", err)
		if errors.Is(err, errStale) && s.outage {
			// It is listened to again after the next try of the platform.
			s.note("none", eris.Wrapf(err, "source %s", i.ID))
			s.closeOthers(i.ID)
			return follow.Update{}, false
		}
		if err != nil {
			s.failed[i.ID] = time.Now()
			if errors.Is(err, errStale) {
				s.stale = i.ID
			}
			c.close()
			if ctx.Err() == nil {
				s.note("none", eris.Wrapf(err, "source %s", i.ID))
			}
			continue
		}
		s.note(string(i.ID), nil)
		s.closeOthers(i.ID)
		return u, true
	}
	s.closeOthers("")
	return follow.Update{}, false
}

// readFresh reads the next update of an instance that is not too old. During an
// outage it waits for one: the first instance that reaches the platform again passes
// it on, so that not all have to keep trying.
func (s *Source) readFresh(ctx context.Context, c *client, after uint64) (follow.Update, error) {
	start := time.Now()
	for {
		u, err := c.read(ctx, after)
		if err != nil || u.Age <= s.config.MaxAge {
			return u, err
		}
		if len(u.Targets) > 0 || u.Complete || u.Config != nil || u.ConfigDelta != nil {
			c.close() // what it tells is not used, and must come again
			return u, errStale
		}
		if !s.outage || time.Since(start) >= staleWait {
			return u, errStale
		}
		after = u.Revision
	}
}

// closeOthers ends the connections to instances other than the one that is
// followed. Nobody would read what they send.
func (s *Source) closeOthers(followed ids.Instance) {
	for id, c := range s.clients {
		if id != followed {
			c.close()
			delete(s.clients, id)
		}
	}
}

// Current returns the source of the last update: "platform", the id of an
// instance, or "none" since a source was lost.
func (s *Source) Current() string { return s.current.Load().(string) }

// note logs a change of the source.
func (s *Source) note(source string, cause error) {
	old := s.Current()
	if source == old {
		return
	}
	if cause != nil {
		s.config.Log.Warn("source-lost", "source", old, "error", cause)
	} else {
		s.config.Log.Info("source-changed", "from", old, "to", source)
	}
	s.current.Store(source)
}
