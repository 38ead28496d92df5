package core

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
	"gotest.tools/v3/assert"
)

const (
	second = ids.Time(time.Second)
	ms     = ids.Time(time.Millisecond)
	epoch  = 1_700_000_000 * second
)

// testCluster simulates several cores and the network between them: datagrams
// and peer messages arrive after one millisecond, backend servers respond after
// their run time.
type testCluster struct {
	t               assert.TestingT
	now             ids.Time
	cores           []*Core
	paused          map[int]bool
	dropPeerMessage func(from, to ids.Instance, m *peerwire.Message) bool // reports whether a peer message is lost
	scheduled       []scheduledCall
	backendRunTime  time.Duration
	// backendResponse returns the response of a backend server, nil for no
	// response. If it is not set, backend servers respond 2.05.
	backendResponse func(b backendMessage) *message.Outgoing
	backendReceived []backendMessage
	replies         []callerReply
	ackConfirmables bool // callers acknowledge confirmable messages
	exited          map[int]bool
}

type scheduledCall struct {
	at  ids.Time
	run func()
}

// backendMessage is a datagram that reached a backend server.
type backendMessage struct {
	at     ids.Time
	core   int
	target ids.Target
	m      message.Message
}

// callerReply is a datagram that reached a caller.
type callerReply struct {
	at     ids.Time
	core   int
	caller ids.Endpoint
	m      message.Message
}

func testKeys(t assert.TestingT) *admission.Keyring {
	k, err := admission.NewKeyring(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return k
}

func endpoint(s string) ids.Endpoint { return netip.MustParseAddrPort(s) }

// testService returns a service with n targets of 2 slots.
func testService(name ids.Service, n int) *config.Resolved {
	r := &config.Resolved{
		Service: config.Service{Name: name, Profile: "p"},
		Profile: config.Profile{Name: "p",
			Spread: config.Spread{LongShare: 0.6, LongFactor: 8},
			Protect: config.Protect{Deadline: 4 * time.Second, QueueTime: time.Second, QueueLength: 100, RetryRatio: 0.1,
				MaxFeeds: 1000, Idempotent: []string{"GET"}, RetryAfterMin: time.Second, RetryAfterMax: 10 * time.Second},
		},
	}
	for i := range n {
		r.Service.Targets = append(r.Service.Targets, config.Target{
			Name: ids.Target(fmt.Sprintf("t%d", i)), DataCentre: "dc", Slots: 2,
			Address: endpoint(fmt.Sprintf("198.51.100.%d:5683", i+1)),
		})
	}
	return r
}

// newTestCluster starts n instances that serve r and waits until they have
// joined.
func newTestCluster(t assert.TestingT, n int, r *config.Resolved) *testCluster {
	tc := &testCluster{t: t, now: epoch, backendRunTime: 10 * time.Millisecond, paused: map[int]bool{}, exited: map[int]bool{}}
	for i := range n {
		tc.startInstance(n, i, r, ids.Incarnation(i+1))
	}
	tc.advance(6 * time.Second)
	for _, c := range tc.cores {
		assert.Equal(t, c.membership.State(), peerwire.Serving)
		assert.Equal(t, len(c.membership.Serving()), n)
	}
	tc.clearRecords()
	return tc
}

func (tc *testCluster) startInstance(n, i int, r *config.Resolved, incarnation ids.Incarnation) {
	self := Self{ID: instanceID(i), Incarnation: incarnation, DataCentre: "dc", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Linger: time.Second}
	for k := range n {
		if k != i {
			self.Seeds = append(self.Seeds, member.Seed{ID: instanceID(k), DataCentre: "dc", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 9000+k)})
		}
	}
	c := New(self, testKeys(tc.t), 42)
	c.begin(tc.now, new(Effects))
	c.installService(r)
	if i < len(tc.cores) {
		tc.cores[i] = c
		return
	}
	tc.cores = append(tc.cores, c)
}

func instanceID(i int) ids.Instance { return ids.Instance(fmt.Sprintf("i%d", i)) }

func (tc *testCluster) clearRecords() { tc.backendReceived, tc.replies = nil, nil }

func (tc *testCluster) schedule(d time.Duration, do func()) {
	tc.scheduled = append(tc.scheduled, scheduledCall{tc.now.Add(d), do})
}

