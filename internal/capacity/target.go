package capacity

import "fmt"

// The target size of section 1.4 of docs/design.md.
const (
	targetNodes       = 2500
	targetCentres     = 5
	targetInstances   = targetNodes / targetCentres // of one data centre
	targetTargets     = 29_000
	targetAddresses   = 6800
	targetFlows       = 35_000_000
	targetNewFlows    = 170_000 // a second
	targetChanges     = 15_000  // a day
	targetFailures    = 79      // a day
	targetRestarts    = 2500    // a day
	day               = 86_400.0
	flowsPerNode      = targetFlows / targetNodes
	newFlowsPerNode   = targetNewFlows / targetNodes
	slotsPerNode      = 2 * targetTargets / targetNodes
	admissionsPerNode = newFlowsPerNode * 300 // kept for 300 s, if every new flow is one admission

	budgetCore   = 4.8     // % of a core
	budgetMemory = 64e6    // bytes
	budgetBytes  = 2048.0  // a second
	budgetForce  = 5.0     // seconds
	budgetReads  = 2000.0  // a second
	listReads    = 1 / 10. // a second by each instance (listEvery in internal/daemon)
	socketBytes  = 5000.0  // BenchmarkServiceSockets, 4.2 to 5.0 KB
	idleDaemon   = 1.2     // % of a core
	controlLinks = 8 + 1   // neighbours, and the mean share of links between data centres
	ticks        = 100.0   // a second
)

// Figure is a quantity at the target size.
type Figure struct {
	Name      string
	Budget    float64 // 0 when there is none
	Value     float64
	Unit      string
	From      string // slope × size
	Mechanism string
	missing   bool // a measure that it needs was not made
}

// Ratio is the share of the budget in use.
func (f *Figure) Ratio() string {
	switch {
	case f.missing:
		return "not measured"
	case f.Budget == 0:
		return "–"
	case f.Value > f.Budget:
		return fmt.Sprintf("**OVER** %.2f", f.Value/f.Budget)
	}
	return fmt.Sprintf("%.2f", f.Value/f.Budget)
}

// book looks measures up by name.
type book struct {
	results map[string]*Result
	missing bool
}

func newBook(results []Result) *book {
	b := &book{results: map[string]*Result{}}
	for i := range results {
		b.results[results[i].Name] = &results[i]
	}
	return b
}

func (b *book) get(name string) *Result {
	r := b.results[name]
	if r == nil || !r.Measured {
		b.missing = true
		return nil
	}
	return r
}

// each returns the slope of a measure: the cost of one more.
func (b *book) each(name string) float64 {
	if r := b.get(name); r != nil {
		return r.Slope
	}
	return 0
}

// at returns the value of a measure at size x.
func (b *book) at(name string, x float64) float64 {
	if r := b.get(name); r != nil {
		return r.At(x)
	}
	return 0
}

// figure closes a figure over the measures used since the last one.
func (b *book) figure(f Figure) Figure {
	f.missing, b.missing = b.missing, false
	return f
}

