package caller

import (
	"context"
	"encoding/binary"
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
	coapnet "github.com/plgd-dev/go-coap/v3/net"
	"github.com/plgd-dev/go-coap/v3/net/responsewriter"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/standin/backend"
	"arbutusdock.example/arbutusdock/internal/standin/fabric"
	"arbutusdock.example/arbutusdock/internal/standin/platform"
	"arbutusdock.example/arbutusdock/internal/standin/report"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

var ports = map[string]uint16{"counter": 5801, "slip": 5802, "alarm": 5803, "certificate": 5804}

// startBackends starts one backend server for each service at ip.
func startBackends(t *testing.T, ip string) *backend.Group {
	t.Helper()
	opt := backend.Options{
		RunTime: map[string]time.Duration{}, LongRunFactor: 100, QueueLimit: 50, FeedInterval: 100 * time.Millisecond,
		DrainGrace: time.Second, ColdPeriod: time.Second,
	}
	for name, port := range ports {
		opt.RunTime[name] = 2 * time.Millisecond
		opt.Services = append(opt.Services, config.Service{Name: ids.Service(name), Targets: []config.Target{{
			Name: "t", Address: netip.AddrPortFrom(netip.MustParseAddr(ip), port), Slots: 2,
		}}})
	}
	g, err := backend.Start(opt)
	assert.NilError(t, err)
	t.Cleanup(g.Close)
	return g
}

// runMix generates the load of a user against the public address ip and returns
// the counters.
func runMix(t *testing.T, user, ip string, change func(*Options)) wire.CallerResult {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sources, feeds, err := Mix(user, 300, 6)
	assert.NilError(t, err)
	opt := Options{
		User: user, PublicIPs: map[string]netip.Addr{"dc1": netip.MustParseAddr(ip)}, Ports: ports, Sources: sources, Feeds: feeds,
		FirstLocalIP: netip.MustParseAddr("127.82.3.1"), Callers: 3, Duration: 1500 * time.Millisecond, Deadline: time.Second,
		RefreshInterval: 400 * time.Millisecond, SilenceTimeout: time.Second, ZipfExponent: 1.2, Seed: 7,
	}
	if change != nil {
		change(&opt)
	}
	g, err := New(ctx, opt)
	assert.NilError(t, err)
	return g.Run(ctx)
}

// skippedReadings returns the number of readings that the backend servers did not send
// because the next one was due before they came to it.
func skippedReadings(g *backend.Group) (n int) {
	for _, c := range g.Counts().Targets {
		n += c.SkippedReadings
	}
	return n
}

// Guards against failures that the stand-ins themselves cause: with callers
// connected directly to the backend servers, no guarantee may be violated.
func TestCallerAndBackend(t *testing.T) {
	g := startBackends(t, "127.82.0.1")
	for _, user := range []string{"board", "kelani"} {
		r := runMix(t, user, "127.82.0.1", nil)
		v := report.Evaluate(report.Input{Backends: []wire.BackendCounts{g.Counts()}, Callers: []wire.CallerResult{r}})
		assert.Assert(t, v.OK(), "%s %v", v.Line(), v.Details)
		assert.Equal(t, r.Feeds.Opened, 6)
		assert.Assert(t, r.Feeds.Missing <= skippedReadings(g), "%+v, skipped by the servers: %d", r.Feeds, skippedReadings(g))
		assert.Assert(t, r.Feeds.Refreshes > 0 && r.Feeds.Readings > 60, "%+v", r.Feeds)
		if user == "kelani" {
			assert.Assert(t, r.Classes[LargeCertificate] != nil, "no transfer of many blocks: %+v", r.Classes[Certificate])
		}
	}
}

// forward acts as an instance without admission control: it forwards datagrams
// between callers and the backend servers at one IP address, with one upstream socket
// for each caller and port. It drops the replies for which drop returns true; a nil
// drop drops none.
func forward(t *testing.T, ip, to string, drop func(reply []byte) bool) {
	t.Helper()
	for _, port := range ports {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: int(port)})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		upstreams := map[netip.AddrPort]*net.UDPConn{}
		go func() {
			buf := make([]byte, 2000)
			for {
				n, from, err := c.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				if upstreams[from] == nil {
					u, _ := net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.ParseIP(to), Port: int(port)})
					t.Cleanup(func() { _ = u.Close() })
					upstreams[from] = u
					go func() {
						replyBuf := make([]byte, 2000)
						for n, err := u.Read(replyBuf); err == nil; n, err = u.Read(replyBuf) {
							if drop == nil || !drop(replyBuf[:n]) {
								_, _ = c.WriteToUDPAddrPort(replyBuf[:n], from)
							}
						}
					}()
				}
				_, _ = upstreams[from].Write(buf[:n])
			}
		}()
	}
}

// retransmissionsOnly gives the message layer time for all of its retransmissions. A
// caller that sends a request again before that, as a new message, runs it twice where
// no instance compares admission tokens.
func retransmissionsOnly(o *Options) {
	o.AckTimeout = defaultAckTimeout
	o.Deadline = o.maxTransmitSpan()
}

