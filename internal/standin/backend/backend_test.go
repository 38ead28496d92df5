package backend

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

func start(t *testing.T, addr string, run time.Duration) (*Group, *client.Conn) {
	t.Helper()
	g, err := Start(Options{
		Services: []config.Service{{Name: "counter", Targets: []config.Target{{Name: "t", Address: netip.MustParseAddrPort(addr), Slots: 2}}}},
		RunTime:  map[string]time.Duration{"counter": run}, LongRunFactor: 50, QueueLimit: 1, FeedInterval: 50 * time.Millisecond,
		DrainGrace: 100 * time.Millisecond, ColdPeriod: time.Second,
	})
	assert.NilError(t, err)
	t.Cleanup(g.Close)
	cc, err := udp.Dial(addr, options.WithTransmission(16, time.Second, 2),
		options.WithLimitClientParallelRequest(16), options.WithLimitClientEndpointParallelRequest(16))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = cc.Close() })
	return g, cc
}

func newGet(ctx context.Context, cc *client.Conn, id string) (*pool.Message, error) {
	m, err := cc.NewGetRequest(ctx, "/depots/1")
	if err != nil {
		return nil, err
	}
	m.AddQuery("id=" + id)
	return m, nil
}

// Guards against a backend server that runs more requests at once than it has
// slots, queues more than the limit, or counts a rejected request or one of
// another service as executed.
func TestSlotsQueueAndShedding(t *testing.T) {
	g, cc := start(t, "127.83.0.1:5811", 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var mu sync.Mutex
	got := map[codes.Code]int{}
	var wg sync.WaitGroup
	for _, id := range strings.Fields("counter.a.1.1 counter.a.2.1 counter.a.3.1 counter.a.4.1 counter.a.5.1 slip.a.6.1") {
		wg.Go(func() {
			m, err := newGet(ctx, cc, id)
			assert.NilError(t, err)
			r, err := cc.Do(m)
			assert.NilError(t, err)
			mu.Lock()
			defer mu.Unlock()
			got[r.Code()]++
		})
	}
	wg.Wait()
	assert.DeepEqual(t, got, map[codes.Code]int{codes.Content: 3, codes.ServiceUnavailable: 2, codes.NotFound: 1})
	c := g.Counts().Targets["counter/t"]
	assert.Equal(t, c.MaxRunning, 2)
	assert.Equal(t, c.Executions, 3)
	assert.Equal(t, c.WrongService, 1)
	assert.Equal(t, len(g.Counts().Executions), 3)
}

// Guards against a cancelled or expired request that keeps its slot.
func TestCancelAndDeadline(t *testing.T) {
	g, cc := start(t, "127.83.0.2:5811", time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	m, err := newGet(ctx, cc, "counter.a.1.1")
	assert.NilError(t, err)
	m.SetOptionUint32(wire.DeadlineOption, 50)
	r, err := cc.Do(m)
	assert.NilError(t, err)
	assert.Equal(t, r.Code(), codes.GatewayTimeout)

	raw, err := net.Dial("udp4", "127.83.0.2:5811")
	assert.NilError(t, err)
	defer raw.Close()
	get := append([]byte{0x41, 0x01, 0x12, 0x34, 0x77, 0xdd, 0x02, 0x03}, "id=counter.a.2.1"...) // CON GET, Uri-Query
	_, err = raw.Write(get)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = raw.Write([]byte{0x70, 0x00, 0x12, 0x34}) // RST with the same message id
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	c := g.Counts()
	assert.Equal(t, c.Targets["counter/t"].Cancelled, 1)
	assert.Equal(t, c.Targets["counter/t"].Expired, 1)
	assert.Equal(t, c.Executions["counter.a.2.1"].Count, 1)
	assert.Equal(t, c.Executions["counter.a.2.1"].Ended, 0)
}

// Guards against a drain that the health endpoint does not report, or that leaves
// feeds open after the grace period.
func TestDrain(t *testing.T) {
	g, cc := start(t, "127.83.0.3:5811", time.Millisecond)
	h := httptest.NewServer(g.Handler())
	defer h.Close()
	ended := make(chan codes.Code, 1)
	_, err := cc.Observe(context.Background(), "/depots/1", func(m *pool.Message) {
		if m.Code() != codes.Content {
			ended <- m.Code()
		}
	}, message.Option{ID: message.URIQuery, Value: []byte("id=counter.a.1.1")})
	assert.NilError(t, err)
	time.Sleep(120 * time.Millisecond)
	assert.Assert(t, g.Counts().Targets["counter/t"].Readings >= 1)
	g.servers[0].applyControl(Control{State: Draining})
	resp, err := h.Client().Get(h.URL + "/health/counter/t")
	assert.NilError(t, err)
	defer resp.Body.Close()
	body := make([]byte, 100)
	n, _ := resp.Body.Read(body)
	assert.Assert(t, strings.Contains(string(body[:n]), `"status":"draining"`), "%s", body[:n])
	select {
	case code := <-ended:
		assert.Equal(t, code, codes.ServiceUnavailable)
	case <-time.After(2 * time.Second):
		t.Fatal("feed is still open after the drain grace period")
	}
	assert.Equal(t, g.Counts().Targets["counter/t"].FeedsClosedByDrain, 1)
}
