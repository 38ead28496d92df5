package proof

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"gotest.tools/v3/assert"
)

const (
	faultTime = 20 * time.Second // duration of a fault
	// probeTime is the last part of a fault of a backend server, in which requests
	// must reach other backend servers. At most maxFailedRequests of them may fail,
	// as some are used to probe the failed server.
	probeTime         = 6 * time.Second
	maxFailedRequests = 3
	// feedBound is the time within which a feed is restored after an unplanned
	// fault of its instance or backend server: feedTimeout plus the time to the
	// next notification. feedBoundPerServer is added for each failed backend
	// server: a registration (three transmissions, checked every second) and the
	// time to the next attempt.
	feedBound          = feedTimeout + 2*time.Second
	feedBoundPerServer = 6 * time.Second
)

// cell is one run of the matrix: faults applied at a step.
type cell struct {
	step   *step
	faults []*fault
	result string
}

func (c *cell) name() string {
	var names []string
	for _, f := range c.faults {
		names = append(names, f.name)
	}
	return strings.Join(names, " + ") + " at " + c.step.group + " " + c.step.name
}

// notApplicable returns the code of the reason why a fault does not apply to a
// step (see legend), or "" if all apply.
func (c *cell) notApplicable() string {
	for _, f := range c.faults {
		switch {
		case f.requires == "datagram" && !c.step.needsRequest:
			return "n/a 1"
		case f.requires == "backend" && (c.step.group == "configuration" || c.step.group == "join"):
			return "n/a 2"
		case f.name == "planned stop" && c.step.name == "moving":
			return "n/a 3"
		}
	}
	return ""
}

func (c *cell) execute(seed uint64) {
	if c.result = c.notApplicable(); c.result != "" {
		return
	}
	perDataCentre := 3
	if len(c.faults) > 1 && (c.step.group == "handover" || c.step.name == "moving") {
		perDataCentre = 4 // three instances may leave
	}
	sim := newSimulation(seed, perDataCentre)
	sim.every(time.Second, sim.reregisterSilentFeeds)
	planned := true
	for _, f := range c.faults {
		planned = planned && f.planned
		if f.name == "instance joining" || c.step.a3Killed {
			sim.kill(sim.node("a3"))
		}
	}
	sim.advance(12 * time.Second)
	for i := range 8 {
		sim.newOperation(observe, "alarm", dataCentres[i/4%2])
	}
	sim.advance(3 * time.Second)
	for _, f := range sim.feeds {
		f.uninterrupted = true // until relaxFeedChecks
	}
	var subjects []subject
	var affected map[*feed]bool
	sim.onStep = func(name string, n *node, x *exchange) {
		if name != c.step.trigger || x != nil && x.operation.kind != c.step.kind || c.step.needsRequest && x == nil {
			return
		}
		sim.onStep = nil
		s := sim.subjectOf(c.step, n, x)
		subjects = append(subjects, s)
		if len(c.faults) > 1 {
			subjects = append(subjects, s.secondSubject())
		}
		affected = sim.affectedFeeds(subjects)
		if c.step.group == "handover" || c.step.name == "moving" {
			// A feed that is being handed over may be registered at a backend
			// server that fails now.
			for _, f := range c.faults {
				if f.requires == "backend" && !f.planned {
					sim.addFeedsOfStopping(affected)
				}
			}
		}
		switch c.step.name {
		case "response lost":
			sim.nextFate = lost
		case "reading platform":
			clear(sim.cutLinks)
		}
		for i, f := range c.faults {
			s := subjects[i]
			apply := func() {
				if !f.planned {
					sim.relaxFeedChecks()
				}
				f.apply(s)
			}
			if i == 0 {
				apply()
			} else {
				sim.after(300*time.Millisecond, apply)
			}
		}
	}
	c.step.prepare(sim)
	for i := range 20 {
		sim.after(time.Duration(i)*50*time.Millisecond, func() {
			sim.newOperation([]kind{get, post, download}[i%3], "counter", dataCentres[i%2])
		})
	}
	sim.advance(faultTime - probeTime)
	if len(c.faults) == 1 && c.faults[0].requires == "backend" && subjects != nil {
		c.checkOtherServers(sim, subjects[0].server.service)
	} else {
		sim.advance(probeTime)
	}
	sim.heal()
	sim.restoreServers()
	for _, n := range sim.nodes {
		sim.join(n)
	}
	sim.advance(responseBound)
	sim.onStep = nil
	c.evaluate(sim, subjects, affected, planned)
}

