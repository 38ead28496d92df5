// Package soak runs real daemons as separate processes and injects random,
// overlapping faults with signals and loopback proxies. While they run, it checks
// the responses and connections that callers and backend servers observe.
//
// Without environment variables, a run uses the seeds of testdata/seeds.txt: those
// of CI and those that have failed before. Package soakoptions describes the
// variables.
package soak

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/soakoptions"
	"arbutusdock.example/arbutusdock/platform/platformtest"
)

const (
	defaultFaultTime   = 10 * time.Second       // duration of faults without SOAK_TIME
	settleTime         = 5 * time.Second        // after the last fault until all requests are served
	requestTimeout     = 2 * time.Second        // in TestSoak
	demoRequestTimeout = 5 * time.Second        // in TestDemo: longer than the recovery from the loss of an instance
	drainServeTime     = 3 * time.Second        // for which a draining target continues to serve
	restartPause       = 300 * time.Millisecond // until a server starts again under its ID
	parallelSeeds      = 3                      // seeds that run at the same time
)

// service is a service with its route and the kind of its requests.
type service struct {
	name    string
	address netip.AddrPort
	kind    string
}

var services = []service{
	{"counter", netip.MustParseAddrPort("198.18.0.1:443"), "unsafe"},
	{"slips", netip.MustParseAddrPort("198.18.0.2:443"), "download"},
}

// versionRouteAddress returns the address of the route that only this
// version of the configuration has.
func versionRouteAddress(version int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.3"), uint16(10000+version))
}

// server is a backend server with the faults and drains injected into it.
type server struct {
	*platformtest.Target
	number         uint32
	drainedAt      time.Time // when the store accepted its draining state; zero before
	disturbedUntil time.Time // end of the last disturbance; after the end of the run once it is closed
	removedAt      time.Time // when a crashed server was deleted from the store
	published      string    // state that it last wrote to the store; empty once it is deleted
}

// soak is one soak run: a fleet, its backend servers and callers, and the results.
type soak struct {
	*fleet
	seed           uint64
	requestTimeout time.Duration // of a request
	faultRNG       *rand.Rand    // selects the faults; used by one goroutine
	loadEnd        time.Time     // when the load ends
	callers        map[string]*platformtest.Caller

	mu               sync.Mutex
	servers          map[string]*server // by ID
	formerServers    []*server          // those that have started again under their ID
	restoredAt       time.Time          // when the store was restored last
	lastServerNumber uint32
	latestVersion    int
	evacuated        string            // the evacuated data centre, or none
	evacuatedAt      time.Time         // when that was published
	acknowledgedAt   map[int]time.Time // when the store accepted each version
	servedCount      map[string]int
	resetCount       int // resets of open flows
	timeoutCount     int // requests on open flows without a response in time
	wrongResets      int // resets of open flows on new routes
	failures         []string
}

// beyondRun is a duration that lasts beyond the end of any run.
const beyondRun = 24 * time.Hour

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failures) < 20 {
		s.failures = append(s.failures, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func TestSoak(t *testing.T) {
	length, instances := soakoptions.Time(t, defaultFaultTime), soakoptions.Instances(t, 2)
	slots := make(chan struct{}, parallelSeeds)
	for _, seed := range soakoptions.Seeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, seed, length, instances)
		})
	}
}

func runSeed(t *testing.T, seed uint64, length time.Duration, instances int) {
	s := newSoak(t, seed, instances, requestTimeout)
	s.runLoad(length+settleTime+3*time.Second, func() { s.injectFaults(length) })
	t.Logf("seed %d: served %v, version %d", seed, s.servedCount, s.latestVersion)
}

// TestDemo runs a fixed series of events and counts the failures that callers and
// backend servers observe. make demo runs it. Guards against a planned stop, a
// drain, a kill or a restore of the store that resets a flow, leaves its requests
// without a response or delivers its packets to another flow.
func TestDemo(t *testing.T) {
	s := newSoak(t, 0, 2, demoRequestTimeout)
	s.runLoad(20*time.Second, func() {
		time.Sleep(2 * time.Second)
		t.Log("planned stop of a-0")
		s.stop(s.instances[0], time.Second)
		s.store.Copy()
		t.Log("drain of a counter server")
		s.drain(s.servers["i-00000001"], false)
		t.Log("kill of b-2")
		s.kill(s.instances[2], 2*time.Second)
		t.Log("restore of the store from its copy of before the drain")
		s.restoreFromCopy()
	})
	t.Logf("served %v; flows reset %d, silent %d; crossed and repeated: see failures", s.servedCount, s.resetCount, s.timeoutCount)
	assert.Equal(t, s.resetCount, 0)
	assert.Equal(t, s.timeoutCount, 0)
}

