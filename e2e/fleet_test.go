// Package e2e runs real daemons as processes against the stand-ins, applies
// one kind of fault to each fleet and asserts the promises with the counts of
// the stand-ins.
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
	readyTime = 20 * time.Second // for a fleet to be ready
	settle    = 2 * time.Second  // for the instances to find each other
	exitTime  = 15 * time.Second // for a planned stop
	seed      = 1
)

// bin holds the programs, built once.
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

// fleet is two data centres of three instances, with the stand-ins around them.
type fleet struct {
	t      *testing.T
	dir    string
	base   int
	procs  map[string]*exec.Cmd
	logs   map[string]*os.File
	ended  map[string]chan error
	list   map[string][]string // instances.txt by id
	events []report.Event
}

// networks takes five loopback networks that no other run on this machine uses
// and returns the second byte of the first.
func networks(t *testing.T) int {
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

// fleets bounds the fleets that run at a time. Eight fleets of six daemons each
// delayed responses beyond the retransmission time-out on a busy machine.
var fleets = make(chan struct{}, 3)

// start runs a fleet.
func start(t *testing.T) *fleet {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	base := networks(t)
	dir, err := os.MkdirTemp("", "arbutusdock-e2e.")
	assert.NilError(t, err)
	f := &fleet{
		t: t, dir: dir, base: base, procs: map[string]*exec.Cmd{}, logs: map[string]*os.File{},
		ended: map[string]chan error{}, list: map[string][]string{},
	}
	t.Cleanup(f.stop)
	f.tool("standin", "generate", "--examples", "../docs/examples", "--out", f.dir, "--base", fmt.Sprint(base),
		"--instances", "3", "--linger", "1s", "--targets", "counter=3", "slip=1", "alarm=3", "certificate=2")
	keys := filepath.Join(f.dir, "keys")
	assert.NilError(t, os.MkdirAll(keys, 0o755))
	f.tool("arbutusdock", "keys", "ca", "--dir", keys)
	f.tool("arbutusdock", "keys", "admission", "--dir", keys, "--id", "1")
	data, err := os.ReadFile(filepath.Join(f.dir, "instances.txt"))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		w := strings.Fields(line)
		f.list[w[0]] = w
		f.tool("arbutusdock", "keys", "instance", "--dir", keys, w[0])
	}
	docs := filepath.Join(f.dir, "documents")
	f.process("platform", "standin", "platform", "--documents", docs, "--lag", "300ms",
		"--listen", f.helper(0, 1)+":7300", f.helper(1, 1)+":7300", f.helper(2, 1)+":7300")
	f.process("backend", "standin", "backend", "--documents", docs, "--listen", f.helper(0, 2)+":7400",
		"--run", "counter=20ms", "slip=20ms", "alarm=10ms", "certificate=10ms", "--drain-grace", "8s")
	f.until(func() bool { return f.try("GET", f.platform()+"/control/counts", nil, nil) })
	f.process("fabric", append([]string{"standin", "fabric", "--documents", docs, "--platform", f.platform(),
		"--control", f.helper(0, 3) + ":7400", "--links", filepath.Join(f.dir, "links.txt"), "--public"}, f.public()...)...)
	f.until(func() bool {
		return f.try("PUT", f.fabric()+"/faults", fabric.Faults{DelayMS: map[string]float64{"dc1": 1, "dc2": 1}, LinkDelayMS: 0.5}, nil)
	})
	for id := range f.list {
		f.instance(id)
	}
	for id, w := range f.list {
		f.until(func() bool { return f.try("GET", "http://"+w[2]+":7200/v1/state", nil, nil) })
		_ = id
	}
	time.Sleep(settle)
	return f
}

func (f *fleet) helper(a, b int) string { return fmt.Sprintf("127.%d.%d.%d", f.base+4, a, b) }
func (f *fleet) platform() string       { return "http://" + f.helper(0, 1) + ":7300" }
func (f *fleet) backend() string        { return "http://" + f.helper(0, 2) + ":7400" }
func (f *fleet) fabric() string         { return "http://" + f.helper(0, 3) + ":7400" }

func (f *fleet) public() []string {
	return []string{fmt.Sprintf("dc1=127.%d.1.1", f.base+2), fmt.Sprintf("dc2=127.%d.2.1", f.base+2)}
}