// checkOtherServers checks that requests reach other backend servers while one
// has a fault.
func (c *cell) checkOtherServers(sim *simulation, service ids.Service) {
	var operations []*operation
	for i := range 30 {
		sim.after(time.Duration(i)*probeTime/60, func() { operations = append(operations, sim.newOperation(post, service, "a")) })
	}
	sim.advance(probeTime)
	failed := 0
	for _, op := range operations {
		if op.finalCode != message.Content {
			failed++
		}
	}
	if failed > maxFailedRequests {
		sim.recordViolation("%d of 30 requests failed %v after the fault of a backend server", failed, faultTime-probeTime)
	}
}

// evaluate applies the checks of oracle_test.go and the bounds of the matrix.
func (c *cell) evaluate(sim *simulation, subjects []subject, affected map[*feed]bool, planned bool) {
	if subjects == nil {
		sim.recordViolation("the step was not reached")
	}
	unknown, broken, longestGap := 0, 0, time.Duration(0)
	for _, x := range sim.exchanges {
		if !x.outcomeUnknown() {
			continue
		}
		unknown++
		explained := x.lost || x.interrupted
		for _, s := range subjects {
			explained = explained || !planned && (x.dispatchedTo == s.server || x.handledBy[s.node] != 0)
		}
		if !explained {
			sim.recordViolation("the outcome of exchange %d is unknown without a cause%s", x.index, x.operation.eventLog())
		}
	}
	for _, f := range sim.feeds {
		if f.breaks == 0 {
			continue
		}
		broken++
		longestGap = max(longestGap, f.maxGap)
		if !affected[f] && f.exchange.index < 8 {
			sim.recordViolation("feed %d broke although it was not on the failed instance or backend server", f.exchange.operation.index)
		}
		if f.maxGap > feedBound+time.Duration(len(subjects))*feedBoundPerServer {
			sim.recordViolation("feed %d was silent for %v", f.exchange.operation.index, f.maxGap)
		}
		if !f.established {
			sim.recordViolation("feed %d is not open at the end", f.exchange.operation.index)
		}
	}
	sim.checkFinalResponses()
	var last []*operation
	for i := range 8 {
		last = append(last, sim.newOperation([]kind{get, post}[i%2], services[i/2%2], dataCentres[i/4]))
	}
	sim.advance(2 * time.Second)
	for _, op := range last {
		if op.finalCode != message.Content {
			sim.recordViolation("normal service has not resumed: operation %d got %v", op.index, op.finalCode)
		}
	}
	switch {
	case len(sim.violations) > 0:
		c.result = "FAIL"
		c.printViolations(sim)
	case broken > 0 && unknown > 0:
		c.result = fmt.Sprintf("f%d:%.0fs u%d", broken, longestGap.Seconds(), unknown)
	case broken > 0:
		c.result = fmt.Sprintf("f%d:%.0fs", broken, longestGap.Seconds())
	case unknown > 0:
		c.result = fmt.Sprintf("u%d", unknown)
	default:
		c.result = "ok"
	}
}

func (c *cell) printViolations(sim *simulation) {
	for i, v := range sim.violations {
		if i < 4 {
			fmt.Fprintf(os.Stderr, "%s: %s\n", c.name(), v)
		}
	}
}

