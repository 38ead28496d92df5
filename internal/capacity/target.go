package capacity

import "fmt"

// The target size of section 1.4 of docs/design.md.
const (
	targetNodes          = 2500
	targetDataCentres    = 5
	targetInstances      = targetNodes / targetDataCentres // of one data centre
	targetBackendServers = 29_000
	targetServices       = 6800
	targetFlows          = 35_000_000
	targetNewFlowRate    = 170_000 // a second
	targetDailyChanges   = 15_000  // a day
	targetDailyFailures  = 79      // a day
	targetDailyRestarts  = 2500    // a day
	secondsPerDay        = 86_400.0
	flowsPerNode         = targetFlows / targetNodes
	newFlowRatePerNode   = targetNewFlowRate / targetNodes
	slotsPerNode         = 2 * targetBackendServers / targetNodes
	admissionsPerNode    = newFlowRatePerNode * 300 // kept for 300 s, if every new flow is one admission

	cpuBudget          = 4.8     // % of a core
	memoryBudget       = 64e6    // bytes
	controlBytesBudget = 2048.0  // a second
	propagationBudget  = 5.0     // seconds
	platformReadBudget = 2000.0  // a second
	listReadRate       = 1 / 10. // a second by each instance (listEvery in internal/daemon)
	bytesPerSocket     = 5000.0  // BenchmarkServiceSockets, 4.2 to 5.0 KB
	idleDaemonCPU      = 1.2     // % of a core
	controlLinks       = 8 + 1   // neighbours, and the mean share of links between data centres
	tickRate           = 100.0   // a second
)

// Figure is a quantity at the target size.
type Figure struct {
	Name       string
	Budget     float64 // 0 when there is none
	Value      float64
	Unit       string
	Derivation string // slope × size
	Mechanism  string
	incomplete bool // a measure that it needs was not made
}

// Ratio is the share of the budget in use.
func (f *Figure) Ratio() string {
	switch {
	case f.incomplete:
		return "not measured"
	case f.Budget == 0:
		return "–"
	case f.Value > f.Budget:
		return fmt.Sprintf("**OVER** %.2f", f.Value/f.Budget)
	}
	return fmt.Sprintf("%.2f", f.Value/f.Budget)
}

// book looks measures up by name.
type resultIndex struct {
	results    map[string]*Result
	incomplete bool
}

func newResultIndex(results []Result) *resultIndex {
	b := &resultIndex{results: map[string]*Result{}}
	for i := range results {
		b.results[results[i].Name] = &results[i]
	}
	return b
}

func (b *resultIndex) lookup(name string) *Result {
	r := b.results[name]
	if r == nil || !r.Measured {
		b.incomplete = true
		return nil
	}
	return r
}

// each returns the slope of a measure: the cost of one more.
func (b *resultIndex) slope(name string) float64 {
	if r := b.lookup(name); r != nil {
		return r.Slope
	}
	return 0
}

// at returns the value of a measure at size x.
func (b *resultIndex) valueAt(name string, x float64) float64 {
	if r := b.lookup(name); r != nil {
		return r.At(x)
	}
	return 0
}

// figure closes a figure over the measures used since the last one.
func (b *resultIndex) finishFigure(f Figure) Figure {
	f.incomplete, b.incomplete = b.incomplete, false
	return f
}

