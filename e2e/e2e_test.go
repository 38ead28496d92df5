package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/standin/backend"
	"arbutusdock.example/arbutusdock/internal/standin/caller"
	"arbutusdock.example/arbutusdock/internal/standin/fabric"
	"arbutusdock.example/arbutusdock/internal/standin/platform"
	"arbutusdock.example/arbutusdock/internal/standin/report"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

const (
	// requestRate is the number of requests per second of each user.
	requestRate = 60
	// overloadRequestRate gives the six counter targets 1.4 times the load that they
	// can process: 850 requests per second, where each target has two slots and a
	// request takes 20 ms.
	overloadRequestRate = 1000
)

func assertInvariants(t *testing.T, v report.Verdict) {
	t.Helper()
	assert.Assert(t, v.OK(), "%s\n%s", v.Line(), strings.Join(v.Details, "\n"))
}

// Guards against a crash that affects more than the feeds and unfinished requests
// of the killed instance, or that executes a non-idempotent request twice.
func TestKill(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(8*time.Second, requestRate)
	time.Sleep(3 * time.Second)
	f.recordEvent(report.Kill)
	f.signal("dc1-2", syscall.SIGKILL)
	f.removeFromList("dc1-2")
	assertInvariants(t, verdict())
}

// Guards against a planned stop that interrupts a request or a feed.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(10*time.Second, requestRate)
	time.Sleep(3 * time.Second)
	f.recordEvent(report.StopBegin)
	f.signal("dc1-2", syscall.SIGTERM)
	f.mustRequest("POST", f.platformURL()+"/control/instances/dc1-2/leave", nil)
	f.awaitExit("dc1-2")
	f.recordEvent(report.StopEnd)
	f.removeFromList("dc1-2")
	assertInvariants(t, verdict())
}

// Guards against planned stops that cut off requests which have just been accepted: one
// instance of each data centre stops while both are overloaded, so that queues, relays
// and admissions are under way.
func TestPlannedStopsUnderOverload(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoadWith(caller.Options{Duration: 8 * time.Second, AckTimeout: 2 * time.Second}, overloadRequestRate)
	time.Sleep(2 * time.Second)
	stopping := []string{"dc1-2", "dc2-1"}
	for _, id := range stopping {
		f.events = append(f.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopBegin, Note: id})
		f.signal(id, syscall.SIGTERM)
		f.mustRequest("POST", f.platformURL()+"/control/instances/"+id+"/leave", nil)
	}
	for _, id := range stopping {
		f.awaitExit(id)
		f.events = append(f.events, report.Event{At: time.Now().UnixMilli(), Name: report.StopEnd, Note: id})
		f.removeFromList(id)
	}
	assertInvariants(t, verdict())
}

// Guards against a paused instance that resumes with stale state and executes
// requests again, or responds to requests of other instances.
func TestPauseAndResume(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(18*time.Second, requestRate)
	time.Sleep(2 * time.Second)
	f.recordEvent(report.Kill) // until it resumes, a paused instance has the effect of a killed one
	f.signal("dc1-2", syscall.SIGSTOP)
	f.removeFromList("dc1-2")
	time.Sleep(10 * time.Second)
	f.signal("dc1-2", syscall.SIGCONT)
	f.addToList("dc1-2")
	assertInvariants(t, verdict())
}

// Guards against an accepted configuration that is lost while the platform is
// down, rolled back when the platform comes back with an older value, or missing
// in an instance that joins at that time.
func TestPlatformDownAndStale(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	var before platform.Page
	assert.Assert(t, f.tryRequest("GET", f.platformURL()+"/v1/documents", nil, &before))
	verdict := f.startLoad(12*time.Second, requestRate)
	time.Sleep(time.Second)
	file := filepath.Join(f.dir, "documents", "service", "counter.toml")
	doc, err := os.ReadFile(file)
	assert.NilError(t, err)
	changed := strings.Replace(string(doc), "counter-1-1'", "counter-1-1'\ndraining = true", 1)
	assert.Assert(t, changed != string(doc))
	f.mustRequest("PUT", f.platformURL()+"/v1/documents/service/counter", []byte(changed))
	time.Sleep(2 * time.Second)
	f.mustRequest("PUT", f.platformURL()+"/control/fault", platform.Fault{Down: true})
	time.Sleep(time.Second)
	whileDown := f.targetCounts("counter/counter-1-1")
	time.Sleep(2 * time.Second)
	f.mustRequest("PUT", f.platformURL()+"/control/fault", platform.Fault{StaleRevision: before.Upto})
	f.signal("dc1-3", syscall.SIGTERM)
	f.mustRequest("POST", f.platformURL()+"/control/instances/dc1-3/leave", nil)
	f.awaitExit("dc1-3")
	f.startInstance("dc1-3")
	v := verdict()
	after := f.targetCounts("counter/counter-1-1")
	assertInvariants(t, v)
	assert.Equal(t, after.Executions, whileDown.Executions, "a target drained by an accepted document got work again")
	assert.Equal(t, after.Feeds, 0)
}

