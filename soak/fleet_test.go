package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// Bounds that the settings of the instances and the checks use.
const (
	applyWithin     = 3 * time.Second // for a change to come into force
	recoveryTime    = 4 * time.Second // after a disturbance until the bounds hold again
	stopTimeout     = 6 * time.Second // for a planned stop
	probeInterval   = 500 * time.Millisecond
	maxFailedProbes = 2
)

// Ports, the same on every address of the run's network.
const (
	datagramPort = 7100
	readyPort    = 7101
	controlPort  = 7102
	metricsPort  = 7103
	proxyPort    = 7104
)

// bin is the path of the daemon, which TestMain builds.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutusdock-soak.")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = filepath.Join(dir, "arbutusdockd")
	build := exec.Command("go", "build", "-o", bin, "./cmd/arbutusdockd")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// instance is one process of the system. Its mutable fields are guarded by the
// mutex of the fleet.
type instance struct {
	id, dc   string
	addr     netip.Addr
	settings string
	log      *os.File
	store    *proxy // between the instance and the store
	control  *proxy // between other instances and this one

	// lifecycleMu is held while a fault ends, suspends or restarts the process, so
	// that two faults do not start it at the same time.
	lifecycleMu sync.Mutex

	cmd             *exec.Cmd
	ended           chan struct{} // closed when the process has ended
	starts          int
	failedProbes    int
	inRotation      bool      // the fabric selects it for packets
	down            bool      // killed or paused
	disturbedUntil  time.Time // end of the last disturbance
	observedVersion int       // newest version whose route a caller could open
	observedAt      time.Time
	observedStart   int // value of starts at that time
}

// fleet is a deployment with two data centres.
type fleet struct {
	t           *testing.T
	dir         string
	networkByte int // second byte of the addresses
	store       *platformtest.Store
	cancel      context.CancelFunc
	probes      sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
	lossRate  float64
	lossRNG   *rand.Rand // of datagram loss
}

func (f *fleet) addr(host, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(f.networkByte), byte(host), byte(n)})
}

// reserveNetwork reserves a loopback network that no other run on this machine
// uses and returns the second byte of its addresses.
func reserveNetwork(t *testing.T) int {
	for n := 10; n < 100; n++ {
		lock := filepath.Join(os.TempDir(), fmt.Sprintf("arbutusdock-soak-net-%d", n))
		if os.Mkdir(lock, 0o700) == nil {
			t.Cleanup(func() { _ = os.Remove(lock) })
			return n
		}
	}
	t.Fatal("no free loopback network; remove arbutusdock-soak-net-* of ended runs from the temporary directory")
	return 0
}

// newFleet starts n instances in each data centre.
func newFleet(t *testing.T, seed uint64, n int) *fleet {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d.", seed))
	assert.NilError(t, err)
	f := &fleet{t: t, dir: dir, networkByte: reserveNetwork(t), store: platformtest.NewStore(), lossRNG: rand.New(rand.NewPCG(seed, 7))}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	t.Cleanup(func() {
		cancel()
		f.probes.Wait()
		f.killAll()
		f.store.Close()
		if t.Failed() {
			t.Logf("logs of seed %d are in %s", seed, dir)
		} else {
			_ = os.RemoveAll(dir)
		}
	})
	for i := range 2 * n {
		f.instances = append(f.instances, f.newInstance(i, []string{"a", "b"}[i/n]))
	}
	for _, i := range f.instances {
		f.start(i)
		f.probes.Go(func() { f.probe(ctx, i) })
	}
	return f
}

