// Package e2e runs real daemons as processes with stand-ins for the callers, the
// backend servers, the platform and the network fabric. Each test injects faults
// into a fleet of its own and checks the guaranteed behaviour with the counts that
// the stand-ins report.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/standin/caller"
	"arbutusdock.example/arbutusdock/internal/standin/fabric"
	"arbutusdock.example/arbutusdock/internal/standin/report"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

const (
	readyTimeout  = 20 * time.Second // for each program of the fleet to be ready
	discoveryTime = 2 * time.Second  // for the instances to discover each other
	exitTimeout   = 15 * time.Second // for a planned stop
	seed          = 1
)

// bin is the directory of the programs, which TestMain builds.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutusdock-e2e.")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/arbutusdockd", "./cmd/arbutusdock", "./cmd/standin")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleet is two data centres of three instances each, with the stand-ins.
type fleet struct {
	t            *testing.T
	dir          string
	firstNetwork int
	processes    map[string]*exec.Cmd
	logs         map[string]*os.File
	exits        map[string]chan error
	logStarts    map[string]int64    // size of the log of a process when it was started
	instances    map[string][]string // fields of the lines of instances.txt by instance ID
	events       []report.Event
}

// reserveNetworks reserves five loopback networks that no other run on this
// machine uses and returns the second byte of the addresses of the first.
func reserveNetworks(t *testing.T) int {
	t.Helper()
	for base := 100; base <= 245; base += 5 {
		lock := filepath.Join(os.TempDir(), fmt.Sprintf("arbutusdock-net-%d", base))
		if os.Mkdir(lock, 0o700) == nil {
			t.Cleanup(func() { _ = os.Remove(lock) })
			return base
		}
	}
	t.Fatal("no free loopback networks; remove stale arbutusdock-net-* from the temporary directory")
	return 0
}

// fleetSlots limits the fleets that run at the same time. With eight fleets of six
// daemons each on a busy machine, responses took longer than the retransmission
// time-out.
var fleetSlots = make(chan struct{}, 3)

// startFleet starts the stand-ins and the instances and waits until they are ready.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	base := reserveNetworks(t)
	dir, err := os.MkdirTemp("", "arbutusdock-e2e.")
	assert.NilError(t, err)
	f := &fleet{
		t: t, dir: dir, firstNetwork: base, processes: map[string]*exec.Cmd{}, logs: map[string]*os.File{},
		exits: map[string]chan error{}, logStarts: map[string]int64{}, instances: map[string][]string{},
	}
	t.Cleanup(f.stop)
	f.runTool("standin", "generate", "--examples", "../docs/examples", "--out", f.dir, "--base", fmt.Sprint(base),
		"--instances", "3", "--linger", "1s", "--targets", "counter=3", "slip=1", "alarm=3", "certificate=2")
	keys := filepath.Join(f.dir, "keys")
	assert.NilError(t, os.MkdirAll(keys, 0o755))
	f.runTool("arbutusdock", "keys", "ca", "--dir", keys)
	f.runTool("arbutusdock", "keys", "admission", "--dir", keys, "--id", "1")
	data, err := os.ReadFile(filepath.Join(f.dir, "instances.txt"))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		f.instances[fields[0]] = fields
		f.runTool("arbutusdock", "keys", "instance", "--dir", keys, fields[0])
	}
	docs := filepath.Join(f.dir, "documents")
	f.startProcess("platform", "standin", "platform", "--documents", docs, "--lag", "300ms",
		"--listen", f.helperAddr(0, 1)+":7300", f.helperAddr(1, 1)+":7300", f.helperAddr(2, 1)+":7300")
	f.startProcess("backend", "standin", "backend", "--documents", docs, "--listen", f.helperAddr(0, 2)+":7400",
		"--run", "counter=20ms", "slip=20ms", "alarm=10ms", "certificate=10ms", "--drain-grace", "8s")
	f.awaitReady(func() bool { return f.tryRequest("GET", f.platformURL()+"/control/counts", nil, nil) })
	f.startProcess("fabric", append([]string{"standin", "fabric", "--documents", docs, "--platform", f.platformURL(),
		"--control", f.helperAddr(0, 3) + ":7400", "--links", filepath.Join(f.dir, "links.txt"), "--public"}, f.publicAddrs()...)...)
	f.awaitReady(func() bool {
		return f.tryRequest("PUT", f.fabricURL()+"/faults", fabric.Faults{DelayMS: map[string]float64{"dc1": 1, "dc2": 1}, LinkDelayMS: 0.5}, nil)
	})
	for id := range f.instances {
		f.startInstance(id)
	}
	for id, fields := range f.instances {
		f.awaitReady(func() bool { return f.tryRequest("GET", "http://"+fields[2]+":7200/v1/state", nil, nil) })
		_ = id
	}
	time.Sleep(discoveryTime)
	return f
}

func (f *fleet) helperAddr(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.firstNetwork+4, group, host)
}
func (f *fleet) platformURL() string { return "http://" + f.helperAddr(0, 1) + ":7300" }
func (f *fleet) backendURL() string  { return "http://" + f.helperAddr(0, 2) + ":7400" }
func (f *fleet) fabricURL() string   { return "http://" + f.helperAddr(0, 3) + ":7400" }

func (f *fleet) publicAddrs() []string {
	return []string{fmt.Sprintf("dc1=127.%d.1.1", f.firstNetwork+2), fmt.Sprintf("dc2=127.%d.2.1", f.firstNetwork+2)}
}

