package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// attempt is what a caller knows of a flow that it opens.
type attempt struct {
	dc    string
	via   *instance
	began time.Time
}

// open opens a flow and judges the outcome.
func (s *soak) open(dc string, c *platformtest.Caller, sv service) (*platformtest.Flow, attempt, error) {
	before := s.undisturbed()
	a := attempt{dc: dc, began: time.Now()}
	flow, err := c.Open(sv.at)
	if err != nil {
		if before && s.undisturbed() {
			s.violation("opening a flow to %s from %s failed while nothing was disturbed: %v", sv.name, dc, err)
		}
		return nil, a, err
	}
	a.via = s.chosen(dc, flow.LocalAddr(), sv.at)
	return flow, a, nil
}

// undisturbed reports whether every instance and every server in use has been
// left alone for long enough. Planned work is no disturbance.
func (s *soak) undisturbed() bool {
	for _, i := range s.instances {
		if !s.calm(i) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.servers {
		if sv.drained.IsZero() && time.Since(sv.disturbed) < contact && !sv.forgotten() {
			return false
		}
	}
	return true
}

// forgotten reports whether a crashed server left the store long enough ago.
func (sv *server) forgotten() bool { return !sv.removed.IsZero() && time.Since(sv.removed) > contact }

// request runs a request and judges the answer. It returns the server's ID.
func (s *soak) request(flow *platformtest.Flow, a attempt, sv service, fresh bool) (string, error) {
	text := fmt.Sprintf("%s-%d-%d", a.dc, time.Now().UnixNano(), rand.Uint32())
	before := s.undisturbed()
	answer, err := flow.Request([]byte(text), s.budget)
	if err != nil {
		s.countBroken(err)
		// Which server it was is not known; a reset is judged as if it were one
		// that nothing had disturbed.
		if before && s.undisturbed() && !s.anyLeaving() {
			s.violation("a request on an open flow to %s failed while nothing was disturbed: %v", sv.name, err)
		}
		return "", err
	}
	words := strings.Fields(string(answer))
	if len(words) != 3 || words[0] != sv.name || words[2] != text {
		s.violation("%v: %q instead of %q of %s", errWrongAnswer, answer, text, sv.name)
		return "", errWrongAnswer
	}
	s.mu.Lock()
	s.served[sv.name]++
	drained := s.servers[words[1]].drained
	s.mu.Unlock()
	if fresh && !drained.IsZero() && a.began.Sub(drained) > applyWithin && s.calm(a.via) {
		s.violation("a flow was opened to %s %s after it began to leave, through %s", words[1], a.began.Sub(drained), a.via.id)
	}
	return words[1], nil
}

// countBroken counts a request that failed on an open flow.
func (s *soak) countBroken(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, platformtest.ErrReset) {
		s.resets++
	} else {
		s.silent++
	}
}

// anyLeaving reports whether a server that leaves may end flows.
func (s *soak) anyLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.servers {
		if !sv.drained.IsZero() && time.Since(sv.drained) < 2*(drainTime+applyWithin) {
			return true
		}
	}
	return false
}

// longCaller keeps a flow open for many requests.
func (s *soak) longCaller(dc string, c *platformtest.Caller, sv service) {
	for time.Now().Before(s.end) {
		flow, a, err := s.open(dc, c, sv)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		server, err := s.request(flow, a, sv, true)
		for err == nil && !flow.ClosedByTarget() && time.Now().Before(s.end) {
			time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
			var again string
			if again, err = s.request(flow, a, sv, false); err == nil && again != server {
				s.violation("a flow to %s moved from %s to %s", sv.name, server, again)
			}
		}
		if err == nil {
			flow.Close()
		}
	}
}

// shortCaller opens a flow for each request.
func (s *soak) shortCaller(dc string, c *platformtest.Caller, sv service) {
	for time.Now().Before(s.end) {
		if flow, a, err := s.open(dc, c, sv); err == nil {
			if _, err := s.request(flow, a, sv, true); err == nil {
				flow.Close()
			}
		}
		time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
	}
}

// versionCaller opens flows to routes that a single version has, and concludes
// which version an instance has in force.
func (s *soak) versionCaller(dc string, c *platformtest.Caller) {
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
		s.mu.Lock()
		latest := s.version
		version := max(latest-rand.IntN(3), 1)
		s.mu.Unlock()
		s.probeVersion(dc, c, version)
	}
}

// probeVersion opens a flow to the route that only one version has.
func (s *soak) probeVersion(dc string, c *platformtest.Caller, version int) {
	began := time.Now()
	at := versionAddress(version)
	flow, err := c.Open(at)
	var via *instance
	if err == nil {
		via = s.chosen(dc, flow.LocalAddr(), at)
		defer flow.Close()
	}
	s.mu.Lock()
	next, superseded := s.acknowledged[version+1]
	acknowledged := s.acknowledged[version]
	current := s.version == version
	s.mu.Unlock()
	switch {
	case err == nil:
		s.proveVersion(via, version, began)
		if superseded && began.Sub(next) > applyWithin && s.calm(via) {
			s.violation("%s has version %d in force %s after version %d", via.id, version, began.Sub(next), version+1)
		}
	case errors.Is(err, platformtest.ErrReset) && current && !acknowledged.IsZero() && began.Sub(acknowledged) > applyWithin && s.undisturbed():
		s.violation("a route of version %d was refused %s after its acknowledgement", version, began.Sub(acknowledged))
	}
}

// proveVersion records that an instance has a version in force, which it must
// never leave for an older one.
func (s *soak) proveVersion(via *instance, version int, began time.Time) {
	const slack = 250 * time.Millisecond
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if version < via.proven && began.Sub(via.provenAt) > slack && via.run == via.running {
		s.violation("%s went back from version %d to %d", via.id, via.proven, version)
	}
	if version > via.proven || via.run != via.running {
		via.proven, via.provenAt, via.run = version, time.Now(), via.running
	}
}
