package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against panics, leaked slots, requests and upstream tokens, a request
// without a response, and a response to another request, under a random mix of
// short and long requests, follow-up blocks, registrations, refreshes,
// deregistrations, cancellations, health checks and backend server faults.
func TestMixUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		service := testService("s", 3)
		service.Profile.Protect.RetryRatio, service.Profile.Protect.QueueLength = 1, 6
		tc := newTestCluster(rt, 2, service)
		tc.ackConfirmables = true
		faults := 0
		tc.backendResponse = func(b backendMessage) *message.Outgoing {
			tc.backendRunTime = time.Duration(rapid.SampledFrom([]int{5, 20, 20, 900}).Draw(rt, "run")) * time.Millisecond
			o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
				Payload: []byte{byte(b.m.Block2.Num), b.m.Raw[len(b.m.Raw)-1]}}
			if b.m.HasObserve && b.m.Observe == 0 {
				o.SetObserve, o.Observe = true, tc.observeValue()
			} else if b.m.Block2.Num < 3 {
				o.Template = withBlock2(rt, []byte{0x60, byte(message.Content), 0, 0}, byte(b.m.Block2.Num)<<4|8|2).Raw
			}
			switch pick(10, "backend") + faults - 3 {
			case 7:
				return nil
			case 8:
				return &message.Outgoing{Type: message.Reset, ID: b.m.ID}
			case 9:
				return &message.Outgoing{Type: message.Acknowledgement, Code: message.ServiceUnavailable, ID: b.m.ID, Token: b.m.Token}
			case 10: // an empty ACK, then a separate response without Observe
				tc.schedule(time.Millisecond, func() {
					tc.fromBackend(b.core, tc.targetAddress(b.target), &message.Outgoing{Type: message.Acknowledgement, ID: b.m.ID})
				})
				o.Type, o.ID, o.SetObserve = message.Confirmable, b.m.ID+1, false
			}
			return o
		}
		var plainCallers []ids.Endpoint
		for n := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			at, caller := pick(2, "at"), callerN(pick(6, "caller"))
			switch pick(9, "op") {
			case 0:
				tc.send(at, caller, testRequest{code: message.GET, id: uint16(n), token: 5, observe: 0, path: "alarm"})
			case 1:
				tc.send(at, caller, testRequest{code: message.GET, id: uint16(n), token: 5, observe: 1, path: "alarm"})
			case 2:
				m := get(uint16(n)).encode(rt)
				m = withBlock2(rt, m.Raw, byte(1+pick(3, "block"))<<4|2)
				tc.sendMessage(at, caller, &m)
			case 3:
				tc.sendEmpty(at, caller, message.Reset, uint16(n-1))
			case 4:
				faults = pick(5, "faults")
			case 5:
				target := service.Service.Targets[pick(3, "target")].Name
				e := HealthEvent{Service: "s", Target: target, Healthy: pick(2, "healthy") == 0, Draining: pick(6, "drains") == 0, Load: -1}
				tc.callCore(at, func(c *Core, out *Effects) { c.HandleHealth(tc.now, &e, out) })
			default:
				for k := range rapid.SampledFrom([]int{1, 1, 20}).Draw(rt, "burst") {
					d := get(uint16(n))
					d.path = rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "path")
					c := callerN(100 + 40*n + k)
					plainCallers = append(plainCallers, c)
					tc.send(at, c, d)
				}
			}
			tc.advance(time.Duration(rapid.SampledFrom([]int{0, 2, 30, 300, 2500}).Draw(rt, "wait")) * time.Millisecond)
		}
		faults = 0
		tc.advance(60 * time.Second)
		for _, caller := range plainCallers {
			assert.Equal(rt, len(tc.responses(caller)), 1, "%v", caller)
		}
		for i, c := range tc.cores {
			tc.assertNoWork(rt, c)
			assert.Assert(rt, len(c.Snapshot().Services) == 1 && c.Explain(Query{Service: "s", Caller: callerA, Method: "GET", Path: "x"}).Known, i)
		}
	})
}

// assertNoWork checks that a core without work holds no requests, slots or
// upstream tokens.
func (tc *testCluster) assertNoWork(t assert.TestingT, c *Core) {
	s := c.services["s"]
	c.refreshOwnership(s)
	registrations, unacked := 0, 0
	for _, q := range c.unackedList {
		if q.transmissions > 1 { // not a notification that was only just sent
			unacked++
		}
	}
	c.feeds.Sweep(c.feeds.Len(), func(f *flow.Feed) {
		for _, up := range []uint64{f.Active.Token, f.Next.Token} {
			if up != 0 {
				registrations++
			}
		}
	})
	remaining := fmt.Sprint(len(c.liveRequests), len(c.requestsByKey), len(c.requestsByAdmission), len(c.upstreams)-registrations, s.backlog(), len(s.waitingForTarget), unacked)
	assert.Equal(t, remaining, "0 0 0 0 0 0 0")
	assert.Assert(t, len(c.upstreamTokens) <= registrations)
	assert.Assert(t, !slices.ContainsFunc(s.partners, func(p partner) bool { return p.queued != [2]int{} }))
	assert.Equal(t, s.pool.Free(spread.Short), s.pool.Capacity())
}

func (tc *testCluster) targetAddress(target ids.Target) ids.Endpoint {
	for _, x := range tc.cores[0].services["s"].config.Service.Targets {
		if x.Name == target {
			return x.Address
		}
	}
	return ids.Endpoint{}
}