// newSoak starts a fleet with its backend servers and callers.
func newSoak(t *testing.T, seed uint64, instances int, requestTimeout time.Duration) *soak {
	s := &soak{fleet: newFleet(t, seed, instances), seed: seed, requestTimeout: requestTimeout, faultRNG: rand.New(rand.NewPCG(seed, 1)), callers: map[string]*platformtest.Caller{},
		servers: map[string]*server{}, lastServerNumber: uint32(seed) << 8, acknowledgedAt: map[int]time.Time{}, servedCount: map[string]int{}}
	for _, svc := range services {
		for n := range 4 {
			s.addServer(svc.name, []string{"a", "b"}[n%2])
		}
	}
	s.publish()
	for n, dc := range []string{"a", "b"} {
		c, err := platformtest.NewCaller(netip.AddrPortFrom(s.addr(2, n+1), datagramPort), s.route(dc))
		assert.NilError(t, err)
		t.Cleanup(c.Close)
		s.callers[dc] = c
	}
	s.awaitReady()
	return s
}

// runLoad runs callers for the given time, calls events meanwhile, and then checks
// the final state and reports the violations.
func (s *soak) runLoad(length time.Duration, events func()) {
	s.loadEnd = time.Now().Add(length)
	var load sync.WaitGroup
	for dc, c := range s.callers {
		for n := range 3 {
			load.Go(func() { s.runLongFlows(dc, c, services[n%2]) })
			load.Go(func() { s.runShortFlows(dc, c, services[n%2]) })
		}
		load.Go(func() { s.runVersionProbes(dc, c) })
		load.Go(func() { s.runNewRouteFlows(dc, c) })
	}
	events()
	load.Wait()
	s.checkEnd()
	for _, f := range s.failures {
		s.t.Error(f)
	}
}

func (s *soak) awaitReady() {
	for range 100 {
		ready := 0
		s.fleet.mu.Lock()
		for _, i := range s.instances {
			if i.inRotation {
				ready++
			}
		}
		s.fleet.mu.Unlock()
		if ready == len(s.instances) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("not all instances were ready within 10 s")
}

// addServer starts a backend server and publishes it.
func (s *soak) addServer(name, dc string) *server {
	s.mu.Lock()
	s.lastServerNumber++
	number := s.lastServerNumber
	s.mu.Unlock()
	return s.startServer(number, name, dc)
}

// startServer starts a backend server with the given number, under which one may have run
// before, and publishes it.
func (s *soak) startServer(number uint32, name, dc string) *server {
	target, err := platformtest.NewTarget(number, name, dc, datagramPort)
	assert.NilError(s.t, err)
	s.t.Cleanup(target.Close)
	target.SetDelay(2 * time.Millisecond)
	sv := &server{Target: target, number: number}
	s.mu.Lock()
	if former := s.servers[target.ID]; former != nil {
		s.formerServers = append(s.formerServers, former)
	}
	s.servers[target.ID] = sv
	s.mu.Unlock()
	s.publishServer(sv, "ready")
	return sv
}

// publishServer writes the state of a server to the store, or deletes its entry if the
// state is empty.
func (s *soak) publishServer(sv *server, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv.published = state
	if state == "" {
		s.store.DeleteTarget(sv.Target)
		return
	}
	s.store.PutTarget(sv.Target, state)
}

// publish writes the next version of the configuration to the store.
func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestVersion++
	s.acknowledgedAt[s.latestVersion] = time.Now()
	s.publishVersion(s.latestVersion)
}

