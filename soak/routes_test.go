package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

const (
	// newRouteVersions is the number of versions, from the one that adds it, that have a
	// new route.
	newRouteVersions = 6
	// newRouteCallers is the number of callers in each data centre that use a new route.
	newRouteCallers = 16
	// openRetryInterval is the time after which a caller repeats a refused opening.
	openRetryInterval = 10 * time.Millisecond
	// resetWithin bounds the time after which a flow on a removed route must have been reset
	// by an instance that has not opened it, since its first packet there.
	resetWithin = applyWithin
)

// newRouteService is the service of the new routes.
var newRouteService = services[1]

// newRouteAddress returns the address of the route that a version adds.
func newRouteAddress(version int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.4"), uint16(20000+version))
}

// runNewRouteFlows uses each new route from its publication on.
func (s *soak) runNewRouteFlows(dc string, c *platformtest.Caller) {
	var users sync.WaitGroup
	defer users.Wait()
	for used := 0; time.Now().Before(s.loadEnd); time.Sleep(openRetryInterval) {
		s.mu.Lock()
		latest := s.latestVersion
		s.mu.Unlock()
		if used == latest {
			continue
		}
		used = latest
		for n := range newRouteCallers {
			users.Go(func() {
				time.Sleep(time.Duration(n) * 15 * time.Millisecond)
				s.useNewRoute(dc, c, latest, n == 0)
			})
		}
	}
}

// useNewRoute opens a flow to the route of a version and sends requests on it for a while,
// or until the flow ends if untilReset is set.
func (s *soak) useNewRoute(dc string, c *platformtest.Caller, version int, untilReset bool) {
	var flow *platformtest.Flow
	for attempt := 0; flow == nil; attempt++ {
		var err error
		if flow, err = c.Open(newRouteAddress(version)); err != nil {
			if attempt == 50 || time.Now().After(s.loadEnd) {
				return
			}
			time.Sleep(openRetryInterval)
		}
	}
	end := time.Now().Add(300*time.Millisecond + rand.N(time.Second))
	if untilReset {
		end = s.loadEnd
	}
	var sv *server // unknown before the first response
	for time.Now().Before(end) && !flow.ClosedByTarget() {
		text := fmt.Sprintf("%s-%d-%d", dc, time.Now().UnixNano(), rand.Uint32())
		undisturbedBefore := s.allUndisturbed()
		response, err := flow.Request([]byte(text), s.requestTimeout)
		if err != nil {
			s.checkReset(flow, dc, version, sv, err)
			return
		}
		fields := strings.Fields(string(response))
		if len(fields) != 3 || fields[0] != newRouteService.name || fields[2] != text {
			s.violation("%v: %q instead of %q of %s", errWrongResponse, response, text, newRouteService.name)
			return
		}
		s.mu.Lock()
		responder := s.servers[fields[1]]
		removedAt, removed := s.acknowledgedAt[version+newRouteVersions]
		s.mu.Unlock()
		if sv != nil && responder.ID != sv.ID {
			s.violation("a flow to the route of version %d moved from %s to %s", version, sv.ID, responder.ID)
		}
		if sv == nil {
			sv = responder
		}
		if removed && time.Since(removedAt) > applyWithin+resetWithin && undisturbedBefore && s.allUndisturbed() {
			s.violation("a flow on the route of version %d goes on %s after its removal", version, time.Since(removedAt))
			return
		}
		time.Sleep(10*time.Millisecond + rand.N(40*time.Millisecond))
	}
	flow.Close()
}

// checkReset checks the end of a flow on the route of a version, which failed with err. An
// instance may reset it only if its route was removed or its server, nil if unknown, was
// disturbed, whatever happens to the instances. After a restore of the store, an instance
// that starts may not know what was lost.
func (s *soak) checkReset(flow *platformtest.Flow, dc string, version int, sv *server, err error) {
	if !errors.Is(err, platformtest.ErrReset) || flow.ResetByTarget() {
		return
	}
	via := s.selectInstance(dc, flow.LocalAddr(), newRouteAddress(version))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latestVersion >= version+newRouteVersions || sv == nil || time.Since(s.restoredAt) < recoveryTime || time.Since(sv.disturbedUntil) < recoveryTime {
		return
	}
	s.wrongResets++
	if s.wrongResets <= 3 {
		s.failures = append(s.failures, fmt.Sprintf("%s an instance (%s?) reset an open flow of %s on the route of version %d to %s; the latest version is %d",
			time.Now().UTC().Format("15:04:05.000"), via.id, flow.LocalAddr(), version, sv.ID, s.latestVersion))
	}
}

// Guards against a reset of open flows on new routes by instances that do not know the route
// yet: versions follow each other quickly while instances are stopped as planned and
// started again, two at a time, and targets start again under their names.
func TestNewRoutesWhileInstancesAreReplaced(t *testing.T) {
	t.Parallel()
	const length, versionInterval = 12 * time.Second, 330 * time.Millisecond
	s := newSoak(t, 0, 2, requestTimeout)
	s.runLoad(length+2*time.Second, func() {
		var work sync.WaitGroup
		defer work.Wait()
		stop := time.Now().Add(length)
		for half := range 2 {
			work.Go(func() {
				for n := half; time.Now().Before(stop); n += 2 {
					s.stop(s.instances[n%len(s.instances)], 200*time.Millisecond)
				}
			})
		}
		for n := uint32(1); time.Now().Before(stop); n++ {
			s.publish()
			if n%6 == 0 {
				if sv := s.pickReadyServer(); sv != nil {
					work.Go(func() { s.drain(sv, true) })
				}
			}
			time.Sleep(versionInterval)
		}
	})
	t.Logf("served %v, version %d, resets of open flows on new routes: %d", s.servedCount, s.latestVersion, s.wrongResets)
}
