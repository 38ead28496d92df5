package fanout

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// seedTimeout bounds a request to a seed.
const seedTimeout = 500 * time.Millisecond

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
			case <-s.fallbacksNeeded:
				timer.Reset(s.fallbacksDelay())
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

// fallbacksDelay returns the jittered time until the announcement with which an instance
// that has just been cut off from the platform asks for fallbacks.
func (s *Source) fallbacksDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.N(urgentInterval(s.ranking.Known))
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
	a := announcement{dataCentre: s.config.DataCentre, self: s.config.Self, leaving: leaving, holdsState: holdsState, cutOff: s.cutOff.Load()}
	a.wantsMembers = s.config.OnMembers != nil && s.config.WantsMembers() && !leaving
	sentAt := time.Now()
	var calls sync.WaitGroup
	var first sync.Once
	var reachable atomic.Bool
	for i, seed := range s.seeds {
		a.members = s.members.version(i)
		path := instancesPath + "?" + a.query()
		calls.Go(func() {
			var ranking Ranking
			if err := seed.Get(ctx, path, seedTimeout, &ranking); err != nil {
				s.config.Log.Debug("seed-unreachable", "seed", seed.BaseURL(), "error", err)
				return
			}
			reachable.Store(true)
			s.members.record(i, sentAt, &ranking)
			first.Do(func() { s.setRanking(ranking) })
		})
	}
	calls.Wait()
	if ctx.Err() != nil && !leaving && !reachable.Load() {
		return // cancelled by a planned stop, which says nothing about the seeds
	}
	s.recordSeedResult(reachable.Load())
	if a.wantsMembers {
		s.config.OnMembers(s.members.view(time.Now(), s.config.Self.ID, s.rankingKnown()))
	}
}

// rankingKnown returns the number of instances that the seeds list.
func (s *Source) rankingKnown() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranking.Known
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