// Target returns the figures at the target size: those with a budget first.
func FiguresAtTarget(results []Result) (budgets, roles, worst []Figure) {
	b := newResultIndex(results)
	parts := cpuFigures(b)
	core := 0.0
	for _, p := range parts {
		core += p.Value
	}
	b.incomplete = false
	for _, p := range parts {
		b.incomplete = b.incomplete || p.incomplete
	}
	budgets = append(budgets, b.finishFigure(Figure{"control processor time of a node", cpuBudget, core, "% of a core",
		"sum of the rows “control” below", "constant neighbours, two owners for each target, deltas of configuration", false}))
	memory := memoryFigures(b)
	total, flows := 0.0, 0.0
	for _, p := range memory {
		total += p.Value
		if p.Name == "memory: open flows" || p.Name == "memory: admissions" || p.Name == "memory: data links" {
			flows += p.Value
		}
		b.incomplete = b.incomplete || p.incomplete
	}
	budgets = append(budgets, b.finishFigure(Figure{"control memory of a node", memoryBudget, total - flows, "B",
		"sum of the rows “memory” without flows, admissions and data links", "state of a flow and of a target only at its owners", false}))
	b.incomplete = budgets[len(budgets)-1].incomplete
	budgets = append(budgets, b.finishFigure(Figure{"the same with the reserve of the garbage collector", memoryBudget, 2 * (total - flows), "B",
		"live × 2 (GOGC=100; the pacer counts stacks as well)", "none yet: one wildcard socket with the destination address, services of other data centres kept as text", false}))
	b.incomplete = budgets[len(budgets)-1].incomplete
	budgets = append(budgets, b.finishFigure(Figure{"memory of a node with its traffic", 0, total, "B", "sum of the rows “memory”", "as above", false}))
	rest := b.valueAt("peer-bytes-instances", targetInstances)
	changes := max(0, b.slope("peer-bytes-change")) * targetDailyChanges / secondsPerDay
	budgets = append(budgets,
		b.finishFigure(Figure{"control bytes sent by a node", controlBytesBudget, rest + changes, "B/s",
			fmt.Sprintf("peer-bytes-instances at 500 = %s, + peer-bytes-change × 0.174/s = %s", formatShort(rest), formatShort(changes)), "8 neighbours and a digest; the limit is enforced", false}),
		b.finishFigure(Figure{"change in force everywhere, daily rate", propagationBudget, b.valueAt("in-force-daily", targetInstances), "s", "in-force-daily at 500, one data centre; each has its own watchers", "two watchers, revision in heartbeats, deltas from neighbours", false}),
		b.finishFigure(Figure{"change in force everywhere, 10 in a second", propagationBudget, b.valueAt("in-force-burst", targetInstances), "s", "in-force-burst at 500", "the same; deltas batch all changes since a revision", false}))
	docs := targetDataCentres * (b.valueAt("reads-instances", targetInstances) + b.slope("reads-change")*targetDailyChanges/secondsPerDay)
	budgets = append(budgets,
		b.finishFigure(Figure{"reads of the platform", platformReadBudget, docs + targetNodes*listReadRate, "reads/s",
			fmt.Sprintf("5 × (reads-instances at 500 + reads-change × 0.174/s) = %s, + 2,500 lists × 0.1/s", formatShort(docs)), "two watchers in each data centre; lists with jitter", false}),
		b.finishFigure(Figure{"decision", 2, b.slope("processor-decision"), "µs", "processor-decision", "no allocation, state of own slots only", false}))
	roles = append(roles, parts...)
	roles = append(roles, trafficFigures(b)...)
	roles = append(roles, memory...)
	return budgets, roles, peakLoadFigures(b)
}

func cpuFigures(b *resultIndex) []Figure {
	percent := func(microseconds float64) float64 { return microseconds / 1e4 }
	var list []Figure
	add := func(name string, microseconds float64, from string) {
		list = append(list, b.finishFigure(Figure{"control: " + name, 0, percent(microseconds), "% of a core", from, "", false}))
	}
	add("idle daemon", idleDaemonCPU*1e4, "1.2% (BenchmarkControlTraffic, docs/measurements/daemon.md): timers and 27 control messages a second, of which the next rows count the core part again")
	add("ticks", b.slope("processor-tick")*tickRate, "processor-tick × 100/s, members, configuration and health timers")
	add("sweep of flows", b.slope("processor-tick-flows")*flowsPerNode*tickRate, "processor-tick-flows × 14,000 × 100/s")
	add("heartbeats", b.slope("processor-heartbeat")*2*controlLinks, "processor-heartbeat × 18/s")
	add("heartbeats on the link", b.slope("processor-peer-message")*controlLinks, "processor-peer-message (both ends) × 9/s sent and 9/s received")
	add("health checks", (b.slope("processor-health")+b.slope("processor-health-http"))*slotsPerNode, "(processor-health + processor-health-http) × 23/s; http with both ends, an upper bound")
	add("configuration changes", b.slope("processor-change")*targetDailyChanges/secondsPerDay, "processor-change × 0.174/s")
	add("membership changes", b.valueAt("ownership-leave", targetInstances)*2*(targetDailyFailures+targetDailyRestarts)/targetDataCentres/secondsPerDay, "ownership-leave at 500 × 2 × 516 a day")
	return list
}

