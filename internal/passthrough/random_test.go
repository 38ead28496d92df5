package passthrough

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// world is the truth that the instances learn late and in different states:
// what each of them was told, and where each flow was opened.
type world struct {
	t       *rapid.T
	now     ids.Time
	cores   []*Core
	told    []map[string]TargetRecord // by core: usable targets
	removed []map[string]bool         // by core: targets that it was told are gone
	version []uint64
	dropped []map[Endpoint]bool // by core: routes missing in its version
	opened  map[FlowKey]Decision
	next    int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: origin, opened: map[FlowKey]Decision{}}
	for i := range 3 {
		w.cores = append(w.cores, New(Settings{DataCentre: []ids.DataCentre{"a", "b", "b"}[i], MaxFlows: 64, FlowLifetime: time.Hour, Seed: uint64(i)}))
		w.told = append(w.told, map[string]TargetRecord{})
		w.removed = append(w.removed, map[string]bool{})
		w.version = append(w.version, 0)
		w.dropped = append(w.dropped, map[Endpoint]bool{})
	}
	return w
}

func (w *world) core() int { return rapid.IntRange(0, len(w.cores)-1).Draw(w.t, "instance") }

func (w *world) put() {
	i := w.core()
	n := rapid.IntRange(1, 8).Draw(w.t, "target")
	r := record(n, []ids.Service{"counter", "slips"}[n%2], []ids.DataCentre{"a", "b"}[n/2%2])
	r.Draining = rapid.Bool().Draw(w.t, "draining")
	w.cores[i].PutTarget(w.now, &r)
	delete(w.removed[i], r.Name)
	delete(w.told[i], r.Name)
	if !r.Draining {
		w.told[i][r.Name] = r
	}
}

func (w *world) remove() {
	i := w.core()
	n := rapid.IntRange(1, 8).Draw(w.t, "target")
	name := record(n, []ids.Service{"counter", "slips"}[n%2], "a").Name
	w.cores[i].RemoveTarget(w.now, name)
	if _, ok := w.cores[i].targets.byName[name]; ok {
		w.removed[i][name] = true
	}
	delete(w.told[i], name)
}

func (w *world) config() {
	i := w.core()
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
		w.dropped[i] = map[Endpoint]bool{slipsAt: len(c.Routes) == 1}
	}
	if w.cores[i].Version() != w.version[i] {
		w.t.Fatalf("version %d instead of %d", w.cores[i].Version(), w.version[i])
	}
}

// open sends an opening packet: it reaches a target that the instance may use,
// of the service of the route, or nothing.
func (w *world) open() {
	i := w.core()
	to := []Endpoint{counterAt, slipsAt}[rapid.IntRange(0, 1).Draw(w.t, "route")]
	service := ids.Service("counter")
	if to == slipsAt {
		service = "slips"
	}
	w.next++
	f := flowOf(w.next, to)
	d := w.cores[i].HandlePacket(w.now, syn(f, 0))
	switch {
	case w.version[i] == 0:
		assert.Equal(w.t, d.Verdict, Drop)
	case w.dropped[i][to]:
		assert.Equal(w.t, d.Reason, NoRoute)
		assert.Equal(w.t, d.Verdict, Reset)
	case d.Verdict == Forward:
		r, ok := w.told[i][d.Target]
		assert.Assert(w.t, ok, "target %s is draining, gone or unknown", d.Target)
		assert.Equal(w.t, r.Service, service)
		w.cores[i].HandlePacket(w.now.Add(ms), request(f, d.Cookie))
		w.opened[f] = d
	default:
		assert.Equal(w.t, d.Reason, NoTarget)
		for _, r := range w.told[i] {
			assert.Assert(w.t, r.Service != service, "target %s was free", r.Name)
		}
	}
}

// send sends a packet of an open flow through any instance: it reaches the
// target that the flow was opened with, or nothing, and the caller gets a reset
// only when the route was removed or the target is gone.
func (w *world) send() {
	for f, d := range w.opened {
		i := w.core()
		p := &Packet{Flow: f, Flags: ACK, Cookie: d.Cookie, Seq: uint32(rapid.IntRange(101, 400).Draw(w.t, "seq")),
			Ack: uint32(rapid.IntRange(501, 900).Draw(w.t, "ack")), Length: rapid.IntRange(0, 100).Draw(w.t, "length")}
		got := w.cores[i].HandlePacket(w.now, p)
		switch got.Verdict {
		case Forward:
			assert.Equal(w.t, got.Identity, d.Identity)
		case Reset:
			dropped := w.version[i] != 0 && w.dropped[i][f.Service]
			assert.Assert(w.t, dropped || (got.Reason == TargetGone && w.removed[i][d.Target]), "reset of an open flow")
		default:
			_, told := w.told[i][d.Target]
			assert.Assert(w.t, !told, "a packet for a target that is known was dropped: %s", got.Reason)
		}
		return // map order picks one at random; rapid repeats the draws only
	}
}

func (w *world) wait() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(w.t, "ms")) * ms)
	for _, c := range w.cores {
		c.Tick(w.now)
	}
}

// Guards against any sequence of news and packets, seen by instances in
// different order, that resets or moves an open flow, places a flow on a target
// that is draining, gone or of another service, or takes a version back.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { w.put() },
			"remove": func(*rapid.T) { w.remove() },
			"config": func(*rapid.T) { w.config() },
			"open":   func(*rapid.T) { w.open() },
			"send":   func(*rapid.T) { w.send() },
			"wait":   func(*rapid.T) { w.wait() },
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
