package e2e

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	soakTime   = 12 * time.Second // of faults, in a run without settings
	soakSettle = 12 * time.Second // of load after the last fault; feeds that broke have to return in it
	soakRate   = 40               // requests a second of each user; 3 runs share the processors
	longest    = 4000             // milliseconds of a fault
	markEvery  = 3 * time.Second  // between the events that cover a long fault; less than they excuse each
	detection  = time.Second      // until the platform lists a silent instance no longer
)

// soak plays faults in a random order. They overlap; everything that a fault
// does and undoes is run by one goroutine at its due time.
type soak struct {
	*fleet
	rng    *rand.Rand
	due    []task // sorted
	busy   map[string]bool
	faults fabric.Faults
	// revision of the documents that a stale platform serves.
	revision uint64
}

// task is something to do at a time.
type task struct {
	at time.Time
	do func()
}

// TestSoak plays the seeds of testdata/seeds.txt; SOAK_SEEDS=1-50 plays others,
// SOAK_TIME=60s injects faults for longer. Guards against broken promises under
// faults that come together, which the tests of single faults do not show.
func TestSoak(t *testing.T) {
	length := soakoptions.Time(t, soakTime)
	for _, n := range soakoptions.Seeds(t) {
		t.Run(fmt.Sprint("seed-", n), func(t *testing.T) {
			t.Parallel()
			f := start(t)
			s := &soak{fleet: f, rng: rand.New(rand.NewPCG(n, 3)), busy: map[string]bool{}}
			s.faults = fabric.Faults{DelayMS: map[string]float64{"dc1": 1, "dc2": 1}, LinkDelayMS: 0.5}
			verdict := f.load(length+soakSettle, soakRate)
			s.play(length)
			kept(t, verdict())
		})
	}
}

// play injects faults until length is over, and waits until all are undone.
func (s *soak) play(length time.Duration) {
	end := time.Now().Add(length)
	for at := time.Now().Add(time.Second); at.Before(end); at = at.Add(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond) {
		s.at(at, s.inject)
	}
	for len(s.due) > 0 {
		next := s.due[0]
		s.due = s.due[1:]
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

func (s *soak) at(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(s.due, at, func(t task, at time.Time) int { return t.at.Compare(at) })
	s.due = slices.Insert(s.due, i, task{at, do})
}

func (s *soak) after(d time.Duration, do func()) { s.at(time.Now().Add(d), do) }

// disturbed marks the time from now on, for d, as one in which feeds may break.
func (s *soak) disturbed(d time.Duration, what string) {
	end := time.Now().Add(d)
	var mark func()
	mark = func() {
		s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.Kill, Note: what})
		if left := time.Until(end); left > 0 {
			s.after(min(left, markEvery), mark)
		}
	}
	mark()
}

// inject begins one fault and schedules its end.
func (s *soak) inject() {
	d := time.Duration(200+s.rng.IntN(longest)) * time.Millisecond
	ids := slices.Sorted(maps.Keys(s.list))
	id := ids[s.rng.IntN(len(ids))]
	dc := s.list[id][1]
	kind := s.rng.IntN(14)
	s.t.Logf("%s fault %d, %s, %s", time.Now().UTC().Format("15:04:05.000"), kind, id, d)
	switch kind {
	case 0, 1:
		s.once(id, func() { s.kill(id, d) })
	case 2, 3:
		s.once(id, func() { s.stop(id, d) })
	case 4:
		s.once(id, func() { s.freeze(id, d) })
	case 5:
		if !s.busy[id] {
			s.signal(id, syscall.SIGHUP)
		}
	case 6:
		s.network(d, "loss", func(f *fabric.Faults) { f.Loss, f.Duplicate, f.Reorder, f.JitterMS = 0.02, 0.03, 0.03, 3 },
			func(f *fabric.Faults) { f.Loss, f.Duplicate, f.Reorder, f.JitterMS = 0, 0, 0, 0 })
	case 7:
		s.network(d, "split", func(f *fabric.Faults) { f.PartitionedDataCentres = []string{dc} }, func(f *fabric.Faults) { f.PartitionedDataCentres = nil })
	case 8:
		s.network(d, "mute", func(f *fabric.Faults) { f.OutboundBlockedDataCentres = []string{dc} }, func(f *fabric.Faults) { f.OutboundBlockedDataCentres = nil })
	case 9:
		s.network(0, "break links", func(f *fabric.Faults) { f.ResetLinks = true }, func(f *fabric.Faults) { f.ResetLinks = false })
	case 10:
		s.network(d, "slow links", func(f *fabric.Faults) { f.LinkDelayMS = 80 }, func(f *fabric.Faults) { f.LinkDelayMS = 0.5 })
	case 11:
		s.once("platform", func() { s.platformFault(d) })
	case 12:
		s.once("documents", func() { s.drainByDocument(d) })
	case 13:
		s.once("backend", func() { s.backendFault(d) })
	}
}