// Target returns the figures at the target size: those with a budget first.
func Target(results []Result) (budgets, roles, worst []Figure) {
	b := newBook(results)
	parts := processorParts(b)
	core := 0.0
	for _, p := range parts {
		core += p.Value
	}
	b.missing = false
	for _, p := range parts {
		b.missing = b.missing || p.missing
	}
	budgets = append(budgets, b.figure(Figure{"control processor time of a node", budgetCore, core, "% of a core",
		"sum of the rows “control” below", "constant neighbours, two owners for each target, deltas of configuration", false}))
	memory := memoryParts(b)
	total, flows := 0.0, 0.0
	for _, p := range memory {
		total += p.Value
		if p.Name == "memory: open flows" || p.Name == "memory: admissions" || p.Name == "memory: data links" {
			flows += p.Value
		}
		b.missing = b.missing || p.missing
	}
	budgets = append(budgets, b.figure(Figure{"control memory of a node", budgetMemory, total - flows, "B",
		"sum of the rows “memory” without flows, admissions and data links", "state of a flow and of a target only at its owners", false}))
	b.missing = budgets[len(budgets)-1].missing
	budgets = append(budgets, b.figure(Figure{"the same with the reserve of the garbage collector", budgetMemory, 2 * (total - flows), "B",
		"live × 2 (GOGC=100; the pacer counts stacks as well)", "none yet: one wildcard socket with the destination address, services of other data centres kept as text", false}))
	b.missing = budgets[len(budgets)-1].missing
	budgets = append(budgets, b.figure(Figure{"memory of a node with its traffic", 0, total, "B", "sum of the rows “memory”", "as above", false}))
	rest := b.at("peer-bytes-instances", targetInstances)
	changes := max(0, b.each("peer-bytes-change")) * targetChanges / day
	budgets = append(budgets,
		b.figure(Figure{"control bytes sent by a node", budgetBytes, rest + changes, "B/s",
			fmt.Sprintf("peer-bytes-instances at 500 = %s, + peer-bytes-change × 0.174/s = %s", short(rest), short(changes)), "8 neighbours and a digest; the limit is enforced", false}),
		b.figure(Figure{"change in force everywhere, daily rate", budgetForce, b.at("in-force-daily", targetInstances), "s", "in-force-daily at 500, one data centre; each has its own watchers", "two watchers, revision in heartbeats, deltas from neighbours", false}),
		b.figure(Figure{"change in force everywhere, 10 in a second", budgetForce, b.at("in-force-burst", targetInstances), "s", "in-force-burst at 500", "the same; deltas batch all changes since a revision", false}))
	docs := targetCentres * (b.at("reads-instances", targetInstances) + b.each("reads-change")*targetChanges/day)
	budgets = append(budgets,
		b.figure(Figure{"reads of the platform", budgetReads, docs + targetNodes*listReads, "reads/s",
			fmt.Sprintf("5 × (reads-instances at 500 + reads-change × 0.174/s) = %s, + 2,500 lists × 0.1/s", short(docs)), "two watchers in each data centre; lists with jitter", false}),
		b.figure(Figure{"decision", 2, b.each("processor-decision"), "µs", "processor-decision", "no allocation, state of own slots only", false}))
	roles = append(roles, parts...)
	roles = append(roles, trafficParts(b)...)
	roles = append(roles, memory...)
	return budgets, roles, worstMinute(b)
}

func processorParts(b *book) []Figure {
	percent := func(microseconds float64) float64 { return microseconds / 1e4 }
	var list []Figure
	add := func(name string, microseconds float64, from string) {
		list = append(list, b.figure(Figure{"control: " + name, 0, percent(microseconds), "% of a core", from, "", false}))
	}
	add("idle daemon", idleDaemon*1e4, "1.2% (BenchmarkControlTraffic, docs/measurements/daemon.md): timers and 27 control messages a second, of which the next rows count the core part again")
	add("ticks", b.each("processor-tick")*ticks, "processor-tick × 100/s, members, configuration and health timers")
	add("sweep of flows", b.each("processor-tick-flows")*flowsPerNode*ticks, "processor-tick-flows × 14,000 × 100/s")
	add("heartbeats", b.each("processor-heartbeat")*2*controlLinks, "processor-heartbeat × 18/s")
	add("heartbeats on the link", b.each("processor-peer-message")*controlLinks, "processor-peer-message (both ends) × 9/s sent and 9/s received")
	add("health checks", (b.each("processor-health")+b.each("processor-health-http"))*slotsPerNode, "(processor-health + processor-health-http) × 23/s; http with both ends, an upper bound")
	add("configuration changes", b.each("processor-change")*targetChanges/day, "processor-change × 0.174/s")
	add("membership changes", b.at("ownership-leave", targetInstances)*2*(targetFailures+targetRestarts)/targetCentres/day, "ownership-leave at 500 × 2 × 516 a day")
	return list
}

