//go:build review

package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
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

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// lab is one small deployment on loopback addresses.
type lab struct {
	dir    string // temporary
	root   string // of the repository
	second byte   // of all addresses: 127.second.x.y
	ports  struct{ datagram, ready, control, metrics uint16 }
	store  *platformtest.Store
	began  time.Time

	mu      sync.Mutex
	nodes   []*node
	zones   []string
	targets map[string]*target
	clients []*client
	record  *bufio.Writer
	file    *os.File
	broken  int
	done    chan struct{}
}

// node is a machine of the system with one process.
type node struct {
	id, zone string
	ip       netip.Addr
	settings string
	platform string // address under which it reaches the store
	log      *os.File

	// Guarded by lab.mu.
	cmd        *exec.Cmd
	ended      chan struct{}
	misses     int
	inRotation bool
}

func newLab(root, record string, zones []string) (*lab, error) {
	dir, err := os.MkdirTemp("", "arbutusdock-review.")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, root: root, zones: zones, store: platformtest.NewStore(), began: time.Now(), targets: map[string]*target{},
		record: bufio.NewWriter(file), file: file, done: make(chan struct{})}
	l.second = byte(20 + rand.IntN(230))
	base := uint16(20000 + rand.IntN(10000))
	l.ports.datagram, l.ports.ready, l.ports.control, l.ports.metrics = base, base+1, base+2, 9464
	return l, nil
}

func (l *lab) addr(host, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.second, byte(host), byte(n)})
}

// recordf writes a line to the record, with the seconds since the start.
func (l *lab) recordf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.began).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// addNode prepares a node in a zone. Its settings are those that the template of the deploy
// file gives for the bounds of gwrb-dock-now-grown.
func (l *lab) addNode(zone string, bounds string, seeds int) (*node, error) {
	n := &node{zone: zone, ip: l.addr(1, len(l.nodes)+1), id: fmt.Sprintf("edge-%s-%d", zone, len(l.nodes)+1), platform: l.store.Address()}
	n.settings = filepath.Join(l.dir, n.id+".toml")
	var list []string
	for s := range seeds {
		list = append(list, fmt.Sprintf(`"%s:%d"`, l.addr(1, s+1), l.ports.control))
	}
	var regions strings.Builder
	for _, z := range l.zones {
		fmt.Fprintf(&regions, "%s = \"gnr\"\n", z)
	}
	text := fmt.Sprintf(`[instance]
id = %q
data_centre = %q

[passthrough]
listen = "%s:%d"
ready = "%s:%d"
platform = %q
control = "%s:%d"
seeds = [%s]
metrics = "%s:%d"
%s

[regions]
%s`, n.id, zone, n.ip, l.ports.datagram, n.ip, l.ports.ready, n.platform, n.ip, l.ports.control, strings.Join(list, ","), n.ip, l.ports.metrics, bounds, regions.String())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(l.dir, n.id+".log")); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// start runs the command of the deploy file on a node.
func (l *lab) start(n *node) error {
	cmd := exec.Command("target/arbutusdockd", n.settings)
	cmd.Dir = l.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSDOCK_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	l.mu.Lock()
	n.cmd, n.ended = cmd, ended
	l.mu.Unlock()
	l.recordf("start   node=%s pid=%d", n.id, cmd.Process.Pid)
	return nil
}

// restart stops a node as planned work does: SIGTERM, SIGKILL after the grace, and a new
// start.
func (l *lab) restart(n *node, grace time.Duration) error {
	l.recordf("SIGTERM node=%s", n.id)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(grace):
		l.recordf("SIGKILL node=%s", n.id)
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	l.recordf("ended   node=%s", n.id)
	time.Sleep(200 * time.Millisecond)
	return l.start(n)
}

