package fanout

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// The platform may reject an instance, or be out of its reach, while it serves others.
// Until such an instance can read the platform or a source again, it follows a fallback:
// one of a few instances that the seeds name.

const (
	// platformRetryInterval is the time after a failed read of the platform during which
	// a fallback is preferred to another try. A platform that rejects an instance is then
	// asked rarely, and the age of the state grows little during each try.
	platformRetryInterval = 5 * time.Second
	// fallbackRetryInterval is the time after which a fallback is looked at again that
	// has not been up to date since the platform was lost, or still follows this instance:
	// it will read the platform itself soon.
	fallbackRetryInterval = time.Second
)

// errCycle is returned for an instance whose state came through this one.
var errCycle = eris.New("source follows this instance")

// errNotConfirmed is returned for a fallback that knows nothing new and has not been up to
// date since the platform was lost: it may be lost to all.
var errNotConfirmed = eris.New("no instance is known to have read the platform since")

// recordPlatformRead records whether the platform failed to answer. After the first
// failure the seeds are asked for fallbacks.
func (s *Source) recordPlatformRead(failed bool) {
	if !failed {
		s.platformLostAt, s.platformFailedAt = time.Time{}, time.Time{}
		s.cutOff.Store(false)
		return
	}
	s.platformFailedAt = time.Now()
	if !s.cutOff.Swap(true) {
		s.platformLostAt = s.platformFailedAt
		select {
		case s.fallbacksNeeded <- struct{}{}:
		default: // a signal is pending
		}
	}
}

// readFallback reads the next update from a fallback. It returns false if none is needed
// or none is up to date. The first that can be read and is not ends the search: during an
// outage of the platform none is, and connections to all would be set up again and again.
func (s *Source) readFallback(ctx context.Context, after follow.Position) (follow.Update, bool) {
	if s.platformFailedAt.IsZero() || time.Since(s.platformFailedAt) >= platformRetryInterval {
		return follow.Update{}, false
	}
	s.mu.Lock()
	fallbacks := append([]Instance{s.fallback}, s.ranking.Fallbacks...)
	s.mu.Unlock()
	for _, i := range fallbacks {
		if i.ID == "" || time.Since(s.failedAt[i.ID]) < peerRetryInterval {
			continue
		}
		c := s.client(i)
		lostFor := time.Since(s.platformLostAt) // before the age is read
		u, err := s.readFresh(ctx, c, after, 0)
		if err == nil && u.Age >= lostFor && !hasChanges(&u) {
			err = errNotConfirmed
		}
		s.config.OnRead("instance", err)
		if err == nil {
			s.fallback = i
			s.setSource(i)
			return u, true
		}
		c.close()
		s.failedAt[i.ID] = time.Now()
		if errors.Is(err, errNotConfirmed) || errors.Is(err, errCycle) {
			s.failedAt[i.ID] = time.Now().Add(fallbackRetryInterval - peerRetryInterval)
		}
		if s.Current() == string(i.ID) {
			s.setCurrent("none", eris.Wrapf(err, "source %s", i.ID))
		}
		s.config.Log.Debug("fallback-unusable", "instance", i.ID, "error", err)
		if errors.Is(err, errNotConfirmed) || errors.Is(err, errStale) {
			break
		}
	}
	return follow.Update{}, false
}

// pathHash returns the hash that identifies an instance in follow.Update.Path.
func pathHash(id ids.Instance) uint32 { return uint32(ids.Hash(string(id))) }