// advance moves the clock in steps of a millisecond and ticks every 10 ms.
func (tc *testCluster) advance(d time.Duration) {
	for end := tc.now.Add(d); tc.now < end; {
		tc.now += ms
		due := slices.Clone(tc.scheduled)
		tc.scheduled = tc.scheduled[:0]
		for _, p := range due {
			if p.at <= tc.now {
				p.run()
			} else {
				tc.scheduled = append(tc.scheduled, p)
			}
		}
		if tc.now%(10*ms) == 0 {
			for i := range tc.cores {
				tc.callCore(i, func(c *Core, out *Effects) { c.Tick(tc.now, out) })
			}
		}
	}
}

// callCore calls core i unless it is paused, and carries out the effects.
func (tc *testCluster) callCore(i int, f func(*Core, *Effects)) {
	if tc.paused[i] {
		return
	}
	var out Effects
	f(tc.cores[i], &out)
	for k := range out.List {
		tc.applyEffect(i, &out.List[k])
	}
}

func decode(t assert.TestingT, o *message.Outgoing) message.Message {
	raw, err := message.Encode(nil, o)
	assert.NilError(t, err)
	var m message.Message
	assert.NilError(t, message.Decode(raw, &m))
	return m
}

func (tc *testCluster) applyEffect(i int, e *Effect) {
	switch e.Kind {
	case ToCaller:
		r := callerReply{tc.now, i, e.Endpoint, decode(tc.t, &e.Datagram)}
		tc.replies = append(tc.replies, r)
		if tc.ackConfirmables && r.m.Type == message.Confirmable {
			tc.schedule(time.Millisecond, func() { tc.sendEmpty(i, r.caller, message.Acknowledgement, r.m.ID) })
		}
	case ToBackend:
		tc.deliverToBackend(backendMessage{tc.now, i, e.Target, decode(tc.t, &e.Datagram)}, e.Endpoint)
	case ToPeer:
		tc.deliverPeerMessage(i, e.Instance, e.PeerMessage)
	case WatchConfig:
		if !e.Watch {
			tc.schedule(time.Millisecond, func() {
				tc.callCore(i, func(c *Core, out *Effects) { c.HandleConfig(tc.now, &ConfigEvent{}, out) })
			})
		}
	case Exit:
		tc.exited[i] = true
		tc.paused[i] = true
	}
}

func (tc *testCluster) deliverPeerMessage(from int, to ids.Instance, m *peerwire.Message) {
	if tc.dropPeerMessage != nil && tc.dropPeerMessage(instanceID(from), to, m) {
		return
	}
	raw, err := peerwire.Encode(nil, m)
	assert.NilError(tc.t, err)
	tc.schedule(time.Millisecond, func() {
		var got peerwire.Message
		assert.NilError(tc.t, peerwire.Decode(raw, &got))
		e := &PeerEvent{Message: &got}
		if got.Relay != nil {
			e.RelayedDatagram = new(message.Message)
			assert.NilError(tc.t, message.Decode(got.Relay.Datagram, e.RelayedDatagram))
		}
		for k := range tc.cores {
			if instanceID(k) == to {
				tc.callCore(k, func(c *Core, out *Effects) { c.HandlePeer(tc.now, e, out) })
			}
		}
	})
}

func (tc *testCluster) deliverToBackend(b backendMessage, from ids.Endpoint) {
	if b.m.Code == message.Empty {
		tc.backendReceived = append(tc.backendReceived, b)
		return
	}
	tc.backendReceived = append(tc.backendReceived, b)
	o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token, Payload: []byte("ok")}
	if b.m.HasObserve && b.m.Observe == 0 {
		o.SetObserve, o.Observe = true, tc.observeValue()
	}
	if tc.backendResponse != nil {
		o = tc.backendResponse(b)
	}
	if o != nil && b.m.Type == message.Confirmable {
		tc.schedule(tc.backendRunTime, func() { tc.fromBackend(b.core, from, o) })
	}
}

// observeValue returns the current Observe value of backend servers, which is
// derived from the clock.
func (tc *testCluster) observeValue() uint32 { return uint32(tc.now/ms) & 0xffffff }

