package e2e

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/soakoptions"
	"arbutusdock.example/arbutusdock/internal/standin/backend"
	"arbutusdock.example/arbutusdock/internal/standin/fabric"
	"arbutusdock.example/arbutusdock/internal/standin/platform"
	"arbutusdock.example/arbutusdock/internal/standin/report"
)

const (
	defaultFaultTime = 12 * time.Second // duration of faults without SOAK_TIME
	soakSettleTime   = 12 * time.Second // of load after the last fault, in which broken feeds must be restored
	soakRequestRate  = 40               // requests per second of each user; three runs share the processors
	maxFaultMS       = 4000             // the duration of a fault is random, 200 ms longer than a value below this
	markInterval     = 3 * time.Second  // between the events that mark a long fault; shorter than the time for which each allows broken feeds
	detectionTime    = time.Second      // until the platform removes an unresponsive instance from its list
)

// soak injects overlapping faults in a random order. One goroutine runs the tasks
// that begin and end the faults, each at its due time.
type soak struct {
	*fleet
	seed          uint64
	rng           *rand.Rand
	tasks         []task          // sorted by due time
	busy          map[string]bool // parts of the system that have a fault
	networkFaults fabric.Faults
	// staleRevision is the revision of the documents that a stale platform serves.
	staleRevision uint64
}

// task is a function to run at its due time.
type task struct {
	due time.Time
	run func()
}

// TestSoak runs the seeds of testdata/seeds.txt. SOAK_SEEDS=1-50 selects others, and
// SOAK_TIME=60s injects faults for longer. Guards against violations of the
// guaranteed behaviour under simultaneous faults, which the tests of single faults do
// not cover.
func TestSoak(t *testing.T) {
	length := soakoptions.Time(t, defaultFaultTime)
	for _, n := range soakoptions.Seeds(t) {
		t.Run(fmt.Sprint("seed-", n), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			s := &soak{fleet: f, seed: n, rng: rand.New(rand.NewPCG(n, 3)), busy: map[string]bool{}}
			s.networkFaults = fabric.Faults{DelayMS: map[string]float64{"dc1": 1, "dc2": 1}, LinkDelayMS: 0.5}
			verdict := f.startLoad(length+soakSettleTime, soakRequestRate)
			s.runFaults(length)
			assertInvariants(t, verdict())
		})
	}
}

// runFaults injects faults until length is over, and waits until all have ended.
func (s *soak) runFaults(length time.Duration) {
	end := time.Now().Add(length)
	// From a source of their own, so that the other faults of a seed stay the same.
	rng := rand.New(rand.NewPCG(s.seed, 4))
	between := func() time.Time { return time.Now().Add(time.Duration(rng.Int64N(int64(length)))) }
	dc := []string{"dc1", "dc2"}[rng.IntN(2)]
	s.schedule(between(), func() { s.killDataCentre(dc) })
	for n := range 2 {
		s.schedule(between(), func() { s.changeProfiles(n) })
	}
	for at := time.Now().Add(time.Second); at.Before(end); at = at.Add(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond) {
		s.schedule(at, s.injectFault)
	}
	for len(s.tasks) > 0 {
		next := s.tasks[0]
		s.tasks = s.tasks[1:]
		time.Sleep(time.Until(next.due))
		next.run()
	}
}

func (s *soak) schedule(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(s.tasks, at, func(t task, at time.Time) int { return t.due.Compare(at) })
	s.tasks = slices.Insert(s.tasks, i, task{at, do})
}

func (s *soak) scheduleAfter(d time.Duration, do func()) { s.schedule(time.Now().Add(d), do) }

// markDisturbed marks the time from now on, for d, as a time in which feeds may
// break.
func (s *soak) markDisturbed(d time.Duration, note string) {
	end := time.Now().Add(d)
	var mark func()
	mark = func() {
		s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.Kill, Note: note})
		if left := time.Until(end); left > 0 {
			s.scheduleAfter(min(left, markInterval), mark)
		}
	}
	mark()
}

