package capacity

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	fleetServices  = 20
	fleetTargets   = 4
	changesPerHour = 15_000 / 24
	startBytes     = 128 << 10 // default of the setting link.start_bytes
	// changeInterval is the mean time between changes at 15,000 changes a day.
	changeInterval     = 24 * time.Hour / 15_000
	propagationTimeout = 60 * time.Second  // longest propagation of a change that is measured
	convergenceTimeout = 180 * time.Second // longest cold start or recovery that is measured
)

func fleetMeasures() []Measure {
	instances := []float64{5, 20, 50, 200, 500}
	outcomes := map[float64]fleetOutcome{}
	outcome := func(x float64) fleetOutcome { // several measures share one run
		if _, ok := outcomes[x]; !ok {
			outcomes[x] = runFleet(int(x), fleetTargets, 4)
		}
		return outcomes[x]
	}
	recoveries := map[float64][2]float64{}
	recovery := func(x float64) [2]float64 {
		if _, ok := recoveries[x]; !ok {
			recoveries[x] = measurePartitionRecovery(int(x))
		}
		return recoveries[x]
	}
	return []Measure{
		{Name: "peer-bytes-instances", Unit: "B/s", SizeName: "instances", Sizes: instances,
			Run: func(x float64) float64 { return outcome(x).idleBytes }, Note: "control bytes an instance sends at rest, framing included"},
		{Name: "in-force-daily", Unit: "s", SizeName: "instances", Sizes: instances,
			Run: func(x float64) float64 { return outcome(x).dailyDelay }, Note: "greatest time until one change of 15,000 a day is in force at all"},
		{Name: "in-force-burst", Unit: "s", SizeName: "instances", Sizes: instances,
			Run: func(x float64) float64 { return outcome(x).burstDelay }, Note: "time from the last of 10 changes in a second until all are in force at all"},
		{Name: "reads-instances", Unit: "reads/s", SizeName: "instances", Sizes: instances,
			Run: func(x float64) float64 { return outcome(x).idleReads }, Note: "of documents by one data centre at rest over 60 s; the list of instances adds 0.1/s each"},
		{Name: "peer-bytes-targets", Unit: "B/s", SizeName: "targets", Sizes: []float64{80, 320, 1280, 4000},
			Run: func(x float64) float64 { return runFleet(10, int(x)/fleetServices, 0).idleBytes }, Note: "the same with 10 instances"},
		{Name: "peer-bytes-change", Unit: "B", SizeName: "changes", Sizes: []float64{4, 8, 16, 32},
			Run: func(x float64) float64 { return runFleet(50, fleetTargets, int(x)).changeBytes }, Note: "sent by one of 50 instances beyond its bytes at rest"},
		{Name: "reads-change", Unit: "reads", SizeName: "changes", Sizes: []float64{4, 8, 16, 32},
			Run: func(x float64) float64 { return float64(runFleet(50, fleetTargets, int(x)).changeReads) }, Note: "of documents by one data centre"},
		{Name: "cold-start", Unit: "s", SizeName: "instances", Sizes: []float64{5, 10, 20, 40},
			Run: func(x float64) float64 { return measureColdStart(int(x), controlRate, 0) }, Note: "until all know all as serving, 2,048 B/s each without link.start_bytes, 180 s at most"},
		{Name: "cold-start-grant", Unit: "s", SizeName: "instances", Sizes: []float64{40, 80, 160, 300},
			Run: func(x float64) float64 { return measureColdStart(int(x), controlRate, startBytes) }, Note: "the same with 2,048 B/s and link.start_bytes"},
		{Name: "heal-seconds", Unit: "s", SizeName: "instances", Sizes: []float64{5, 10, 20, 30},
			Run: func(x float64) float64 { return recovery(x)[0] }, Note: "after a partition from the platform, until 625 changes are in force at all, 180 s at most"},
		{Name: "heal-reads", Unit: "reads/s", SizeName: "instances", Sizes: []float64{5, 10, 20, 30},
			Run: func(x float64) float64 { return recovery(x)[1] }, Note: "in the busiest second of the same, one data centre"},
	}
}

