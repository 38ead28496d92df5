package passthrough

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// benchCore has n targets of one service, in ten data centres.
func benchCore(n int) *Core {
	c := New(Settings{DataCentre: "a", MaxFlows: 1 << 15, FlowLifetime: time.Minute, Seed: 1})
	c.ApplyConfig(testConfig(1))
	for i := range n {
		r := record(i+1, "counter", ids.DataCentre(string(rune('a'+i%10))))
		c.PutTarget(origin, &r)
	}
	return c
}

// BenchmarkPlace measures an opening packet with the request that follows.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 150, 29000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			c := benchCore(n)
			now := origin
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(20 * time.Microsecond)
				f := flowOf(i%20000, counterAt)
				d := c.HandlePacket(now, syn(f, 0))
				c.HandlePacket(now, request(f, d.Cookie))
				c.HandlePacket(now, &Packet{Flow: f, Flags: FIN | ACK, Cookie: d.Cookie, Seq: 151, Ack: 900})
			}
		})
	}
}

// BenchmarkKnown measures a packet of an open flow.
func BenchmarkKnown(b *testing.B) {
	c := benchCore(150)
	f := flowOf(1, counterAt)
	d := c.HandlePacket(origin, syn(f, 0))
	p := request(f, d.Cookie)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 50
		p.Ack += 10
		c.HandlePacket(origin, p)
	}
}

// liveBytes returns the live bytes after a collection.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the bytes of a target, a flow and a route.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := liveBytes()
		c := benchCore(29000)
		targets := liveBytes()
		for i := range 14000 {
			f := flowOf(i, counterAt)
			c.HandlePacket(origin, syn(f, 0))
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

// BenchmarkLearn measures a changed record among 29,000, and a version with
// 6,800 routes.
func BenchmarkLearn(b *testing.B) {
	c := benchCore(29000)
	b.Run("target", func(b *testing.B) {
		r := record(77, "counter", "a")
		for b.Loop() {
			r.Draining = !r.Draining
			c.PutTarget(origin, &r)
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
		now := origin
		for b.Loop() {
			now = now.Add(sweepInterval)
			c.Tick(now)
		}
	})
}
