package soak

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	restoreOutage      = 300 * time.Millisecond  // of the store before it comes back from a copy
	maxRewriteTime     = 1500 * time.Millisecond // until everyone has written again
	restoredLapseTime  = 2300 * time.Millisecond // until the entries of those that do not write are removed
	maxCopyAge         = 3 * time.Second
	maxRestoreInterval = 5 * time.Second
)

// restoreStore takes copies of the store and restores it from them, until stop, while
// other faults go on.
func (s *soak) restoreStore(stop time.Time) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	for {
		time.Sleep(time.Second + time.Duration(rng.Int64N(int64(maxRestoreInterval))))
		if time.Now().After(stop) {
			return
		}
		s.store.Copy()
		time.Sleep(time.Duration(rng.Int64N(int64(maxCopyAge))))
		s.restoreFromCopy()
	}
}

// restoreFromCopy takes the store back to its copy after a short outage. Then the
// operator and the servers that live write again, and the entries of the others lapse.
func (s *soak) restoreFromCopy() {
	for _, i := range s.instances {
		s.disturb(i, restoreOutage+restoredLapseTime)
	}
	s.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(restoreOutage)
	s.mu.Lock()
	s.restoredAt = time.Now()
	s.store.Restore()
	s.store.Refuse(0)
	servers := slices.Collect(maps.Values(s.servers))
	s.mu.Unlock()
	var writers sync.WaitGroup
	writers.Go(func() {
		time.Sleep(rand.N(maxRewriteTime))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publishVersion(s.latestVersion)
		s.publishEvacuation()
	})
	for _, sv := range servers {
		writers.Go(func() {
			time.Sleep(rand.N(maxRewriteTime))
			if !s.publishAgain(sv) {
				time.Sleep(restoredLapseTime - maxRewriteTime)
				s.publishServer(sv, "")
			}
		})
	}
	writers.Wait()
}

// publishAgain writes the state of a server once more. It returns false if the server
// has left.
func (s *soak) publishAgain(sv *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv.published != "" {
		s.store.PutTarget(sv.Target, sv.published)
	}
	return sv.published != ""
}