// injectFault begins one random fault and schedules its end.
func (s *soak) injectFault() {
	d := time.Duration(200+s.rng.IntN(maxFaultMS)) * time.Millisecond
	ids := slices.Sorted(maps.Keys(s.instances))
	id := ids[s.rng.IntN(len(ids))]
	dc := s.instances[id][1]
	kind := s.rng.IntN(14)
	s.t.Logf("%s fault %d, %s, %s", time.Now().UTC().Format("15:04:05.000"), kind, id, d)
	switch kind {
	case 0, 1:
		s.beginUnlessBusy(id, func() { s.kill(id, d) })
	case 2, 3:
		s.beginUnlessBusy(id, func() { s.stop(id, d) })
	case 4:
		s.beginUnlessBusy(id, func() { s.freeze(id, d) })
	case 5:
		if !s.busy[id] {
			s.signal(id, syscall.SIGHUP)
		}
	case 6:
		s.faultNetwork(d, "loss", func(f *fabric.Faults) { f.Loss, f.Duplicate, f.Reorder, f.JitterMS = 0.02, 0.03, 0.03, 3 },
			func(f *fabric.Faults) { f.Loss, f.Duplicate, f.Reorder, f.JitterMS = 0, 0, 0, 0 })
	case 7:
		s.faultNetwork(d, "split", func(f *fabric.Faults) { f.PartitionedDataCentres = []string{dc} }, func(f *fabric.Faults) { f.PartitionedDataCentres = nil })
	case 8:
		s.faultNetwork(d, "mute", func(f *fabric.Faults) { f.OutboundBlockedDataCentres = []string{dc} }, func(f *fabric.Faults) { f.OutboundBlockedDataCentres = nil })
	case 9:
		s.faultNetwork(0, "break links", func(f *fabric.Faults) { f.ResetLinks = true }, func(f *fabric.Faults) { f.ResetLinks = false })
	case 10:
		s.faultNetwork(d, "slow links", func(f *fabric.Faults) { f.LinkDelayMS = 80 }, func(f *fabric.Faults) { f.LinkDelayMS = 0.5 })
	case 11:
		s.beginUnlessBusy("platform", func() { s.faultPlatform(d) })
	case 12:
		s.beginUnlessBusy("documents", func() { s.drainByDocument(d) })
	case 13:
		s.beginUnlessBusy("backend", func() { s.faultBackend(d) })
	}
}

// beginUnlessBusy begins a fault of the named part of the system unless that part
// already has one.
func (s *soak) beginUnlessBusy(name string, begin func()) {
	if !s.busy[name] {
		s.busy[name] = true
		begin()
	}
}

// kill ends an instance with SIGKILL and starts it again.
func (s *soak) kill(id string, down time.Duration) {
	s.markDisturbed(0, "kill "+id)
	s.signal(id, syscall.SIGKILL)
	<-s.exits[id]
	s.scheduleAfter(detectionTime, func() { s.removeFromList(id) })
	s.scheduleAfter(detectionTime+down, func() { s.restart(id) })
}

// killDataCentre kills all instances of a data centre at once; its callers return
// together. Instances with another fault are left alone.
func (s *soak) killDataCentre(dc string) {
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		if s.instances[id][1] == dc {
			s.beginUnlessBusy(id, func() { s.kill(id, 0) })
		}
	}
}

// changeProfiles publishes every profile with another weight of its first partner.
func (s *soak) changeProfiles(n int) {
	profiles, err := filepath.Glob(filepath.Join(s.dir, "documents", "profile", "*.toml"))
	assert.NilError(s.t, err)
	for _, file := range profiles {
		doc, err := os.ReadFile(file)
		assert.NilError(s.t, err)
		changed := regexp.MustCompile(`(?m)^weight = \d+`).ReplaceAllString(string(doc), fmt.Sprint("weight = ", n+2))
		s.publish("profile/"+strings.TrimSuffix(filepath.Base(file), ".toml"), changed, func() {})
	}
}

func (s *soak) restart(id string) {
	s.startInstance(id)
	s.busy[id] = false
}

// stop does a planned stop and starts the instance again. The stop must end within
// exitTimeout and interrupt no request or feed.
func (s *soak) stop(id string, down time.Duration) {
	s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopBegin, Note: id})
	s.signal(id, syscall.SIGTERM)
	s.mustRequest("POST", s.fleet.platformURL()+"/control/instances/"+id+"/leave", nil)
	deadline := time.Now().Add(exitTimeout)
	var check func()
	check = func() {
		select {
		case err := <-s.exits[id]:
			delete(s.processes, id)
			// The runtime needs some milliseconds until the daemon handles signals. One
			// that has logged nothing has accepted nothing.
			assert.Assert(s.t, err == nil || !s.hasLogged(id), "%s: %v", id, err)
			s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopEnd, Note: id})
			s.removeFromList(id)
			s.scheduleAfter(down, func() { s.restart(id) })
		default:
			assert.Assert(s.t, time.Now().Before(deadline), "%s has not exited within %s", id, exitTimeout)
			s.scheduleAfter(50*time.Millisecond, check)
		}
	}
	check()
}