func (tc *testCluster) fromBackend(core int, from ids.Endpoint, o *message.Outgoing) {
	m := decode(tc.t, o)
	tc.callCore(core, func(c *Core, out *Effects) { c.HandleBackend(tc.now, &BackendEvent{From: from, Message: &m}, out) })
}

// testRequest describes a request datagram.
type testRequest struct {
	code           message.Code
	id             uint16
	token          byte
	observe        int // -1 for no Observe option
	path           string
	echo           []byte
	payload        string
	nonConfirmable bool
}

func get(id uint16) testRequest {
	return testRequest{code: message.GET, id: id, token: byte(id), observe: -1, path: "x"}
}

func post(id uint16, payload string) testRequest {
	return testRequest{code: message.POST, id: id, token: byte(id), observe: -1, path: "x", payload: payload}
}

func (d testRequest) encode(t assert.TestingT) message.Message {
	first := byte(0x41)
	if d.nonConfirmable {
		first = 0x51
	}
	raw := []byte{first, byte(d.code), byte(d.id >> 8), byte(d.id), d.token}
	delta := byte(11)
	if d.observe >= 0 {
		raw = append(raw, 0x61, byte(d.observe))
		delta = 5
	}
	raw = append(raw, delta<<4|byte(len(d.path)))
	raw = append(raw, d.path...)
	if d.payload != "" {
		raw = append(append(raw, 0xff), d.payload...)
	}
	var m message.Message
	assert.NilError(t, message.Decode(raw, &m))
	return decode(t, &message.Outgoing{Template: raw, Type: m.Type, ID: m.ID, Token: m.Token, Echo: d.echo})
}

var callerA = endpoint("192.0.2.1:4000")

func callerN(n int) ids.Endpoint {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n)}), uint16(4000+n))
}

// send delivers a request to core i.
func (tc *testCluster) send(i int, caller ids.Endpoint, d testRequest) {
	m := d.encode(tc.t)
	tc.sendMessage(i, caller, &m)
}

func (tc *testCluster) sendMessage(i int, caller ids.Endpoint, m *message.Message) {
	tc.callCore(i, func(c *Core, out *Effects) {
		for s := range c.services {
			c.HandleCaller(tc.now, &CallerEvent{Service: s, Caller: caller, Message: m}, out)
		}
	})
}

// sendEmpty delivers an ACK or RST to core i.
func (tc *testCluster) sendEmpty(i int, caller ids.Endpoint, kind message.Type, id uint16) {
	m := decode(tc.t, &message.Outgoing{Type: kind, ID: id})
	tc.sendMessage(i, caller, &m)
}

// pool returns the pool of service s at core i.
func (tc *testCluster) pool(i int) *spread.Pool {
	tc.cores[i].refreshOwnership(tc.cores[i].services["s"])
	return tc.cores[i].services["s"].pool
}

// responses returns the replies to a caller except empty messages.
func (tc *testCluster) responses(caller ids.Endpoint) []callerReply {
	var list []callerReply
	for _, r := range tc.replies {
		if r.caller == caller && r.m.Code != message.Empty {
			list = append(list, r)
		}
	}
	return list
}

// receivedByBackends returns the messages with the given code that backend
// servers received.
func (tc *testCluster) receivedByBackends(code message.Code) []backendMessage {
	var list []backendMessage
	for _, b := range tc.backendReceived {
		if b.m.Code == code {
			list = append(list, b)
		}
	}
	return list
}

// requestToken obtains an admission token for caller through core i.
func (tc *testCluster) requestToken(i int, caller ids.Endpoint, d testRequest) []byte {
	before := len(tc.responses(caller))
	d.echo = nil
	tc.send(i, caller, d)
	tc.advance(5 * time.Millisecond)
	got := tc.responses(caller)
	assert.Assert(tc.t, len(got) > before, "no response")
	last := got[len(got)-1].m
	assert.Equal(tc.t, last.Code, message.Unauthorized)
	assert.Equal(tc.t, len(last.Echo), admission.TokenSize)
	return last.Echo
}

// tokenIssuer returns the index of the core that a token names.
func (tc *testCluster) tokenIssuer(echo []byte) int {
	token, v := testKeys(tc.t).Parse(echo, "s")
	assert.Equal(tc.t, v, admission.Valid)
	return int(token.Incarnation) - 1
}
