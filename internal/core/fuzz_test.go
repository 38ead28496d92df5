package core

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// tokenRequest is a non-idempotent request with its token and the number of
// times it has run.
type tokenRequest struct {
	caller  ids.Endpoint
	request testRequest
	runs    int
}

// Guards against a second execution, a "not run" response for a request that
// has run, and a response to another request, under random message loss,
// retransmissions, pauses, network partitions, planned stops, 5.03 responses
// and lost responses.
func TestClaimsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := testService("s", 4)
		service.Profile.Protect.RetryRatio = 1 // so that the budget does not prevent a wrong retry
		tc := newTestCluster(rt, 3, service)
		tc.ackConfirmables = true
		requestByPayload := map[string]*tokenRequest{}
		var requests []*tokenRequest
		lossPercent, partitioned := 0, ids.Instance("")
		tc.dropPeerMessage = func(from, to ids.Instance, m *peerwire.Message) bool {
			if partitioned != "" && (from == partitioned || to == partitioned) {
				return true
			}
			return m.Lane() == peerwire.Data && lossPercent > 0 && rapid.IntRange(0, 99).Draw(rt, "loss") < lossPercent
		}
		tc.backendResponse = func(b backendMessage) *message.Outgoing {
			o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
			switch rapid.IntRange(0, 9).Draw(rt, "backend") {
			case 0:
				o.Code = message.ServiceUnavailable
				return o
			case 1:
				o = nil
			case 2:
				o.Type, o.ID = message.Confirmable, b.m.ID+1
			case 3: // fails after the request has run
				o = &message.Outgoing{Type: message.Reset, ID: b.m.ID}
			}
			payload := string(b.m.Raw[len(b.m.Raw)-8:])
			if c := requestByPayload[payload]; c != nil && b.m.Code == message.POST {
				c.runs++
			}
			if o != nil && o.Type != message.Reset {
				o.Payload = []byte(payload)
			}
			return o
		}
		send := func(c *tokenRequest) { tc.send(rapid.IntRange(0, 2).Draw(rt, "at"), c.caller, c.request) }
		obtainToken := func() {
			n := len(requests)
			c := &tokenRequest{caller: callerN(n + 1), request: post(uint16(n), fmt.Sprintf("claim%03d", n))}
			tc.send(rapid.IntRange(0, 2).Draw(rt, "at"), c.caller, c.request)
			for _, r := range tc.responses(c.caller) {
				c.request.echo = r.m.Echo
			}
			if len(c.request.echo) == 0 {
				return
			}
			// From here on, replies to this endpoint are replies to the request
			// with the token.
			c.caller = callerN(n + 101)
			requestByPayload[c.request.payload] = c
			requests = append(requests, c)
			send(c)
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 9).Draw(rt, "op"); {
			case op <= 2 && len(requests) < 90:
				obtainToken()
			case op <= 5 && len(requests) > 0:
				send(requests[rapid.IntRange(0, len(requests)-1).Draw(rt, "claim")])
			case op == 6:
				i := rapid.IntRange(0, 2).Draw(rt, "pause")
				tc.paused[i] = !tc.paused[i] || tc.exited[i]
			case op == 7 && len(requests) > 3:
				tc.callCore(rapid.IntRange(0, 2).Draw(rt, "stop"), func(c *Core, out *Effects) { c.Stop(tc.now, out) })
			case op == 9:
				partitioned = rapid.SampledFrom([]ids.Instance{"", "", "i0", "i1"}).Draw(rt, "split")
			case op == 8:
				lossPercent = rapid.SampledFrom([]int{0, 0, 30}).Draw(rt, "rate")
			}
			tc.backendRunTime = time.Duration(rapid.SampledFrom([]int{5, 5, 400, 3000}).Draw(rt, "run")) * time.Millisecond
			tc.advance(time.Duration(rapid.SampledFrom([]int{0, 3, 20, 500, 3000, 12000}).Draw(rt, "wait")) * time.Millisecond)
		}
		lossPercent, partitioned = 0, ""
		for range 2 {
			tc.advance(8 * time.Second)
			for _, c := range requests {
				send(c)
			}
		}
		tc.advance(8 * time.Second)
		for _, c := range requests {
			assert.Assert(rt, c.runs <= 1, "%s ran %d times", c.request.payload, c.runs)
			for _, r := range tc.responses(c.caller) {
				switch r.m.Code {
				case message.Content:
					assert.Equal(rt, c.runs, 1)
					assert.Equal(rt, string(r.m.Raw[len(r.m.Raw)-8:]), c.request.payload)
				case message.ServiceUnavailable, message.Unauthorized:
					assert.Equal(rt, c.runs, 0, "%s was told not to have run", c.request.payload)
				}
			}
		}
	})
}

