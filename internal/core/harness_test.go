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

// world joins several cores by hand: datagrams and peer messages arrive after
// one millisecond, backend servers respond after their run time.
type world struct {
	t       assert.TestingT
	now     ids.Time
	cores   []*Core
	paused  map[int]bool
	cut     func(from, to ids.Instance, m *peerwire.Message) bool // drops a peer message
	pending []delivery
	run     time.Duration
	// serve overrides the response of a backend server; nil responds 2.05.
	serve   func(b received) *message.Outgoing
	atB     []received
	replies []reply
	acks    bool // callers acknowledge confirmable messages
	exits   map[int]bool
}

type delivery struct {
	at ids.Time
	do func()
}

// received is a datagram that reached a backend server.
type received struct {
	at     ids.Time
	core   int
	target ids.Target
	m      message.Message
}

// reply is a datagram that reached a caller.
type reply struct {
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

// resolved returns a service with n targets of 2 slots.
func resolved(name ids.Service, n int) *config.Resolved {
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

// newWorld starts n instances that serve r and waits until they have joined.
func newWorld(t assert.TestingT, n int, r *config.Resolved) *world {
	w := &world{t: t, now: epoch, run: 10 * time.Millisecond, paused: map[int]bool{}, exits: map[int]bool{}}
	for i := range n {
		w.add(n, i, r, ids.Incarnation(i+1))
	}
	w.advance(6 * time.Second)
	for _, c := range w.cores {
		assert.Equal(t, c.view.State(), peerwire.Serving)
		assert.Equal(t, len(c.view.Serving()), n)
	}
	w.reset()
	return w
}

func (w *world) add(n, i int, r *config.Resolved, run ids.Incarnation) {
	self := Self{ID: instanceID(i), Incarnation: run, DataCentre: "dc", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Linger: time.Second}
	for k := range n {
		if k != i {
			self.Seeds = append(self.Seeds, member.Seed{ID: instanceID(k), DataCentre: "dc", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 9000+k)})
		}
	}
	c := New(self, testKeys(w.t), 42)
	c.begin(w.now, new(Effects))
	c.install(r)
	if i < len(w.cores) {
		w.cores[i] = c
		return
	}
	w.cores = append(w.cores, c)
}

func instanceID(i int) ids.Instance { return ids.Instance(fmt.Sprintf("i%d", i)) }

func (w *world) reset() { w.atB, w.replies = nil, nil }

func (w *world) after(d time.Duration, do func()) {
	w.pending = append(w.pending, delivery{w.now.Add(d), do})
}

// advance moves the clock in steps of a millisecond and ticks every 10 ms.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now += ms
		due := slices.Clone(w.pending)
		w.pending = w.pending[:0]
		for _, p := range due {
			if p.at <= w.now {
				p.do()
			} else {
				w.pending = append(w.pending, p)
			}
		}
		if w.now%(10*ms) == 0 {
			for i := range w.cores {
				w.call(i, func(c *Core, out *Effects) { c.Tick(w.now, out) })
			}
		}
	}
}

// call calls core i unless it is paused, and carries out the effects.
func (w *world) call(i int, f func(*Core, *Effects)) {
	if w.paused[i] {
		return
	}
	var out Effects
	f(w.cores[i], &out)
	for k := range out.List {
		w.effect(i, &out.List[k])
	}
}

func decode(t assert.TestingT, o *message.Outgoing) message.Message {
	raw, err := message.Encode(nil, o)
	assert.NilError(t, err)
	var m message.Message
	assert.NilError(t, message.Decode(raw, &m))
	return m
}

func (w *world) effect(i int, e *Effect) {
	switch e.Kind {
	case ToCaller:
		r := reply{w.now, i, e.Endpoint, decode(w.t, &e.Datagram)}
		w.replies = append(w.replies, r)
		if w.acks && r.m.Type == message.Confirmable {
			w.after(time.Millisecond, func() { w.empty(i, r.caller, message.Acknowledgement, r.m.ID) })
		}
	case ToBackend:
		w.backend(received{w.now, i, e.Target, decode(w.t, &e.Datagram)}, e.Endpoint)
	case ToPeer:
		w.peer(i, e.Instance, e.PeerMessage)
	case WatchConfig:
		if !e.Watch {
			w.after(time.Millisecond, func() {
				w.call(i, func(c *Core, out *Effects) { c.HandleConfig(w.now, &ConfigEvent{}, out) })
			})
		}
	case Exit:
		w.exits[i] = true
		w.paused[i] = true
	}
}

