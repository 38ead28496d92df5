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
	// rate is the number of requests a second of each user.
	rate = 60
	// overloadRate has the six counter targets get 1.4 times what they can run:
	// 850 requests a second, where each has two slots and takes 20 ms.
	overloadRate = 1000
)

func kept(t *testing.T, v report.Verdict) {
	t.Helper()
	assert.Assert(t, v.OK(), "%s\n%s", v.Line(), strings.Join(v.Details, "\n"))
}

// Guards against a crash that loses more than the feeds and unfinished
// requests of the killed instance, or runs a claim twice.
func TestKill(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(8*time.Second, rate)
	time.Sleep(3 * time.Second)
	f.event(report.Kill)
	f.signal("dc1-2", syscall.SIGKILL)
	f.unlisted("dc1-2")
	kept(t, verdict())
}

// Guards against a planned stop that interrupts a request or a feed.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(10*time.Second, rate)
	time.Sleep(3 * time.Second)
	f.event(report.StopBegin)
	f.signal("dc1-2", syscall.SIGTERM)
	f.send("POST", f.platform()+"/control/instances/dc1-2/leave", nil)
	f.wait("dc1-2")
	f.event(report.StopEnd)
	f.unlisted("dc1-2")
	kept(t, verdict())
}

// Guards against a paused instance that resumes with stale state and runs
// requests again, or answers for others.
func TestPauseAndResume(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(18*time.Second, rate)
	time.Sleep(2 * time.Second)
	f.event(report.Kill) // until it resumes, a paused instance is as good as killed
	f.signal("dc1-2", syscall.SIGSTOP)
	f.unlisted("dc1-2")
	time.Sleep(10 * time.Second)
	f.signal("dc1-2", syscall.SIGCONT)
	f.listed("dc1-2")
	kept(t, verdict())
}

// Guards against an accepted configuration that is lost while the platform is
// down, rolled back when the platform returns with an older value, or unknown to
// an instance that joins then.
func TestPlatformDownAndStale(t *testing.T) {
	t.Parallel()
	f := start(t)
	var before platform.Page
	assert.Assert(t, f.try("GET", f.platform()+"/v1/documents", nil, &before))
	verdict := f.load(12*time.Second, rate)
	time.Sleep(time.Second)
	file := filepath.Join(f.dir, "documents", "service", "counter.toml")
	doc, err := os.ReadFile(file)
	assert.NilError(t, err)
	changed := strings.Replace(string(doc), "counter-1-1'", "counter-1-1'\ndraining = true", 1)
	assert.Assert(t, changed != string(doc))
	f.send("PUT", f.platform()+"/v1/documents/service/counter", []byte(changed))
	time.Sleep(2 * time.Second)
	f.send("PUT", f.platform()+"/control/fault", platform.Fault{Down: true})
	time.Sleep(time.Second)
	mid := f.target("counter/counter-1-1")
	time.Sleep(2 * time.Second)
	f.send("PUT", f.platform()+"/control/fault", platform.Fault{StaleRevision: before.Upto})
	f.signal("dc1-3", syscall.SIGTERM)
	f.send("POST", f.platform()+"/control/instances/dc1-3/leave", nil)
	f.wait("dc1-3")
	f.instance("dc1-3")
	v := verdict()
	after := f.target("counter/counter-1-1")
	kept(t, v)
	assert.Equal(t, after.Executions, mid.Executions, "a target drained by an accepted document got work again")
	assert.Equal(t, after.Feeds, 0)
}

// Guards against an overload that rejects a request which another instance runs:
// callers with the transmission parameters of RFC 7252 repeat nothing before the
// instance that has their request has said so.
func TestOverload(t *testing.T) {
	t.Parallel()
	f := start(t)
	v := f.loadFrom(caller.Options{Duration: 4 * time.Second, AckTimeout: 2 * time.Second}, overloadRate)()
	kept(t, v)
	assert.Equal(t, v.WastedExecutions, 0)
}

func (f *fleet) target(name string) wire.TargetCounts {
	f.t.Helper()
	var c wire.BackendCounts
	assert.Assert(f.t, f.try("GET", f.backend()+"/counts", nil, &c))
	return c.Targets[name]
}

// Guards against a data centre that does not serve on its own while it is cut
// off from its callers, the platform and the other data centre, or against
// damage when it is healed.
func TestDataCentreCutAndHealed(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(14*time.Second, rate)
	time.Sleep(2 * time.Second)
	f.event(report.Kill) // callers of a data centre that is cut off lose it for the time
	f.send("PUT", f.platform()+"/control/fault", platform.Fault{Listen: f.helper(2, 1), Down: true})
	f.send("PUT", f.fabric()+"/faults", fabric.Faults{BlockedDataCentres: []string{"dc2"}, PartitionedDataCentres: []string{"dc2"}})
	time.Sleep(3 * time.Second)
	f.send("PUT", f.fabric()+"/faults", fabric.Faults{})
	time.Sleep(2 * time.Second)
	f.send("PUT", f.platform()+"/control/fault", platform.Fault{Listen: f.helper(2, 1)})
	kept(t, verdict())
}

// Guards against datagrams that are lost, come twice or out of order and cause
// a second run, a wrong answer or a lost one.
func TestLossDuplicatesAndReordering(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.send("PUT", f.fabric()+"/faults", fabric.Faults{Loss: 0.01, Duplicate: 0.03, Reorder: 0.03, JitterMS: 2})
	kept(t, f.load(8*time.Second, rate)())
}

// Guards against feeds that stay silent when their connection to the backend
// server is silent while new ones work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(12*time.Second, rate)
	time.Sleep(2 * time.Second)
	f.event(report.Kill) // a feed may fall silent once and must come back
	f.send("PUT", f.backend()+"/control", backend.Control{Service: "alarm", MuteFeeds: true})
	kept(t, verdict())
}

// Guards against health reports that outweigh the outcome of real requests, and
// against a drain that breaks feeds or leaves work at the backend server.
func TestDrainAndLyingHealth(t *testing.T) {
	t.Parallel()
	f := start(t)
	verdict := f.load(8*time.Second, rate)
	time.Sleep(2 * time.Second)
	f.send("PUT", f.backend()+"/control", backend.Control{Service: "counter", Target: "counter-1-1", StatusOverride: "failing"})
	f.send("PUT", f.backend()+"/control", backend.Control{Service: "alarm", Target: "alarm-1-1", State: backend.Draining})
	kept(t, verdict())
}
