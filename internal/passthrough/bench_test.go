package passthrough

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// benchCore returns a core with n targets of one service in ten data centres.
func benchCore(n int) *Core {
	c := New(Settings{DataCentre: "a", MaxFlows: 1 << 15, FlowLifetime: time.Minute, Seed: 1})
	c.ApplyConfig(testConfig(1))
	for i := range n {
		r := testRecord(i+1, "counter", ids.DataCentre(string(rune('a'+i%10))))
		c.PutTarget(startTime, &r)
	}
	return c
}

// BenchmarkPlace measures a flow: its opening packet, one request and the FIN.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 150, 29000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			c := benchCore(n)
			now := startTime
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(20 * time.Microsecond)
				f := testFlow(i%20000, counterAddress)
				d := c.HandlePacket(now, openingPacket(f, 0))
				c.HandlePacket(now, requestPacket(f, d.Cookie))
				c.HandlePacket(now, &Packet{Flow: f, Flags: FIN | ACK, Cookie: d.Cookie, Seq: 151, Ack: 900})
			}
		})
	}
}

// BenchmarkKnown measures a packet of an open flow.
func BenchmarkKnown(b *testing.B) {
	c := benchCore(150)
	f := testFlow(1, counterAddress)
	d := c.HandlePacket(startTime, openingPacket(f, 0))
	p := requestPacket(f, d.Cookie)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 50
		p.Ack += 10
		c.HandlePacket(startTime, p)
	}
}

// liveBytes returns the live heap bytes after a garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory use per target, per flow and per route.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := liveBytes()
		c := benchCore(29000)
		targets := liveBytes()
		for i := range 14000 {
			f := testFlow(i, counterAddress)
			c.HandlePacket(startTime, openingPacket(f, 0))
		}
		flows := liveBytes()
		config := testConfig(2)
		for i := range 6800 {
			at := Endpoint{IP: [4]byte{198, 19, byte(i >> 8), byte(i)}, Port: 443}
			config.Routes = append(config.Routes, Route{Name: fmt.Sprint("r-", i), Address: at, Splits: []Split{{"counter", 1}}})
		}
		c.ApplyConfig(config)
		routes := liveBytes()
		b.ReportMetric(float64(targets-before)/29000, "B/target")
		b.ReportMetric(float64(flows-targets)/14000, "B/flow")
		b.ReportMetric(float64(routes-flows)/6800, "B/route")
		runtime.KeepAlive(c)
	}
}

// BenchmarkLearn measures the update of one of 29,000 target records, a
// configuration version with 6,800 routes, and Tick.
func BenchmarkLearn(b *testing.B) {
	c := benchCore(29000)
	b.Run("target", func(b *testing.B) {
		r := testRecord(77, "counter", "a")
		for b.Loop() {
			r.Draining = !r.Draining
			c.PutTarget(startTime, &r)
			c.TakeEvents(func(Event) {})
		}
	})
	b.Run("config", func(b *testing.B) {
		config := testConfig(1)
		for i := range 6800 {
			at := Endpoint{IP: [4]byte{198, 19, byte(i >> 8), byte(i)}, Port: 443}
			config.Routes = append(config.Routes, Route{Name: fmt.Sprint("r-", i), Address: at, Splits: []Split{{"counter", 1}}})
		}
		for b.Loop() {
			config.Version++
			c.ApplyConfig(config)
			c.TakeEvents(func(Event) {})
		}
	})
	b.Run("tick", func(b *testing.B) {
		now := startTime
		for b.Loop() {
			now = now.Add(sweepInterval)
			c.Tick(now)
		}
	})
}
