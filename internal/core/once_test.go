package core

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
	"gotest.tools/v3/assert"
)

func code(t *testing.T, w *world, want message.Code) reply {
	t.Helper()
	got := w.finals(callerA)
	assert.Assert(t, len(got) > 0, "no response")
	last := got[len(got)-1]
	assert.Equal(t, last.m.Code, want)
	return last
}

// Guards against a second execution after the instance that admitted the
// request has failed.
func TestOwnerGoneIsOutcomeUnknown(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	owner := w.issuer(d.echo)
	w.send(owner, callerA, d)
	w.paused[owner] = true
	w.advance(7 * time.Second)
	w.send((owner+1)%3, callerA, d)
	w.advance(10 * time.Millisecond)
	got := code(t, w, message.GatewayTimeout)
	assert.Assert(t, len(w.executions(message.POST)) <= 1)
	assert.Assert(t, string(got.m.Raw[len(got.m.Raw)-len(outcomeUnknown):]) == string(outcomeUnknown))
}

// Guards against a planned stop that interrupts a request, forgets its outcome
// or lets the successor run it again.
func TestPlannedStopHandsAdmissionsOver(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	w.run = 900 * time.Millisecond
	d, unused := post(7, "claim"), post(8, "other")
	d.echo = w.grant(0, callerA, d)
	owner := w.issuer(d.echo)
	unused.echo = w.grant(owner, callerA, unused)
	assert.Equal(t, w.issuer(unused.echo), owner)
	w.send(owner, callerA, d)
	w.advance(10 * time.Millisecond)
	w.call(owner, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	w.advance(time.Second)
	code(t, w, message.Content) // completed although the instance is stopping
	w.advance(10 * time.Second)
	assert.Assert(t, w.exits[owner])
	for _, i := range []int{(owner + 1) % 3, (owner + 2) % 3} {
		w.send(i, callerA, d)
		w.advance(20 * time.Millisecond)
		code(t, w, message.Content)
		w.send(i, callerA, unused)
		w.advance(20 * time.Millisecond)
		code(t, w, message.Unauthorized) // known not to have run
	}
	assert.Equal(t, len(w.executions(message.POST)), 1)
}

// Guards against a handover that gives up when the successor does not answer.
func TestHandoverTriesAnotherSuccessor(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	w.cut = func(from, to ids.Instance, m *peerwire.Message) bool { return m.AdmissionMove != nil && to == "i1" }
	w.call(0, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	w.advance(12 * time.Second)
	assert.Assert(t, w.exits[0])
	m, ok := w.cores[1].view.Lookup(1)
	assert.Assert(t, ok)
	assert.Equal(t, m.ID, instanceID(2))
}

// Guards against a table that is lost because the only other instance is still
// joining when this one stops.
func TestHandoverWaitsForJoiningInstance(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	w.paused[1] = true
	w.advance(8 * time.Second)
	w.add(2, 1, resolved("s", 4), 77)
	w.paused[1] = false
	for n := 0; len(w.cores[0].view.Members()) != 2 || w.cores[0].view.Members()[1].Incarnation != 77; n++ {
		assert.Assert(t, n < 1000)
		w.advance(10 * time.Millisecond)
	}
	w.call(0, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	w.advance(15 * time.Second)
	assert.Assert(t, w.exits[0])
	m, ok := w.cores[1].view.Lookup(1)
	assert.Assert(t, ok && m.Incarnation == 77)
}

// Guards against a token that lets a second, different request run.
func TestTokenReuseByAnotherRequestDoesNotRun(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	w.send(0, callerA, d)
	w.advance(50 * time.Millisecond)
	code(t, w, message.Content)
	other := post(8, "another")
	other.echo = d.echo
	w.send(1, callerA, other)
	w.advance(50 * time.Millisecond)
	got := code(t, w, message.Unauthorized)
	assert.Equal(t, len(w.executions(message.POST)), 1)
	other.echo = got.m.Echo
	w.send(0, callerA, other)
	w.advance(50 * time.Millisecond)
	assert.Equal(t, len(w.executions(message.POST)), 2)
}

// Guards against a token of unknown origin being trusted, and against "not
// run" for a token whose key may have been retired.
func TestForeignTokens(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	forged := post(8, "claim")
	forged.echo = append([]byte(nil), d.echo...)
	forged.echo[20] ^= 1
	w.send(0, callerA, forged)
	code(t, w, message.Unauthorized)
	forged.echo[0] = 99
	w.send(0, callerA, forged)
	code(t, w, message.GatewayTimeout)
	assert.Equal(t, len(w.executions(message.POST)), 0)
}

// Guards against a shed non-idempotent request being lost although it may be
// sent to another backend server, and against one that runs after a refusal.
func TestShedRequest(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	for _, c := range w.cores {
		for range 20 {
			c.services["s"].budget.Deposit()
		}
	}
	sheds := 1
	w.serve = func(b received) *message.Outgoing {
		o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
		if sheds > 0 {
			sheds--
			o.Code = message.ServiceUnavailable
		}
		return o
	}
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	w.send(0, callerA, d)
	w.advance(100 * time.Millisecond)
	code(t, w, message.Content)
	sent := w.executions(message.POST)
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, sent[0].target != sent[1].target)

	sheds = 2
	d = post(8, "claim")
	d.echo = w.grant(0, callerA, d)
	w.send(0, callerA, d)
	w.advance(100 * time.Millisecond)
	got := code(t, w, message.ServiceUnavailable)
	w.send(1, callerA, d)
	w.advance(100 * time.Millisecond)
	again := code(t, w, message.ServiceUnavailable)
	assert.Equal(t, again.m.MaxAge, got.m.MaxAge)
	assert.Equal(t, len(w.executions(message.POST)), 4)
}

// Guards against a second execution when the response of the backend server
// is lost, and against work that nobody waits for.
func TestLostResponseIsOutcomeUnknown(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	w.serve = func(received) *message.Outgoing { return nil }
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	w.send(0, callerA, d)
	w.advance(3900 * time.Millisecond)
	assert.Equal(t, len(w.finals(callerA)), 1)
	w.advance(200 * time.Millisecond)
	code(t, w, message.GatewayTimeout)
	w.send(1, callerA, d)
	w.advance(50 * time.Millisecond)
	code(t, w, message.GatewayTimeout)
	sent := w.executions(message.POST)
	assert.Equal(t, len(sent), 1)
	resets := w.executions(message.Empty)
	assert.Equal(t, len(resets), 1)
	assert.Equal(t, resets[0].m.Type, message.Reset)
	assert.Equal(t, resets[0].m.ID, sent[0].m.ID)
}

// Guards against the load being steered to a busy instance: the token names
// one that owns a free slot.
func TestTokenNamesInstanceWithFreeSlot(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	w.run = time.Hour
	c := w.cores[0]
	free := w.pool(0).Free(spread.Short)
	for n := range free {
		w.send(0, callerN(n+10), get(uint16(n+10)))
	}
	assert.Equal(t, w.pool(0).Free(spread.Short), 0)
	c.services["s"].peers[0].free, c.services["s"].peers[0].heard = 2, w.now
	for n := range 2 {
		assert.Equal(t, w.issuer(w.grant(0, callerN(n), post(3, "x"))), 1)
	}
}

// Guards against an open feed that is ended by the start of another instance: the
// refresh of its registration reaches that one, which does not know the others yet.
// Found by seed 52 of the soak in e2e.
func TestJoiningInstanceEndsNoFeed(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	home := w.register(0)
	w.reset()
	joining := (home + 1) % 3
	w.add(3, joining, resolved("s", 6), 9)
	refresh := observe(2)
	w.send(joining, callerA, refresh)
	assert.Equal(t, len(w.finals(callerA)), 0)
	assert.Equal(t, w.cores[joining].counts.Unsynced, uint64(1))
	w.send((home+2)%3, callerA, refresh) // the retransmission
	w.advance(50 * time.Millisecond)
	code(t, w, message.Content)
	assert.Equal(t, w.cores[home].feeds.Len(), 1)
}

// Guards against "outcome unknown" for a request that has not run, from an
// instance that joins and does not know the other instances yet.
func TestJoiningInstanceDoesNotAnswerForOthers(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	owner := w.issuer(d.echo)
	joining := (owner + 1) % 3
	w.add(3, joining, resolved("s", 6), 9)
	w.reset()
	w.send(joining, callerA, d)
	assert.Equal(t, len(w.finals(callerA)), 0)
	w.send(owner, callerA, d)
	w.advance(50 * time.Millisecond)
	code(t, w, message.Content)
	assert.Equal(t, len(w.executions(message.POST)), 1)
}
