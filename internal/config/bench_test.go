package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// benchDocument returns a service document with 4 targets. 6,800 documents have
// 27,200 targets, close to the 29,000 targets for which the system is sized.
func benchDocument(i int) []byte {
	var b strings.Builder
	b.WriteString("port = 5683\nprofile = \"standard\"\n")
	for k := range 4 {
		fmt.Fprintf(&b, "[[target]]\nname = \"backend-%d\"\ndata_centre = \"anand\"\naddress = \"10.%d.%d.%d:5683\"\n"+
			"health = \"http://10.%d.%d.%d:8080/health\"\n", k, i/250, i%250, k+1, i/250, i%250, k+1)
	}
	return []byte(b.String())
}

// benchStore returns a store with one profile and the given number of services.
func benchStore(services int) *Store {
	s := &Store{}
	applyPublication(s, "profile/standard", 1, profileDoc(100))
	for i := range services {
		applyPublication(s, fmt.Sprintf("service/s%04d", i), ids.Revision(i+2), benchDocument(i))
	}
	return s
}

// perSize runs a benchmark for several numbers of services.
func perSize(b *testing.B, run func(b *testing.B, services int)) {
	for _, size := range []int{10, 100, 1000, 6800} {
		b.Run(fmt.Sprintf("services=%d", size), func(b *testing.B) { run(b, size) })
	}
}

// BenchmarkPublishService parses and applies one service document.
func BenchmarkPublishService(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		s, doc := benchStore(size), benchDocument(1)
		r := s.Revision()
		for b.Loop() {
			r++
			applyPublication(s, "service/s0001", r, doc)
		}
	})
}

// BenchmarkPublishProfile changes the profile that all services use.
func BenchmarkPublishProfile(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		s := benchStore(size)
		r := s.Revision()
		for b.Loop() {
			r++
			applyPublication(s, "profile/standard", r, profileDoc(int(r%1000)))
		}
	})
}

// BenchmarkApplyDelta makes and applies a delta of one changed document.
func BenchmarkApplyDelta(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		s := benchStore(size)
		d := &peerwire.ConfigDelta{Upto: s.Revision(), Documents: []peerwire.Document{{Key: "service/s0001", Value: benchDocument(1)}}}
		for b.Loop() {
			d.Upto++
			d.Documents[0].Revision = d.Upto
			s.ApplyDocuments(d.Documents, d.Upto)
			s.Delta(d.Upto-1, 32<<10)
		}
	})
}

// BenchmarkMemory reports the heap that a store keeps for each service.
func BenchmarkMemory(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := benchStore(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/service")
			runtime.KeepAlive(s)
		}
	})
}