// probe polls the readiness of a node as the routers do: twice per second, out of rotation
// after two misses.
func (l *lab) probe(n *node) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/ready", n.ip, l.ports.ready)
	for {
		response, err := client.Get(url)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		l.mu.Lock()
		was := n.inRotation
		if ok {
			n.misses, n.inRotation = 0, true
		} else if n.misses++; n.misses >= 2 {
			n.inRotation = false
		}
		changed, now := was != n.inRotation, n.inRotation
		l.mu.Unlock()
		if changed {
			l.recordf("router  node=%s in-rotation=%v", n.id, now)
		}
		select {
		case <-l.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// choose returns the node to which the routers of a zone send a packet: by a hash over the
// nodes of the zone in rotation ("steady"), over all of the zone if fewer than half are, over
// the nearest zones if none is.
func (l *lab) choose(zone string, src, dst netip.AddrPort) *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var local, ready, remote []*node
	for _, n := range l.nodes {
		switch {
		case n.zone == zone:
			local = append(local, n)
			if n.inRotation {
				ready = append(ready, n)
			}
		case n.inRotation:
			remote = append(remote, n)
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(remote) > 0:
		candidates = remote
	case 2*len(ready) < len(local):
		candidates = local
	}
	var best *node
	var bestHash uint64
	for _, n := range candidates {
		h := fnv.New64a()
		fmt.Fprint(h, n.id, src, dst)
		if x := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || x > bestHash {
			best, bestHash = n, x
		}
	}
	return best
}

// awaitRotation waits until all nodes are in rotation.
func (l *lab) awaitRotation(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.mu.Lock()
		all := true
		for _, n := range l.nodes {
			all = all && n.inRotation
		}
		l.mu.Unlock()
		if all {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are in rotation after %s", timeout)
}

// addTarget starts a target and publishes its record.
func (l *lab) addTarget(number uint64, service, zone string, slots, queue int, work func() time.Duration) (*target, error) {
	t, err := newTarget(l, number, service, zone, l.addr(3+len(l.targets)/200, 1+len(l.targets)%200), slots, queue, work)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.targets[t.id] = t
	l.mu.Unlock()
	l.recordf("target  id=%s service=%s zone=%s address=%s", t.id, service, zone, t.address)
	l.publish(t, "ready", 0)
	return t, nil
}

// publish writes the record of a target into the store.
func (l *lab) publish(t *target, state string, cold time.Duration) {
	l.store.PutRaw("servers/"+t.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":%d,"seq":%d,"born":%d}`,
		t.service, t.address, t.zone, cap(t.slots), state, cold.Milliseconds(), time.Since(t.born).Milliseconds(), t.born.UnixMilli()))
}

func (l *lab) addClient(zone string) (*client, error) {
	c, err := newClient(l, zone, l.addr(2, len(l.clients)+1))
	if err != nil {
		return nil, err
	}
	l.clients = append(l.clients, c)
	return c, nil
}

// breakRule counts a broken rule.
func (l *lab) breakRule(format string, args ...any) {
	l.recordf("BROKEN  "+format, args...)
	l.mu.Lock()
	l.broken++
	l.mu.Unlock()
}

// judgeReset judges a reset that a client got on a flow that it had opened: rule FLOW (a). It
// counts if the flow's target lives with the flow open and has not sent it.
func (l *lab) judgeReset(f *flow, what string) {
	l.mu.Lock()
	t := l.targets[f.target]
	l.mu.Unlock()
	if t == nil {
		l.recordf("reset   flow=%s sum=%08x via=%s target unknown", f, f.resetSum, f.via)
		return
	}
	open, since, byTarget := t.flowState(f.from)
	if open && !byTarget {
		sender := "the system"
		if f.resetSum != 0 {
			sender = "another target"
		}
		l.breakRule("FLOW (a): client %s got a reset of %s on its open flow to %s, via %s; target %s lives, holds the flow since %.3f s and has not reset it; %s",
			f.from, sender, f.to, f.via, t.id, since.Sub(l.began).Seconds(), what)
		return
	}
	l.recordf("reset   flow=%s sum=%08x via=%s target=%s open=%v by-target=%v", f, f.resetSum, f.via, t.id, open, byTarget)
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	close(l.done)
	for _, n := range l.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		_ = n.log.Close()
	}
	for _, t := range l.targets {
		t.close()
	}
	for _, c := range l.clients {
		_ = c.conn.Close()
	}
	l.store.Close()
	l.mu.Lock()
	_ = l.record.Flush()
	_ = l.file.Close()
	l.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// free reports whether the addresses of the nodes can be used.
func (l *lab) free(nodes int) bool {
	for n := range nodes {
		for _, port := range []uint16{l.ports.ready, l.ports.control, l.ports.metrics} {
			listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.addr(1, n+1), port).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
