package experiment

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// bootTime is the time before the start of a run in which the instances discover
// each other and load the configuration.
const bootTime = 8 * time.Second

// coreNode runs the production decision logic: datagrams are encoded and
// decoded, membership is gossiped, and the configuration is read from the
// platform.
type coreNode struct {
	cluster     *cluster
	self        *instance
	core        *core.Core
	jobs        map[exchangeKey]*job // requests that were sent to backend servers
	freeEffects []*core.Effects
}

// exchangeKey identifies a request to a backend server by its CoAP message id.
type exchangeKey struct {
	target ids.Target
	id     uint16
}

func newCoreNode(c *cluster, self *instance) node {
	keys, err := admission.NewKeyring(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	if err != nil {
		panic(err) // the key is a constant
	}
	s := core.Self{ID: self.id, Incarnation: ids.Incarnation(self.index + 1), DataCentre: dataCentre, PeerAddr: self.address(), Linger: time.Second}
	for _, other := range c.instances {
		if other != self {
			s.Seeds = append(s.Seeds, member.Seed{ID: other.id, DataCentre: dataCentre, PeerAddr: other.address()})
		}
	}
	return &coreNode{cluster: c, self: self, core: core.New(s, keys, c.rng.Uint64()), jobs: make(map[exchangeKey]*job)}
}

func (i *instance) address() string { return fmt.Sprintf("127.0.0.1:%d", 9000+i.index) }

// invoke calls fn for the core and carries out the resulting effects.
func (n *coreNode) invoke(fn func(now ids.Time, out *core.Effects)) {
	if n.self.dead {
		return
	}
	var out *core.Effects
	if k := len(n.freeEffects); k > 0 {
		out, n.freeEffects = n.freeEffects[k-1], n.freeEffects[:k-1]
	} else {
		out = new(core.Effects)
	}
	fn(n.cluster.now, out)
	for i := range out.List {
		n.applyEffect(&out.List[i])
	}
	out.Reset()
	n.freeEffects = append(n.freeEffects, out)
}

func (n *coreNode) applyEffect(e *core.Effect) {
	switch e.Kind {
	case core.ToCaller:
		n.sendToCaller(roundTrip(&e.Datagram))
	case core.ToBackend:
		n.sendToBackend(e)
	case core.ToPeer:
		n.sendToPeer(e.Instance, e.PeerMessage)
	case core.CheckHealth:
		if b := n.cluster.backendByTarget(e.Target); b != nil {
			n.cluster.checkHealth(n.self, b)
		}
	case core.Log:
		if e.Event == "config-refused" {
			panic("model: " + e.Detail)
		}
	case core.WatchConfig:
		n.cluster.platform.readConfig(n, e.Revision, e.Watch)
	}
}

// roundTrip encodes and decodes a message, as when it is sent over the network.
func roundTrip(o *message.Outgoing) *message.Message {
	raw, err := message.Encode(nil, o)
	if err != nil {
		panic(err) // the core built a message that cannot be encoded
	}
	return mustDecode(raw)
}

func mustDecode(raw []byte) *message.Message {
	m := new(message.Message)
	if err := message.Decode(raw, m); err != nil {
		panic(err)
	}
	return m
}

func (n *coreNode) handleRequest(r *request) {
	m := r.newDatagram(n.cluster)
	n.invoke(func(now ids.Time, out *core.Effects) {
		n.core.HandleCaller(now, &core.CallerEvent{Service: serviceName, Caller: callerAddress(r.callerIndex), Message: m}, out)
	})
}

// sendToCaller delivers a datagram to its caller.
func (n *coreNode) sendToCaller(m *message.Message) {
	if m.Code == message.Empty {
		if r := n.cluster.byMessage[m.ID]; r != nil && m.Type == message.Acknowledgement {
			n.cluster.after(callerDelay, func() { r.acked = true })
		}
		return
	}
	r := n.cluster.byToken[m.Token]
	if r == nil {
		return
	}
	if m.Type == message.Confirmable {
		ack := roundTrip(&message.Outgoing{Type: message.Acknowledgement, ID: m.ID})
		n.cluster.after(2*callerDelay, func() {
			if receiver := n.cluster.randomInstance(); !receiver.dead {
				receiver.node.(*coreNode).invoke(func(now ids.Time, out *core.Effects) {
					receiver.node.(*coreNode).core.HandleCaller(now, &core.CallerEvent{Service: serviceName, Caller: callerAddress(r.callerIndex), Message: ack}, out)
				})
			}
		})
	}
	switch {
	case m.Code == message.Unauthorized:
		n.cluster.deliverChallenge(r, append([]byte(nil), m.Echo...))
	case m.Code == message.ServiceUnavailable:
		n.cluster.deliverResponse(r, refused, time.Duration(m.MaxAge)*time.Second)
	case m.Code>>5 == 2:
		n.cluster.deliverResponse(r, served, 0)
	default:
		n.cluster.deliverResponse(r, failed, 0)
	}
}

// sendToBackend delivers a datagram to a backend server.
func (n *coreNode) sendToBackend(e *core.Effect) {
	b := n.cluster.backendByTarget(e.Target)
	if b == nil || e.Datagram.Type == message.Acknowledgement {
		return
	}
	m := roundTrip(&e.Datagram)
	key := exchangeKey{e.Target, m.ID}
	if m.Type == message.Reset {
		if j := n.jobs[key]; j != nil {
			n.cluster.after(backendDelay, func() { j.ended = true })
		}
		return
	}
	if n.jobs[key] != nil {
		return // a retransmission
	}
	r := n.cluster.byToken[mustDecode(e.Datagram.Template).Token]
	if r == nil {
		return
	}
	r.dispatches++
	j := &job{runTime: r.runTime, expires: n.cluster.now.Add(time.Duration(e.Datagram.DeadlineMS) * time.Millisecond)}
	n.jobs[key] = j
	acknowledged := false
	reply := func(o *message.Outgoing) {
		decoded := roundTrip(o)
		n.cluster.after(backendDelay, func() {
			n.invoke(func(now ids.Time, out *core.Effects) {
				n.core.HandleBackend(now, &core.BackendEvent{From: b.target.Address, Message: decoded}, out)
			})
		})
	}
	j.onOutcome = func(o spread.Outcome) {
		code := message.Content
		if o == spread.Shed {
			code = message.ServiceUnavailable
		}
		response := &message.Outgoing{Type: message.Acknowledgement, Code: code, ID: m.ID, Token: m.Token}
		if acknowledged {
			response.Type = message.NonConfirmable
		}
		reply(response)
		acknowledged = true
	}
	n.cluster.after(backendDelay, func() { b.accept(j) })
	n.cluster.after(backendDelay+ackDelay, func() {
		if !acknowledged && !j.ended && !b.dead {
			acknowledged = true
			reply(&message.Outgoing{Type: message.Acknowledgement, ID: m.ID})
		}
	})
	n.cluster.at(j.expires.Add(time.Second), func() { delete(n.jobs, key) })
}

func (n *coreNode) sendToPeer(to ids.Instance, m *peerwire.Message) {
	raw, err := peerwire.Encode(nil, m)
	if err != nil {
		panic(err) // the core built a message that cannot be encoded
	}
	for _, inst := range n.cluster.instances {
		if inst.id == to && !n.cluster.cutLinks[[2]*instance{n.self, inst}] {
			n.cluster.sendPeer(inst, raw, m.Lane() == peerwire.Data)
		}
	}
}

func (n *coreNode) handlePeer(m any) {
	decoded := new(peerwire.Message)
	if err := peerwire.Decode(m.([]byte), decoded); err != nil {
		panic(err)
	}
	e := &core.PeerEvent{Message: decoded}
	if decoded.Relay != nil {
		e.RelayedDatagram = mustDecode(decoded.Relay.Datagram)
	}
	n.invoke(func(now ids.Time, out *core.Effects) { n.core.HandlePeer(now, e, out) })
}

func (n *coreNode) handleHealth(b *backend, healthy bool) {
	n.invoke(func(now ids.Time, out *core.Effects) {
		n.core.HandleHealth(now, &core.HealthEvent{Service: serviceName, Target: b.target.Name, Healthy: healthy, Load: -1}, out)
	})
}

// setInstances does nothing, because the cores find each other by gossip.
func (n *coreNode) setInstances(ids.Time, []ids.Instance) {}

// setProfile publishes r on the platform unless another instance has done so.
func (n *coreNode) setProfile(r *config.Resolved) { n.cluster.platform.publish(r) }

func (n *coreNode) tick() {
	n.invoke(func(now ids.Time, out *core.Effects) { n.core.Tick(now, out) })
}

// callerAddress returns the endpoint of a caller.
func callerAddress(caller int) ids.Endpoint {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(caller >> 8), byte(caller)}), 40000)
}

