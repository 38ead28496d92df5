package capacity

import (
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// Slots of one data centre at the target size: 29,000 targets of 2 slots each,
// spread over 5 data centres.
const (
	localServices = 1450
	localTargets  = 5800
	localSlots    = 2 * localTargets
)

func ownershipMeasures() []Measure {
	sizes := []float64{100, 200, 350, 500}
	return []Measure{
		{Name: "ownership-leave", Unit: "µs", SizeName: "instances", Sizes: sizes, Note: "processor time at each instance when one leaves, 11,600 slots",
			Run: func(x float64) float64 { return measureMembershipChangeCPU(int(x), 1) }},
		{Name: "ownership-rack", Unit: "µs", SizeName: "instances", Sizes: sizes, Note: "the same when 40 leave at once",
			Run: func(x float64) float64 { return measureMembershipChangeCPU(int(x), 40) }},
	}
}

// measureMembershipChangeCPU returns the least CPU time, in microseconds, in
// which an instance handles the loss of a number of instances. They join again
// outside of the measured time.
func measureMembershipChangeCPU(instances, lost int) float64 {
	all := make([]ids.Instance, instances)
	for i := range all {
		all[i] = instanceName(i)
	}
	t := spread.NewTable(all[0], "dc0", 1)
	t.SetInstances(epoch, all)
	for i := range localServices {
		r := &config.Resolved{Service: config.Service{Name: serviceName(i)}}
		for k := range localTargets / localServices {
			r.Service.Targets = append(r.Service.Targets, config.Target{
				Name: ids.Target(rune('a' + k)), DataCentre: "dc0", Slots: 2, Address: callerAddress(i*4 + k)})
		}
		t.SetService(epoch, r)
	}
	least := 0.0
	for i := range cpuTimeRuns {
		took := cpuTimeOnce(func() { t.SetInstances(epoch, all[:instances-lost]) })
		if t.SetInstances(epoch, all); i == 0 || took < least {
			least = took
		}
	}
	return least
}
