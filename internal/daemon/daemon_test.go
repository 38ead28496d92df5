package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/keys"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/syncbuf"
)

const profileText = `
[spread]
long_share = 0.6
long_factor = 8.0
slow_start_ms = 100
[protect]
deadline_ms = 5000
queue_time_ms = 1000
queue_length = 200
retry_ratio = 0.1
max_feeds = 100
idempotent = ["GET"]
retry_after_min_ms = 1000
retry_after_max_ms = 8000
`

// testSite consists of a platform, one backend server and several daemons on
// loopback.
type testSite struct {
	t              testing.TB
	dir            string
	ca             *keys.CA
	platform       *httptest.Server
	serviceAddress netip.AddrPort // only the port is used; each daemon has its own IP
	executed       atomic.Int64   // number of requests that the backend server has executed
	daemons        []*runningDaemon

	mu              sync.Mutex
	listedInstances []map[string]any
}

type runningDaemon struct {
	daemon    *Daemon
	ip        netip.Addr
	runResult chan error
	log       *syncbuf.Buffer
}

func newTestSite(t testing.TB, slots int) *testSite {
	s := &testSite{t: t, dir: t.TempDir(), serviceAddress: netip.AddrPortFrom(loopback, freePort(t))}
	var err error
	s.ca, err = keys.CreateCA(s.dir, "fleet", time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, keys.CreateAdmissionKey(s.dir, 1))
	backend := s.startBackend()
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"status":"ok","load":0}`)
	}))
	t.Cleanup(health.Close)
	service := fmt.Sprintf("port = %d\nprofile = \"p\"\n[[target]]\nname = \"t1\"\ndata_centre = \"a\"\naddress = %q\nhealth = %q\nslots = %d\n",
		s.serviceAddress.Port(), backend, health.URL, slots)
	s.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.servePlatform(w, r, service) }))
	t.Cleanup(s.platform.Close)
	return s
}

func (s *testSite) servePlatform(w http.ResponseWriter, r *http.Request, service string) {
	if r.URL.Path == "/v1/instances" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": s.listedInstances})
		return
	}
	documents := []any{}
	if r.URL.Query().Get("after") == "0" {
		documents = append(documents, map[string]any{"key": "profile/p", "revision": 1, "value": profileText},
			map[string]any{"key": "service/counter", "revision": 2, "value": service})
	} else if r.URL.Query().Get("wait") != "" {
		select { // a long poll that never returns new documents
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"upto": 2, "documents": documents})
}

// startBackend starts a CoAP server that responds 2.05 to each request, and
// returns its address.
func (s *testSite) startBackend() string {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	go func() {
		buf := make([]byte, 2048)
		var m message.Message
		for {
			n, from, err := c.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if message.Decode(buf[:n], &m) != nil || !m.Code.IsRequest() {
				continue
			}
			s.executed.Add(1)
			responseType := message.Acknowledgement
			if m.Type == message.NonConfirmable {
				responseType = message.NonConfirmable
			}
			out, _ := message.Encode(nil, &message.Outgoing{Type: responseType, Code: message.Content, ID: m.ID, Token: m.Token, Payload: []byte("done")})
			_, _ = c.WriteToUDPAddrPort(out, from)
		}
	}()
	return c.LocalAddr().String()
}

// startDaemon starts a daemon with the instance ID a<n> and the service IP
// 127.0.0.<10+n>.
func (s *testSite) startDaemon(n int, seeds ...settings.Seed) *runningDaemon {
	id := ids.Instance(fmt.Sprint("a", n))
	assert.NilError(s.t, s.ca.Issue(s.dir, id, time.Hour))
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(10 + n)})
	text := fmt.Sprintf(`instance = { id = %q, data_centre = "a", linger = "200ms" }
