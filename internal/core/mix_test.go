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
// without an answer, and an answer to another request, under a random mix of
// short and long requests, follow-up blocks, registrations, refreshes,
// deregistrations, cancellations, health checks and faults of backend servers.
func TestMixUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		service := resolved("s", 3)
		service.Profile.Protect.RetryRatio, service.Profile.Protect.QueueLength = 1, 6
		w := newWorld(rt, 2, service)
		w.acks = true
		faults := 0
		w.serve = func(b received) *message.Outgoing {
			w.run = time.Duration(rapid.SampledFrom([]int{5, 20, 20, 900}).Draw(rt, "run")) * time.Millisecond
			o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
				Payload: []byte{byte(b.m.Block2.Num), b.m.Raw[len(b.m.Raw)-1]}}
			if b.m.HasObserve && b.m.Observe == 0 {
				o.SetObserve, o.Observe = true, w.observeValue()
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
				w.after(time.Millisecond, func() {
					w.fromBackend(b.core, w.address(b.target), &message.Outgoing{Type: message.Acknowledgement, ID: b.m.ID})
				})
				o.Type, o.ID, o.SetObserve = message.Confirmable, b.m.ID+1, false
			}
			return o
		}
		var plain []ids.Endpoint
		for n := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			at, caller := pick(2, "at"), callerN(pick(6, "caller"))
			switch pick(9, "op") {
			case 0:
				w.send(at, caller, datagram{code: message.GET, id: uint16(n), token: 5, observe: 0, path: "alarm"})
			case 1:
				w.send(at, caller, datagram{code: message.GET, id: uint16(n), token: 5, observe: 1, path: "alarm"})
			case 2:
				m := get(uint16(n)).encode(rt)
				m = withBlock2(rt, m.Raw, byte(1+pick(3, "block"))<<4|2)
				w.sendMessage(at, caller, &m)
			case 3:
				w.empty(at, caller, message.Reset, uint16(n-1))
			case 4:
				faults = pick(5, "faults")
			case 5:
				target := service.Service.Targets[pick(3, "target")].Name
				e := HealthEvent{Service: "s", Target: target, Healthy: pick(2, "healthy") == 0, Draining: pick(6, "drains") == 0, Load: -1}
				w.call(at, func(c *Core, out *Effects) { c.HandleHealth(w.now, &e, out) })
			default:
				for k := range rapid.SampledFrom([]int{1, 1, 20}).Draw(rt, "burst") {
					d := get(uint16(n))
					d.path = rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "path")
					c := callerN(100 + 40*n + k)
					plain = append(plain, c)
					w.send(at, c, d)
				}
			}
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 2, 30, 300, 2500}).Draw(rt, "wait")) * time.Millisecond)
		}
		faults = 0
		w.advance(60 * time.Second)
		for _, caller := range plain {
			assert.Equal(rt, len(w.finals(caller)), 1, "%v", caller)
		}
		for i, c := range w.cores {
			w.idle(rt, c)
			assert.Assert(rt, len(c.Snapshot().Services) == 1 && c.Explain(Query{Service: "s", Caller: callerA, Method: "GET", Path: "x"}).Known, i)
		}
	})
}

// idle checks that a core without work holds nothing.
func (w *world) idle(t assert.TestingT, c *Core) {
	s := c.services["s"]
	c.refresh(s)
	registrations, unacked := 0, 0
	for _, q := range c.confirmList {
		if q.sent > 1 { // not only just sent for a feed
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
	held := fmt.Sprint(len(c.live), len(c.requests), len(c.admitted), len(c.upstreams)-registrations, s.backlog(), len(s.pinned), unacked)
	assert.Equal(t, held, "0 0 0 0 0 0 0")
	assert.Assert(t, len(c.exchanges) <= registrations)
	assert.Assert(t, !slices.ContainsFunc(s.partners, func(p partner) bool { return p.queued != [2]int{} }))
	assert.Equal(t, s.pool.Free(spread.Short), s.pool.Capacity())
}

func (w *world) address(target ids.Target) ids.Endpoint {
	for _, x := range w.cores[0].services["s"].config.Service.Targets {
		if x.Name == target {
			return x.Address
		}
	}
	return ids.Endpoint{}
}
