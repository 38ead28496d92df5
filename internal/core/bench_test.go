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

// coreBenchmark holds a core with one service that is called in a loop.
type coreBenchmark struct {
	core            *Core
	service         *service
	now             ids.Time
	effects         Effects
	backendMessage  message.Message // as received by the backend server
	backendEndpoint ids.Endpoint
}

// benchmarkSizes are the two sizes of the performance objectives: one service
// with 15 targets and 5 instances, and 29,000 targets behind 6,800 services
// with 2,500 instances.
var benchmarkSizes = []struct {
	name                         string
	targets, services, instances int
}{{"targets=15", 15, 1, 5}, {"targets=29000", 29000, 6800, 2500}}

func newCoreBenchmark(b *testing.B, targets, services, instances int) *coreBenchmark {
	tc := newTestCluster(b, 1, testService("s", 1))
	x := &coreBenchmark{core: tc.cores[0], now: tc.now}
	x.core.begin(x.now, &x.effects)
	var serving []ids.Instance
	for i := range instances {
		serving = append(serving, ids.Instance(fmt.Sprintf("i%d", i)))
		x.core.incarnations[serving[i]] = ids.Incarnation(i + 1)
	}
	x.core.slotTable.SetInstances(x.now, serving)
	for i := range services {
		r := testService(ids.Service(fmt.Sprintf("s%d", i)), 0)
		for k := i; k < targets; k += services {
			r.Service.Targets = append(r.Service.Targets, config.Target{Name: ids.Target(fmt.Sprintf("t%d", k)),
				DataCentre: "dc", Slots: 2, Address: endpoint(fmt.Sprintf("198.51.%d.%d:5683", k/250%250, k%250))})
		}
		x.core.installService(r)
	}
	for i := range services {
		s := x.core.services[ids.Service(fmt.Sprintf("s%d", i))]
		x.core.refreshOwnership(s)
		if s.ownedSlots() > 0 && len(s.peers) > 0 {
			x.service = s
		}
	}
	assert.Assert(b, x.service != nil)
	b.ReportAllocs()
	b.ResetTimer()
	return x
}

func (x *coreBenchmark) handleRequest(e *CallerEvent) {
	x.effects.Reset()
	x.now += 20_000
	x.core.lastTick = x.now
	x.core.HandleCaller(x.now, e, &x.effects)
}

func (x *coreBenchmark) handleResponse() {
	for i := range x.effects.List {
		if e := &x.effects.List[i]; e.Kind == ToBackend {
			x.backendEndpoint, x.backendMessage = e.Endpoint, message.Message{ID: e.Datagram.ID, Token: e.Datagram.Token, Raw: e.Datagram.Template}
		}
	}
	x.backendMessage.Type, x.backendMessage.Code = message.Acknowledgement, message.Content
	x.effects.Reset()
	x.now += 20_000
	x.core.HandleBackend(x.now, &BackendEvent{From: x.backendEndpoint, Message: &x.backendMessage}, &x.effects)
}

// reportDecisionTime reports the time of one call of the core; perOp is the
// number of calls in an operation.
func reportDecisionTime(b *testing.B, perOp int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*perOp), "ns/decision")
}

func eachSize(b *testing.B, run func(b *testing.B, x *coreBenchmark)) {
	for _, size := range benchmarkSizes {
		b.Run(size.name, func(b *testing.B) { run(b, newCoreBenchmark(b, size.targets, size.services, size.instances)) })
	}
}

// BenchmarkRequest measures an idempotent request from its arrival to the
// response: two calls of the core.
func BenchmarkRequest(b *testing.B) {
	eachSize(b, func(b *testing.B, x *coreBenchmark) {
		m := get(1).encode(b)
		e := &CallerEvent{Service: x.service.name, Caller: callerA, Message: &m}
		for b.Loop() {
			x.handleRequest(e)
			x.handleResponse()
		}
		reportDecisionTime(b, 2)
		assert.Assert(b, x.core.counters.Answered > 0 && x.core.counters.Refused == 0)
	})
}