// freeze suspends an instance for d. The platform does not list it from
// detectionTime until it resumes.
func (s *soak) freeze(id string, d time.Duration) {
	s.markDisturbed(d, "freeze "+id)
	s.signal(id, syscall.SIGSTOP)
	if d > detectionTime {
		s.scheduleAfter(detectionTime, func() { s.removeFromList(id) })
	}
	s.scheduleAfter(d, func() {
		s.signal(id, syscall.SIGCONT)
		s.addToList(id)
		s.busy[id] = false
	})
}

// faultNetwork changes the faults of the network for d.
func (s *soak) faultNetwork(d time.Duration, name string, begin, end func(*fabric.Faults)) {
	s.beginUnlessBusy(name, func() {
		s.markDisturbed(d, name)
		begin(&s.networkFaults)
		s.mustRequest("PUT", s.fabricURL()+"/faults", s.networkFaults)
		s.scheduleAfter(d, func() {
			end(&s.networkFaults)
			s.mustRequest("PUT", s.fabricURL()+"/faults", s.networkFaults)
			s.busy[name] = false
		})
	})
}

// faultPlatform makes the platform unavailable, slow or stale, for all instances or
// for one data centre.
func (s *soak) faultPlatform(d time.Duration) {
	listen := []string{"", s.helperAddr(1, 1), s.helperAddr(2, 1)}[s.rng.IntN(3)]
	fault := []platform.Fault{{Down: true}, {SlowMS: 500}, {StaleRevision: max(s.staleRevision, 1)}}[s.rng.IntN(3)]
	fault.Listen = listen
	var page platform.Page
	if s.tryRequest("GET", s.fleet.platformURL()+"/v1/documents", nil, &page) {
		s.staleRevision = page.Upto
	}
	s.mustRequest("PUT", s.fleet.platformURL()+"/control/fault", fault)
	s.scheduleAfter(d, func() {
		s.mustRequest("PUT", s.fleet.platformURL()+"/control/fault", platform.Fault{Listen: listen})
		s.busy["platform"] = false
	})
}

// drainByDocument publishes that a target of the counter service is draining, and
// after d that it is not. The change is retried while the platform is unavailable.
func (s *soak) drainByDocument(d time.Duration) {
	doc, err := os.ReadFile(filepath.Join(s.dir, "documents", "service", "counter.toml"))
	assert.NilError(s.t, err)
	changed := strings.Replace(string(doc), "counter-1-1'", "counter-1-1'\ndraining = true", 1)
	s.publish("service/counter", changed, func() {
		s.scheduleAfter(d, func() { s.publish("service/counter", string(doc), func() { s.busy["documents"] = false }) })
	})
}

func (s *soak) publish(key, doc string, done func()) {
	if !s.tryRequest("PUT", s.fleet.platformURL()+"/v1/documents/"+key, []byte(doc), nil) {
		s.scheduleAfter(200*time.Millisecond, func() { s.publish(key, doc, done) })
		return
	}
	done()
}

// faultBackend makes a backend server report a false health state, start cold, or
// keep its feeds open without notifications.
func (s *soak) faultBackend(d time.Duration) {
	control := []backend.Control{
		{Service: "counter", Target: "counter-1-1", StatusOverride: "failing"},
		{Service: "certificate", Target: "certificate-1-1", StatusOverride: "ok", ColdStart: true},
		{Service: "alarm", Target: "alarm-1-1", MuteFeeds: true},
	}[s.rng.IntN(3)]
	if control.MuteFeeds {
		s.markDisturbed(d, "silent feeds")
	}
	s.mustRequest("PUT", s.backendURL()+"/control", control)
	s.scheduleAfter(d, func() {
		s.mustRequest("PUT", s.backendURL()+"/control", backend.Control{Service: control.Service, Target: control.Target, StatusOverride: "true"})
		s.busy["backend"] = false
	})
}
