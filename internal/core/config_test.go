package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"gotest.tools/v3/assert"
)

const profileDocument = "[protect]\ndeadline_ms = 4000\n"

func serviceDocument(targets ...int) []byte {
	var b strings.Builder
	b.WriteString("address = \"0.0.0.0\"\nport = 5683\nprofile = \"standard\"\n")
	for _, n := range targets {
		fmt.Fprintf(&b, "[[target]]\nname = \"t%d\"\ndata_centre = \"dc\"\naddress = \"198.51.100.%d:5683\"\n", n, n+1)
	}
	return []byte(b.String())
}

// publish lets the platform return documents to core i.
func (w *world) publish(i int, upto ids.Revision, documents ...Publication) {
	w.call(i, func(c *Core, out *Effects) {
		c.HandleConfig(w.now, &ConfigEvent{Documents: documents, Revision: upto}, out)
	})
}

func (w *world) targets(i int) int {
	s := w.cores[i].services["d"]
	if s == nil || s.removed {
		return 0
	}
	return len(s.config.Service.Targets)
}

// Guards against a configuration that reaches only the instance that read it,
// against a roll-back by a stale platform or peer, and against an invalid
// document replacing a good one.
func TestConfigurationSpreadsAndIsNeverRolledBack(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 3))
	w.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0, 1)})
	w.advance(3 * time.Second)
	for i := range w.cores {
		assert.Equal(t, w.targets(i), 2)
		assert.Equal(t, w.cores[i].store.Revision(), ids.Revision(2))
	}
	w.publish(1, 3, Publication{"service/d", 3, serviceDocument(0, 1, 2)})
	w.publish(0, 2, Publication{"service/d", 2, serviceDocument(0, 1)})
	w.advance(3 * time.Second)
	w.publish(2, 1, Publication{"service/d", 1, serviceDocument(0)})
	w.publish(2, 4, Publication{"service/d", 4, []byte("port = 0\n")})
	w.call(2, func(c *Core, out *Effects) {
		c.HandlePeer(w.now, &PeerEvent{Message: &peerwire.Message{From: "i0", Incarnation: 1, ConfigDelta: &peerwire.ConfigDelta{
			Upto: 1, Documents: []peerwire.Document{{Key: "service/d", Revision: 1, Value: serviceDocument(0)}}}}}, out)
	})
	w.advance(3 * time.Second)
	for i := range w.cores {
		assert.Equal(t, w.targets(i), 3)
		assert.Equal(t, w.cores[i].store.Revision(), ids.Revision(4))
	}
}

// Guards against a removed service that keeps requests waiting or still tells
// "not run" for one that has run.
func TestRemovedService(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 1))
	w.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0)})
	delete(w.cores[0].services, "s")
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	w.send(0, callerA, d)
	w.advance(50 * time.Millisecond)
	code(t, w, message.Content)
	w.run = time.Second
	for n := range 6 {
		w.send(0, callerN(n+1), get(1))
	}
	w.publish(0, 3, Publication{"service/d", 3, nil})
	w.advance(100 * time.Millisecond)
	for n := 4; n < 6; n++ {
		got := w.finals(callerN(n + 1))
		assert.Equal(t, got[len(got)-1].m.Code, message.ServiceUnavailable)
	}
	w.send(0, callerA, d)
	code(t, w, message.Content)
	w.send(0, callerA, post(9, "x"))
	code(t, w, message.ServiceUnavailable)
	w.advance(2 * time.Second)
	assert.Equal(t, len(w.cores[0].live), 0)
	assert.Equal(t, len(w.executions(message.POST)), 1)
}

// Guards against an instance that joins with an old or no configuration while
// its peers have a newer one.
func TestJoiningInstanceLearnsFromPeers(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 3))
	w.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0, 1)})
	w.advance(2 * time.Second)
	w.paused[2] = true
	w.advance(10 * time.Second)
	w.add(3, 2, resolved("s", 3), 77)
	w.paused[2] = false
	start := w.now
	w.cut = func(_, to ids.Instance, m *peerwire.Message) bool { // the view is complete before the configuration
		return to == "i2" && m.ConfigDelta != nil && w.now.Sub(start) < 1500*time.Millisecond
	}
	for n := 0; w.cores[2].view.State() != peerwire.Serving; n++ {
		assert.Assert(t, n < 1000, "did not join within 10 s")
		w.advance(10 * time.Millisecond)
	}
	assert.Equal(t, w.targets(2), 2)
}