// BenchmarkGrant measures a non-idempotent request without a token: one call.
func BenchmarkGrant(b *testing.B) {
	eachSize(b, func(b *testing.B, x *coreBenchmark) {
		m := post(1, "claim").encode(b)
		e := &CallerEvent{Service: x.service.name, Caller: callerA, Message: &m}
		for b.Loop() {
			x.handleRequest(e)
		}
		reportDecisionTime(b, 1)
		assert.Assert(b, x.core.counters.Minted > 0)
	})
}

// BenchmarkAdmit measures a non-idempotent request with a token from its
// arrival to the response: two calls. The admission table is kept near its
// steady-state size by evicting entries as the ticks do.
func BenchmarkAdmit(b *testing.B) {
	eachSize(b, func(b *testing.B, x *coreBenchmark) {
		m := post(1, "claim").encode(b)
		firstRequest := &callerDatagram{callerExchange: callerExchange{svc: x.service, caller: callerA}, msg: &m}
		admitted := m
		e := &CallerEvent{Service: x.service.name, Caller: callerA, Message: &admitted}
		var echoes [1000][admission.TokenSize]byte
		next := len(echoes)
		run := func() {
			if next == len(echoes) { // tokens are minted in advance, so that only the admission is measured
				b.StopTimer()
				next = 0
				x.now += 10 * second // the retention time of 300 s then holds 30,000 admissions
				x.core.lastTick = x.now
				x.core.admissions.Evict(x.now, len(echoes))
				for i := range echoes {
					x.effects.Reset()
					x.core.begin(x.now, &x.effects)
					x.core.grant(firstRequest, x.core.self.ID, x.core.self.Incarnation)
					copy(echoes[i][:], x.effects.List[0].Datagram.Echo)
				}
				b.StartTimer()
			}
			admitted.Echo = echoes[next][:]
			next++
			x.handleRequest(e)
			x.handleResponse()
		}
		for range 40_000 {
			run()
		}
		b.ResetTimer()
		for b.Loop() {
			run()
		}
		reportDecisionTime(b, 2)
		assert.Assert(b, x.core.counters.Admitted > 0 && x.core.counters.Answered == x.core.counters.Admitted)
	})
}

// BenchmarkRelay measures a request that is relayed to a co-owner: one call.
func BenchmarkRelay(b *testing.B) {
	eachSize(b, func(b *testing.B, x *coreBenchmark) {
		m := get(1).encode(b)
		e := &CallerEvent{Service: x.service.name, Caller: callerA, Message: &m}
		for n := 0; x.service.pool.Free(0) > 0; n++ {
			x.handleRequest(&CallerEvent{Service: x.service.name, Caller: callerN(n + 2), Message: &m})
		}
		for b.Loop() {
			x.service.peers[0].freeSlots, x.service.peers[0].reportedAt = 10, x.now
			x.handleRequest(e)
		}
		reportDecisionTime(b, 1)
		assert.Assert(b, x.core.counters.Relayed > 0)
	})
}

// BenchmarkTick measures a tick of 10 ms without work, with 14,000 feeds.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, x *coreBenchmark) {
		m := observeRequest(1).encode(b)
		for n := 0; x.core.feeds.Len() < 14000; n++ {
			if home, _ := x.core.homeInstance(x.service, ids.HashEndpoint(callerN(n))); home != x.core.self.ID {
				continue
			}
			x.effects.Reset()
			x.core.begin(x.now, &x.effects)
			a := callerDatagram{callerExchange: callerExchange{svc: x.service, caller: callerN(n), token: message.Token{Len: 4, Bytes: [8]byte{byte(n), byte(n >> 8), byte(n >> 16)}}}, msg: &m}
			f := x.core.feeds.Add(x.now, feedKey(&a), m.Raw)
			f.Active.Established, f.MaxAge = true, time.Hour
		}
		for b.Loop() {
			x.effects.Reset()
			x.now += 10 * ms
			x.core.Tick(x.now, &x.effects)
		}
	})
}
