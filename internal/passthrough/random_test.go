package passthrough

import (
	"slices"
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
	evacuated     []ids.DataCentre    // by core: the evacuated data centre, or none
	regions       [][]string          // by core: the regions that its configuration version allows
	opened        map[FlowKey]Decision
	opener        map[FlowKey]int // the core that placed the flow
	nextFlow      int
}

// modelRegions are the regions of the data centres.
var modelRegions = map[string]string{"a": "north", "b": "south"}

// mayPlace reports whether core i may place new flows on a target with the given record.
func (m *model) mayPlace(i int, r *TargetRecord) bool {
	region := modelRegions[string(r.DataCentre)]
	return r.DataCentre != m.evacuated[i] && (len(m.regions[i]) == 0 || slices.Contains(m.regions[i], region))
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: startTime, opened: map[FlowKey]Decision{}, opener: map[FlowKey]int{}}
	for i := range 3 {
		m.cores = append(m.cores, New(Settings{DataCentre: []ids.DataCentre{"a", "b", "b"}[i], MaxFlows: 64, FlowLifetime: time.Hour, Seed: uint64(i), Regions: modelRegions}))
		m.usable = append(m.usable, map[string]TargetRecord{})
		m.removed = append(m.removed, map[string]bool{})
		m.version = append(m.version, 0)
		m.droppedRoutes = append(m.droppedRoutes, map[Endpoint]bool{})
		m.evacuated = append(m.evacuated, "")
		m.regions = append(m.regions, nil)
	}
	return m
}

func (m *model) drawCore() int { return rapid.IntRange(0, len(m.cores)-1).Draw(m.t, "instance") }

func (m *model) putTarget() {
	i := m.drawCore()
	n := rapid.IntRange(1, 8).Draw(m.t, "target")
	r := testRecord(n, []ids.Service{"counter", "slips"}[n%2], []ids.DataCentre{"a", "b"}[n/2%2])
	r.Draining = rapid.Bool().Draw(m.t, "draining")
	m.cores[i].PutTarget(m.now, &r)
	delete(m.removed[i], r.Name)
	delete(m.usable[i], r.Name)
	if !r.Draining {
		m.usable[i][r.Name] = r
	}
}

func (m *model) removeTarget() {
	i := m.drawCore()
	n := rapid.IntRange(1, 8).Draw(m.t, "target")
	name := testRecord(n, []ids.Service{"counter", "slips"}[n%2], "a").Name
	m.cores[i].RemoveTarget(m.now, name)
	if _, ok := m.cores[i].targets.byName[name]; ok {
		m.removed[i][name] = true
	}
	delete(m.usable[i], name)
}

func (m *model) applyConfig() {
	i := m.drawCore()
	c := testConfig(uint64(rapid.IntRange(1, 9).Draw(m.t, "version")))
	if rapid.Bool().Draw(m.t, "drop") {
		c.Routes = c.Routes[:1]
	}
	regions := rapid.SampledFrom([][]string{nil, {"north"}, {"south"}, {"south", "west"}, {"west"}}).Draw(m.t, "regions")
	for n := range c.Routes {
		c.Routes[n].Regions = regions
	}
	accepted := m.cores[i].ApplyConfig(c)
	if accepted != (c.Version > m.version[i]) {
		m.t.Fatalf("version %d after %d: accepted %v", c.Version, m.version[i], accepted)
	}
	if accepted {
		m.version[i], m.regions[i] = c.Version, regions
		m.droppedRoutes[i] = map[Endpoint]bool{slipsAddress: len(c.Routes) == 1}
	}
	if m.cores[i].Version() != m.version[i] {
		m.t.Fatalf("version %d instead of %d", m.cores[i].Version(), m.version[i])
	}
}

func (m *model) evacuate() {
	i := m.drawCore()
	m.evacuated[i] = rapid.SampledFrom([]ids.DataCentre{"", "a", "b"}).Draw(m.t, "data centre")
	var list []Evacuation
	if m.evacuated[i] != "" {
		list = []Evacuation{{DataCentre: m.evacuated[i], Revision: 1}}
	}
	m.cores[i].SetEvacuations(m.now, list)
}