service.listen_ip = %q
peer.listen = "%s:0"
admin.listen = "127.0.0.1:0"
platform.url = %q
tls = { ca = "ca.crt", certificate = "%s.crt", key = "%s.key" }
admission = { signing_key = 1, key = [{ id = 1, file = "admission-1.key" }] }
`, id, ip, ip, s.platform.URL, id, id)
	config, err := settings.Parse([]byte(text))
	assert.NilError(s.t, err)
	config.Seeds = seeds
	for _, file := range []*string{&config.TLS.CA, &config.TLS.Certificate, &config.TLS.Key, &config.Admission.Keys[0].File} {
		*file = filepath.Join(s.dir, *file)
	}
	r := &runningDaemon{ip: ip, runResult: make(chan error, 1), log: new(syncbuf.Buffer)}
	r.daemon, err = New(config, io.Discard, r.log)
	assert.NilError(s.t, err)
	s.mu.Lock()
	s.listedInstances = append(s.listedInstances, map[string]any{"id": id, "data_centre": "a", "peer_addr": r.daemon.self.PeerAddr, "caller_ip": ip, "leaving": false})
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { r.runResult <- r.daemon.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-r.runResult
		if s.t.Failed() {
			s.t.Log(r.log.String())
		}
	})
	s.daemons = append(s.daemons, r)
	return r
}

func (r *runningDaemon) seed() settings.Seed {
	return settings.Seed{ID: r.daemon.self.ID, DataCentre: "a", Address: netip.MustParseAddrPort(r.daemon.self.PeerAddr)}
}

// testCaller is a CoAP client.
type testCaller struct {
	t             testing.TB
	conn          *net.UDPConn
	lastMessageID uint16
}

func newTestCaller(t testing.TB) *testCaller {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &testCaller{t: t, conn: c}
}

// request sends a request to one address and returns the response, ignoring empty
// ACKs. It returns false when there is none within wait.
func (c *testCaller) request(to netip.AddrPort, code message.Code, echo []byte, wait time.Duration) (message.Message, bool) {
	c.lastMessageID++
	token := message.Token{Bytes: [8]byte{byte(c.lastMessageID >> 8), byte(c.lastMessageID)}, Len: 2}
	out, err := message.Encode(nil, &message.Outgoing{Type: message.Confirmable, Code: code, ID: c.lastMessageID, Token: token, Echo: echo, Payload: []byte("lot 7")})
	assert.NilError(c.t, err)
	_, err = c.conn.WriteToUDPAddrPort(out, to)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.conn.SetReadDeadline(time.Now().Add(wait)))
	for {
		buf := make([]byte, 2048)
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return message.Message{}, false
		}
		var m message.Message
		assert.NilError(c.t, message.Decode(buf[:n], &m))
		if m.Token == token && m.Code.IsResponse() {
			return m, true
		}
	}
}

// getUntilSuccess repeats a GET until it succeeds, for at most 20 s.
func (c *testCaller) getUntilSuccess(to netip.AddrPort) message.Message {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if m, ok := c.request(to, message.GET, nil, 200*time.Millisecond); ok && m.Code == message.Content {
			return m
		}
	}
	c.t.Fatalf("no response from %s", to)
	return message.Message{}
}

// Guards against an instance that does not serve requests after its start, a
// non-idempotent request that is executed without an admission token or twice
// with the same one, and a graceful shutdown that does not complete.
func TestServesEndToEnd(t *testing.T) {
	s := newTestSite(t, 2)
	r := s.startDaemon(1)
	address := netip.AddrPortFrom(r.ip, s.serviceAddress.Port())
	c := newTestCaller(t)
	c.getUntilSuccess(address)
	before := s.executed.Load()
	challenge, ok := c.request(address, message.POST, nil, time.Second)
	assert.Assert(t, ok && challenge.Code == message.Unauthorized && len(challenge.Echo) == 40, "%v %v", ok, challenge.Code)
	assert.Equal(t, s.executed.Load(), before)
	for range 2 {
		response, ok := c.request(address, message.POST, challenge.Echo, time.Second)
		assert.Assert(t, ok && response.Code == message.Content, "%v %v", ok, response.Code)
	}
	assert.Equal(t, s.executed.Load(), before+1)
	r.daemon.Stop()
	select {
	case err := <-r.runResult:
		assert.NilError(t, err)
		r.runResult <- nil
	case <-time.After(10 * time.Second):
		t.Fatal("graceful shutdown takes more than 10 s")
	}
}

// Guards against two instances that do not discover each other. When a retry
// with an admission token arrives at the instance that did not issue the token,
// that instance must relay it and the token must be accepted. Requests must still
// be served after the planned stop of the issuer.
func TestTwoInstances(t *testing.T) {
	s := newTestSite(t, 2)
	first := s.startDaemon(1)
	second := s.startDaemon(2, first.seed())
	firstAddress, secondAddress := netip.AddrPortFrom(first.ip, s.serviceAddress.Port()), netip.AddrPortFrom(second.ip, s.serviceAddress.Port())
	c := newTestCaller(t)
	c.getUntilSuccess(firstAddress)
	c.getUntilSuccess(secondAddress)
	requestWithToken := func(issuer, retryAddress netip.AddrPort) message.Code {
		challenge, ok := c.request(issuer, message.POST, nil, time.Second)
		assert.Assert(t, ok && challenge.Code == message.Unauthorized, "%v %v", ok, challenge.Code)
		response, ok := c.request(retryAddress, message.POST, challenge.Echo, time.Second)
		assert.Assert(t, ok)
		return response.Code
	}
	assert.Equal(t, requestWithToken(firstAddress, secondAddress), message.Content)
	assert.Equal(t, requestWithToken(secondAddress, firstAddress), message.Content)
	challenge, ok := c.request(firstAddress, message.POST, nil, time.Second)
	assert.Assert(t, ok)
	first.daemon.Stop()
	assert.NilError(t, <-first.runResult)
	first.runResult <- nil
	response, ok := c.request(secondAddress, message.POST, challenge.Echo, time.Second)
	assert.Assert(t, ok && response.Code == message.Content || response.Code == message.Unauthorized, "%v", response.Code)
	c.getUntilSuccess(secondAddress)
}

// Guards against missing admin endpoints and against invalid parameters that
// cause a crash.
func TestAdminEndpoints(t *testing.T) {
	s := newTestSite(t, 2)
	r := s.startDaemon(1)
	newTestCaller(t).getUntilSuccess(netip.AddrPortFrom(r.ip, s.serviceAddress.Port()))
	fetch := func(path string) (int, string) {
		response, err := http.Get("http://" + r.daemon.adminListener.Addr().String() + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body)
	}
	for path, want := range map[string]string{
		"/v1/state": `"Lifecycle":"serving"`,
		"/v1/explain?service=counter&caller=127.0.0.1:9&method=post":   `"Idempotent":false`,
		"/v1/explain?service=nothing&caller=127.0.0.1:9&method=%00%ff": `"Known":false`,
		"/debug/vars": `"core_late_responses_total": 0`,
	} {
		status, body := fetch(path)
		assert.Equal(t, status, http.StatusOK, "%s: %s", path, body)
		assert.Assert(t, strings.Contains(body, want), "%s: %s", path, body)
	}
	for _, path := range []string{"/v1/explain", "/v1/explain?service=counter&caller=x"} {
		status, _ := fetch(path)
		assert.Equal(t, status, http.StatusBadRequest)
	}
}

// Guards against network input that crashes the process: sends random and
// malformed bytes to every address of a serving instance.
func TestMalformedInput(t *testing.T) {
	s := newTestSite(t, 2)
	r := s.startDaemon(1)
	address := netip.AddrPortFrom(r.ip, s.serviceAddress.Port())
	c := newTestCaller(t)
	c.getUntilSuccess(address)
	rng := rand.New(rand.NewPCG(1, 2))
	backend := netip.AddrPortFrom(r.ip, r.daemon.backendSocket.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	for range 2000 {
		data := make([]byte, rng.IntN(80))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		if len(data) > 0 && rng.IntN(4) > 0 {
			data[0] = 0x40 | data[0]&0x38 // version 1, so that more datagrams pass the check of the header
		}
		for _, to := range []netip.AddrPort{address, backend} {
			_, err := c.conn.WriteToUDPAddrPort(data, to)
			assert.NilError(t, err)
		}
	}
	for _, address := range []string{r.daemon.self.PeerAddr, r.daemon.adminListener.Addr().String()} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, _ = conn.Write(bytes.Repeat([]byte{0x16, 3, 1, 0xff}, 4096))
		_ = conn.Close()
	}
	c.getUntilSuccess(address)
	assert.Equal(t, r.daemon.loop.panics.Value(), int64(0))
	for range 3 { // a panic in the core affects one event only
		assert.Assert(t, r.daemon.runInCore(t.Context(), func() { panic("test") }))
	}
	c.getUntilSuccess(address)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // log lines are written by another goroutine
		if strings.Contains(r.log.String(), "msg=core-panic") {
			return poll.Success()
		}
		return poll.Continue("no line")
	})
	assert.Equal(t, strings.Count(r.log.String(), "msg=core-panic"), 1)
	assert.Assert(t, r.daemon.metrics.Counter("caller_malformed_dropped_total").Value() > 100)
	assert.Assert(t, r.daemon.metrics.Counter("backend_malformed_dropped_total").Value() > 100)
}
