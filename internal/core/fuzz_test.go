package core

import (
	"flag"
	"fmt"
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

// claim is a non-idempotent request with its token, and what happened to it.
type claim struct {
	caller ids.Endpoint
	d      datagram
	runs   int
}

// Guards against a second execution, a "not run" for a request that has run,
// and a response to another request, under random losses, repeats, pauses,
// planned stops, shed requests and lost responses.
func TestClaimsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := resolved("s", 4)
		service.Profile.Protect.RetryRatio = 1 // so that a wrong retry is not held back by the budget
		w := newWorld(rt, 3, service)
		w.acks = true
		claims := map[string]*claim{}
		var order []*claim
		loss := 0
		w.cut = func(_, _ ids.Instance, m *peerwire.Message) bool {
			return m.Lane() == peerwire.Data && loss > 0 && rapid.IntRange(0, 99).Draw(rt, "loss") < loss
		}
		w.serve = func(b received) *message.Outgoing {
			o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
			switch rapid.IntRange(0, 9).Draw(rt, "backend") {
			case 0:
				o.Code = message.ServiceUnavailable
				return o
			case 1:
				o = nil
			case 2:
				o.Type, o.ID = message.Confirmable, b.m.ID+1
			case 3: // fails after it has run
				o = &message.Outgoing{Type: message.Reset, ID: b.m.ID}
			}
			payload := string(b.m.Raw[len(b.m.Raw)-8:])
			if c := claims[payload]; c != nil && b.m.Code == message.POST {
				c.runs++
			}
			if o != nil && o.Type != message.Reset {
				o.Payload = []byte(payload)
			}
			return o
		}
		send := func(c *claim) { w.send(rapid.IntRange(0, 2).Draw(rt, "at"), c.caller, c.d) }
		grant := func() {
			n := len(order)
			c := &claim{caller: callerN(n + 1), d: post(uint16(n), fmt.Sprintf("claim%03d", n))}
			w.send(rapid.IntRange(0, 2).Draw(rt, "at"), c.caller, c.d)
			for _, r := range w.finals(c.caller) {
				c.d.echo = r.m.Echo
			}
			if len(c.d.echo) == 0 {
				return
			}
			// From here on the replies are to the request with the token.
			c.caller = callerN(n + 101)
			claims[c.d.payload] = c
			order = append(order, c)
			send(c)
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 9).Draw(rt, "op"); {
			case op <= 2 && len(order) < 90:
				grant()
			case op <= 5 && len(order) > 0:
				send(order[rapid.IntRange(0, len(order)-1).Draw(rt, "claim")])
			case op == 6:
				i := rapid.IntRange(0, 2).Draw(rt, "pause")
				w.paused[i] = !w.paused[i] || w.exits[i]
			case op == 7 && len(order) > 3:
				w.call(rapid.IntRange(0, 2).Draw(rt, "stop"), func(c *Core, out *Effects) { c.Stop(w.now, out) })
			case op == 8:
				loss = rapid.SampledFrom([]int{0, 0, 30}).Draw(rt, "rate")
			}
			w.run = time.Duration(rapid.SampledFrom([]int{5, 5, 400, 3000}).Draw(rt, "run")) * time.Millisecond
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 3, 20, 500, 3000, 12000}).Draw(rt, "wait")) * time.Millisecond)
		}
		loss = 0
		for range 2 {
			w.advance(8 * time.Second)
			for _, c := range order {
				send(c)
			}
		}
		w.advance(8 * time.Second)
		for _, c := range order {
			assert.Assert(rt, c.runs <= 1, "%s ran %d times", c.d.payload, c.runs)
			for _, r := range w.finals(c.caller) {
				switch r.m.Code {
				case message.Content:
					assert.Equal(rt, c.runs, 1)
					assert.Equal(rt, string(r.m.Raw[len(r.m.Raw)-8:]), c.d.payload)
				case message.ServiceUnavailable, message.Unauthorized:
					assert.Equal(rt, c.runs, 0, "%s was told not to have run", c.d.payload)
				}
			}
		}
	})
}
