package capacity

import "fmt"

// The target size, from section 1.4 of docs/design.md, and the budgets for it.
const (
	targetNodes          = 2500
	targetDataCentres    = 5
	targetInstances      = targetNodes / targetDataCentres // in one data centre
	targetBackendServers = 29_000
	targetServices       = 6800
	targetFlows          = 35_000_000 // open at the same time
	targetNewFlowRate    = 170_000    // per second
	targetDailyChanges   = 15_000     // per day
	targetDailyFailures  = 79         // per day
	targetDailyRestarts  = 2500       // per day
	secondsPerDay        = 86_400.0
	flowsPerNode         = targetFlows / targetNodes
	newFlowRatePerNode   = targetNewFlowRate / targetNodes
	slotsPerNode         = 2 * targetBackendServers / targetNodes
	admissionsPerNode    = newFlowRatePerNode * 300 // every new flow creates one admission record, which is kept for 300 s

	cpuBudget          = 4.8     // % of a core
	memoryBudget       = 64e6    // bytes
	controlBytesBudget = 2048.0  // per second
	propagationBudget  = 5.0     // seconds
	platformReadBudget = 2000.0  // per second
	listReadRate       = 1 / 10. // per second and instance (listInterval in internal/daemon)
	bytesPerSocket     = 5000.0  // BenchmarkServiceSockets, 4.2 to 5.0 KB
	idleDaemonCPU      = 1.2     // % of a core, BenchmarkControlTraffic
	controlLinks       = 8 + 1   // 8 neighbours, and the mean number of links to other data centres
	tickRate           = 100.0   // per second
)

// Figure is a quantity that is computed for the target size.
type Figure struct {
	Name       string
	Budget     float64 // 0 if there is none
	Value      float64
	Unit       string
	Derivation string // the slopes and sizes that the value is computed from
	Mechanism  string // what keeps the value low
	incomplete bool   // a measure that the value needs has no result
}

// Ratio returns the value divided by the budget, as text for the tables.
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

// resultIndex finds results by the name of their measure. It records whether a
// result was missing since the last call of finishFigure.
type resultIndex struct {
	results    map[string]*Result
	incomplete bool
}

func newResultIndex(results []Result) *resultIndex {
	index := &resultIndex{results: map[string]*Result{}}
	for i := range results {
		index.results[results[i].Name] = &results[i]
	}
	return index
}

func (index *resultIndex) lookup(name string) *Result {
	r := index.results[name]
	if r == nil || !r.Measured {
		index.incomplete = true
		return nil
	}
	return r
}

// slope returns the slope of a measure: the cost of one unit of the size.
func (index *resultIndex) slope(name string) float64 {
	if r := index.lookup(name); r != nil {
		return r.Slope
	}
	return 0
}

// valueAt returns the value of a measure at size x.
func (index *resultIndex) valueAt(name string, x float64) float64 {
	if r := index.lookup(name); r != nil {
		return r.At(x)
	}
	return 0
}

// finishFigure marks f as incomplete if a result was missing since the previous
// call, and resets that state for the next figure.
func (index *resultIndex) finishFigure(f Figure) Figure {
	f.incomplete, index.incomplete = index.incomplete, false
	return f
}

