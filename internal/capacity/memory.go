package capacity

import (
	"encoding/binary"
	"runtime"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/ids"
)

func memoryMeasures() []Measure {
	return []Measure{
		{Name: "memory-flow", Unit: "B", SizeName: "open flows", Sizes: []float64{25_000, 50_000, 100_000, 200_000},
			Run: measureFeedMemory, Note: "established feeds of one caller each, in a core"},
		{Name: "memory-admission", Unit: "B", SizeName: "admissions", Sizes: []float64{8_000, 16_000, 32_000, 64_000},
			Run: measureAdmissionMemory, Note: "answered, with a stored response of 64 B"},
		{Name: "memory-target", Unit: "B", SizeName: "targets", Sizes: []float64{3_500, 7_000, 14_000, 28_000},
			Run:  func(x float64) float64 { return measureNodeMemory(clusterSize{500, 1000, int(x) / 1000, 5}) },
			Note: "document, resolved target and placement; 1,000 services, one in 5 of the own data centre"},
		{Name: "memory-address", Unit: "B", SizeName: "service addresses", Sizes: []float64{850, 1700, 3400, 6800},
			Run:  func(x float64) float64 { return measureNodeMemory(clusterSize{500, int(x), 4, 5}) },
			Note: "service with 4 targets, without its socket (ServiceSockets in make bench)"},
		{Name: "memory-member", Unit: "B", SizeName: "members", Sizes: []float64{250, 500, 1000, 2500},
			Run: func(x float64) float64 { return measureNodeMemory(clusterSize{int(x), 1, 4, 1}) }, Note: "record, ring and placement lists"},
	}
}

func measureFeedMemory(x float64) float64 {
	n := newNode(clusterSize{1, 1, 15, 1})
	return retainedBytes(func() any {
		n.openFeeds(int(x))
		return n
	})
}

func measureAdmissionMemory(x float64) float64 {
	response := make([]byte, 64)
	return retainedBytes(func() any {
		t := admission.NewTable(1)
		for i := range int(x) {
			token := admission.Token{Incarnation: 1, IssuedMS: uint64(epoch / 1e6)}
			binary.LittleEndian.PutUint64(token.Nonce[:], uint64(i))
			if entry, decision := t.Admit(epoch, token, ids.Mix(uint64(i), 1)); decision == admission.Admit {
				t.Finish(entry.ID, admission.Answered, response, 0)
			}
		}
		return t
	})
}

func measureNodeMemory(size clusterSize) float64 {
	var n *node
	used := retainedBytes(func() any {
		n = newNode(size)
		return n
	})
	runtime.KeepAlive(n)
	return used
}