// publishVersion writes a version of the configuration to the store; the caller holds
// s.mu.
func (s *soak) publishVersion(version int) {
	routes := []platformtest.Route{}
	for _, svc := range services {
		routes = append(routes, platformtest.Route{IP: svc.address.Addr().String(), Port: int(svc.address.Port()), Service: svc.name, Kind: svc.kind})
	}
	at := versionRouteAddress(version)
	routes = append(routes, platformtest.Route{IP: at.Addr().String(), Port: int(at.Port()), Service: "slips", Kind: "safe"})
	for v := max(version-newRouteVersions+1, 1); v <= version; v++ {
		at := newRouteAddress(v)
		routes = append(routes, platformtest.Route{IP: at.Addr().String(), Port: int(at.Port()), Service: newRouteService.name, Kind: newRouteService.kind})
	}
	s.store.PutConfig(version, routes...)
}

// disturbServer marks a server as disturbed for d from now on.
func (s *soak) disturbServer(sv *server, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := time.Now().Add(d); end.After(sv.disturbedUntil) {
		sv.disturbedUntil = end
	}
}

// pickReadyServer returns a random ready server of a random service, or nil if the
// service has fewer than three.
func (s *soak) pickReadyServer() *server {
	name := services[s.faultRNG.IntN(len(services))].name
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*server
	for n := uint32(s.seed)<<8 + 1; n <= s.lastServerNumber; n++ {
		sv := s.servers[fmt.Sprintf("i-%08x", n)]
		if sv.Service == name && sv.drainedAt.IsZero() && time.Since(sv.disturbedUntil) > 0 {
			list = append(list, sv)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[s.faultRNG.IntN(len(list))]
}

// injectFaults begins faults until length is over and waits until all have ended.
func (s *soak) injectFaults(length time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	stop := time.Now().Add(length)
	pending.Go(func() { s.restoreStore(stop) })
	pending.Go(func() { s.evacuateDataCentres(stop) })
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(50+s.faultRNG.IntN(800)) * time.Millisecond)
		i := s.instances[s.faultRNG.IntN(len(s.instances))]
		d := time.Duration(100+s.faultRNG.IntN(2500)) * time.Millisecond
		switch kind := s.faultRNG.IntN(14); kind {
		case 0:
			pending.Go(func() { s.kill(i, d/2) })
		case 1:
			pending.Go(func() { s.stop(i, d/4) })
		case 2:
			pending.Go(func() { s.freeze(i, d) })
		case 3:
			s.signal(i, syscall.SIGHUP)
		case 4, 5:
			m := proxyMode(1 + s.faultRNG.IntN(int(modeCount)-1))
			all := s.faultRNG.IntN(3) == 0
			pending.Go(func() { s.disturbStore(i, m, all, d) })
		case 6:
			m := proxyMode(1 + s.faultRNG.IntN(int(modeCount)-1))
			pending.Go(func() { s.disturbControl(i, m, d) })
		case 7:
			for _, i := range s.instances {
				s.disturb(i, 0)
				i.store.muteOpen()
				i.control.muteOpen()
			}
		case 8:
			s.store.DropHistory()
		case 9, 10:
			for range 1 + s.faultRNG.IntN(3) {
				s.publish()
				time.Sleep(time.Duration(s.faultRNG.IntN(400)) * time.Millisecond)
			}
		case 11:
			if sv := s.pickReadyServer(); sv != nil {
				startAgain := s.faultRNG.IntN(2) == 0
				pending.Go(func() { s.drain(sv, startAgain) })
			}
		case 12:
			if sv := s.pickReadyServer(); sv != nil {
				crash := s.faultRNG.IntN(2) == 0
				pending.Go(func() { s.failServer(sv, crash) })
			}
		case 13:
			pending.Go(func() { s.dropDatagrams(d) })
		}
	}
}

// kill ends a process with SIGKILL and starts it again.
func (s *soak) kill(i *instance, down time.Duration) {
	i.lifecycleMu.Lock()
	defer i.lifecycleMu.Unlock()
	s.setDown(i, true)
	s.signal(i, syscall.SIGKILL)
	s.restart(i, down)
}

func (s *soak) restart(i *instance, down time.Duration) {
	<-i.ended
	time.Sleep(down)
	s.start(i)
	s.setDown(i, false)
}