// FiguresAtTarget returns the figures at the target size: those with a budget,
// the components that they are computed from, and those for the peak load.
func FiguresAtTarget(results []Result) (budgets, components, peakLoad []Figure) {
	index := newResultIndex(results)
	cpu := cpuFigures(index)
	cpuTotal := 0.0
	for _, p := range cpu {
		cpuTotal += p.Value
	}
	index.incomplete = false
	for _, p := range cpu {
		index.incomplete = index.incomplete || p.incomplete
	}
	budgets = append(budgets, index.finishFigure(Figure{"control processor time of a node", cpuBudget, cpuTotal, "% of a core",
		"sum of the rows “control” below", "constant neighbours, two owners for each target, deltas of configuration", false}))
	memory := memoryFigures(index)
	memoryTotal, trafficMemory := 0.0, 0.0
	for _, p := range memory {
		memoryTotal += p.Value
		if p.Name == "memory: open flows" || p.Name == "memory: admissions" || p.Name == "memory: data links" {
			trafficMemory += p.Value
		}
		index.incomplete = index.incomplete || p.incomplete
	}
	budgets = append(budgets, index.finishFigure(Figure{"control memory of a node", memoryBudget, memoryTotal - trafficMemory, "B",
		"sum of the rows “memory” without flows, admissions and data links", "state of a flow and of a target only at its owners", false}))
	index.incomplete = budgets[len(budgets)-1].incomplete
	budgets = append(budgets, index.finishFigure(Figure{"the same with the reserve of the garbage collector", memoryBudget, 2 * (memoryTotal - trafficMemory), "B",
		"live × 2 (GOGC=100; the pacer counts stacks as well)", "none yet: one wildcard socket with the destination address, services of other data centres kept as text", false}))
	index.incomplete = budgets[len(budgets)-1].incomplete
	budgets = append(budgets, index.finishFigure(Figure{"memory of a node with its traffic", 0, memoryTotal, "B", "sum of the rows “memory”", "as above", false}))
	idleBytes := index.valueAt("peer-bytes-instances", targetInstances)
	changeBytes := max(0, index.slope("peer-bytes-change")) * targetDailyChanges / secondsPerDay
	budgets = append(budgets,
		index.finishFigure(Figure{"control bytes sent by a node", controlBytesBudget, idleBytes + changeBytes, "B/s",
			fmt.Sprintf("peer-bytes-instances at 500 = %s, + peer-bytes-change × 0.174/s = %s", formatShort(idleBytes), formatShort(changeBytes)), "8 neighbours and a digest; the limit is enforced", false}),
		index.finishFigure(Figure{"change in force everywhere, daily rate", propagationBudget, index.valueAt("in-force-daily", targetInstances), "s", "in-force-daily at 500, one data centre; each has its own watchers", "two watchers, revision in heartbeats, deltas from neighbours", false}),
		index.finishFigure(Figure{"change in force everywhere, 10 in a second", propagationBudget, index.valueAt("in-force-burst", targetInstances), "s", "in-force-burst at 500", "the same; deltas batch all changes since a revision", false}))
	documentReads := targetDataCentres * (index.valueAt("reads-instances", targetInstances) + index.slope("reads-change")*targetDailyChanges/secondsPerDay)
	budgets = append(budgets,
		index.finishFigure(Figure{"reads of the platform", platformReadBudget, documentReads + targetNodes*listReadRate, "reads/s",
			fmt.Sprintf("5 × (reads-instances at 500 + reads-change × 0.174/s) = %s, + 2,500 lists × 0.1/s", formatShort(documentReads)), "two watchers in each data centre; lists with jitter", false}),
		index.finishFigure(Figure{"decision", 2, index.slope("processor-decision"), "µs", "processor-decision", "no allocation, state of own slots only", false}))
	components = append(components, cpu...)
	components = append(components, trafficFigures(index)...)
	components = append(components, memory...)
	return budgets, components, peakLoadFigures(index)
}

func cpuFigures(index *resultIndex) []Figure {
	percent := func(microseconds float64) float64 { return microseconds / 1e4 }
	var figures []Figure
	add := func(name string, microseconds float64, derivation string) {
		figures = append(figures, index.finishFigure(Figure{"control: " + name, 0, percent(microseconds), "% of a core", derivation, "", false}))
	}
	add("idle daemon", idleDaemonCPU*1e4, "1.2% (BenchmarkControlTraffic, docs/measurements/daemon.md): timers and 27 control messages a second, of which the next rows count the core part again")
	add("ticks", index.slope("processor-tick")*tickRate, "processor-tick × 100/s, members, configuration and health timers")
	add("sweep of flows", index.slope("processor-tick-flows")*flowsPerNode*tickRate, "processor-tick-flows × 14,000 × 100/s")
	add("heartbeats", index.slope("processor-heartbeat")*2*controlLinks, "processor-heartbeat × 18/s")
	add("heartbeats on the link", index.slope("processor-peer-message")*controlLinks, "processor-peer-message (both ends) × 9/s sent and 9/s received")
	add("health checks", (index.slope("processor-health")+index.slope("processor-health-http"))*slotsPerNode, "(processor-health + processor-health-http) × 23/s; http with both ends, an upper bound")
	add("configuration changes", index.slope("processor-change")*targetDailyChanges/secondsPerDay, "processor-change × 0.174/s")
	add("membership changes", index.valueAt("ownership-leave", targetInstances)*2*(targetDailyFailures+targetDailyRestarts)/targetDataCentres/secondsPerDay, "ownership-leave at 500 × 2 × 516 a day")
	return figures
}