// openFlow sends an opening packet to one core. It must be forwarded to a usable
// target of the route's service, or dropped or reset if there is none.
func (m *model) openFlow() {
	i := m.drawCore()
	to := []Endpoint{counterAddress, slipsAddress}[rapid.IntRange(0, 1).Draw(m.t, "route")]
	service := ids.Service("counter")
	if to == slipsAddress {
		service = "slips"
	}
	m.nextFlow++
	f := testFlow(m.nextFlow, to)
	d := m.cores[i].HandlePacket(m.now, openingPacket(f, 0))
	switch {
	case m.version[i] == 0:
		assert.Equal(m.t, d.Verdict, Drop)
	case m.droppedRoutes[i][to]:
		assert.Equal(m.t, d.Reason, NoRoute)
		assert.Equal(m.t, d.Verdict, Reset)
	case d.Verdict == Forward:
		r, ok := m.usable[i][d.Target]
		assert.Assert(m.t, ok, "target %s is draining, gone or unknown", d.Target)
		assert.Equal(m.t, r.Service, service)
		assert.Assert(m.t, m.mayPlace(i, &r), "target %s is in an evacuated data centre or in another region", r.Name)
		m.cores[i].HandlePacket(m.now.Add(ms), requestPacket(f, d.Cookie))
		m.opened[f], m.opener[f] = d, i
	default:
		assert.Assert(m.t, d.Reason == NoTarget || d.Reason == AllEvacuated || d.Reason == NoTargetInRegion, "%s", d.Reason)
		for _, r := range m.usable[i] {
			assert.Assert(m.t, r.Service != service || !m.mayPlace(i, &r), "target %s was free", r.Name)
			assert.Assert(m.t, r.Service != service || d.Reason != NoTarget, "target %s is withheld", r.Name)
		}
	}
}

// sendPacket sends a packet of an open flow through any core. It must be forwarded to
// the target of the flow or dropped. It may be reset only by the core that opened it, since
// no core knows that it is current, and only if the route or the target was removed there.
func (m *model) sendPacket() {
	for f, d := range m.opened {
		i := m.drawCore()
		p := &Packet{Flow: f, Flags: ACK, Cookie: d.Cookie, Seq: uint32(rapid.IntRange(101, 400).Draw(m.t, "seq")),
			Ack: uint32(rapid.IntRange(501, 900).Draw(m.t, "ack")), Length: rapid.IntRange(0, 100).Draw(m.t, "length")}
		got := m.cores[i].HandlePacket(m.now, p)
		switch got.Verdict {
		case Forward:
			assert.Equal(m.t, got.Identity, d.Identity)
		case Reset:
			dropped := m.version[i] != 0 && m.droppedRoutes[i][f.Service]
			assert.Equal(m.t, m.opener[f], i, "reset by an instance that may lag")
			assert.Assert(m.t, dropped || (got.Reason == TargetGone && m.removed[i][d.Target]), "reset of an open flow")
		default:
			_, usable := m.usable[i][d.Target]
			assert.Assert(m.t, !usable, "a packet for a target that is known was dropped: %s", got.Reason)
		}
		return // map iteration order selects one flow at random; rapid only reproduces its own draws
	}
}

func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(m.t, "ms")) * ms)
	for _, c := range m.cores {
		c.Tick(m.now)
	}
}

// Cores receive random sequences of updates and packets in different orders. No
// sequence may reset an open flow without cause or move it, place a flow on a target
// that is draining, removed, of another service, in an evacuated data centre or in a
// region that the route does not allow, or activate an older version.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":      func(*rapid.T) { m.putTarget() },
			"remove":   func(*rapid.T) { m.removeTarget() },
			"config":   func(*rapid.T) { m.applyConfig() },
			"open":     func(*rapid.T) { m.openFlow() },
			"evacuate": func(*rapid.T) { m.evacuate() },
			"send":     func(*rapid.T) { m.sendPacket() },
			"wait":     func(*rapid.T) { m.advance() },
			"": func(t *rapid.T) {
				for _, c := range m.cores {
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
