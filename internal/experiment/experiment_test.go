package experiment

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/spread"
	"github.com/alitto/pond/v2"
	"gotest.tools/v3/assert"
)

// runShortSteady runs a cluster with one second of requests at 70% load.
func runShortSteady(p policy, seed uint64) *cluster {
	c := newCluster(seed, testConfig(), p.newFactory())
	m := &trafficMix{meanShortRun: meanShortRun, nonIdempotentShare: 0.2}
	m.load, m.peakLoad = constantLoad(steadyLoad)
	m.generate(c.sim, slotCount, time.Second, func() { c.sendRequest(m) })
	c.run(4 * time.Second)
	return c
}

// Guards against runs that depend on anything but the seed, whose results could
// not be reproduced.
func TestRunsAreDeterministic(t *testing.T) {
	for _, p := range policies() {
		a, b := runShortSteady(p, 7), runShortSteady(p, 7)
		assert.Equal(t, a.imbalance(), b.imbalance(), p.name)
		assert.Equal(t, a.stats.short.ValueAtQuantile(99), b.stats.short.ValueAtQuantile(99), p.name)
		assert.Equal(t, a.stats.relays, b.stats.relays, p.name)
		other := runShortSteady(p, 8)
		assert.Assert(t, a.imbalance() != other.imbalance(), p.name)
	}
}

// Guards against requests that the model loses. At a load below the capacity
// every policy must serve all requests.
func TestEveryRequestIsServed(t *testing.T) {
	for _, p := range policies() {
		s := runShortSteady(p, 1).stats
		assert.Equal(t, s.sum(0, 4*time.Second).served, s.requests, p.name)
		assert.Assert(t, s.requests > 1500, p.name)
	}
}

// Guards against a backend server of the model that runs more requests than it
// has slots, queues without bound, or responds after it has died.
func TestBackendLimits(t *testing.T) {
	s := newSim(1)
	b := newBackend(s, 1, 0)
	outcomes := map[spread.Outcome]int{}
	send := func() {
		b.accept(&job{runTime: meanShortRun, expires: s.now.Add(time.Minute), onOutcome: func(o spread.Outcome) { outcomes[o]++ }})
	}
	for range slotsPerBackend + backendQueue + 3 {
		send()
	}
	assert.Equal(t, b.running, slotsPerBackend)
	assert.Equal(t, outcomes[spread.Shed], 3)
	s.run(time.Second)
	assert.Equal(t, outcomes[spread.Success], slotsPerBackend+backendQueue)
	b.updateBusyTime()
	assert.Equal(t, b.busyTime, time.Duration(slotsPerBackend+backendQueue)*meanShortRun)
	send()
	b.dead = true
	s.run(2 * time.Second)
	assert.Equal(t, outcomes[spread.Success], slotsPerBackend+backendQueue)
}

// Guards against a verdict that hides a seed which misses the goal.
func TestVerdict(t *testing.T) {
	row := Row{Values: []float64{1, 1.05, 1.2}, Goal: &Goal{AtMost: true, Limit: 1.1}}
	assert.Equal(t, row.Verdict(), "met by the median")
	row.Values = []float64{1, 1.05, 1.1}
	assert.Equal(t, row.Verdict(), "met")
	row.Goal = &Goal{Limit: 1.06}
	assert.Equal(t, row.Verdict(), "MISSED")
}

// Guards against a recovery time that ends before a later period of bad service.
func TestRecoveryTimeIncludesRelapse(t *testing.T) {
	c := &cluster{sim: newSim(1)}
	s := newStats(c)
	for i := range 100 {
		w := s.windowAt(epoch.Add(time.Duration(i) * windowLength))
		w.latencies = []time.Duration{10 * time.Millisecond}
		if i >= 20 && i < 30 || i == 60 {
			w.firstAttemptUnserved = 1
		}
	}
	limit := 20 * time.Millisecond
	assert.Equal(t, s.recoveryTime(2*time.Second, 3*time.Second, limit), 1400*time.Millisecond)
	assert.Assert(t, s.recoveryTime(2*time.Second, 6*time.Second, limit) > 4*time.Second)
}

// Guards against reports that omit a policy or a seed.
func TestReportHoldsAllRows(t *testing.T) {
	e := &Experiment{Name: "x", Title: "X", run: func(p policy, seed uint64) runOutcome {
		return runOutcome{measures: []measure{{"", "value", float64(seed), &Goal{true, 2}}}}
	}}
	r, err := e.Run(pond.NewPool(2), []uint64{1, 2, 3})
	assert.NilError(t, err)
	var text, table bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	assert.NilError(t, r.WriteCSV(&table))
	for _, p := range policies() {
		assert.Assert(t, strings.Contains(text.String(), p.name) && strings.Contains(table.String(), p.name), p.name)
	}
	assert.Equal(t, strings.Count(table.String(), "\n"), len(policies())+1)
	assert.Equal(t, strings.Count(text.String(), "met by the median"), 2)
}
