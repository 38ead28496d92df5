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

// publish passes documents to core i as the result of reading the platform.
func (tc *testCluster) publish(i int, upto ids.Revision, documents ...Publication) {
	tc.callCore(i, func(c *Core, out *Effects) {
		c.HandleConfig(tc.now, &ConfigEvent{Documents: documents, Revision: upto}, out)
	})
}

func (tc *testCluster) targetCount(i int) int {
	s := tc.cores[i].services["d"]
	if s == nil || s.removed {
		return 0
	}
	return len(s.config.Service.Targets)
}

// Guards against a configuration that reaches only the instance that read it,
// against a rollback by a stale read or peer, and against an invalid document
// that replaces a valid one.
func TestConfigurationSpreadsAndIsNeverRolledBack(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 3))
	tc.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0, 1)})
	tc.advance(3 * time.Second)
	for i := range tc.cores {
		assert.Equal(t, tc.targetCount(i), 2)
		assert.Equal(t, tc.cores[i].configStore.Revision(), ids.Revision(2))
	}
	tc.publish(1, 3, Publication{"service/d", 3, serviceDocument(0, 1, 2)})
	tc.publish(0, 2, Publication{"service/d", 2, serviceDocument(0, 1)})
	tc.advance(3 * time.Second)
	tc.publish(2, 1, Publication{"service/d", 1, serviceDocument(0)})
	tc.publish(2, 4, Publication{"service/d", 4, []byte("port = 0\n")})
	tc.callCore(2, func(c *Core, out *Effects) {
		c.HandlePeer(tc.now, &PeerEvent{Message: &peerwire.Message{From: "i0", Incarnation: 1, ConfigDelta: &peerwire.ConfigDelta{
			Upto: 1, Documents: []peerwire.Document{{Key: "service/d", Revision: 1, Value: serviceDocument(0)}}}}}, out)
	})
	tc.advance(3 * time.Second)
	for i := range tc.cores {
		assert.Equal(t, tc.targetCount(i), 3)
		assert.Equal(t, tc.cores[i].configStore.Revision(), ids.Revision(4))
	}
}

// Guards against a removed service that keeps requests in its queue, or
// responds "not run" to a request that has run.
func TestRemovedService(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 1))
	tc.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0)})
	delete(tc.cores[0].services, "s")
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	tc.send(0, callerA, d)
	tc.advance(50 * time.Millisecond)
	assertResponse(t, tc, message.Content)
	tc.backendRunTime = time.Second
	for n := range 6 {
		tc.send(0, callerN(n+1), get(1))
	}
	tc.publish(0, 3, Publication{"service/d", 3, nil})
	tc.advance(100 * time.Millisecond)
	for n := 4; n < 6; n++ {
		got := tc.responses(callerN(n + 1))
		assert.Equal(t, got[len(got)-1].m.Code, message.ServiceUnavailable)
	}
	tc.send(0, callerA, d)
	assertResponse(t, tc, message.Content)
	tc.send(0, callerA, post(9, "x"))
	assertResponse(t, tc, message.ServiceUnavailable)
	tc.advance(2 * time.Second)
	assert.Equal(t, len(tc.cores[0].liveRequests), 0)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
}

// Guards against an instance that joins without a configuration, or with an old
// one, while its peers have a newer one.
func TestJoiningInstanceGetsConfigFromPeers(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 3))
	tc.publish(0, 2, Publication{"profile/standard", 1, []byte(profileDocument)}, Publication{"service/d", 2, serviceDocument(0, 1)})
	tc.advance(2 * time.Second)
	tc.paused[2] = true
	tc.advance(10 * time.Second)
	tc.startInstance(3, 2, testService("s", 3), 77)
	tc.paused[2] = false
	start := tc.now
	tc.dropPeerMessage = func(_, to ids.Instance, m *peerwire.Message) bool { // the membership view is complete before the configuration
		return to == "i2" && m.ConfigDelta != nil && tc.now.Sub(start) < 1500*time.Millisecond
	}
	for n := 0; tc.cores[2].membership.State() != peerwire.Serving; n++ {
		assert.Assert(t, n < 1000, "did not join within 10 s")
		tc.advance(10 * time.Millisecond)
	}
	assert.Equal(t, tc.targetCount(2), 2)
}
