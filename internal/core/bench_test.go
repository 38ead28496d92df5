package core

import (
	"fmt"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"gotest.tools/v3/assert"
)

// bench is a core with one service that is called in a loop.
type bench struct {
	c    *Core
	s    *service
	now  ids.Time
	out  Effects
	sent message.Message // as received by the backend server
	from ids.Endpoint
}

// sizes are the configurations of the objectives: one service with 15 targets
// and 5 instances, and 29,000 targets behind 6,800 services with 2,500.
var sizes = []struct {
	name                         string
	targets, services, instances int
}{{"targets=15", 15, 1, 5}, {"targets=29000", 29000, 6800, 2500}}

func newBench(b *testing.B, targets, services, instances int) *bench {
	w := newWorld(b, 1, resolved("s", 1))
	x := &bench{c: w.cores[0], now: w.now}
	x.c.begin(x.now, &x.out)
	var serving []ids.Instance
	for i := range instances {
		serving = append(serving, ids.Instance(fmt.Sprintf("i%d", i)))
		x.c.runs[serving[i]] = ids.Incarnation(i + 1)
	}
	x.c.table.SetInstances(x.now, serving)
	for i := range services {
		r := resolved(ids.Service(fmt.Sprintf("s%d", i)), 0)
		for k := i; k < targets; k += services {
			r.Service.Targets = append(r.Service.Targets, config.Target{Name: ids.Target(fmt.Sprintf("t%d", k)),
				DataCentre: "dc", Slots: 2, Address: endpoint(fmt.Sprintf("198.51.%d.%d:5683", k/250%250, k%250))})
		}
		x.c.install(r)
	}
	for i := range services {
		s := x.c.services[ids.Service(fmt.Sprintf("s%d", i))]
		x.c.refresh(s)
		if s.owned() > 0 && len(s.peers) > 0 {
			x.s = s
		}
	}
	assert.Assert(b, x.s != nil)
	b.ReportAllocs()
	b.ResetTimer()
	return x
}

func (x *bench) call(e *CallerEvent) {
	x.out.Reset()
	x.now += 20_000
	x.c.tick = x.now
	x.c.HandleCaller(x.now, e, &x.out)
}

func (x *bench) respond() {
	for i := range x.out.List {
		if e := &x.out.List[i]; e.Kind == ToBackend {
			x.from, x.sent = e.Endpoint, message.Message{ID: e.Datagram.ID, Token: e.Datagram.Token, Raw: e.Datagram.Template}
		}
	}
	x.sent.Type, x.sent.Code = message.Acknowledgement, message.Content
	x.out.Reset()
	x.now += 20_000
	x.c.HandleBackend(x.now, &BackendEvent{From: x.from, Message: &x.sent}, &x.out)
}

// decisions reports the time of one call of the core; perOp is the number of
// calls in an operation.
func decisions(b *testing.B, perOp int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*perOp), "ns/decision")
}

func eachSize(b *testing.B, run func(b *testing.B, x *bench)) {
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) { run(b, newBench(b, size.targets, size.services, size.instances)) })
	}
}

// An idempotent request from arrival to answer: two calls of the core.
func BenchmarkRequest(b *testing.B) {
	eachSize(b, func(b *testing.B, x *bench) {
		m := get(1).encode(b)
		e := &CallerEvent{Service: x.s.name, Caller: callerA, Message: &m}
		for b.Loop() {
			x.call(e)
			x.respond()
		}
		decisions(b, 2)
		assert.Assert(b, x.c.counts.Answered > 0 && x.c.counts.Refused == 0)
	})
}

// A non-idempotent request without a token: one call.
func BenchmarkGrant(b *testing.B) {
	eachSize(b, func(b *testing.B, x *bench) {
		m := post(1, "claim").encode(b)
		e := &CallerEvent{Service: x.s.name, Caller: callerA, Message: &m}
		for b.Loop() {
			x.call(e)
		}
		decisions(b, 1)
		assert.Assert(b, x.c.counts.Minted > 0)
	})
}

// A non-idempotent request with a token from arrival to answer: two calls. The
// table is kept near its steady size by evicting as the ticks do.
func BenchmarkAdmit(b *testing.B) {
	eachSize(b, func(b *testing.B, x *bench) {
		m := post(1, "claim").encode(b)
		grant := &arrival{exchange: exchange{svc: x.s, caller: callerA}, m: &m}
		admitted := m
		e := &CallerEvent{Service: x.s.name, Caller: callerA, Message: &admitted}
		var echoes [1000][admission.TokenSize]byte
		next := len(echoes)
		run := func() {
			if next == len(echoes) { // minted in advance, so that only the admission is measured
				b.StopTimer()
				next = 0
				x.now += 10 * second // 300 s hold 30,000 admissions
				x.c.tick = x.now
				x.c.admissions.Evict(x.now, len(echoes))
				for i := range echoes {
					x.out.Reset()
					x.c.begin(x.now, &x.out)
					x.c.grant(grant, x.c.self.ID, x.c.self.Incarnation)
					copy(echoes[i][:], x.out.List[0].Datagram.Echo)
				}
				b.StartTimer()
			}
			admitted.Echo = echoes[next][:]
			next++
			x.call(e)
			x.respond()
		}
		for range 40_000 {
			run()
		}
		b.ResetTimer()
		for b.Loop() {
			run()
		}
		decisions(b, 2)
		assert.Assert(b, x.c.counts.Admitted > 0 && x.c.counts.Answered == x.c.counts.Admitted)
	})
}

// A request that is relayed to a co-owner: one call.
func BenchmarkRelay(b *testing.B) {
	eachSize(b, func(b *testing.B, x *bench) {
		m := get(1).encode(b)
		e := &CallerEvent{Service: x.s.name, Caller: callerA, Message: &m}
		for n := 0; x.s.pool.Free(0) > 0; n++ {
			x.call(&CallerEvent{Service: x.s.name, Caller: callerN(n + 2), Message: &m})
		}
		for b.Loop() {
			x.s.peers[0].free, x.s.peers[0].heard = 10, x.now
			x.call(e)
		}
		decisions(b, 1)
		assert.Assert(b, x.c.counts.Relayed > 0)
	})
}

// A tick of 10 ms without work, with 14,000 feeds.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, x *bench) {
		m := observe(1).encode(b)
		for n := 0; x.c.feeds.Len() < 14000; n++ {
			if home, _ := x.c.home(x.s, ids.HashEndpoint(callerN(n))); home != x.c.self.ID {
				continue
			}
			x.out.Reset()
			x.c.begin(x.now, &x.out)
			a := arrival{exchange: exchange{svc: x.s, caller: callerN(n), token: message.Token{Len: 4, Bytes: [8]byte{byte(n), byte(n >> 8), byte(n >> 16)}}}, m: &m}
			f := x.c.feeds.Add(x.now, feedKey(&a), m.Raw)
			f.Active.Established, f.MaxAge = true, time.Hour
		}
		for b.Loop() {
			x.out.Reset()
			x.now += 10 * ms
			x.c.Tick(x.now, &x.out)
		}
	})
}