func trafficParts(b *book) []Figure {
	var list []Figure
	add := func(name string, value float64, unit, from string) {
		list = append(list, b.figure(Figure{"traffic: " + name, 0, value, unit, from, "", false}))
	}
	add("datagrams of new flows", b.each("processor-datagram")*newFlowsPerNode*4/1e4, "% of a core", "processor-datagram × 68/s × 4 datagrams")
	add("decisions of new flows", b.each("processor-decision")*newFlowsPerNode*4/1e4, "% of a core", "processor-decision × 68/s × 4")
	add("relays to the owner", b.each("processor-peer-message")*newFlowsPerNode/1e4, "% of a core", "processor-peer-message (both ends: one sent and one received) × 68/s, nearly every new flow arrives elsewhere")
	return list
}

func memoryParts(b *book) []Figure {
	var list []Figure
	add := func(name string, value float64, from string) {
		list = append(list, b.figure(Figure{"memory: " + name, 0, value, "B", from, "", false}))
	}
	add("open flows", b.each("memory-flow")*flowsPerNode, "memory-flow × 14,000")
	add("admissions", b.each("memory-admission")*admissionsPerNode, "memory-admission × 68/s × 300 s")
	add("service addresses with 4 targets each", b.each("memory-address")*targetAddresses, "memory-address × 6,800")
	add("further targets", b.each("memory-target")*(targetTargets-4*targetAddresses), "memory-target × 1,800")
	add("service sockets", socketBytes*targetAddresses, "5.0 KB (ServiceSockets, make bench) × 6,800")
	add("members", b.each("memory-member")*targetInstances, "memory-member × 500")
	add("control links", b.each("memory-peer")/2*controlLinks, "memory-peer ÷ 2 × 9")
	add("data links", b.each("memory-peer")/2*dataLinks, "memory-peer ÷ 2 × 499: relays reach every instance of the data centre within a minute")
	return list
}

// dataLinks is the number of data connections that an instance has open: its
// 68 new flows a second go to owners among all 500 instances of the data
// centre, 8 a minute to each, and a connection is kept for a minute after its
// last message, so practically all are open.
const dataLinks = targetInstances - 1

func worstMinute(b *book) []Figure {
	var list []Figure
	add := func(f Figure) { list = append(list, b.figure(f)) }
	cold := b.at("cold-start", targetInstances)
	add(Figure{"cold start of 500 instances, 2 KB/s without link.start_bytes", 0, cold, "s", "cold-start extrapolated to 500", "", false})
	add(Figure{"cold start of 500 instances, 2 KB/s and link.start_bytes", 0, b.at("cold-start-grant", targetInstances), "s", "cold-start-grant extrapolated to 500", "", false})
	add(Figure{"feeds register again after it, processor time", 0, (b.each("processor-decision")*2 + b.each("processor-datagram")*4 + b.each("processor-peer-message")) * flowsPerNode / 60 / 1e4,
		"% of a core", "(2 decisions + 4 datagrams + 1 relay) × 14,000 within 60 s", "", false})
	add(Figure{"rack of 40 lost, ownership at each instance", 0, b.at("ownership-rack", targetInstances) / 1e3, "ms", "ownership-rack at 500", "", false})
	add(Figure{"rolling restart of 500, ownership", 0, b.at("ownership-leave", targetInstances) * 2 * targetInstances / 1e6, "s", "ownership-leave × 2 × 500, processor time at each instance", "", false})
	add(Figure{"regions healed: an hour of changes, bytes", 0, targetChanges / 24 * 640, "B", "625 changes × 640 B (document of 4 targets)", "", false})
	add(Figure{"regions healed: an hour of changes in force everywhere", budgetForce, b.at("heal-seconds", targetInstances), "s", "heal-seconds extrapolated to 500", "", false})
	add(Figure{"regions healed: reads of the platform in the busiest second", budgetReads, 3 * b.at("heal-reads", targetInstances), "reads/s", "heal-reads extrapolated to 500, × 3 data centres of one region", "", false})
	add(Figure{"change of a profile used by all services, core blocked", 0, b.at("processor-profile", targetAddresses) / 1e3, "ms", "processor-profile at 6,800", "", false})
	return list
}
