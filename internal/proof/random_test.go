package proof

import (
	"flag"
	"strings"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/message"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
	_ = flag.Set("rapid.steps", "50")
	_ = flag.Set("rapid.nofailfile", "true")
}

// model is the state of a random run.
type model struct {
	*world
}

func (m *model) node(rt *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "node")]
}

func (m *model) server(rt *rapid.T) *server {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(rt, "server")]
}

func (m *model) wait(rt *rapid.T) {
	m.advance(time.Duration(rapid.SampledFrom([]int{0, 5, 50, 500, 500, 3000, 8000}).Draw(rt, "wait")) * time.Millisecond)
}

func (m *model) verify(rt *rapid.T) {
	if len(m.violations) > 0 {
		rt.Fatalf("%s\nhistory:\n%s", strings.Join(m.violations, "\n"), strings.Join(m.history, "\n"))
	}
}

func (m *model) requests(rt *rapid.T) {
	for range rapid.SampledFrom([]int{1, 3, 40}).Draw(rt, "burst") {
		k := rapid.SampledFrom([]kind{get, get, claim, claim, claim, long, download}).Draw(rt, "kind")
		m.newOperation(k, rapid.SampledFrom(services).Draw(rt, "service"), rapid.SampledFrom(centres).Draw(rt, "dc"))
	}
}

// background sends a request, so that faults meet requests in every step.
func (m *model) background() {
	if len(m.operations) < 1000 {
		i := len(m.operations)
		m.newOperation([]kind{get, claim, claim, long, download}[i%5], services[i/5%2], centres[i/10%2])
	}
}

func (m *model) openFeed(rt *rapid.T) {
	if len(m.feeds) < 8 {
		m.newOperation(observe, "alarm", rapid.SampledFrom(centres).Draw(rt, "dc"))
	}
}

func (m *model) profile(rt *rapid.T) {
	service := rapid.SampledFrom(services).Draw(rt, "service")
	m.platform.publish("profile/p-"+string(service), profileText(rapid.IntRange(1, 9).Draw(rt, "weight"), 4000), true)
}

func (m *model) finish(rt *rapid.T, settle time.Duration) {
	m.heal()
	m.recover()
	for _, n := range m.nodes {
		m.join(n)
	}
	m.advance(settle)
	m.checkEnds()
	m.verify(rt)
	total.add(m.world)
}

// total sums up the runs of this process.
var total stats

func (s *stats) add(w *world) {
	if s.responses == nil {
		s.responses = map[message.Code]int{}
	}
	for c, n := range w.stats.responses {
		s.responses[c] += n
	}
	s.published += w.stats.published
	s.joins += w.stats.joins
	s.drained += w.stats.drained
}

