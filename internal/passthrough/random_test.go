package passthrough

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// model is the reference state of the test: the updates that each core has
// received, and the target on which each flow was placed.
type model struct {
	t             *rapid.T
	now           ids.Time
	cores         []*Core
	usable        []map[string]TargetRecord // by core: targets that may get new flows
	removed       []map[string]bool         // by core: targets whose removal it has received
	version       []uint64
	droppedRoutes []map[Endpoint]bool // by core: routes that its configuration version does not have
	opened        map[FlowKey]Decision
	nextFlow      int
}

func newModel(t *rapid.T) *model {
	w := &model{t: t, now: startTime, opened: map[FlowKey]Decision{}}
	for i := range 3 {
		w.cores = append(w.cores, New(Settings{DataCentre: []ids.DataCentre{"a", "b", "b"}[i], MaxFlows: 64, FlowLifetime: time.Hour, Seed: uint64(i)}))
		w.usable = append(w.usable, map[string]TargetRecord{})
		w.removed = append(w.removed, map[string]bool{})
		w.version = append(w.version, 0)
		w.droppedRoutes = append(w.droppedRoutes, map[Endpoint]bool{})
	}
	return w
}

func (w *model) drawCore() int { return rapid.IntRange(0, len(w.cores)-1).Draw(w.t, "instance") }

func (w *model) putTarget() {
	i := w.drawCore()
	n := rapid.IntRange(1, 8).Draw(w.t, "target")
	r := testRecord(n, []ids.Service{"counter", "slips"}[n%2], []ids.DataCentre{"a", "b"}[n/2%2])
	r.Draining = rapid.Bool().Draw(w.t, "draining")
	w.cores[i].PutTarget(w.now, &r)
	delete(w.removed[i], r.Name)
	delete(w.usable[i], r.Name)
	if !r.Draining {
		w.usable[i][r.Name] = r
	}
}

func (w *model) removeTarget() {
	i := w.drawCore()
	n := rapid.IntRange(1, 8).Draw(w.t, "target")
	name := testRecord(n, []ids.Service{"counter", "slips"}[n%2], "a").Name
	w.cores[i].RemoveTarget(w.now, name)
	if _, ok := w.cores[i].targets.byName[name]; ok {
		w.removed[i][name] = true
	}
	delete(w.usable[i], name)
}

func (w *model) applyConfig() {
	i := w.drawCore()
	c := testConfig(uint64(rapid.IntRange(1, 9).Draw(w.t, "version")))
	if rapid.Bool().Draw(w.t, "drop") {
		c.Routes = c.Routes[:1]
	}
	accepted := w.cores[i].ApplyConfig(c)
	if accepted != (c.Version > w.version[i]) {
		w.t.Fatalf("version %d after %d: accepted %v", c.Version, w.version[i], accepted)
	}
	if accepted {
		w.version[i] = c.Version
		w.droppedRoutes[i] = map[Endpoint]bool{slipsAddress: len(c.Routes) == 1}
	}
	if w.cores[i].Version() != w.version[i] {
		w.t.Fatalf("version %d instead of %d", w.cores[i].Version(), w.version[i])
	}
}

// openFlow sends an opening packet to one core. It must be forwarded to a usable
// target of the route's service, or dropped or reset if there is none.
func (w *model) openFlow() {
	i := w.drawCore()
	to := []Endpoint{counterAddress, slipsAddress}[rapid.IntRange(0, 1).Draw(w.t, "route")]
	service := ids.Service("counter")
	if to == slipsAddress {
		service = "slips"
	}
	w.nextFlow++
	f := testFlow(w.nextFlow, to)
	d := w.cores[i].HandlePacket(w.now, openingPacket(f, 0))
	switch {
	case w.version[i] == 0:
		assert.Equal(w.t, d.Verdict, Drop)
	case w.droppedRoutes[i][to]:
		assert.Equal(w.t, d.Reason, NoRoute)
		assert.Equal(w.t, d.Verdict, Reset)
	case d.Verdict == Forward:
		r, ok := w.usable[i][d.Target]
		assert.Assert(w.t, ok, "target %s is draining, gone or unknown", d.Target)
		assert.Equal(w.t, r.Service, service)
		w.cores[i].HandlePacket(w.now.Add(ms), requestPacket(f, d.Cookie))
		w.opened[f] = d
	default:
		assert.Equal(w.t, d.Reason, NoTarget)
		for _, r := range w.usable[i] {
			assert.Assert(w.t, r.Service != service, "target %s was free", r.Name)
		}
	}
}

// sendPacket sends a packet of an open flow through any core. It must be forwarded to
// the target of the flow or dropped. It may be reset only if the route or the target
// was removed.
func (w *model) sendPacket() {
	for f, d := range w.opened {
		i := w.drawCore()
		p := &Packet{Flow: f, Flags: ACK, Cookie: d.Cookie, Seq: uint32(rapid.IntRange(101, 400).Draw(w.t, "seq")),
			Ack: uint32(rapid.IntRange(501, 900).Draw(w.t, "ack")), Length: rapid.IntRange(0, 100).Draw(w.t, "length")}
		got := w.cores[i].HandlePacket(w.now, p)
		switch got.Verdict {
		case Forward:
			assert.Equal(w.t, got.Identity, d.Identity)
		case Reset:
			dropped := w.version[i] != 0 && w.droppedRoutes[i][f.Service]
			assert.Assert(w.t, dropped || (got.Reason == TargetGone && w.removed[i][d.Target]), "reset of an open flow")
		default:
			_, told := w.usable[i][d.Target]
			assert.Assert(w.t, !told, "a packet for a target that is known was dropped: %s", got.Reason)
		}
		return // map iteration order selects one flow at random; rapid only reproduces its own draws
	}
}

func (w *model) advance() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(w.t, "ms")) * ms)
	for _, c := range w.cores {
		c.Tick(w.now)
	}
}

// Cores receive random sequences of updates and packets in different orders. No
// sequence may reset an open flow without cause or move it, place a flow on a target
// that is draining, removed or of another service, or activate an older version.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { w.putTarget() },
			"remove": func(*rapid.T) { w.removeTarget() },
			"config": func(*rapid.T) { w.applyConfig() },
			"open":   func(*rapid.T) { w.openFlow() },
			"send":   func(*rapid.T) { w.sendPacket() },
			"wait":   func(*rapid.T) { w.advance() },
			"": func(t *rapid.T) {
				for _, c := range w.cores {
					for _, target := range c.targets.slots {
						if target != nil && (target.activeRequests < 0 || target.flows < 0 || target.activeRequests > target.flows) {
							t.Fatalf("%s: %d requests, %d flows", target.Name, target.activeRequests, target.flows)
						}
					}
				}
			},
		})
	})
}