// measurePartitionRecovery partitions a data centre from the platform, publishes
// the changes of an hour, and ends the partition. It returns the seconds until
// every instance has applied the changes, and the reads of the platform in the
// busiest second.
func measurePartitionRecovery(instances int) [2]float64 {
	f := newFleet(instances, changesPerHour, fleetTargets, controlRate)
	f.warmUp()
	f.platformDown = true
	f.expireWatches(f.now.Add(watchTimeout))
	f.run(2 * time.Second)
	var last ids.Revision
	for i := range changesPerHour {
		last = f.publish("service/"+string(serviceName(i)), serviceDocument(i, fleetTargets, "dc0", int(f.revision)))
	}
	f.run(90 * time.Second) // until the retry interval of the instances has reached its maximum
	f.platformDown = false
	begin, maxReads := f.now, 0
	for f.now.Sub(begin) < convergenceTimeout {
		before := f.platformReads
		f.run(time.Second)
		maxReads = max(maxReads, f.platformReads-before)
		if f.hasRevision(last) {
			break
		}
	}
	return [2]float64{f.now.Sub(begin).Seconds(), float64(maxReads)}
}

// hasRevision reports whether every instance has applied revision r.
func (f *fleet) hasRevision(r ids.Revision) bool {
	return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.core.Revision() < r })
}

// fleetOutcome holds the measurements of one run of a fleet.
type fleetOutcome struct {
	idleBytes, idleReads   float64 // per second without changes: bytes sent by one instance, reads by all
	dailyDelay, burstDelay float64 // seconds until every instance has applied the change
	changeBytes            float64 // sent by one instance for the changes at the daily rate
	changeReads            int     // reads by all instances for these changes
	droppedHeartbeats      int
}

// runFleet measures a data centre in its steady state, first without changes,
// then with changes at the daily rate, then with a burst of changes. If changes
// is 0, only the first part runs.
func runFleet(instances, targets, changes int) fleetOutcome {
	f := newFleet(instances, fleetServices, targets, controlRate)
	f.warmUp()
	if !f.converged() {
		f.run(20 * time.Second)
	}
	if !f.converged() {
		panic("capacity: member lists have not converged after the warm-up")
	}
	var o fleetOutcome
	idleTime := 10 * time.Second
	f.sentBytes = 0
	f.run(idleTime)
	o.idleBytes = f.sentBytes / idleTime.Seconds() / float64(instances)
	if changes == 0 {
		return o
	}
	f.sentBytes, f.platformReads = 0, 0
	begin := f.now
	for i := range changes {
		nextChange := f.now.Add(changeInterval)
		r := f.publishChange(i)
		o.dailyDelay = max(o.dailyDelay, f.awaitRevision(r))
		f.run(nextChange.Sub(f.now))
	}
	o.changeBytes = f.sentBytes/float64(instances) - o.idleBytes*f.now.Sub(begin).Seconds()
	o.changeReads = f.platformReads
	var last ids.Revision
	for i := range 10 {
		last = f.publishChange(i)
		f.run(100 * time.Millisecond)
	}
	o.burstDelay = f.awaitRevision(last) + 0.1
	f.platformReads = 0
	f.run(60 * time.Second)
	o.idleReads = float64(f.platformReads) / 60
	o.droppedHeartbeats = f.droppedHeartbeats
	return o
}

// publishChange publishes a new version of service i.
func (f *fleet) publishChange(i int) ids.Revision {
	i %= fleetServices
	return f.publish("service/"+string(serviceName(i)), serviceDocument(i, fleetTargets, "dc0", int(f.revision)))
}

// awaitRevision runs until every instance has applied revision r, at most
// propagationTimeout, and returns the seconds that this took.
func (f *fleet) awaitRevision(r ids.Revision) float64 {
	begin := f.now
	for waiting := f.nodes; f.now.Sub(begin) < propagationTimeout; f.run(tickInterval) {
		var remaining []*fleetNode
		for _, n := range waiting {
			if n.core.Revision() < r {
				remaining = append(remaining, n)
			}
		}
		if waiting = remaining; len(waiting) == 0 {
			break
		}
	}
	return f.now.Sub(begin).Seconds()
}

// measureColdStart starts all instances at once with the same seed list and
// returns the seconds until their member lists have converged.
func measureColdStart(instances, rate, initialBytes int) float64 {
	f := newFleet(instances, fleetServices, fleetTargets, rate)
	f.initialBytes = initialBytes
	f.applyRateLimit()
	var seeds []core.ListedInstance
	for i := range instances {
		m := memberRecord(i, 0, 0)
		seeds = append(seeds, core.ListedInstance{ID: m.ID, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr})
	}
	for _, n := range f.nodes {
		f.invoke(n, func(out *core.Effects) { n.core.HandleInstances(f.now, &core.InstancesEvent{Instances: seeds}, out) })
	}
	for f.now.Sub(epoch) < convergenceTimeout {
		f.run(500 * time.Millisecond)
		if f.converged() {
			break
		}
	}
	return f.now.Sub(epoch).Seconds()
}