func (f *fleet) newInstance(n int, dc string) *instance {
	i := &instance{id: fmt.Sprintf("%s-%d", dc, n), dc: dc, addr: f.addr(1, n+1)}
	var err error
	i.store, err = newProxy(netip.AddrPortFrom(f.addr(3, n+1), proxyPort).String(), f.store.Address())
	assert.NilError(f.t, err)
	i.control, err = newProxy(netip.AddrPortFrom(f.addr(4, n+1), proxyPort).String(), netip.AddrPortFrom(i.addr, controlPort).String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { i.store.close(); i.control.close() })
	i.settings = filepath.Join(f.dir, i.id+".toml")
	text := fmt.Sprintf(`[instance]
id = %q
data_centre = %q
[passthrough]
listen = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
advertise = %q
metrics = "%s:%d"
platform = %q
seeds = [%q, %q]
apply_within = %q
grace = %q
[log]
level = "debug"
`, i.id, dc, i.addr, datagramPort, i.addr, readyPort, i.addr, controlPort, i.control.address(), i.addr, metricsPort, i.store.address(),
		netip.AddrPortFrom(f.addr(4, 1), proxyPort), netip.AddrPortFrom(f.addr(4, 2), proxyPort), applyWithin, stopTimeout)
	assert.NilError(f.t, os.WriteFile(i.settings, []byte(text), 0o600))
	i.log, err = os.Create(filepath.Join(f.dir, i.id+".log"))
	assert.NilError(f.t, err)
	return i
}

// start runs the process of an instance.
func (f *fleet) start(i *instance) {
	cmd := exec.Command(bin, i.settings)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	assert.NilError(f.t, cmd.Start())
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }() // the result is in the state of the process
	f.mu.Lock()
	defer f.mu.Unlock()
	i.cmd, i.ended = cmd, ended
	i.starts++
}

func (f *fleet) killAll() {
	for _, i := range f.instances {
		_ = i.cmd.Process.Kill() // it may have ended
		<-i.ended
		_ = i.log.Close()
	}
}

// signal sends a signal to the process of an instance unless it has ended.
func (f *fleet) signal(i *instance, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := i.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.t.Errorf("signal %s to %s: %v", s, i.id, err)
	}
}

// disturb marks an instance as disturbed from now on, for d.
func (f *fleet) disturb(i *instance, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := time.Now().Add(d); end.After(i.disturbedUntil) {
		i.disturbedUntil = end
	}
}

// setDown records whether an instance is killed or paused.
func (f *fleet) setDown(i *instance, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.down = down
	if now := time.Now(); !down && now.After(i.disturbedUntil) {
		i.disturbedUntil = now
	}
}

// undisturbed reports whether an instance is up and its last disturbance ended
// more than recoveryTime ago.
func (f *fleet) undisturbed(i *instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !i.down && time.Since(i.disturbedUntil) > recoveryTime
}

// probe polls the readiness of an instance as the network fabric does.
func (f *fleet) probe(ctx context.Context, i *instance) {
	client := &http.Client{Timeout: probeInterval - 50*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/ready", i.addr, readyPort)
	for {
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.mu.Lock()
		if ready {
			i.failedProbes, i.inRotation = 0, true
		} else if i.failedProbes++; i.failedProbes >= maxFailedProbes {
			i.inRotation = false
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// selectInstance returns the instance to which the network fabric sends the
// packets of a flow of a caller in a data centre.
func (f *fleet) selectInstance(dc string, src, dst netip.AddrPort) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, inDataCentre, selectable []*instance
	for _, i := range f.instances {
		if i.inRotation {
			all = append(all, i)
		}
		if i.dc == dc {
			inDataCentre = append(inDataCentre, i)
			if i.inRotation {
				selectable = append(selectable, i)
			}
		}
	}
	switch {
	case len(selectable) == 0 && len(all) > 0:
		selectable = all
	case 2*len(selectable) < len(inDataCentre):
		selectable = inDataCentre
	}
	var best *instance
	bestHash := uint64(0)
	for _, i := range selectable {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, i.id, src, dst) // writing to a hash does not fail
		if x := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || x > bestHash {
			best, bestHash = i, x
		}
	}
	return best
}

// route returns a function that gives the address to which a packet is sent. For a
// lost packet this is an address on which nothing listens.
func (f *fleet) route(dc string) func(src, dst netip.AddrPort) netip.AddrPort {
	return func(src, dst netip.AddrPort) netip.AddrPort {
		i := f.selectInstance(dc, src, dst)
		f.mu.Lock()
		lost := f.lossRNG.Float64() < f.lossRate
		f.mu.Unlock()
		if lost || i == nil {
			return netip.AddrPortFrom(f.addr(250, 1), datagramPort)
		}
		return netip.AddrPortFrom(i.addr, datagramPort)
	}
}