// stop does a planned stop and starts the instance again. The stop must end within
// stopTimeout and break no flow.
func (s *soak) stop(i *instance, down time.Duration) {
	i.lifecycleMu.Lock()
	defer i.lifecycleMu.Unlock()
	s.signal(i, syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(stopTimeout):
		s.violation("%s has not ended %s after SIGTERM", i.id, stopTimeout)
		s.signal(i, syscall.SIGKILL)
	}
	s.setDown(i, true)
	s.restart(i, down)
}

// freeze suspends a process for d.
func (s *soak) freeze(i *instance, d time.Duration) {
	i.lifecycleMu.Lock()
	defer i.lifecycleMu.Unlock()
	s.setDown(i, true)
	s.signal(i, syscall.SIGSTOP)
	time.Sleep(d)
	s.signal(i, syscall.SIGCONT)
	s.setDown(i, false)
}

// disturbStore disturbs the connections of one or all instances to the store.
func (s *soak) disturbStore(i *instance, m proxyMode, all bool, d time.Duration) {
	list := []*instance{i}
	if all {
		list = s.instances
	}
	for _, i := range list {
		s.disturb(i, d)
		i.store.setMode(m)
	}
	time.Sleep(d)
	for _, i := range list {
		i.store.setMode(passAll)
	}
}

// disturbControl disturbs the control connections of other instances to one.
func (s *soak) disturbControl(i *instance, m proxyMode, d time.Duration) {
	for _, other := range s.instances {
		s.disturb(other, d)
	}
	i.control.setMode(m)
	time.Sleep(d)
	i.control.setMode(passAll)
}

// drain starts a replacement of a server, drains the server and closes it. Then it may start
// it again under its ID.
func (s *soak) drain(sv *server, startAgain bool) {
	s.addServer(sv.Service, sv.DataCentre)
	s.publishServer(sv, "draining")
	sv.Drain()
	s.mu.Lock()
	sv.drainedAt = time.Now()
	s.mu.Unlock()
	time.Sleep(drainServeTime + applyWithin)
	s.disturbServer(sv, beyondRun)
	s.publishServer(sv, "")
	sv.Close()
	if startAgain {
		time.Sleep(restartPause)
		s.startServer(sv.number, sv.Service, sv.DataCentre)
	}
}

// failServer makes a server unresponsive for a second, or closes it for good and
// starts a replacement.
func (s *soak) failServer(sv *server, crash bool) {
	s.disturbServer(sv, beyondRun)
	if !crash {
		sv.SetSilent(true)
		time.Sleep(time.Second)
		sv.SetSilent(false)
		s.mu.Lock()
		sv.disturbedUntil = time.Now()
		s.mu.Unlock()
		return
	}
	sv.Close()
	s.addServer(sv.Service, sv.DataCentre)
	time.Sleep(2300 * time.Millisecond) // the time of three missed heartbeats
	s.publishServer(sv, "")
	s.mu.Lock()
	defer s.mu.Unlock()
	sv.removedAt = time.Now()
}

// dropDatagrams drops 5% of the callers' datagrams for d.
func (s *soak) dropDatagrams(d time.Duration) {
	for _, i := range s.instances {
		s.disturb(i, d)
	}
	s.setLossRate(0.05)
	time.Sleep(d)
	s.setLossRate(0)
}

func (s *soak) setLossRate(rate float64) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.lossRate = rate
}

// checkEnd checks after the run that every service has served requests, that no
// packet was delivered to the wrong flow and that no request ran twice.
func (s *soak) checkEnd() {
	for dc, c := range s.callers {
		if misdelivered := c.Misdelivered(); misdelivered > 0 {
			s.violation("callers of %s got %d packets of others, or changed ones", dc, misdelivered)
		}
	}
	for _, sv := range slices.AppendSeq(s.formerServers, maps.Values(s.servers)) {
		_, _, repeated, misdelivered := sv.Counts()
		if repeated > 0 || misdelivered > 0 {
			s.violation("%s ran %d requests more than once and got %d packets that were not for it", sv.ID, repeated, misdelivered)
		}
	}
	for _, svc := range services {
		if s.servedCount[svc.name] == 0 {
			s.violation("no request of %s was served", svc.name)
		}
	}
}

var errWrongResponse = errors.New("the response belongs to another request or service")
