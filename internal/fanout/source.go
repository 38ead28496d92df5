package fanout

import (
	"context"
	"errors"
	"log/slog"
	"slices"
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
	// WantsMembers reports whether OnMembers is to be called with the members of the fleet
	// after each announcement. Both may be nil.
	WantsMembers func() bool
	OnMembers    func(MembersView)
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
	// platformLostAt and platformFailedAt are when the platform failed first and last
	// since it was read. They are zero while it can be read.
	platformLostAt, platformFailedAt time.Time
	// fallback is the fallback that was followed last.
	fallback Instance
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
	members   members

	cutOff          atomic.Bool   // the last read of the platform failed
	fallbacksNeeded chan struct{} // signalled when it becomes true

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
	s := &Source{config: c, platform: platform, clients: map[ids.Instance]*client{}, failedAt: map[ids.Instance]time.Time{}, fallbacksNeeded: make(chan struct{}, 1)}
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
	if s.Current() != platformName {
		wait, timeout = 0, timeout-wait // it may be silent, and the sources were given time already
	}
	u, err := s.platform.ReadChanges(ctx, after, wait, timeout)
	s.config.OnRead(platformName, err)
	if s.outage = err != nil; s.outage {
		delete(s.failedAt, s.staleSource) // follow it again until it or the platform recovers
	}
	lost := errors.Is(err, follow.ErrHistoryLost) || errors.Is(err, follow.ErrRestored)
	if lost {
		s.lostPosition = after
	}
	s.recordPlatformRead(err != nil && !lost)
	if err == nil {
		s.setCurrent(platformName, nil)
	}
	return u, err
}

// readPeers reads the next update from the first instance that is up to date. It returns
// false if there is none, or none responds before the own state is too old. During an
// outage it then waits up to staleSourceWait for a stale source: the first instance that
// reaches the platform again passes the update on, so that the others need not retry the
// platform.
func (s *Source) readPeers(ctx context.Context, after follow.Position) (follow.Update, bool) {
	peersCtx, cancel := s.untilTooOld(ctx)
	defer cancel()
	var stale *client
	for _, i := range s.sources() {
		if peersCtx.Err() != nil {
			break
		}
		if time.Since(s.failedAt[i.ID]) < peerRetryInterval {
			continue
		}
		c := s.client(i)
		u, err := s.readFresh(peersCtx, c, after, 0)
		s.config.OnRead("instance", err)
		switch {
		case err == nil:
			s.setSource(i)
			return u, true
		case errors.Is(err, errStale) && s.outage && stale == nil:
			stale = c
		default:
			s.recordPeerFailure(ctx, c, err)
		}
	}
	if u, ok := s.readFallback(peersCtx, after); ok {
		return u, true
	}
	if stale == nil {
		s.closeOthers("")
		return follow.Update{}, false
	}
	u, err := s.readFresh(peersCtx, stale, after, staleSourceWait)
	s.config.OnRead("instance", err)
	if err != nil {
		// It is followed again after the next attempt to read the platform.
		s.setCurrent("none", eris.Wrapf(err, "source %s", stale.instance.ID))
		s.closeOthers(stale.instance.ID)
		return follow.Update{}, false
	}
	s.setSource(stale.instance)
	return u, true
}

// client returns the client for an instance, which may be connected already.
func (s *Source) client(i Instance) *client {
	c := s.clients[i.ID]
	if c == nil || c.instance != i {
		c = &client{instance: i, configVersion: s.config.State.Version}
		s.clients[i.ID] = c
	}
	return c
}

// setSource records that an instance is the source of the last update.
func (s *Source) setSource(i Instance) {
	s.setCurrent(string(i.ID), nil)
	s.closeOthers(i.ID)
}

// recordPeerFailure records that an instance cannot be used as a source for a while.
func (s *Source) recordPeerFailure(ctx context.Context, c *client, err error) {
	id := c.instance.ID
	s.failedAt[id] = time.Now()
	if errors.Is(err, errStale) {
		s.staleSource = id
	}
	c.close()
	if ctx.Err() == nil {
		s.config.State.neighbourLost()
		s.setCurrent("none", eris.Wrapf(err, "source %s", id))
	}
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
// is older than MaxAge, and does not become fresh within wait. It returns errCycle if the
// state of the instance came through this one: both would wait for each other.
func (s *Source) readFresh(ctx context.Context, c *client, after follow.Position, wait time.Duration) (follow.Update, error) {
	start := time.Now()
	for {
		u, err := c.read(ctx, after)
		switch {
		case err != nil:
			return u, err
		case u.Era < after.Era:
			c.close()
			return u, eris.Wrapf(errStale, "era %d, expected %d", u.Era, after.Era)
		case slices.Contains(u.Path, pathHash(s.config.Self.ID)):
			c.close()
			return u, errCycle
		case u.Age <= s.config.MaxAge:
			if u.SentAt == 0 {
				// An instance of the former release tells only its age, which counts
				// neither the time of its read nor that of the transfer.
				u.CurrentAt = time.Now().Add(-u.Age - s.config.MaxAge - livenessTimeout)
			}
			return u, nil
		}
		if hasChanges(&u) {
			c.close() // the content is discarded and must be sent again
			return u, eris.Wrapf(errStale, "age %s, at most %s", u.Age.Round(time.Millisecond), s.config.MaxAge)
		}
		if time.Since(start) >= wait {
			return u, eris.Wrapf(errStale, "age %s, at most %s", u.Age.Round(time.Millisecond), s.config.MaxAge)
		}
		after = u.Position()
	}
}

// hasChanges reports whether an update has any content beyond its position and age.
func hasChanges(u *follow.Update) bool {
	return u.Complete || len(u.Targets) > 0 || u.Config != nil || u.ConfigDelta != nil || u.Evacuations != nil
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
