//go:build review

// Package stand3 runs daemons of arbutusdock as processes and judges what callers and
// backend servers see, for the scripts of the third review.
package stand3

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// ports are those of a run, the same on all machines.
type ports struct{ datagram, ready, control uint16 }

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Bounds are those of a deployment.
type Bounds struct {
	Contact, Apply, Evacuate, Drain, Heartbeat time.Duration
}

// Node is a machine with one daemon.
type Node struct {
	ID, Zone string
	addr     netip.Addr

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	missed int
	in     bool // in rotation
}

// Fleet is a small deployment on loopback.
type Fleet struct {
	Store *Store
	Nodes []*Node

	bounds  *Bounds
	dir     string
	network int          // second byte of the addresses
	lock    net.Listener // keeps other runs from the network
	ports   ports
	once    sync.Once // ends the run
	record  *os.File
	start   time.Time
	mu      sync.Mutex
	stop    chan struct{}
	probes  sync.WaitGroup
}

// New returns a fleet whose record is written to path.
func New(path string, b *Bounds) (*Fleet, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3.")
	if err != nil {
		return nil, err
	}
	f := &Fleet{bounds: b, dir: dir, record: record, start: time.Now(), stop: make(chan struct{})}
	if err := f.reserve(); err != nil {
		return nil, err
	}
	f.Store = NewStore(b.Heartbeat, f.Log)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(Failed)
	}()
	return f, nil
}

// reserve takes a network that no other run uses, and ports that are free.
func (f *Fleet) reserve() error {
	for n := range 100 {
		f.network = 100 + (os.Getpid()+n)%100
		lock, err := net.Listen("tcp4", netip.AddrPortFrom(f.Addr(254, 1), lockPort).String())
		if err != nil {
			continue
		}
		f.lock = lock
		for _, port := range []*uint16{&f.ports.datagram, &f.ports.ready, &f.ports.control} {
			if *port, err = f.freePort(); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.New("no loopback network is free")
}

// lockPort is the port on which a run listens to reserve its network.
const lockPort = 9463

// freePort returns a port on which nobody listens, neither for TCP nor for UDP.
func (f *Fleet) freePort() (uint16, error) {
	for range 20 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.Addr(253, 1), 0).String())
		if err != nil {
			return 0, err
		}
		at := l.Addr().String()
		u, err := net.ListenPacket("udp4", at)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return netip.MustParseAddrPort(at).Port(), nil
	}
	return 0, errors.New("no port is free")
}

// Addr returns a loopback address of the run.
func (f *Fleet) Addr(host, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(f.network), byte(host), byte(n)})
}

// Now returns the time since the start of the run.
func (f *Fleet) Now() time.Duration { return time.Since(f.start) }

// Log writes a line to the record.
func (f *Fleet) Log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", f.Now().Seconds(), fmt.Sprintf(format, args...))
}

// AddNode writes the settings of a machine, as the template of the deploy file has them. Its
// seeds are the first machines, as many as live says, and stale ones up to three.
func (f *Fleet) AddNode(zone string, zones []string, live int) error {
	b := f.bounds
	n := len(f.Nodes) + 1
	node := &Node{ID: fmt.Sprintf("edge-%s-%d", zone, n), Zone: zone, addr: f.Addr(1, n)}
	f.Nodes = append(f.Nodes, node)
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	var list []string
	for s := 1; s <= 3; s++ {
		host := 1
		if s > live {
			host = 251 // nobody listens there
		}
		list = append(list, fmt.Sprintf("%q", netip.AddrPortFrom(f.Addr(host, s), f.ports.control)))
	}
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "%s = \"gnr\"\n", z)
	}
	text := render(string(template), map[string]string{
		"node": quote(node.ID), "zone": quote(zone), "ip": node.addr.String(),
		"listen.datagram-addr":   quote(netip.AddrPortFrom(node.addr, f.ports.datagram)),
		"listen.ready":           quote(netip.AddrPortFrom(node.addr, f.ports.ready)),
		"listen.control":         quote(netip.AddrPortFrom(node.addr, f.ports.control)),
		"platform.address":       quote(f.Store.Address()),
		"seeds":                  strings.Join(list, ","),
		"zones":                  regions.String(),
		"bounds.config-apply-ms": millis(b.Apply), "bounds.evacuate-ms": millis(b.Evacuate),
		"bounds.grace-s": "6", "bounds.flow-ttl-s": "60", "bounds.cold-excess": "1.5", "bounds.cold-slack": "5",
		"heartbeat-ms": millis(b.Heartbeat), "limits.memory-mb": "255",
	})
	return os.WriteFile(f.settings(node), []byte(text), 0o600)
}

func (f *Fleet) settings(n *Node) string { return filepath.Join(f.dir, n.ID+".toml") }

func quote(v any) string { return fmt.Sprintf("%q", fmt.Sprint(v)) }

func millis(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprint(d.Milliseconds())
}

// render fills in the placeholders that deploy/settings.toml uses. A section without a value
// is left out.
func render(template string, values map[string]string) string {
	for {
		begin := strings.Index(template, "{{#")
		if begin < 0 {
			break
		}
		name, _, _ := strings.Cut(template[begin+3:], "}}")
		end := strings.Index(template, "{{/"+name+"}}")
		body := template[begin+len("{{#")+len(name)+2 : end]
		switch {
		case values[name] == "":
			body = ""
		case name == "seeds" || name == "zones":
			body = values[name] // a list or a table
		}
		template = template[:begin] + body + template[end+len("{{/")+len(name)+2:]
	}
	for name, value := range values {
		template = strings.ReplaceAll(strings.ReplaceAll(template, "{{"+name+"|json}}", value), "{{"+name+"}}", value)
	}
	return template
}