func (w *world) peer(from int, to ids.Instance, m *peerwire.Message) {
	if w.cut != nil && w.cut(instanceID(from), to, m) {
		return
	}
	raw, err := peerwire.Encode(nil, m)
	assert.NilError(w.t, err)
	w.after(time.Millisecond, func() {
		var got peerwire.Message
		assert.NilError(w.t, peerwire.Decode(raw, &got))
		e := &PeerEvent{Message: &got}
		if got.Relay != nil {
			e.RelayedDatagram = new(message.Message)
			assert.NilError(w.t, message.Decode(got.Relay.Datagram, e.RelayedDatagram))
		}
		for k := range w.cores {
			if instanceID(k) == to {
				w.call(k, func(c *Core, out *Effects) { c.HandlePeer(w.now, e, out) })
			}
		}
	})
}

func (w *world) backend(b received, from ids.Endpoint) {
	if b.m.Code == message.Empty {
		w.atB = append(w.atB, b)
		return
	}
	w.atB = append(w.atB, b)
	o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token, Payload: []byte("ok")}
	if b.m.HasObserve && b.m.Observe == 0 {
		o.SetObserve, o.Observe = true, w.observeValue()
	}
	if w.serve != nil {
		o = w.serve(b)
	}
	if o != nil && b.m.Type == message.Confirmable {
		w.after(w.run, func() { w.fromBackend(b.core, from, o) })
	}
}

// observeValue is the Observe value of backend servers, which follows the clock.
func (w *world) observeValue() uint32 { return uint32(w.now/ms) & 0xffffff }

func (w *world) fromBackend(core int, from ids.Endpoint, o *message.Outgoing) {
	m := decode(w.t, o)
	w.call(core, func(c *Core, out *Effects) { c.HandleBackend(w.now, &BackendEvent{From: from, Message: &m}, out) })
}

// datagram builds a request.
type datagram struct {
	code    message.Code
	id      uint16
	token   byte
	observe int // -1 without
	path    string
	echo    []byte
	payload string
	non     bool
}

func get(id uint16) datagram {
	return datagram{code: message.GET, id: id, token: byte(id), observe: -1, path: "x"}
}

func post(id uint16, payload string) datagram {
	return datagram{code: message.POST, id: id, token: byte(id), observe: -1, path: "x", payload: payload}
}

func (d datagram) encode(t assert.TestingT) message.Message {
	first := byte(0x41)
	if d.non {
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
func (w *world) send(i int, caller ids.Endpoint, d datagram) {
	m := d.encode(w.t)
	w.sendMessage(i, caller, &m)
}

func (w *world) sendMessage(i int, caller ids.Endpoint, m *message.Message) {
	w.call(i, func(c *Core, out *Effects) {
		for s := range c.services {
			c.HandleCaller(w.now, &CallerEvent{Service: s, Caller: caller, Message: m}, out)
		}
	})
}

// empty delivers an ACK or RST to core i.
func (w *world) empty(i int, caller ids.Endpoint, kind message.Type, id uint16) {
	m := decode(w.t, &message.Outgoing{Type: kind, ID: id})
	w.sendMessage(i, caller, &m)
}

// pool returns the pool of service s at core i.
func (w *world) pool(i int) *spread.Pool {
	w.cores[i].refresh(w.cores[i].services["s"])
	return w.cores[i].services["s"].pool
}

// finals returns the replies to a caller except empty messages.
func (w *world) finals(caller ids.Endpoint) []reply {
	var list []reply
	for _, r := range w.replies {
		if r.caller == caller && r.m.Code != message.Empty {
			list = append(list, r)
		}
	}
	return list
}

// executions returns the requests with a code that backend servers received.
func (w *world) executions(code message.Code) []received {
	var list []received
	for _, b := range w.atB {
		if b.m.Code == code {
			list = append(list, b)
		}
	}
	return list
}

// grant gets an admission token for caller through core i.
func (w *world) grant(i int, caller ids.Endpoint, d datagram) []byte {
	before := len(w.finals(caller))
	d.echo = nil
	w.send(i, caller, d)
	w.advance(5 * time.Millisecond)
	got := w.finals(caller)
	assert.Assert(w.t, len(got) > before, "no response")
	last := got[len(got)-1].m
	assert.Equal(w.t, last.Code, message.Unauthorized)
	assert.Equal(w.t, len(last.Echo), admission.TokenSize)
	return last.Echo
}

// issuer returns the index of the core that a token names.
func (w *world) issuer(echo []byte) int {
	token, v := testKeys(w.t).Parse(echo, "s")
	assert.Equal(w.t, v, admission.Valid)
	return int(token.Incarnation) - 1
}
