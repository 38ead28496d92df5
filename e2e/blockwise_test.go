package e2e

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// Guards against a block-wise transfer that the default go-coap client cannot
// complete because the response is a separate response or its blocks are from
// different representations. A large certificate has 60 blocks.
func TestDefaultClientFetchesLargeContent(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	local := &net.UDPAddr{IP: net.IPv4(127, byte(f.firstNetwork+3), 1, 9)}
	cc, err := udp.Dial(fmt.Sprintf("127.%d.1.1:5704", f.firstNetwork+2), options.WithDialer(&net.Dialer{LocalAddr: local}))
	assert.NilError(t, err)
	defer func() { _ = cc.Close() }()
	for n := range 20 {
		path := fmt.Sprintf("/certificates/%d", n)
		if n%5 == 0 {
			path = fmt.Sprintf("/certificates/large%d", n)
		}
		id := wire.ID{Service: "certificate", Caller: "default", Operation: uint64(n), Attempt: 1}.String()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		r, err := cc.Get(ctx, path, message.Option{ID: message.URIQuery, Value: []byte("id=" + id)})
		assert.NilError(t, err, path)
		body, err := r.ReadBody()
		assert.NilError(t, err)
		_, err = wire.Verify(body, "certificate", id)
		assert.NilError(t, err, path)
		cancel()
	}
}
