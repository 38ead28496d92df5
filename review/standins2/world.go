//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	dir    string // temporary folder with settings and logs
	base   [2]byte
	port   uint16 // of datagrams, on all addresses
	start  time.Time
	store  *store
	rec    io.Writer
	record sync.Mutex

	mu       sync.Mutex
	daemons  []*daemon
	opened   map[netip.AddrPort][]opening // by client end
	runs     map[string][]string          // targets by request
	nextHost byte
}

type opening struct {
	target *target
	at     time.Time
	to     netip.AddrPort
}

func newWorld(recordFile string) *world {
	dir, err := os.MkdirTemp("", "review.")
	if err != nil {
		cantRun(err)
	}
	rec, err := os.Create(recordFile)
	if err != nil {
		cantRun(err)
	}
	w := &world{dir: dir, start: time.Now(), rec: rec, opened: map[netip.AddrPort][]opening{}, runs: map[string][]string{}, nextHost: 20}
	for range 20 {
		w.base = [2]byte{byte(20 + rand.IntN(200)), byte(rand.IntN(250))}
		w.port = uint16(15000 + rand.IntN(10000))
		if w.portsFree() {
			break
		}
	}
	w.store = w.newStore()
	return w
}

func (w *world) portsFree() bool {
	for _, host := range []byte{1, 2} {
		for n := range uint16(4) {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(w.addr(host), w.port+n).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// routeAt returns the address and port of a route; the address is a loopback address, too.
func (w *world) routeAt(n byte) netip.AddrPort { return netip.AddrPortFrom(w.addr(200+n), 443) }

// addr returns a loopback address of this run.
func (w *world) addr(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.base[0], w.base[1], host})
}

func (w *world) listenBoth() (*net.UDPConn, net.Listener) {
	w.mu.Lock()
	w.nextHost++
	addr := w.addr(w.nextHost)
	w.mu.Unlock()
	return w.listenAt(netip.AddrPortFrom(addr, 8080))
}

func (w *world) listenAt(at netip.AddrPort) (*net.UDPConn, net.Listener) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	w.check(err)
	listener, err := net.Listen("tcp4", at.String())
	w.check(err)
	return conn, listener
}

func (w *world) check(err error) {
	if err != nil {
		w.logf("cannot run: %v", err)
		w.stop()
		os.Exit(2)
	}
}

func cantRun(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	os.Exit(2)
}

func (w *world) logf(format string, args ...any) {
	w.record.Lock()
	defer w.record.Unlock()
	fmt.Fprintf(w.rec, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) openings(t *target, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened[p.src] = append(w.opened[p.src], opening{t, time.Now(), p.dst})
}

func (w *world) ran(t *target, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], t.id)
}

// targetOf returns the target that took the last opening packet of a client's end.
func (w *world) targetOf(from netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.opened[from]; len(o) > 0 {
		return o[len(o)-1].target.id
	}
	return ""
}

// daemon is one process of the system.
type daemon struct {
	w        *world
	id, zone string
	addr     netip.Addr
	settings string
	cmd      *exec.Cmd
	ended    chan error
}

func (w *world) newDaemon(id, zone string, host byte, zones, seeds []string) *daemon {
	d := &daemon{w: w, id: id, zone: zone, addr: w.addr(host), settings: filepath.Join(w.dir, id+".toml")}
	var s strings.Builder
	at := func(n uint16) string { return netip.AddrPortFrom(d.addr, w.port+n).String() }
	fmt.Fprintf(&s, "[instance]\nid = %q\ndata_centre = %q\n[passthrough]\nlisten = %q\nready = %q\nplatform = %q\ncontrol = %q\nseeds = [%s]\nmetrics = %q\n",
		id, zone, at(0), at(1), w.store.addressFor(id), at(2), strings.Join(seeds, ", "), at(3))
	s.WriteString("apply_within = \"5000ms\"\ngrace = \"6s\"\nflow_life = \"60s\"\nheartbeat = \"770ms\"\nmemory_mb = 280\n[regions]\n")
	for _, z := range zones {
		fmt.Fprintf(&s, "%q = \"gnr\"\n", z)
	}
	w.check(os.WriteFile(d.settings, []byte(s.String()), 0o600))
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	return d
}

func (w *world) seed(host byte) string {
	return fmt.Sprintf("%q", netip.AddrPortFrom(w.addr(host), w.port+2).String())
}

// begin starts the process with the command of the deploy file.
func (d *daemon) begin() {
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.w.check(err)
	d.cmd = exec.Command("target/arbutusdockd", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.w.check(d.cmd.Start())
	d.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait(); close(ended); _ = log.Close() }(d.cmd, d.ended)
	d.w.logf("started %s, process %d", d.id, d.cmd.Process.Pid)
}

func (d *daemon) signal(s syscall.Signal) {
	d.w.logf("%s to %s", s, d.id)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) datagrams() netip.AddrPort { return netip.AddrPortFrom(d.addr, d.w.port) }

func (d *daemon) via() netip.AddrPort { return d.datagrams() }

// ready reports whether the instance answers the probe of the routers with 200.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + netip.AddrPortFrom(d.addr, d.w.port+1).String() + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (w *world) awaitReady(daemons ...*daemon) {
	deadline := time.Now().Add(10 * time.Second)
	for _, d := range daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				w.check(fmt.Errorf("%s is not ready", d.id))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.logf("ready")
}

// stop ends all processes and copies the lines of their logs that matter to the record.
func (w *world) stop() {
	for _, d := range w.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		select {
		case <-d.ended:
		case <-time.After(5 * time.Second):
		}
	}
	for _, d := range w.daemons {
		data, _ := os.ReadFile(filepath.Join(w.dir, d.id+".log"))
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		if len(lines) > 400 {
			lines = lines[len(lines)-400:]
		}
		for _, line := range lines {
			fmt.Fprintf(w.rec, "log %s: %s\n", d.id, line)
		}
	}
	_ = os.RemoveAll(w.dir)
	// The temporary folder and the project's path stay out of the record.
}