// Guards against a violation of the invariants of docs/design.md section 1.2
// under random faults of instances, links, the platform, datagrams and backend
// servers, at random moments.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{world: newWorld(rapid.Uint64().Draw(rt, "seed"), 3)}
		m.every(time.Second, m.refreshFeeds)
		if gap := rapid.SampledFrom([]int{20, 100, 1000}).Draw(rt, "background"); gap < 1000 {
			m.every(time.Duration(gap)*time.Millisecond, m.background)
		}
		any := func(label string, list ...int) int { return rapid.SampledFrom(list).Draw(rt, label) }
		flip := func(label string) bool { return rapid.Bool().Draw(rt, label) }
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.verify,
			"requests": m.requests,
			"more":     m.requests,
			"feed":     m.openFeed,
			"wait":     m.wait,
			"repeat": func(rt *rapid.T) {
				for range 3 {
					if len(m.exchanges) > 0 {
						x := m.exchanges[rapid.IntRange(max(0, len(m.exchanges)-20), len(m.exchanges)-1).Draw(rt, "exchange")]
						n := m.node(rt)
						if n.dc == x.op.dc {
							m.repeat(x, n)
						}
					}
				}
			},
			"datagrams": func(rt *rapid.T) {
				m.loss, m.double, m.late = any("loss", 0, 0, 0, 5, 20), any("double", 0, 0, 20), any("late", 0, 0, 10)
				m.loosen()
			},
			"kill":  func(rt *rapid.T) { m.kill(m.node(rt)) },
			"join":  func(rt *rapid.T) { m.join(m.node(rt)) },
			"join2": func(rt *rapid.T) { m.join(m.node(rt)) },
			"stop":  func(rt *rapid.T) { m.stop(m.node(rt)) },
			"pause": func(rt *rapid.T) {
				m.pause(m.node(rt), time.Duration(any("ms", 300, 1500, 4000, 9000))*time.Millisecond)
			},
			"cut": func(rt *rapid.T) {
				to := string(m.node(rt).id)
				if flip("platform") {
					to = platformID
				}
				m.cutLink(string(m.node(rt).id), to, flip("one way"))
			},
			"cut centre": func(rt *rapid.T) { m.cutCentre(rapid.SampledFrom(centres).Draw(rt, "dc")) },
			"heal":       func(rt *rapid.T) { m.heal() },
			"platform": func(rt *rapid.T) {
				m.platform.down = flip("down")
				if flip("stale") {
					m.platform.staleAt = max(1, m.platform.revision()-1)
				}
				m.platformFault = m.now
			},
			"list":    func(rt *rapid.T) { m.listMode = listMode(any("mode", 0, 1, 2)) },
			"profile": m.profile,
			"bad document": func(rt *rapid.T) {
				m.platform.publish("service/counter", "port = 0\nprofile = 3\n[[target]]\nname = \"x\"\n", false)
			},
			"drain": func(rt *rapid.T) {
				v := m.server(rt)
				if flip("document") && !m.platform.down && m.platform.staleAt == 0 {
					m.drainDocument(v, !v.draining)
				} else if !v.drainDocument {
					v.drain(!v.draining)
				}
			},
			"backend": func(rt *rapid.T) {
				v := m.server(rt)
				m.loosen()
				switch any("fault", 0, 1, 2, 3, 4, 5, 6, 7, 8) {
				case 0:
					v.kill()
				case 1:
					v.alive = true
				case 2:
					v.shedding = !v.shedding
				case 3:
					v.silent = !v.silent
				case 4:
					v.crossed = !v.crossed
				case 8:
					v.failing = !v.failing
				case 5:
					v.runTime = time.Duration(any("run", 5, 100, 1500)) * time.Millisecond
				default:
					v.health = healthMode(any("health", 0, 1, 2))
					if v.health == honest && v.draining {
						v.drainSince = m.now
					}
				}
			},
		})
		m.finish(rt, answerBound+5*time.Second)
	})
	t.Logf("checked: %+v", total)
}

// Guards against a feed that a planned change interrupts, and against one that
// stays registered twice.
func TestFeedsUnderPlannedChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{world: newWorld(rapid.Uint64().Draw(rt, "seed"), 3)}
		m.every(time.Second, m.refreshFeeds)
		for i := range 6 {
			m.newOperation(observe, "alarm", centres[i%2])
		}
		m.advance(3 * time.Second)
		for _, f := range m.feeds {
			if !f.established {
				rt.Fatalf("feed %d is not established", f.x.op.index)
			}
			f.strict = true
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.verify,
			"requests": m.requests,
			"wait":     m.wait,
			"profile":  m.profile,
			"stop": func(rt *rapid.T) {
				n := m.node(rt)
				serving := 0
				for _, o := range m.nodes {
					if o.dc == n.dc && !o.stopped && o.state() == "serving" {
						serving++
					}
				}
				if serving > 1 { // the last instance cannot hand its feeds over
					m.stop(n)
				}
			},
			"join": func(rt *rapid.T) { m.join(m.node(rt)) },
			"drain": func(rt *rapid.T) {
				v := m.server(rt)
				others := 0
				for _, o := range m.servers {
					if o.dc == v.dc && o.service == v.service && !o.draining && o != v {
						others++
					}
				}
				if others == 0 {
					return // nothing to move to
				}
				m.drainDocument(v, !v.draining)
			},
		})
		m.advance(30 * time.Second)
		for _, f := range m.feeds {
			if c := m.registrations(f); c != 1 {
				m.violate("feed %d has %d registrations", f.x.op.index, c)
			}
		}
		m.finish(rt, answerBound)
	})
}