// newDatagram builds the datagram of the current transmission of r. The message
// id changes with each attempt and when an admission token is added.
func (r *request) newDatagram(c *cluster) *message.Message {
	if r.messageID == 0 {
		c.lastSerial++
		r.serial = c.lastSerial
		c.byToken[r.coapToken()] = r
	}
	if key := [2]int{r.attempts, len(r.echo)}; r.messageID == 0 || key != r.messageKey {
		r.messageKey = key
		c.lastMessageID++
		r.messageID = max(c.lastMessageID, 1)
		c.byMessage[r.messageID] = r
	}
	code := message.GET
	if r.nonIdempotent {
		code = message.POST
	}
	t := r.coapToken()
	raw := append([]byte{0x40 | t.Len, byte(code), byte(r.messageID >> 8), byte(r.messageID)}, t.Bytes[:t.Len]...)
	delta := byte(11) // Uri-Path
	if p := r.traffic.partner; p != "" {
		raw = append(append(raw, 3<<4|byte(len(p))), p...) // Uri-Host
		delta = 8
	}
	path := strconv.FormatUint(r.path&0xffffffff, 36)
	raw = append(append(raw, delta<<4|byte(len(path))), path...)
	o := &message.Outgoing{Template: raw, Type: message.Confirmable, ID: r.messageID, Token: t, Echo: r.echo}
	if r.nonIdempotent {
		o.Payload = t.Bytes[:t.Len]
	}
	return roundTrip(o)
}

func (r *request) coapToken() message.Token {
	return message.Token{Len: 4, Bytes: [8]byte{byte(r.serial >> 24), byte(r.serial >> 16), byte(r.serial >> 8), byte(r.serial)}}
}