func trafficFigures(b *resultIndex) []Figure {
	var list []Figure
	add := func(name string, value float64, unit, from string) {
		list = append(list, b.finishFigure(Figure{"traffic: " + name, 0, value, unit, from, "", false}))
	}
	add("datagrams of new flows", b.slope("processor-datagram")*newFlowRatePerNode*4/1e4, "% of a core", "processor-datagram × 68/s × 4 datagrams")
	add("decisions of new flows", b.slope("processor-decision")*newFlowRatePerNode*4/1e4, "% of a core", "processor-decision × 68/s × 4")
	add("relays to the owner", b.slope("processor-peer-message")*newFlowRatePerNode/1e4, "% of a core", "processor-peer-message (both ends: one sent and one received) × 68/s, nearly every new flow arrives elsewhere")
	return list
}

func memoryFigures(b *resultIndex) []Figure {
	var list []Figure
	add := func(name string, value float64, from string) {
		list = append(list, b.finishFigure(Figure{"memory: " + name, 0, value, "B", from, "", false}))
	}
	add("open flows", b.slope("memory-flow")*flowsPerNode, "memory-flow × 14,000")
	add("admissions", b.slope("memory-admission")*admissionsPerNode, "memory-admission × 68/s × 300 s")
	add("service addresses with 4 targets each", b.slope("memory-address")*targetServices, "memory-address × 6,800")
	add("further targets", b.slope("memory-target")*(targetBackendServers-4*targetServices), "memory-target × 1,800")
	add("service sockets", bytesPerSocket*targetServices, "5.0 KB (ServiceSockets, make bench) × 6,800")
	add("members", b.slope("memory-member")*targetInstances, "memory-member × 500")
	add("control links", b.slope("memory-peer")/2*controlLinks, "memory-peer ÷ 2 × 9")
	add("data links", b.slope("memory-peer")/2*dataLinks, "memory-peer ÷ 2 × 499: relays reach every instance of the data centre within a minute")
	return list
}

// dataLinks is the number of data connections that an instance has open: its
// 68 new flows a second go to owners among all 500 instances of the data
// centre, 8 a minute to each, and a connection is kept for a minute after its
// last message, so practically all are open.
const dataLinks = targetInstances - 1

func peakLoadFigures(b *resultIndex) []Figure {
	var list []Figure
	add := func(f Figure) { list = append(list, b.finishFigure(f)) }
	cold := b.valueAt("cold-start", targetInstances)
	add(Figure{"cold start of 500 instances, 2 KB/s without link.start_bytes", 0, cold, "s", "cold-start extrapolated to 500", "", false})
	add(Figure{"cold start of 500 instances, 2 KB/s and link.start_bytes", 0, b.valueAt("cold-start-grant", targetInstances), "s", "cold-start-grant extrapolated to 500", "", false})
	add(Figure{"feeds register again after it, processor time", 0, (b.slope("processor-decision")*2 + b.slope("processor-datagram")*4 + b.slope("processor-peer-message")) * flowsPerNode / 60 / 1e4,
		"% of a core", "(2 decisions + 4 datagrams + 1 relay) × 14,000 within 60 s", "", false})
	add(Figure{"rack of 40 lost, ownership at each instance", 0, b.valueAt("ownership-rack", targetInstances) / 1e3, "ms", "ownership-rack at 500", "", false})
	add(Figure{"rolling restart of 500, ownership", 0, b.valueAt("ownership-leave", targetInstances) * 2 * targetInstances / 1e6, "s", "ownership-leave × 2 × 500, processor time at each instance", "", false})
	add(Figure{"regions healed: an hour of changes, bytes", 0, targetDailyChanges / 24 * 640, "B", "625 changes × 640 B (document of 4 targets)", "", false})
	add(Figure{"regions healed: an hour of changes in force everywhere", propagationBudget, b.valueAt("heal-seconds", targetInstances), "s", "heal-seconds extrapolated to 500", "", false})
	add(Figure{"regions healed: reads of the platform in the busiest second", platformReadBudget, 3 * b.valueAt("heal-reads", targetInstances), "reads/s", "heal-reads extrapolated to 500, × 3 data centres of one region", "", false})
	add(Figure{"change of a profile used by all services, core blocked", 0, b.valueAt("processor-profile", targetServices) / 1e3, "ms", "processor-profile at 6,800", "", false})
	return list
}
