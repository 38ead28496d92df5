package forwarder

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/internal/settings"
)

// BenchmarkLogDecision measures the cost of logging a decision, up to the ring buffer
// of the log writer.
func BenchmarkLogDecision(b *testing.B) {
	at := netip.MustParseAddrPort("127.0.0.1:0")
	f, err := New(settings.Settings{Passthrough: &settings.Passthrough{Instance: "a", DataCentre: "a", Listen: at, FlowLifetime: time.Minute}}, io.Discard, io.Discard)
	assert.NilError(b, err)
	p := &passthrough.Packet{Flags: passthrough.SYN}
	d := &passthrough.Decision{Reason: passthrough.Replaced, Target: "i-1234567890", Service: "counter"}
	now := ids.Time(1)
	for b.Loop() {
		now = now.Add(time.Second)
		f.logDecision(now, p, d)
	}
}