// StartNode starts the daemon of a machine with the command of the deploy file.
func (f *Fleet) StartNode(n *Node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/arbutusdockd", f.settings(n))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close() // the process has its own copy
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }() // the result is in the state of the process
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	f.Log("%s started", n.ID)
	return nil
}

// Signal sends a signal to the daemon of a machine.
func (f *Fleet) Signal(n *Node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // it may have ended
	f.Log("%s gets %s", n.ID, s)
}

// Wait waits until the daemon of a machine has ended.
func (n *Node) Wait() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// Start starts all daemons and the probes of the fabric, and waits until all are in rotation.
func (f *Fleet) Start() error {
	for _, n := range f.Nodes {
		if err := f.StartNode(n); err != nil {
			return err
		}
		f.probes.Go(func() { f.probe(n) })
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.Nodes {
			n.mu.Lock()
			if n.in {
				ready++
			}
			n.mu.Unlock()
		}
		if ready == len(f.Nodes) {
			f.Log("all machines are in rotation")
			return nil
		}
	}
	return fmt.Errorf("not all machines came into rotation within 10 s")
}

// probe asks a machine twice a second whether it is ready, as the routers do.
func (f *Fleet) probe(n *Node) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + netip.AddrPortFrom(n.addr, f.ports.ready).String() + "/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		n.mu.Lock()
		if ok {
			n.missed, n.in = 0, true
		} else if n.missed++; n.missed >= 2 {
			n.in = false
		}
		n.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// Select returns the machine to which the routers send the packets of a flow of a caller in
// a zone.
func (f *Fleet) Select(zone string, src, dst netip.AddrPort) *Node {
	var all, local, inLocal []*Node
	for _, n := range f.Nodes {
		n.mu.Lock()
		in := n.in
		n.mu.Unlock()
		if in {
			all = append(all, n)
		}
		if n.Zone == zone {
			local = append(local, n)
			if in {
				inLocal = append(inLocal, n)
			}
		}
	}
	from := inLocal
	switch {
	case len(inLocal) == 0:
		from = all
	case 2*len(inLocal) < len(local):
		from = local
	}
	var best *Node
	var bestHash uint64
	for _, n := range from {
		h := fnv.New64a()
		fmt.Fprint(h, n.ID, src, dst)
		if x := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || x > bestHash {
			best, bestHash = n, x
		}
	}
	return best
}

// Caller starts a client machine in a zone.
func (f *Fleet) Caller(zone string, n int) (*platformtest.Caller, error) {
	return platformtest.NewCaller(netip.AddrPortFrom(f.Addr(2, n), f.ports.datagram), func(src, dst netip.AddrPort) netip.AddrPort {
		if node := f.Select(zone, src, dst); node != nil {
			return netip.AddrPortFrom(node.addr, f.ports.datagram)
		}
		return netip.AddrPortFrom(f.Addr(250, 1), f.ports.datagram) // nobody listens there
	})
}

// Target is a backend server that writes its entry with each heartbeat.
type Target struct {
	*platformtest.Target
	fleet *Fleet
	born  int64
	ended chan struct{}

	mu    sync.Mutex
	state string
	seq   int
	cut   bool // from the store
}

// Target starts a backend server.
func (f *Fleet) Target(number uint32, service, zone string) (*Target, error) {
	fake, err := platformtest.NewTarget(number, service, zone, f.ports.datagram)
	if err != nil {
		return nil, err
	}
	t := &Target{Target: fake, fleet: f, born: time.Now().UnixMilli(), state: "ready", ended: make(chan struct{})}
	f.Log("target %s of %s in zone %s at %s starts", t.ID, service, zone, t.Address())
	t.beat()
	go func() {
		for {
			select {
			case <-t.ended:
				return
			case <-time.After(f.bounds.Heartbeat):
				t.beat()
			}
		}
	}()
	return t, nil
}

func (t *Target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++ // also when the write is lost
	if t.cut {
		return
	}
	t.fleet.Store.Beat(t.ID, map[string]any{"service": t.Service, "address": t.Address(), "zone": t.DataCentre, "version": "v1",
		"slots": 2, "state": t.state, "cold-remaining-ms": 0, "seq": t.seq, "born": t.born})
}

// Cut partitions the target from the store, or ends the partition. Its callers and all
// machines of the system still reach it.
func (t *Target) Cut(cut bool) {
	t.mu.Lock()
	t.cut = cut
	t.mu.Unlock()
	t.fleet.Log("target %s cut from the store: %t", t.ID, cut)
	if !cut {
		t.beat()
	}
}

// Close stops the target.
func (t *Target) Close() {
	close(t.ended)
	t.Target.Close()
}

// Close ends all processes that the fleet has started.
func (f *Fleet) Close() { f.once.Do(f.close) }

func (f *Fleet) close() {
	close(f.stop)
	f.probes.Wait()
	for _, n := range f.Nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // it may have ended
		}
		ended := n.ended
		n.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	f.Store.Close()
	_ = f.lock.Close()
	for _, n := range f.Nodes {
		if data, err := os.ReadFile(filepath.Join(f.dir, n.ID+".log")); err == nil && os.Getenv("REVIEW_LOGS") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("REVIEW_LOGS"), n.ID+".log"), bytes.TrimSpace(data), 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}