// Guards against a planned change (stop of an instance, drain of a backend
// server) that interrupts a feed, leaves it at two home instances or reorders
// its notifications, also when handover messages are lost.
func TestFeedUnderPlannedChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := testService("s", 4)
		tc := newTestCluster(rt, 3, service)
		tc.ackConfirmables = true
		tc.openFeed(0)
		lossPercent, stopped := 0, false
		tc.dropPeerMessage = func(_, _ ids.Instance, m *peerwire.Message) bool {
			return m.Lane() == peerwire.Data && lossPercent > 0 && rapid.IntRange(0, 99).Draw(rt, "loss") < lossPercent
		}
		feedHomes := func() (list []int) {
			for i := range tc.cores {
				if f := tc.findFeed(i); f != nil && f.Active.Established && !tc.exited[i] {
					list = append(list, i)
				}
			}
			return list
		}
		for range rapid.IntRange(3, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "op") {
			case 0:
				if !stopped {
					stopped = true
					tc.callCore(rapid.IntRange(0, 2).Draw(rt, "stop"), func(c *Core, out *Effects) { c.Stop(tc.now, out) })
				}
			case 1:
				changed := *service
				changed.Service.Targets = slices.Clone(service.Service.Targets)
				changed.Service.Targets[rapid.IntRange(0, 3).Draw(rt, "drain")].Draining = true
				for i := range tc.cores {
					tc.callCore(i, func(c *Core, out *Effects) { c.begin(tc.now, out); c.installService(&changed) })
				}
			case 2:
				lossPercent = rapid.SampledFrom([]int{0, 20}).Draw(rt, "rate")
			default:
				for _, i := range feedHomes() {
					tc.notifyFeed(i, tc.observeValue()+1)
				}
			}
			tc.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 1000, 5000}).Draw(rt, "wait")) * time.Millisecond)
			assert.Assert(rt, len(feedHomes()) > 0, "the feed is interrupted")
		}
		lossPercent = 0
		tc.advance(30 * time.Second)
		assert.Equal(rt, len(feedHomes()), 1)
		last := uint32(0)
		for _, r := range tc.responses(callerA) {
			last = max(last, r.m.Observe)
		}
		tc.notifyFeed(feedHomes()[0], tc.observeValue()+1)
		tc.advance(10 * time.Millisecond)
		got := tc.responses(callerA)
		assert.Assert(rt, got[len(got)-1].m.Observe > last)
	})
}

// Guards against decisions that depend on the iteration order of a map.
func TestSameSeedSameDecisions(t *testing.T) {
	run := func() string {
		tc := newTestCluster(t, 3, testService("s", 6))
		for n := range 200 {
			tc.send(n%3, callerN(n), get(uint16(n)))
			tc.send(n%3, callerN(n), post(uint16(n+1000), "x"))
			if n == 100 {
				tc.openFeed(1)
				tc.callCore(0, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
			}
			tc.advance(time.Millisecond)
		}
		tc.advance(10 * time.Second)
		return fmt.Sprint(tc.replies, tc.backendReceived)
	}
	first, second := run(), run()
	assert.Assert(t, first == second)
}
