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
	faultTime = 20 * time.Second // after which the fault ends
	// probeTime is the time before the end of a fault of a backend server from
	// which requests reach other backend servers: a probe request may fail.
	probeTime = 6 * time.Second
	maxProbes = 3
	// feedBound is the time in which a feed is back after an unplanned fault
	// of its instance or backend server: the caller's patience and the next
	// notification, and for each failed backend server a registration (three
	// transmissions, a sweep every second) and the time to the next attempt.
	feedBound  = feedPatience + 2*time.Second
	feedBoundN = 6 * time.Second
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

// notApplicable returns why a fault does not apply to a step.
func (c *cell) notApplicable() string {
	for _, f := range c.faults {
		switch {
		case f.uses == "datagram" && !c.step.request:
			return "n/a 1"
		case f.uses == "backend" && (c.step.group == "configuration" || c.step.group == "join"):
			return "n/a 2"
		case f.name == "planned stop" && c.step.name == "moving":
			return "n/a 3"
		}
	}
	return ""
}

func (c *cell) run(seed uint64) {
	if c.result = c.notApplicable(); c.result != "" {
		return
	}
	size := 3
	if len(c.faults) > 1 && (c.step.group == "handover" || c.step.name == "moving") {
		size = 4 // three instances may leave
	}
	w := newWorld(seed, size)
	w.every(time.Second, w.refreshFeeds)
	planned := true
	for _, f := range c.faults {
		planned = planned && f.planned
		if f.name == "instance joining" || c.step.absent {
			w.kill(w.node("a3"))
		}
	}
	w.advance(12 * time.Second)
	for i := range 8 {
		w.newOperation(observe, "alarm", centres[i/4%2])
	}
	w.advance(3 * time.Second)
	for _, f := range w.feeds {
		f.strict = true // until an unplanned fault
	}
	var subjects []subject
	var affected map[*feed]bool
	w.step = func(name string, n *node, x *exchange) {
		if name != c.step.reach || x != nil && x.op.kind != c.step.kind || c.step.request && x == nil {
			return
		}
		w.step = nil
		s := w.subjectOf(c.step, n, x)
		subjects = append(subjects, s)
		if len(c.faults) > 1 {
			subjects = append(subjects, s.second())
		}
		affected = w.affected(subjects)
		if c.step.group == "handover" || c.step.name == "moving" {
			// A feed that is handed over may be registered at a server that
			// fails now.
			for _, f := range c.faults {
				if f.uses == "backend" && !f.planned {
					w.addMoving(affected)
				}
			}
		}
		switch c.step.name {
		case "response lost":
			w.once = lost
		case "reading platform":
			clear(w.cut)
		}
		for i, f := range c.faults {
			s := subjects[i]
			apply := func() {
				if !f.planned {
					w.loosen()
				}
				f.apply(s)
			}
			if i == 0 {
				apply()
			} else {
				w.after(300*time.Millisecond, apply)
			}
		}
	}
	c.step.prepare(w)
	for i := range 20 {
		w.after(time.Duration(i)*50*time.Millisecond, func() {
			w.newOperation([]kind{get, claim, download}[i%3], "counter", centres[i%2])
		})
	}
	w.advance(faultTime - probeTime)
	if len(c.faults) == 1 && c.faults[0].uses == "backend" && subjects != nil {
		c.probe(w, subjects[0].v.service)
	} else {
		w.advance(probeTime)
	}
	w.heal()
	w.recover()
	for _, n := range w.nodes {
		w.join(n)
	}
	w.advance(answerBound)
	w.step = nil
	c.judge(w, subjects, affected, planned)
}

// probe checks that requests reach other backend servers while one has a fault.
func (c *cell) probe(w *world, service ids.Service) {
	var list []*operation
	for i := range 30 {
		w.after(time.Duration(i)*probeTime/60, func() { list = append(list, w.newOperation(claim, service, "a")) })
	}
	w.advance(probeTime)
	failed := 0
	for _, op := range list {
		if op.final != message.Content {
			failed++
		}
	}
	if failed > maxProbes {
		w.violate("%d of 30 requests failed %v after the fault of a backend server", failed, faultTime-probeTime)
	}
}

// judge applies the oracle and the bounds of the matrix.
func (c *cell) judge(w *world, subjects []subject, affected map[*feed]bool, planned bool) {
	if subjects == nil {
		w.violate("the step was not reached")
	}
	unknown, broken, gap := 0, 0, time.Duration(0)
	for _, x := range w.exchanges {
		if !x.unknown() {
			continue
		}
		unknown++
		caused := x.lost || x.excused
		for _, s := range subjects {
			caused = caused || !planned && (x.dispatched == s.v || x.touched[s.n] != 0)
		}
		if !caused {
			w.violate("the outcome of exchange %d is unknown without a cause%s", x.index, x.op.trail())
		}
	}
	for _, f := range w.feeds {
		if f.breaks == 0 {
			continue
		}
		broken++
		gap = max(gap, f.maxGap)
		if !affected[f] && f.x.index < 8 {
			w.violate("feed %d broke although it was not on the failed instance or backend server", f.x.op.index)
		}
		if f.maxGap > feedBound+time.Duration(len(subjects))*feedBoundN {
			w.violate("feed %d was silent for %v", f.x.op.index, f.maxGap)
		}
		if !f.established {
			w.violate("feed %d is not open at the end", f.x.op.index)
		}
	}
	w.checkEnds()
	var last []*operation
	for i := range 8 {
		last = append(last, w.newOperation([]kind{get, claim}[i%2], services[i/2%2], centres[i/4]))
	}
	w.advance(2 * time.Second)
	for _, op := range last {
		if op.final != message.Content {
			w.violate("normal service has not resumed: operation %d got %v", op.index, op.final)
		}
	}
	switch {
	case len(w.violations) > 0:
		c.result = "FAIL"
		c.faultsSeen(w)
	case broken > 0 && unknown > 0:
		c.result = fmt.Sprintf("f%d:%.0fs u%d", broken, gap.Seconds(), unknown)
	case broken > 0:
		c.result = fmt.Sprintf("f%d:%.0fs", broken, gap.Seconds())
	case unknown > 0:
		c.result = fmt.Sprintf("u%d", unknown)
	default:
		c.result = "ok"
	}
}

func (c *cell) faultsSeen(w *world) {
	for i, v := range w.violations {
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

// Guards against a fault at an exact step of a request, a feed, a handover, a
// configuration change or a join that random runs seldom meet.
func TestFaultMatrix(t *testing.T) {
	// The whole matrix takes over a minute, so that the ordinary test run has
	// a part of the columns and of the pairs. `make matrix` runs every cell.
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
					c.run(uint64(i + 1))
					assert.Check(t, c.result != "FAIL", c.name())
				}
			})
		}
	})
	if path != "" {
		assert.NilError(t, os.WriteFile(path, []byte(table(rows, pairs)), 0o644))
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

func table(rows, pairs [][]*cell) string {
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
	fmt.Fprintf(&b, legend[1:], feedBound+feedBoundN, feedBound+2*feedBoundN)
	return b.String()
}
