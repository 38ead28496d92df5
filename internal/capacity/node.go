package capacity

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	epoch         ids.Time = 1_700_000_000_000_000_000
	tickInterval           = 10 * time.Millisecond
	eventInterval          = 20 * time.Microsecond // between two events that a node handles
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
max_feeds = 100000
idempotent = ["GET"]
retry_after_min_ms = 1000
retry_after_max_ms = %d
`

func profileDocument(version int) []byte { return fmt.Appendf(nil, profileText, 8000+version%1000) }

// serviceDocument returns the configuration document of service i with the
// given number of targets in data centre dc.
func serviceDocument(i, targets int, dc ids.DataCentre, version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "port = %d\nprofile = \"standard\"\n", 5000+version%1000)
	for k := range targets {
		fmt.Fprintf(&b, "[[target]]\nname = \"backend-%d\"\ndata_centre = %q\naddress = \"10.%d.%d.%d:5683\"\n"+
			"health = \"http://10.%d.%d.%d:8080/health\"\n", k, dc, i/250, i%250, k%250+1, i/250, i%250, k%250+1)
	}
	return []byte(b.String())
}

func serviceName(i int) ids.Service { return ids.Service(fmt.Sprintf("s%04d", i)) }

func instanceName(i int) ids.Instance { return ids.Instance(fmt.Sprintf("entry-%04d", i)) }

func memberRecord(i int, lifecycle peerwire.Lifecycle, counter uint32) peerwire.Member {
	return peerwire.Member{ID: instanceName(i), Incarnation: ids.Incarnation(i + 1), Counter: counter,
		DataCentre: "dc0", PeerAddr: fmt.Sprintf("10.200.%d.%d:7000", i/250, i%250), Lifecycle: lifecycle}
}

func newCore(i int) *core.Core {
	keys, err := admission.NewKeyring(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	if err != nil {
		panic(err) // the key is a constant
	}
	m := memberRecord(i, 0, 0)
	return core.New(core.Self{ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr,
		Linger: time.Second}, keys, 42)
}

// node is one core whose simulated peers serve and have the same view and
// configuration.
type node struct {
	core         *core.Core
	now          ids.Time
	lastTick     ids.Time
	effects      core.Effects
	revision     ids.Revision
	ownedService ids.Service // a service of which the node owns a slot
}

// clusterSize describes the deployment that a node is part of. One in
// dataCentres of the services has its targets in the data centre of the node.
type clusterSize struct{ members, services, targets, dataCentres int }

func newNode(size clusterSize) *node {
	n := &node{core: newCore(0), now: epoch}
	n.tick()
	delta := &peerwire.MemberDelta{}
	for i := 1; i < size.members; i++ {
		delta.Members = append(delta.Members, memberRecord(i, peerwire.Serving, 1))
	}
	if size.members > 1 {
		n.handlePeer(&peerwire.Message{From: instanceName(1), Incarnation: 2, MemberDelta: delta})
	}
	documents := []core.Publication{{Key: "profile/standard", Revision: 1, Value: profileDocument(0)}}
	for i := range size.services {
		dc := ids.DataCentre(fmt.Sprintf("dc%d", i%max(1, size.dataCentres)))
		documents = append(documents, core.Publication{Key: "service/" + string(serviceName(i)), Revision: ids.Revision(i + 2),
			Value: serviceDocument(i, size.targets, dc, 0)})
	}
	n.applyConfig(documents)
	for range 600 {
		n.now = n.now.Add(tickInterval)
		n.tick()
	}
	for _, state := range n.core.Snapshot().Services {
		if state.Owned > 0 {
			n.ownedService = state.Service
			break
		}
	}
	return n
}

func (n *node) applyConfig(documents []core.Publication) {
	n.revision = max(n.revision, documents[len(documents)-1].Revision)
	n.effects.Reset()
	n.core.HandleConfig(n.now, &core.ConfigEvent{Documents: documents, Revision: n.revision}, &n.effects)
	for i := range n.effects.List {
		if e := &n.effects.List[i]; e.Event == "config-refused" {
			panic("capacity: " + e.Detail)
		}
	}
}

func (n *node) handlePeer(m *peerwire.Message) {
	n.effects.Reset()
	n.core.HandlePeer(n.now, &core.PeerEvent{Message: m}, &n.effects)
}

// tick advances the core and sends it the replies of its neighbours and the
// platform, which have the same view and configuration, so that the state does
// not change.
func (n *node) tick() {
	n.lastTick = n.now
	n.effects.Reset()
	n.core.Tick(n.now, &n.effects)
	var replies []*peerwire.Message
	configRead := false
	for i := range n.effects.List {
		e := &n.effects.List[i]
		switch {
		case e.Kind == core.ToPeer && e.PeerMessage.Heartbeat != nil:
			h := *e.PeerMessage.Heartbeat
			h.Updates = nil
			replies = append(replies, &peerwire.Message{From: e.Instance, Heartbeat: &h})
		case e.Kind == core.WatchConfig && !e.Watch:
			configRead = true
		}
	}
	for _, m := range replies {
		n.handlePeer(m)
	}
	if configRead {
		n.effects.Reset()
		n.core.HandleConfig(n.now, &core.ConfigEvent{Revision: n.revision}, &n.effects)
	}
}

// advanceClock advances the clock by eventInterval. It ticks the core at least
// every 500 ms of virtual time, because the core treats a longer gap between
// ticks as a pause of the process.
func (n *node) advanceClock() {
	n.now = n.now.Add(eventInterval)
	if n.now.Sub(n.lastTick) > 500*time.Millisecond {
		n.tick()
	}
}

// newRequest returns a GET request, with the Observe option if observe is true.
func newRequest(observe bool) *message.Message {
	o := &message.Outgoing{Type: message.Confirmable, Code: message.GET, ID: 1, Payload: make([]byte, 64),
		Token: message.Token{Len: 4, Bytes: [8]byte{1, 2, 3, 4}}, SetObserve: observe}
	raw, err := message.Encode(nil, o)
	if err != nil {
		panic(err) // the message is a constant
	}
	m := new(message.Message)
	if err := message.Decode(raw, m); err != nil {
		panic(err)
	}
	return m
}

func callerAddress(i int) ids.Endpoint {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5683)
}

// exchange delivers request m from a caller to the core and, if the core sends
// it to a backend server, immediately delivers the response of that server. It
// returns the number of events that the core handled.
func (n *node) exchange(m *message.Message, caller ids.Endpoint) int {
	n.advanceClock()
	n.effects.Reset()
	n.core.HandleCaller(n.now, &core.CallerEvent{Service: n.ownedService, Caller: caller, Message: m}, &n.effects)
	var from ids.Endpoint
	reply := message.Message{Type: message.Acknowledgement, Code: message.Content, HasObserve: m.HasObserve, Observe: 1, MaxAge: 3600}
	for i := range n.effects.List {
		if e := &n.effects.List[i]; e.Kind == core.ToBackend {
			from, reply.ID, reply.Token, reply.Raw = e.Endpoint, e.Datagram.ID, e.Datagram.Token, e.Datagram.Template
		}
	}
	if !from.IsValid() {
		return 1
	}
	n.effects.Reset()
	n.core.HandleBackend(n.now, &core.BackendEvent{From: from, Message: &reply}, &n.effects)
	return 2
}

// openFeeds registers feeds (observe relations) until the node has count of
// them. Requests that the node relays to another instance do not count.
func (n *node) openFeeds(count int) {
	m := newRequest(true)
	for i, open := 0, 0; open < count; i++ {
		m.ID = uint16(i)
		if n.exchange(m, callerAddress(i)) == 2 {
			open++
		}
	}
}