// startInstance starts an instance and adds it to the platform's list of instances.
func (f *fleet) startInstance(id string) {
	f.t.Helper()
	f.startProcess(id, "arbutusdockd", filepath.Join(f.dir, "instances", id, "settings.toml"))
	f.addToList(id)
}

func (f *fleet) addToList(id string) {
	fields := f.instances[id]
	f.mustRequest("PUT", f.platformURL()+"/control/instances/"+id, map[string]string{"data_centre": fields[1], "caller_ip": fields[2], "peer_addr": fields[3]})
}

func (f *fleet) removeFromList(id string) {
	f.mustRequest("DELETE", f.platformURL()+"/control/instances/"+id, nil)
}

// startProcess starts a program and writes its output to a log file of the fleet.
func (f *fleet) startProcess(name string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	info, err := log.Stat()
	assert.NilError(f.t, err)
	f.logStarts[name] = info.Size()
	c := exec.Command(filepath.Join(bin, args[0]), args[1:]...)
	c.Stdout, c.Stderr = log, log
	assert.NilError(f.t, c.Start())
	exit := make(chan error, 1)
	go func() { exit <- c.Wait() }()
	f.processes[name], f.logs[name], f.exits[name] = c, log, exit
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.processes[name].Process.Signal(s))
}

// awaitExit waits until a process has exited by itself.
func (f *fleet) awaitExit(name string) {
	f.t.Helper()
	select {
	case err := <-f.exits[name]:
		delete(f.processes, name)
		assert.NilError(f.t, err, "%s", name)
	case <-time.After(exitTimeout):
		f.t.Fatalf("%s has not exited within %s", name, exitTimeout)
	}
}

// hasLogged reports whether the present or last run of a process has written to its log.
func (f *fleet) hasLogged(name string) bool {
	info, err := f.logs[name].Stat()
	return err != nil || info.Size() > f.logStarts[name]
}

// stop ends the fleet's own processes. If the test failed, it keeps the log files
// and logs the end of each.
func (f *fleet) stop() {
	for _, c := range f.processes {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for name := range f.processes {
		<-f.exits[name]
	}
	for name, log := range f.logs {
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && f.t.Failed() {
			f.t.Logf("%s:\n%s", name, data[max(0, len(data)-1500):])
		}
	}
	if f.t.Failed() {
		f.t.Logf("logs are in %s", f.dir)
	} else {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) runTool(args ...string) {
	f.t.Helper()
	out, err := exec.Command(filepath.Join(bin, args[0]), args[1:]...).CombinedOutput()
	assert.NilError(f.t, err, "%s: %s", strings.Join(args, " "), out)
}

func (f *fleet) recordEvent(name string) {
	f.events = append(f.events, report.Event{At: time.Now().UnixMilli(), Name: name})
}

func (f *fleet) awaitReady(ready func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); !ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("a program of the fleet was not ready in time")
		}
	}
}

func (f *fleet) tryRequest(method, url string, body, response any) bool {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if response != nil && json.NewDecoder(resp.Body).Decode(response) != nil {
		return false
	}
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) mustRequest(method, url string, body any) {
	f.t.Helper()
	assert.Assert(f.t, f.tryRequest(method, url, body, nil), "%s %s", method, url)
}

// startLoad sends the request mixes of both users to the public addresses in the
// background. The returned function waits for the end of the load and returns the
// verdict.
func (f *fleet) startLoad(d time.Duration, rate float64) (verdict func() report.Verdict) {
	f.t.Helper()
	return f.startLoadWith(caller.Options{Duration: d}, rate)
}

// startLoadWith is like startLoad, for callers with the options opt.
func (f *fleet) startLoadWith(opt caller.Options, rate float64) (verdict func() report.Verdict) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	results := make(chan wire.CallerResult, 2)
	for i, user := range []string{"board", "kelani"} {
		sources, feeds, err := caller.Mix(user, rate, 12)
		assert.NilError(f.t, err)
		opt.User, opt.Sources, opt.Feeds = user, sources, feeds
		opt.PublicIPs = map[string]netip.Addr{
			"dc1": netip.AddrFrom4([4]byte{127, byte(f.firstNetwork + 2), 1, 1}), "dc2": netip.AddrFrom4([4]byte{127, byte(f.firstNetwork + 2), 2, 1}),
		}
		opt.Ports = map[string]uint16{"counter": 5701, "slip": 5702, "alarm": 5703, "certificate": 5704}
		opt.FirstLocalIP = netip.AddrFrom4([4]byte{127, byte(f.firstNetwork + 3), byte(i + 1), 1})
		opt.Callers, opt.Deadline, opt.RefreshInterval, opt.SilenceTimeout, opt.ZipfExponent, opt.Seed = 6, 5*time.Second, 4*time.Second, 3*time.Second, 1.2, seed
		c, err := caller.New(ctx, opt)
		assert.NilError(f.t, err)
		go func() { results <- c.Run(ctx) }()
	}
	return func() report.Verdict {
		input := report.Input{Events: f.events, Callers: []wire.CallerResult{<-results, <-results}}
		var counts wire.BackendCounts
		assert.Assert(f.t, f.tryRequest("GET", f.backendURL()+"/counts", nil, &counts))
		input.Backends = []wire.BackendCounts{counts}
		result := report.Evaluate(input)
		recorder := httptest.NewRecorder()
		_ = report.Write(recorder, input, result)
		f.t.Log("\n" + recorder.Body.String())
		return result
	}
}
