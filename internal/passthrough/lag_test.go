package passthrough

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// lagModel is one history of published changes, which several cores follow at a distance.
type lagModel struct {
	t       *rapid.T
	now     ids.Time
	history []publication
	cores   []*laggingCore
	routes  map[Endpoint]bool // of the latest version
	version uint64
	started []int64 // by target: start of its running incarnation, 0 if it does not run
	flows   []lagFlow
	nextID  int
}

// publication is a published change.
type publication struct {
	at     ids.Time
	routes map[Endpoint]bool // of a version, nil for a change of a target
	apply  func(now ids.Time, c *Core)
}

type laggingCore struct {
	*Core
	applied int // publications that it has applied
}

// lagFlow is an open flow with what it was opened on.
type lagFlow struct {
	key       FlowKey
	opened    Decision
	startedAt int64                     // of the incarnation of its target
	dropped   bool                      // a version that its opener did not have lacks its route
	firstSeen map[*laggingCore]ids.Time // when each core got its first packet
}

var lagAddresses = []Endpoint{{IP: [4]byte{198, 18, 0, 1}, Port: 1}, {IP: [4]byte{198, 18, 0, 1}, Port: 2}, {IP: [4]byte{198, 18, 0, 1}, Port: 3}}

const lagTargets = 4

func (m *lagModel) publish(routes map[Endpoint]bool, apply func(now ids.Time, c *Core)) {
	m.now = m.now.Add(ms)
	m.history = append(m.history, publication{m.now, routes, apply})
	m.now = m.now.Add(ms)
}

// publishVersion publishes a version with random routes. The flows on those that it lacks
// may be reset from now on.
func (m *lagModel) publishVersion() {
	m.version++
	m.routes = map[Endpoint]bool{}
	c := &Config{Version: m.version, IdleTimeout: time.Hour}
	for _, a := range lagAddresses {
		if rapid.Bool().Draw(m.t, fmt.Sprint("route ", a.Port)) {
			m.routes[a] = true
			c.Routes = append(c.Routes, Route{Name: a.String(), Address: a, Splits: []Split{{"counter", 1}}})
		}
	}
	for i := range m.flows {
		m.flows[i].dropped = m.flows[i].dropped || !m.routes[m.flows[i].key.Service]
	}
	m.publish(m.routes, func(_ ids.Time, core *Core) { core.ApplyConfig(c) })
}

// changeTarget ends a target that runs, or starts one again under its name.
func (m *lagModel) changeTarget() {
	n := rapid.IntRange(0, lagTargets-1).Draw(m.t, "target")
	r := testRecord(n, "counter", "a")
	if m.started[n] != 0 {
		m.started[n] = 0
		m.publish(nil, func(now ids.Time, c *Core) {
			if t := c.targets.byName[r.Name]; t != nil {
				t.Draining = true // it left as planned
			}
			c.RemoveTarget(now, r.Name)
		})
		return
	}
	m.started[n] = int64(m.now)
	r.StartedAt = m.started[n]
	m.publish(nil, func(now ids.Time, c *Core) { c.PutTarget(now, &r) })
}

func (m *lagModel) drawCore() *laggingCore {
	return m.cores[rapid.IntRange(0, len(m.cores)-1).Draw(m.t, "instance")]
}

// update takes a core a random part of the way to the latest publication.
func (m *lagModel) update(c *laggingCore) {
	upTo := rapid.IntRange(c.applied, len(m.history)).Draw(m.t, "up to")
	for ; c.applied < upTo; c.applied++ {
		m.history[c.applied].apply(m.now, c.Core)
	}
	current := m.now
	if upTo < len(m.history) {
		current = m.history[upTo].at
	}
	if rapid.Bool().Draw(m.t, "confirm") {
		c.ConfirmCurrent(current)
	}
}

// restart replaces a core by one that knows a random part of the history.
func (m *lagModel) restart() {
	c := m.drawCore()
	for i := range m.flows {
		delete(m.flows[i].firstSeen, c)
	}
	*c = laggingCore{Core: newLagCore()}
	m.update(c)
}

