package fanout

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusdock.example/arbutusdock/internal/follow"
)

// Guards against messages that pass for more recent than they are: over random transfer
// times and clocks that run at different speeds, the estimate must not be later than the
// sending by more than the shortest transfer, and not earlier by more than the time of the
// dial and the drift.
func TestSenderClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "drift")
		offset := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "offset ms")) * time.Millisecond
		began := time.Now()
		at := func(d time.Duration) time.Time { return began.Add(d) }
		sender := func(d time.Duration) time.Duration { return offset + d + time.Duration(drift*float64(d)) }
		c := senderClock{dialedAt: began}
		dial := time.Duration(rapid.IntRange(1, 400).Draw(t, "dial ms")) * time.Millisecond
		sent, arrived, shortest := dial, time.Duration(0), time.Hour
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			transfer := time.Duration(rapid.IntRange(1, 5000).Draw(t, "transfer ms")) * time.Millisecond
			arrived = max(arrived, sent+transfer) // in order
			shortest = min(shortest, arrived-sent)
			got := c.localTime(sender(sent), at(arrived)).Sub(at(sent))
			// The clocks may have drifted apart since the shortest transfer.
			slack := time.Duration(2*maxClockDrift*float64(arrived)) + time.Millisecond
			assert.Assert(t, got <= shortest+slack, "%s later than sent", got)
			assert.Assert(t, -got <= dial+slack, "%s earlier than sent", -got)
			sent += time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause ms")) * time.Millisecond
		}
	})
}

// The process of the follower is suspended, and its steady clock with it. Guards against
// messages that pass for ones from the future.
func TestSenderClockAfterSuspension(t *testing.T) {
	began := time.Now()
	c := senderClock{dialedAt: began}
	c.localTime(time.Hour, began.Add(time.Millisecond))
	arrived := began.Add(time.Second)
	got := c.localTime(time.Hour+6*time.Second, arrived)
	assert.Assert(t, !got.After(arrived), "%s later than its arrival", got.Sub(arrived))
}

// Guards against a follower that takes what it knows for current at a time after the message
// was sent: it waits in the link behind another one, and what is published meanwhile is not
// in it.
func TestCurrentAtOfDelayedMessage(t *testing.T) {
	const lag, delay = 50 * time.Millisecond, 300 * time.Millisecond
	sent := make(chan time.Time, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		for n, wait := range []time.Duration{0, delay} {
			now := time.Now()
			sent <- now
			u := follow.Update{Complete: n == 0, Revision: uint64(5 + n), SentAt: uint64(time.Since(now.Add(-time.Hour)).Milliseconds()), Lag: uint64(lag.Milliseconds())}
			time.Sleep(wait)
			_ = sendMessage(r.Context(), ws, &u, false)
		}
		_ = ws.Close(websocket.StatusNormalClosure, "")
	}))
	defer server.Close()
	c := client{instance: Instance{"n", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	after := follow.Position{}
	for range 2 {
		u, err := c.read(context.Background(), after)
		assert.NilError(t, err)
		at := <-sent
		assert.Assert(t, !u.CurrentAt.After(at.Add(-lag)), "current %s after it was sent", u.CurrentAt.Sub(at))
		assert.Assert(t, u.CurrentAt.After(at.Add(-lag-delay)), "current %s before it was sent", at.Sub(u.CurrentAt))
		after = u.Position()
	}
}

// Guards against an instance that passes on as current what its source does not vouch for,
// and against a time that goes back.
func TestCurrentAtPassedOn(t *testing.T) {
	s := NewState()
	lag := func() time.Duration { u, _, _ := s.Since(Query{}); return time.Duration(u.Lag) * time.Millisecond }
	s.Apply(&follow.Update{Complete: true, Revision: 5})
	assert.Equal(t, lag(), time.Duration(0), "not known")
	current := time.Now().Add(-time.Second)
	s.Apply(&follow.Update{Revision: 6, CurrentAt: current})
	s.Apply(&follow.Update{Revision: 7, CurrentAt: current.Add(-time.Minute)})
	s.Apply(&follow.Update{Revision: 8})
	assert.Assert(t, lag() >= time.Second && lag() < time.Minute, "%s", lag())
}

// Guards against an instance that never resets flows of others while it follows one of the
// former release, and against one that takes the age which that names for a bound.
func TestCurrentAtOfFormerRelease(t *testing.T) {
	const age = 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		_ = sendMessage(r.Context(), ws, &follow.Update{Revision: 5, Age: age}, false)
		<-r.Context().Done()
	}))
	defer server.Close()
	n := newNode(t, "n", &platformStub{})
	c := client{instance: Instance{"old", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, configVersion: noVersion}
	defer c.close()
	u, err := n.source.readFresh(context.Background(), &c, follow.Position{Revision: 5}, 0)
	assert.NilError(t, err)
	margin := time.Since(u.CurrentAt) - age - n.source.config.MaxAge - livenessTimeout
	assert.Assert(t, margin >= 0 && margin < time.Second, "%s", margin)
}