// once begins a fault of something that is not disturbed already.
func (s *soak) once(name string, begin func()) {
	if !s.busy[name] {
		s.busy[name] = true
		begin()
	}
}

// kill ends an instance without notice and starts it again.
func (s *soak) kill(id string, down time.Duration) {
	s.disturbed(0, "kill "+id)
	s.signal(id, syscall.SIGKILL)
	<-s.ended[id]
	s.after(detection, func() { s.unlisted(id) })
	s.after(detection+down, func() { s.again(id) })
}

func (s *soak) again(id string) {
	s.instance(id)
	s.busy[id] = false
}

// stop is a planned stop, which must end in time and cut nothing, and a start.
func (s *soak) stop(id string, down time.Duration) {
	s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopBegin, Note: id})
	s.signal(id, syscall.SIGTERM)
	s.send("POST", s.fleet.platform()+"/control/instances/"+id+"/leave", nil)
	latest := time.Now().Add(exitTime)
	var look func()
	look = func() {
		select {
		case err := <-s.ended[id]:
			assert.NilError(s.t, err, "%s", id)
			s.events = append(s.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopEnd, Note: id})
			delete(s.procs, id)
			s.unlisted(id)
			s.after(down, func() { s.again(id) })
		default:
			assert.Assert(s.t, time.Now().Before(latest), "%s has not exited within %s", id, exitTime)
			s.after(50*time.Millisecond, look)
		}
	}
	look()
}

// freeze pauses an instance, which is not listed for most of the time.
func (s *soak) freeze(id string, d time.Duration) {
	s.disturbed(d, "freeze "+id)
	s.signal(id, syscall.SIGSTOP)
	if d > detection {
		s.after(detection, func() { s.unlisted(id) })
	}
	s.after(d, func() {
		s.signal(id, syscall.SIGCONT)
		s.listed(id)
		s.busy[id] = false
	})
}

// network changes the faults of the network for d.
func (s *soak) network(d time.Duration, what string, begin, end func(*fabric.Faults)) {
	s.once(what, func() {
		s.disturbed(d, what)
		begin(&s.faults)
		s.send("PUT", s.fabric()+"/faults", s.faults)
		s.after(d, func() {
			end(&s.faults)
			s.send("PUT", s.fabric()+"/faults", s.faults)
			s.busy[what] = false
		})
	})
}

// platformFault takes the platform away, slows it down or lets it serve an old
// state, for all instances or one data centre.
func (s *soak) platformFault(d time.Duration) {
	listen := []string{"", s.helper(1, 1), s.helper(2, 1)}[s.rng.IntN(3)]
	fault := []platform.Fault{{Down: true}, {SlowMS: 500}, {StaleRevision: max(s.revision, 1)}}[s.rng.IntN(3)]
	fault.Listen = listen
	var page platform.Page
	if s.try("GET", s.fleet.platform()+"/v1/documents", nil, &page) {
		s.revision = page.Upto
	}
	s.send("PUT", s.fleet.platform()+"/control/fault", fault)
	s.after(d, func() {
		s.send("PUT", s.fleet.platform()+"/control/fault", platform.Fault{Listen: listen})
		s.busy["platform"] = false
	})
}

// drainByDocument publishes that a target of the counters is drained, and takes
// it back. The platform may be away; the change is then tried again.
func (s *soak) drainByDocument(d time.Duration) {
	doc, err := os.ReadFile(filepath.Join(s.dir, "documents", "service", "counter.toml"))
	assert.NilError(s.t, err)
	changed := strings.Replace(string(doc), "counter-1-1'", "counter-1-1'\ndraining = true", 1)
	s.publish(changed, func() {
		s.after(d, func() { s.publish(string(doc), func() { s.busy["documents"] = false }) })
	})
}

func (s *soak) publish(doc string, then func()) {
	if !s.try("PUT", s.fleet.platform()+"/v1/documents/service/counter", []byte(doc), nil) {
		s.after(200*time.Millisecond, func() { s.publish(doc, then) })
		return
	}
	then()
}

// backendFault lets a backend server report a false state, start cold, or keep
// its feeds open and silent.
func (s *soak) backendFault(d time.Duration) {
	c := []backend.Control{
		{Service: "counter", Target: "counter-1-1", StatusOverride: "failing"},
		{Service: "certificate", Target: "certificate-1-1", StatusOverride: "ok", ColdStart: true},
		{Service: "alarm", Target: "alarm-1-1", MuteFeeds: true},
	}[s.rng.IntN(3)]
	if c.MuteFeeds {
		s.disturbed(d, "silent feeds")
	}
	s.send("PUT", s.backend()+"/control", c)
	s.after(d, func() {
		s.send("PUT", s.backend()+"/control", backend.Control{Service: c.Service, Target: c.Target, StatusOverride: "true"})
		s.busy["backend"] = false
	})
}