func trafficFigures(index *resultIndex) []Figure {
	var figures []Figure
	add := func(name string, value float64, unit, derivation string) {
		figures = append(figures, index.finishFigure(Figure{"traffic: " + name, 0, value, unit, derivation, "", false}))
	}
	add("datagrams of new flows", index.slope("processor-datagram")*newFlowRatePerNode*4/1e4, "% of a core", "processor-datagram × 68/s × 4 datagrams")
	add("decisions of new flows", index.slope("processor-decision")*newFlowRatePerNode*4/1e4, "% of a core", "processor-decision × 68/s × 4")
	add("relays to the owner", index.slope("processor-peer-message")*newFlowRatePerNode/1e4, "% of a core", "processor-peer-message (both ends: one sent and one received) × 68/s, nearly every new flow arrives elsewhere")
	return figures
}

func memoryFigures(index *resultIndex) []Figure {
	var figures []Figure
	add := func(name string, value float64, derivation string) {
		figures = append(figures, index.finishFigure(Figure{"memory: " + name, 0, value, "B", derivation, "", false}))
	}
	add("open flows", index.slope("memory-flow")*flowsPerNode, "memory-flow × 14,000")
	add("admissions", index.slope("memory-admission")*admissionsPerNode, "memory-admission × 68/s × 300 s")
	add("service addresses with 4 targets each", index.slope("memory-address")*targetServices, "memory-address × 6,800")
	add("further targets", index.slope("memory-target")*(targetBackendServers-4*targetServices), "memory-target × 1,800")
	add("service sockets", bytesPerSocket*targetServices, "5.0 KB (ServiceSockets, make bench) × 6,800")
	add("members", index.slope("memory-member")*targetInstances, "memory-member × 500")
	add("control links", index.slope("memory-peer")/2*controlLinks, "memory-peer ÷ 2 × 9")
	add("data links", index.slope("memory-peer")/2*dataLinks, "memory-peer ÷ 2 × 499: relays reach every instance of the data centre within a minute")
	return figures
}

// dataLinks is the number of open data connections of an instance. Its 68 new
// flows a second are relayed to owners among all 500 instances of the data
// centre, 8 a minute to each. A connection stays open for a minute after its
// last message, so practically all of them are open.
const dataLinks = targetInstances - 1

func peakLoadFigures(index *resultIndex) []Figure {
	var figures []Figure
	add := func(f Figure) { figures = append(figures, index.finishFigure(f)) }
	coldStart := index.valueAt("cold-start", targetInstances)
	add(Figure{"cold start of 500 instances, 2 KB/s without link.start_bytes", 0, coldStart, "s", "cold-start extrapolated to 500", "", false})
	add(Figure{"cold start of 500 instances, 2 KB/s and link.start_bytes", 0, index.valueAt("cold-start-grant", targetInstances), "s", "cold-start-grant extrapolated to 500", "", false})
	add(Figure{"feeds register again after it, processor time", 0, (index.slope("processor-decision")*2 + index.slope("processor-datagram")*4 + index.slope("processor-peer-message")) * flowsPerNode / 60 / 1e4,
		"% of a core", "(2 decisions + 4 datagrams + 1 relay) × 14,000 within 60 s", "", false})
	add(Figure{"rack of 40 lost, ownership at each instance", 0, index.valueAt("ownership-rack", targetInstances) / 1e3, "ms", "ownership-rack at 500", "", false})
	add(Figure{"rolling restart of 500, ownership", 0, index.valueAt("ownership-leave", targetInstances) * 2 * targetInstances / 1e6, "s", "ownership-leave × 2 × 500, processor time at each instance", "", false})
	add(Figure{"regions healed: an hour of changes, bytes", 0, targetDailyChanges / 24 * 640, "B", "625 changes × 640 B (document of 4 targets)", "", false})
	add(Figure{"regions healed: an hour of changes in force everywhere", propagationBudget, index.valueAt("heal-seconds", targetInstances), "s", "heal-seconds extrapolated to 500", "", false})
	add(Figure{"regions healed: reads of the platform in the busiest second", platformReadBudget, 3 * index.valueAt("heal-reads", targetInstances), "reads/s", "heal-reads extrapolated to 500, × 3 data centres of one region", "", false})
	add(Figure{"change of a profile used by all services, core blocked", 0, index.valueAt("processor-profile", targetServices) / 1e3, "ms", "processor-profile at 6,800", "", false})
	return figures
}
