package fanout

import (
	"context"
	"errors"
	"log/slog"
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
	// maxRankingBytes bounds the size of the response of a seed.
	maxRankingBytes = 64 << 10
	// seedMaxIdle is the time for which the connection to a seed is kept between two
	// announcements. One that has gone silent costs a single announcement.
	seedMaxIdle = time.Minute
)

// platformName is the source name of the platform in logs and metrics.
const platformName = "platform"

// staleSourceWait is the time for which an instance that cannot read the platform
// follows a stale source before it retries the platform. 2,500 instances that retried
// every 0.3 s would exceed the request rate of the platform when it recovers.
const staleSourceWait = time.Second

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
	// askedAt is when the others were asked.
	askedAt time.Time

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
		s.seeds = append(s.seeds, httpget.New("http://"+seed, maxRankingBytes, seedMaxIdle))
	}
	return s
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
// false if there is none, or none responds before the own state is too old.
func (s *Source) readPeers(ctx context.Context, after follow.Position) (follow.Update, bool) {
	peersCtx, cancel := s.untilTooOld(ctx)
	defer cancel()
	for _, i := range s.sources() {
		if peersCtx.Err() != nil {
			break
		}
		if time.Since(s.failedAt[i.ID]) < peerRetryInterval {
			continue
		}
		c := s.clients[i.ID]
		if c == nil || c.instance != i {
			c = &client{instance: i, configVersion: s.config.State.Version}
			s.clients[i.ID] = c
		}
		u, err := s.readFresh(peersCtx, c, after)
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

// untilTooOld returns a context that ends when the own state reaches the age at which the
// platform has to be read. Each source may be silent for a while before it is given up;
// without a common limit these times would add up. During an outage there is no limit, as
// reading the platform does not help.
func (s *Source) untilTooOld(ctx context.Context) (context.Context, context.CancelFunc) {
	age, ok := s.config.State.Age()
	if !ok || s.outage {
		return context.WithCancel(ctx)
	}
	// A state of MaxAge is confirmed again by the next message, one interval later.
	return context.WithTimeout(ctx, s.config.MaxAge+heartbeatInterval-age)
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
			return u, eris.Wrapf(errStale, "age %s, at most %s", u.Age.Round(time.Millisecond), s.config.MaxAge)
		}
		if !s.outage || time.Since(start) >= staleSourceWait {
			return u, eris.Wrapf(errStale, "age %s, at most %s", u.Age.Round(time.Millisecond), s.config.MaxAge)
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
