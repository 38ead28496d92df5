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

// model adds the random steps of rapid to a simulation.
type model struct {
	*simulation
}

func (m *model) drawNode(rt *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "node")]
}

func (m *model) drawServer(rt *rapid.T) *server {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(rt, "server")]
}

func (m *model) drawWait(rt *rapid.T) {
	m.advance(time.Duration(rapid.SampledFrom([]int{0, 5, 50, 500, 500, 3000, 8000}).Draw(rt, "wait")) * time.Millisecond)
}

func (m *model) verify(rt *rapid.T) {
	if len(m.violations) > 0 {
		rt.Fatalf("%s\nhistory:\n%s", strings.Join(m.violations, "\n"), strings.Join(m.history, "\n"))
	}
}

func (m *model) sendRequests(rt *rapid.T) {
	for range rapid.SampledFrom([]int{1, 3, 40}).Draw(rt, "burst") {
		k := rapid.SampledFrom([]kind{get, get, post, post, post, longGet, download}).Draw(rt, "kind")
		m.newOperation(k, rapid.SampledFrom(services).Draw(rt, "service"), rapid.SampledFrom(dataCentres).Draw(rt, "dc"))
	}
}

// sendBackgroundRequest sends a request. A steady load of requests lets faults
// hit them at every stage.
func (m *model) sendBackgroundRequest() {
	if len(m.operations) < 1000 {
		i := len(m.operations)
		m.newOperation([]kind{get, post, post, longGet, download}[i%5], services[i/5%2], dataCentres[i/10%2])
	}
}

func (m *model) openFeed(rt *rapid.T) {
	if len(m.feeds) < 8 {
		m.newOperation(observe, "alarm", rapid.SampledFrom(dataCentres).Draw(rt, "dc"))
	}
}

func (m *model) publishProfile(rt *rapid.T) {
	service := rapid.SampledFrom(services).Draw(rt, "service")
	m.platform.publish("profile/p-"+string(service), profileText(rapid.IntRange(1, 9).Draw(rt, "weight"), 4000), true)
}

func (m *model) finish(rt *rapid.T, settleTime time.Duration) {
	m.heal()
	m.restoreServers()
	for _, n := range m.nodes {
		m.join(n)
	}
	m.advance(settleTime)
	m.checkFinalResponses()
	m.verify(rt)
	totals.add(m.simulation)
}

// totals sums the counts of all runs of this process.
var totals stats

func (s *stats) add(sim *simulation) {
	if s.responses == nil {
		s.responses = map[message.Code]int{}
	}
	for c, n := range sim.stats.responses {
		s.responses[c] += n
	}
	s.published += sim.stats.published
	s.firstRevisions += sim.stats.firstRevisions
	s.sentWhileDraining += sim.stats.sentWhileDraining
}