// instance starts an instance and lists it.
func (f *fleet) instance(id string) {
	f.t.Helper()
	f.process(id, "arbutusdockd", filepath.Join(f.dir, "instances", id, "settings.toml"))
	f.listed(id)
}

func (f *fleet) listed(id string) {
	w := f.list[id]
	f.send("PUT", f.platform()+"/control/instances/"+id, map[string]string{"data_centre": w[1], "caller_ip": w[2], "peer_addr": w[3]})
}

func (f *fleet) unlisted(id string) { f.send("DELETE", f.platform()+"/control/instances/"+id, nil) }

// process starts a program whose output goes to a log file of the fleet.
func (f *fleet) process(name string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	c := exec.Command(filepath.Join(bin, args[0]), args[1:]...)
	c.Stdout, c.Stderr = log, log
	assert.NilError(f.t, c.Start())
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	f.procs[name], f.logs[name], f.ended[name] = c, log, ended
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.procs[name].Process.Signal(s))
}

// wait waits until a process has exited by itself.
func (f *fleet) wait(name string) {
	f.t.Helper()
	select {
	case err := <-f.ended[name]:
		assert.NilError(f.t, err, "%s", name)
	case <-time.After(exitTime):
		f.t.Fatalf("%s has not exited within %s", name, exitTime)
	}
	delete(f.procs, name)
}

// stop ends the fleet's own processes. It keeps the logs of a failed test and
// shows their ends.
func (f *fleet) stop() {
	for _, c := range f.procs {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for name := range f.procs {
		<-f.ended[name]
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

func (f *fleet) tool(args ...string) {
	f.t.Helper()
	out, err := exec.Command(filepath.Join(bin, args[0]), args[1:]...).CombinedOutput()
	assert.NilError(f.t, err, "%s: %s", strings.Join(args, " "), out)
}

func (f *fleet) event(name string) {
	f.events = append(f.events, report.Event{At: time.Now().UnixMilli(), Name: name})
}

func (f *fleet) until(ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTime); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("not ready in time")
		}
	}
}

func (f *fleet) try(method, url string, body, into any) bool {
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
	if into != nil && json.NewDecoder(resp.Body).Decode(into) != nil {
		return false
	}
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) send(method, url string, body any) {
	f.t.Helper()
	assert.Assert(f.t, f.try(method, url, body, nil), "%s %s", method, url)
}

// load runs both users' mixes against the public addresses in the background
// and returns how to wait for the verdict.
func (f *fleet) load(d time.Duration, rate float64) (verdict func() report.Verdict) {
	f.t.Helper()
	return f.loadFrom(caller.Options{Duration: d}, rate)
}

// loadFrom is load by callers with other options than usual.
func (f *fleet) loadFrom(opt caller.Options, rate float64) (verdict func() report.Verdict) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	results := make(chan wire.CallerResult, 2)
	for i, user := range []string{"board", "kelani"} {
		sources, feeds, err := caller.Mix(user, rate, 12)
		assert.NilError(f.t, err)
		opt.User, opt.Sources, opt.Feeds = user, sources, feeds
		opt.PublicIPs = map[string]netip.Addr{
			"dc1": netip.AddrFrom4([4]byte{127, byte(f.base + 2), 1, 1}), "dc2": netip.AddrFrom4([4]byte{127, byte(f.base + 2), 2, 1}),
		}
		opt.Ports = map[string]uint16{"counter": 5701, "slip": 5702, "alarm": 5703, "certificate": 5704}
		opt.FirstLocalIP = netip.AddrFrom4([4]byte{127, byte(f.base + 3), byte(i + 1), 1})
		opt.Callers, opt.Deadline, opt.RefreshInterval, opt.SilenceTimeout, opt.ZipfExponent, opt.Seed = 6, 5*time.Second, 4*time.Second, 3*time.Second, 1.2, seed
		c, err := caller.New(ctx, opt)
		assert.NilError(f.t, err)
		go func() { results <- c.Run(ctx) }()
	}
	return func() report.Verdict {
		in := report.Input{Events: f.events, Callers: []wire.CallerResult{<-results, <-results}}
		var counts wire.BackendCounts
		assert.Assert(f.t, f.try("GET", f.backend()+"/counts", nil, &counts))
		in.Backends = []wire.BackendCounts{counts}
		v := report.Evaluate(in)
		w := httptest.NewRecorder()
		_ = report.Write(w, in, v)
		f.t.Log("\n" + w.Body.String())
		return v
	}
}
