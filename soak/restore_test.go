package soak

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// restoreStore takes copies of the store and restores it from them after a short outage,
// until stop, while other faults go on. Afterwards everyone writes again: the operator
// and the servers that live within rewriteTime; the entries of the others lapse.
func (s *soak) restoreStore(stop time.Time) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	pause := func(least, spread time.Duration) { time.Sleep(least + rand.N(spread)) }
	for {
		time.Sleep(time.Duration(1+rng.IntN(5)) * time.Second)
		if time.Now().After(stop) {
			return
		}
		s.store.Copy()
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		const outage, rewriteTime, lapseTime = 300 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond
		for _, i := range s.instances {
			s.disturb(i, outage+lapseTime)
		}
		s.store.Refuse(http.StatusServiceUnavailable)
		time.Sleep(outage)
		s.mu.Lock()
		s.store.Restore()
		s.store.Refuse(0)
		servers := slices.Collect(maps.Values(s.servers))
		s.mu.Unlock()
		var writers sync.WaitGroup
		writers.Go(func() {
			pause(0, rewriteTime)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.publishVersion(s.latestVersion)
		})
		for _, sv := range servers {
			writers.Go(func() {
				pause(0, rewriteTime)
				if !s.publishAgain(sv) {
					time.Sleep(lapseTime - rewriteTime)
					s.publishServer(sv, "")
				}
			})
		}
		writers.Wait()
	}
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