// Guards against the rejection, under overload, of a request that another instance
// executes. The callers use the transmission parameters of RFC 7252, so that they
// retransmit nothing before the instance that has their request has responded.
func TestOverload(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	v := f.startLoadWith(caller.Options{Duration: 4 * time.Second, AckTimeout: 2 * time.Second}, overloadRequestRate)()
	assertInvariants(t, v)
	assert.Equal(t, v.WastedExecutions, 0)
}

// Guards against the rejection of a request that was sent once, when an instance of an
// overloaded data centre pauses for longer than ACK_TIMEOUT: the callers send copies of
// its requests to the others, which reject them, and it runs what it has when it resumes.
// On a machine that is busy enough, TestOverload does the same.
func TestOverloadWithPause(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoadWith(caller.Options{Duration: 5 * time.Second, AckTimeout: 2 * time.Second}, overloadRequestRate)
	time.Sleep(2 * time.Second)
	f.recordEvent(report.Kill) // until it resumes, a paused instance has the effect of a killed one
	f.signal("dc1-2", syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond)
	f.signal("dc1-2", syscall.SIGCONT)
	v := verdict()
	assertInvariants(t, v)
	assert.Equal(t, v.WastedExecutions, 0)
}

func (f *fleet) targetCounts(name string) wire.TargetCounts {
	f.t.Helper()
	var c wire.BackendCounts
	assert.Assert(f.t, f.tryRequest("GET", f.backendURL()+"/counts", nil, &c))
	return c.Targets[name]
}

// Guards against a data centre that cannot operate on its own while it is cut off
// from its callers, the platform and the other data centre, and against failures
// when the connections are restored.
func TestDataCentreCutAndHealed(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(14*time.Second, requestRate)
	time.Sleep(2 * time.Second)
	f.recordEvent(report.Kill) // callers of the cut-off data centre cannot reach it in the meantime
	f.mustRequest("PUT", f.platformURL()+"/control/fault", platform.Fault{Listen: f.helperAddr(2, 1), Down: true})
	f.mustRequest("PUT", f.fabricURL()+"/faults", fabric.Faults{BlockedDataCentres: []string{"dc2"}, PartitionedDataCentres: []string{"dc2"}})
	time.Sleep(3 * time.Second)
	f.mustRequest("PUT", f.fabricURL()+"/faults", fabric.Faults{})
	time.Sleep(2 * time.Second)
	f.mustRequest("PUT", f.platformURL()+"/control/fault", platform.Fault{Listen: f.helperAddr(2, 1)})
	assertInvariants(t, verdict())
}

// Guards against lost, duplicated or reordered datagrams that cause a second
// execution of a request, or a wrong or missing response.
func TestLossDuplicatesAndReordering(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.mustRequest("PUT", f.fabricURL()+"/faults", fabric.Faults{Loss: 0.01, Duplicate: 0.03, Reorder: 0.03, JitterMS: 2})
	assertInvariants(t, f.startLoad(8*time.Second, requestRate)())
}

// Guards against feeds that stay without notifications when the backend server no
// longer sends on their existing registrations but accepts new ones.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(12*time.Second, requestRate)
	time.Sleep(2 * time.Second)
	f.recordEvent(report.Kill) // a feed may stop once and must be restored
	f.mustRequest("PUT", f.backendURL()+"/control", backend.Control{Service: "alarm", MuteFeeds: true})
	assertInvariants(t, verdict())
}

// Guards against false health reports that take precedence over the outcome of real
// requests, and against a drain that breaks feeds or leaves work at the backend
// server.
func TestDrainAndLyingHealth(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	verdict := f.startLoad(8*time.Second, requestRate)
	time.Sleep(2 * time.Second)
	f.mustRequest("PUT", f.backendURL()+"/control", backend.Control{Service: "counter", Target: "counter-1-1", StatusOverride: "failing"})
	f.mustRequest("PUT", f.backendURL()+"/control", backend.Control{Service: "alarm", Target: "alarm-1-1", State: backend.Draining})
	assertInvariants(t, verdict())
}