// Guards against a request that runs twice because the first two transmissions of its
// response are lost: the third one arrives up to 2.25 s after the request. Found by
// TestCallerThroughFabric with a deadline of 1 s, in which this is left to chance.
func TestLostResponsesRunNothingTwice(t *testing.T) {
	g := startBackends(t, "127.82.0.3")
	var mu sync.Mutex
	transmissions := map[uint16]int{}
	forward(t, "127.82.1.2", "127.82.0.3", func(reply []byte) bool {
		if codes.Code(reply[1]) != codes.Changed {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		id := binary.BigEndian.Uint16(reply[2:])
		transmissions[id]++
		return transmissions[id] <= 2
	})
	r := runMix(t, "kelani", "127.82.1.2", func(o *Options) {
		retransmissionsOnly(o)
		o.Sources, o.Feeds = []Source{{Class: CheckIn, Service: "alarm", Rate: 40}}, nil
		o.Duration = time.Second
	})
	v := report.Evaluate(report.Input{Backends: []wire.BackendCounts{g.Counts()}, Callers: []wire.CallerResult{r}})
	assert.Assert(t, v.OK(), "%s %v", v.Line(), v.Details)
	assert.Assert(t, r.Classes[CheckIn].Started > 10)
}

// Guards against a fabric that corrupts or permanently drops traffic: despite
// losses, duplicates and reordering, go-coap's retransmissions must get a response
// to each request.
func TestCallerThroughFabric(t *testing.T) {
	g := startBackends(t, "127.82.0.2")
	forward(t, "127.82.1.1", "127.82.0.2", nil)
	p, err := platform.New("", 0)
	assert.NilError(t, err)
	p.Set(platform.Instance{ID: "i1", DataCentre: "dc1", CallerIP: "127.82.1.1"})
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	opt := fabric.Options{
		PlatformURL: s.URL, PublicIPs: map[string]netip.Addr{"dc1": netip.MustParseAddr("127.82.2.1")},
		PollInterval: 50 * time.Millisecond, IdleTimeout: time.Minute, Seed: 1,
	}
	for _, port := range ports {
		opt.Ports = append(opt.Ports, port)
	}
	f := fabric.New(opt)
	f.SetFaults(fabric.Faults{Loss: 0.01, Duplicate: 0.02, Reorder: 0.02, DelayMS: map[string]float64{"dc1": 1}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(200 * time.Millisecond)

	r := runMix(t, "kelani", "127.82.2.1", retransmissionsOnly)
	v := report.Evaluate(report.Input{Backends: []wire.BackendCounts{g.Counts()}, Callers: []wire.CallerResult{r}})
	assert.Assert(t, v.OK(), "%s %v", v.Line(), v.Details)
	n := f.Counts()
	assert.Assert(t, n.Lost > 0 && n.Duplicated > 0 && n.Reordered > 0, "%+v", n)
}

// Guards against a caller that repeats a claim after "outcome unknown", does not
// send the admission token, or does not retry after a 5.03.
func TestCallerHandlesRefusals(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{} // number of requests by kind, or by path and query
	handler := func(w *responsewriter.ResponseWriter[*client.Conn], r *pool.Message) {
		p, _ := r.Path()
		queries, _ := r.Queries()
		_, err := r.Echo()
		mu.Lock()
		defer mu.Unlock()
		m := w.Message()
		switch {
		case r.Code() == codes.POST && err != nil:
			seen["no token"]++
			m.SetCode(codes.Unauthorized)
			m.SetOptionBytes(message.Echo, []byte("token"))
		case r.Code() == codes.POST && seen["refused"] == 0:
			seen["refused"]++
			m.SetCode(codes.ServiceUnavailable)
			m.SetOptionUint32(message.MaxAge, 0)
			m.SetBody(strings.NewReader("not run"))
		case r.Code() == codes.POST:
			seen["unknown"]++
			m.SetCode(codes.GatewayTimeout)
		default:
			seen[p+" "+queries[1]]++
			m.SetCode(codes.NotFound)
		}
	}
	l, err := coapnet.NewListenUDP("udp4", "127.82.4.1:5801")
	assert.NilError(t, err)
	s := udp.NewServer(options.WithHandlerFunc(handler))
	t.Cleanup(func() { s.Stop(); _ = l.Close() })
	go func() { _ = s.Serve(l) }()

	r := runMix(t, "board", "127.82.4.1", func(o *Options) {
		o.Sources, o.Feeds = []Source{{Class: Claim, Service: "counter", Rate: 1000}}, nil
		o.Duration = 5 * time.Millisecond
		o.Callers = 1
	})
	n := r.Classes[Claim].Started
	assert.Assert(t, n > 0)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, r.Classes[Claim].Unknown, n)
	assert.Equal(t, seen["no token"], n+1, "each attempt asks for a token once")
	assert.Equal(t, seen["refused"], 1)
	assert.Equal(t, seen["unknown"], n, "no new run after an unknown outcome")
	assert.Equal(t, r.Classes[OutcomeQuery].Started, n)
	assert.Equal(t, len(r.Refused), 1)
}