func newLagCore() *Core {
	return New(Settings{DataCentre: "a", MaxFlows: 1 << 10, FlowLifetime: time.Hour, HeartbeatInterval: time.Second})
}

func (m *lagModel) open() {
	c := m.drawCore()
	m.nextID++
	key := testFlow(m.nextID, lagAddresses[rapid.IntRange(0, 2).Draw(m.t, "route")])
	d := c.HandlePacket(m.now, openingPacket(key, 0))
	if d.Verdict != Forward {
		return
	}
	t := c.targets.byName[d.Target]
	if m.started[int(t.Identity-1000)] != t.StartedAt {
		return // it does not answer any more
	}
	c.HandlePacket(m.now, requestPacket(key, d.Cookie))
	dropped := slices.ContainsFunc(m.history[c.applied:], func(p publication) bool { return p.routes != nil && !p.routes[key.Service] })
	m.flows = append(m.flows, lagFlow{key, d, t.StartedAt, dropped, map[*laggingCore]ids.Time{c: m.now}})
}

// send sends a packet of an open flow through any core.
func (m *lagModel) send() {
	if len(m.flows) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flows)-1).Draw(m.t, "flow")
	f, c := &m.flows[i], m.drawCore()
	p := Packet{Flow: f.key, Cookie: f.opened.Cookie, Seq: 151, Ack: uint32(rapid.IntRange(501, 900).Draw(m.t, "ack")),
		Flags: rapid.SampledFrom([]Flags{ACK, ACK, ACK, FIN | ACK}).Draw(m.t, "flags"), Length: rapid.SampledFrom([]int{0, 50}).Draw(m.t, "length")}
	if p.Flags.Has(FIN) {
		p.Length = 0
	}
	gone := m.started[int(f.opened.Identity-1000)] != f.startedAt
	got := c.HandlePacket(m.now, &p)
	first, seen := f.firstSeen[c]
	switch {
	case got.Verdict == Reset:
		assert.Assert(m.t, gone || f.dropped, "reset of an open flow: %s", got.Reason)
		m.flows = slices.Delete(m.flows, i, i+1)
		return
	case got.Verdict == Forward:
		assert.Equal(m.t, got.Identity, f.opened.Identity)
	}
	// A core that is current as of the flow's first packet must reset it if its route or its
	// target is gone for good.
	current := seen && c.applied == len(m.history) && !c.currentAt.Before(first)
	running := m.started[int(f.opened.Identity-1000)] != 0 // then it resets flows that it does not have
	if current && !m.routes[f.key.Service] {
		m.t.Fatalf("a flow on a removed route was not reset: %s", got.Reason)
	}
	if current && gone && !running && got.Reason != UnknownCookie {
		m.t.Fatalf("a flow of a target that is gone was not reset: %s", got.Reason)
	}
	switch {
	case p.Flags.Has(FIN) && !got.Reason.unconfirmed():
		delete(f.firstSeen, c) // the table forgets it
	case !seen && (got.Verdict == Forward && p.Length > 0 || got.Reason.unconfirmed()):
		f.firstSeen[c] = m.now
	}
}

// Instances follow what is published at a distance of their own, and may start anew. Guards
// against a reset of an open flow whose route no version has dropped and whose target runs,
// and against one that is due and is not sent: by random changes of routes and targets.
func TestLaggingInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &lagModel{t: t, now: startTime, started: make([]int64, lagTargets)}
		for range 3 {
			m.cores = append(m.cores, &laggingCore{Core: newLagCore()})
		}
		m.publishVersion()
		for range lagTargets {
			m.changeTarget()
		}
		t.Repeat(map[string]func(*rapid.T){
			"version": func(*rapid.T) { m.publishVersion() },
			"target":  func(*rapid.T) { m.changeTarget() },
			"update":  func(*rapid.T) { m.update(m.drawCore()) },
			"update2": func(*rapid.T) { m.update(m.drawCore()) },
			"restart": func(*rapid.T) { m.restart() },
			"open":    func(*rapid.T) { m.open() },
			"send":    func(*rapid.T) { m.send() },
			"send2":   func(*rapid.T) { m.send() },
			"wait":    func(*rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(m.t, "ms")) * ms) },
		})
	})
}
