package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/message"
)

// Guards against a block-wise transfer that ends when the instance that served
// its first block fails, because follow-up blocks are relayed to that instance
// for 250 s.
func TestFollowUpBlocksSurviveLossOfInstance(t *testing.T) {
	const callers = 20
	tc := newTestCluster(t, 3, testService("s", 6))
	for n := range callers {
		m := get(1).encode(t)
		tc.backendResponse = func(b backendMessage) *message.Outgoing {
			raw := withBlock2(t, []byte{0x60, byte(message.Content), 0, 0}, 8|2).Raw
			return &message.Outgoing{Template: raw, Type: message.Acknowledgement, ID: b.m.ID, Token: b.m.Token}
		}
		tc.sendMessage(n%3, callerN(n), &m)
		tc.advance(50 * time.Millisecond)
		assert.Equal(t, len(tc.responses(callerN(n))), 1)
	}
	tc.paused[2] = true
	tc.advance(5 * time.Second)
	tc.clearRecords()
	for n := range callers {
		d := get(2)
		m := d.encode(t)
		m = withBlock2(t, m.Raw, 1<<4|2)
		tc.sendMessage(n%2, callerN(n), &m)
		tc.advance(100 * time.Millisecond)
		assert.Equal(t, len(tc.responses(callerN(n))), 1, "caller %d", n)
	}
}