const legend = `
ok       all checks of the oracle passed, no feed broke, no outcome unknown
uN       N outcomes were reported unknown, all of requests that the failed
         instance or backend server held, or whose datagram was lost
fN:Ts    N feeds broke, all of them on the failed instance or backend server;
         the longest silence was T, the bound is %v for one fault, %v for two
n/a 1    no datagram of a caller takes part in the step
n/a 2    no backend server takes part in the step
n/a 3    the instance is stopping already
`

// Guards against violations of the invariants when a fault hits one exact step of
// a request, a feed, a handover, a configuration change or a join. Random runs
// seldom hit such a step.
func TestFaultMatrix(t *testing.T) {
	// The whole matrix takes over a minute, so the ordinary test run covers only
	// some of the columns and pairs. `make matrix` runs every cell.
	path := os.Getenv("PROOF_MATRIX")
	var rows [][]*cell
	for i := range faults {
		row := make([]*cell, len(steps))
		for k := range steps {
			row[k] = &cell{step: &steps[k], faults: []*fault{&faults[i]}}
		}
		rows = append(rows, row)
	}
	pairs := pairCells()
	t.Run("cells", func(t *testing.T) {
		for i, row := range append(append([][]*cell(nil), rows...), pairs...) {
			t.Run(row[0].faults[0].name, func(t *testing.T) {
				t.Parallel()
				for k, c := range row {
					if path == "" && (k%2 != i%2 || len(c.faults) > 1 && c.faults[0] == c.faults[1]) {
						continue
					}
					c.execute(uint64(i + 1))
					assert.Check(t, c.result != "FAIL", c.name())
				}
			})
		}
	})
	if path != "" {
		assert.NilError(t, os.WriteFile(path, []byte(renderTable(rows, pairs)), 0o644))
	}
}

// pairCells returns the runs with two faults: each fault twice, and the pairs
// that have failed most often in practice.
func pairCells() [][]*cell {
	find := func(name string) *fault {
		for i := range faults {
			if faults[i].name == name {
				return &faults[i]
			}
		}
		panic(name)
	}
	var list [][2]*fault
	for i := range faults {
		list = append(list, [2]*fault{&faults[i], &faults[i]})
	}
	for _, p := range [][2]string{{"instance killed", "backend draining"}, {"link cut", "instance paused, woken"},
		{"platform down", "instance joining"}, {"planned stop", "instance killed"}, {"list stale", "instance killed"}} {
		list = append(list, [2]*fault{find(p[0]), find(p[1])})
	}
	var rows [][]*cell
	for _, p := range list {
		var row []*cell
		for k := range steps {
			row = append(row, &cell{step: &steps[k], faults: p[:]})
		}
		rows = append(rows, row)
	}
	return rows
}

func renderTable(rows, pairs [][]*cell) string {
	var b strings.Builder
	b.WriteString("Fault matrix of internal/proof: a fault (row) at a step (column) on six real\ncores in two data centres. Printed by `make matrix`.\n\n")
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	print := func(title string, rows [][]*cell) {
		group, head := title, ""
		for i := range steps {
			group += "\t" + steps[i].group
			head += "\t" + steps[i].name
		}
		fmt.Fprintf(tw, "%s\t\n%s\t\n", group, head)
		for _, row := range rows {
			name := row[0].faults[0].name
			if f := row[0].faults; len(f) > 1 {
				if name += " + " + f[1].name; f[0] == f[1] {
					name = f[0].name + " twice"
				}
			}
			fmt.Fprint(tw, name)
			for _, c := range row {
				fmt.Fprint(tw, "\t", c.result)
			}
			fmt.Fprintln(tw, "\t")
		}
		fmt.Fprintln(tw)
	}
	print("one fault", rows)
	print("two faults, the second 0.3 s later on another instance or backend server", pairs)
	_ = tw.Flush()
	fmt.Fprintf(&b, legend[1:], feedBound+feedBoundPerServer, feedBound+2*feedBoundPerServer)
	return b.String()
}