// Guards against a violation of the invariants of docs/design.md section 1.2
// under random faults of instances, links, the platform, datagrams and backend
// servers at random times.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{simulation: newSimulation(rapid.Uint64().Draw(rt, "seed"), 3)}
		m.every(time.Second, m.reregisterSilentFeeds)
		if intervalMS := rapid.SampledFrom([]int{20, 100, 1000}).Draw(rt, "background"); intervalMS < 1000 {
			m.every(time.Duration(intervalMS)*time.Millisecond, m.sendBackgroundRequest)
		}
		drawInt := func(label string, list ...int) int { return rapid.SampledFrom(list).Draw(rt, label) }
		drawBool := func(label string) bool { return rapid.Bool().Draw(rt, label) }
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.verify,
			"requests": m.sendRequests,
			"more":     m.sendRequests,
			"feed":     m.openFeed,
			"wait":     m.drawWait,
			"repeat": func(rt *rapid.T) {
				for range 3 {
					if len(m.exchanges) > 0 {
						x := m.exchanges[rapid.IntRange(max(0, len(m.exchanges)-20), len(m.exchanges)-1).Draw(rt, "exchange")]
						n := m.drawNode(rt)
						if n.dc == x.operation.dataCentre {
							m.redeliver(x, n)
						}
					}
				}
			},
			"datagrams": func(rt *rapid.T) {
				m.lossPercent, m.duplicatePercent, m.delayPercent = drawInt("loss", 0, 0, 0, 5, 20), drawInt("double", 0, 0, 20), drawInt("late", 0, 0, 10)
				m.relaxFeedChecks()
			},
			"kill":  func(rt *rapid.T) { m.kill(m.drawNode(rt)) },
			"join":  func(rt *rapid.T) { m.join(m.drawNode(rt)) },
			"join2": func(rt *rapid.T) { m.join(m.drawNode(rt)) },
			"stop":  func(rt *rapid.T) { m.stop(m.drawNode(rt)) },
			"pause": func(rt *rapid.T) {
				m.pause(m.drawNode(rt), time.Duration(drawInt("ms", 300, 1500, 4000, 9000))*time.Millisecond)
			},
			"cut": func(rt *rapid.T) {
				to := string(m.drawNode(rt).id)
				if drawBool("platform") {
					to = platformID
				}
				m.cutLink(string(m.drawNode(rt).id), to, drawBool("one way"))
			},
			"cut centre": func(rt *rapid.T) { m.cutOffDataCentre(rapid.SampledFrom(dataCentres).Draw(rt, "dc")) },
			"heal":       func(rt *rapid.T) { m.heal() },
			"platform": func(rt *rapid.T) {
				m.platform.down = drawBool("down")
				if drawBool("stale") {
					m.platform.staleAt = max(1, m.platform.revision()-1)
				}
				m.lastPlatformFault = m.now
			},
			"list":    func(rt *rapid.T) { m.listMode = listMode(drawInt("mode", 0, 1, 2)) },
			"profile": m.publishProfile,
			"bad document": func(rt *rapid.T) {
				m.platform.publish("service/counter", "port = 0\nprofile = 3\n[[target]]\nname = \"x\"\n", false)
			},
			"drain": func(rt *rapid.T) {
				v := m.drawServer(rt)
				if drawBool("document") && !m.platform.down && m.platform.staleAt == 0 {
					m.publishDrain(v, !v.draining)
				} else if !v.drainPublished {
					v.drain(!v.draining)
				}
			},
			"backend": func(rt *rapid.T) {
				v := m.drawServer(rt)
				m.relaxFeedChecks()
				switch drawInt("fault", 0, 1, 2, 3, 4, 5, 6, 7, 8) {
				case 0:
					v.kill()
				case 1:
					v.alive = true
				case 2:
					v.shedding = !v.shedding
				case 3:
					v.silent = !v.silent
				case 4:
					v.swapsMessageIDs = !v.swapsMessageIDs
				case 8:
					v.resetting = !v.resetting
				case 5:
					v.processingTime = time.Duration(drawInt("run", 5, 100, 1500)) * time.Millisecond
				default:
					v.health = healthMode(drawInt("health", 0, 1, 2))
					if v.health == accurateHealth && v.draining {
						v.drainSince = m.now
					}
				}
			},
		})
		m.finish(rt, responseBound+5*time.Second)
	})
	t.Logf("checked: %+v", totals)
}

// Guards against a planned change that interrupts a feed, and against a feed that
// stays registered at two backend servers.
func TestFeedsUnderPlannedChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{simulation: newSimulation(rapid.Uint64().Draw(rt, "seed"), 3)}
		m.every(time.Second, m.reregisterSilentFeeds)
		for i := range 6 {
			m.newOperation(observe, "alarm", dataCentres[i%2])
		}
		m.advance(3 * time.Second)
		for _, f := range m.feeds {
			if !f.established {
				rt.Fatalf("feed %d is not established", f.exchange.operation.index)
			}
			f.uninterrupted = true
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.verify,
			"requests": m.sendRequests,
			"wait":     m.drawWait,
			"profile":  m.publishProfile,
			"stop": func(rt *rapid.T) {
				n := m.drawNode(rt)
				serving := 0
				for _, o := range m.nodes {
					if o.dc == n.dc && !o.stopping && o.lifecycle() == "serving" {
						serving++
					}
				}
				if serving > 1 { // the last instance cannot hand its feeds over
					m.stop(n)
				}
			},
			"join": func(rt *rapid.T) { m.join(m.drawNode(rt)) },
			"drain": func(rt *rapid.T) {
				v := m.drawServer(rt)
				alternatives := 0
				for _, o := range m.servers {
					if o.dc == v.dc && o.service == v.service && !o.draining && o != v {
						alternatives++
					}
				}
				if alternatives == 0 {
					return // the feeds have no other backend server to move to
				}
				m.publishDrain(v, !v.draining)
			},
		})
		m.advance(30 * time.Second)
		for _, f := range m.feeds {
			if registrations := m.registrations(f); registrations != 1 {
				m.recordViolation("feed %d has %d registrations", f.exchange.operation.index, registrations)
			}
		}
		m.finish(rt, responseBound)
	})
}
