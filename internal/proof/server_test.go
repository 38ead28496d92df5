package proof

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// healthMode is what the health endpoint of a backend server reports.
type healthMode uint8

const (
	accurateHealth healthMode = iota
	falselyHealthy
	falselyUnhealthy
)

const (
	targetsPerDataCentre = 3
	// drainBound is the time after which a draining backend server must get no
	// new work.
	drainBound = 3 * time.Second
	healthWait = 500 * time.Millisecond // time-out of a health check
)

// server is a fake backend server.
type server struct {
	sim             *simulation
	service         ids.Service
	target          ids.Target
	dc              ids.DataCentre
	addr            ids.Endpoint
	alive           bool
	draining        bool
	drainPublished  bool // its published document says that it is draining
	drainSince      ids.Time
	health          healthMode
	shedding        bool // rejects requests with 5.03
	silent          bool // executes requests but responds to none
	resetting       bool // executes requests and responds with RST
	swapsMessageIDs bool // swaps message IDs and repeats old responses
	processingTime  time.Duration
	jobs            map[jobKey]*job
	feeds           []*registration
	nextID          uint16
	executions      int
}

type jobKey struct {
	from ids.Instance
	id   uint16
}

// job is a request at a backend server.
type job struct {
	receivedAt   ids.Time
	request      *message.Message
	exchange     *exchange
	response     *message.Outgoing
	acknowledged bool
	cancelled    bool
	confirmed    bool // the separate response was acknowledged
}

// registration is the registration of a feed at a backend server.
type registration struct {
	node          *node
	token         message.Token
	exchange      *exchange
	lastMessageID uint16
}

func (sim *simulation) createServers() {
	for d, dc := range dataCentres {
		for s, name := range services {
			for i := range targetsPerDataCentre {
				sim.servers = append(sim.servers, &server{
					sim: sim, service: name, target: ids.Target(fmt.Sprintf("%s-%d", dc, i)), dc: dc, alive: true,
					addr:           netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(10*d + s), byte(i + 1)}), 5683),
					processingTime: 20 * time.Millisecond, jobs: map[jobKey]*job{},
				})
			}
		}
	}
}

func (sim *simulation) serverAt(addr ids.Endpoint) *server {
	for _, v := range sim.servers {
		if v.addr == addr {
			return v
		}
	}
	return nil
}

func (sim *simulation) sendToBackend(n *node, addr ids.Endpoint, m *message.Message) {
	v := sim.serverAt(addr)
	if v == nil {
		sim.recordViolation("a datagram to %v, which is no backend server", addr)
		return
	}
	x := sim.exchangeOf(m)
	if x != nil {
		x.recordHandler(n)
		if m.HasObserve && m.Observe == 0 {
			sim.stepReached("feed registering", n, x)
		} else {
			x.dispatchedTo = v
			x.logEvent("dispatched by %s id %d to %s", n.id, m.ID, v.addr)
			sim.stepReached("dispatched", n, x)
		}
	}
	sim.deliverDatagram(x, func() { v.receive(n, m, x) })
}

func (v *server) receive(n *node, m *message.Message, x *exchange) {
	if !v.alive {
		return
	}
	if !m.Code.IsRequest() {
		v.handleEmpty(n, m)
		return
	}
	if x == nil {
		v.sim.recordViolation("%s got a request that no caller sent", v.target)
		return
	}
	if x.operation.service != v.service || x.operation.dataCentre != v.dc {
		v.sim.recordViolation("a request of service %s reached %s of service %s", x.operation.service, v.target, v.service)
	}
	if m.HasObserve && m.Observe == 1 {
		v.feeds = slices.DeleteFunc(v.feeds, func(r *registration) bool { return r.node == n && r.token == m.Token })
		if m.Type == message.NonConfirmable {
			return // the caller does not need the response
		}
	}
	key := jobKey{n.id, m.ID}
	if j := v.jobs[key]; j != nil && j.request.Token == m.Token {
		if j.response != nil {
			v.send(n, j, j.response)
		}
		return
	}
	j := &job{receivedAt: v.sim.now, request: m, exchange: x}
	v.jobs[key] = j
	if m.HasObserve && m.Observe == 0 {
		v.register(n, j)
		return
	}
	v.process(n, j)
}

// checkNewWork checks that a draining backend server gets no new work after
// drainBound.
func (v *server) checkNewWork(n *node, j *job) {
	if v.draining {
		v.sim.stats.sentWhileDraining++
	}
	if v.draining && v.health == accurateHealth && v.sim.now.Sub(v.drainSince) > drainBound {
		v.sim.recordViolation("%s %s got new work from %s %v after it began to drain (exchange %d)", v.service, v.target, n.id, v.sim.now.Sub(v.drainSince), j.exchange.index)
	}
}

func (v *server) process(n *node, j *job) {
	v.checkNewWork(n, j)
	response := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: j.request.ID, Token: j.request.Token, Payload: j.exchange.expectedBody()}
	if j.request.Type == message.NonConfirmable {
		v.nextID++
		response.Type, response.ID = message.NonConfirmable, v.nextID
	}
	if v.shedding {
		response.Code, response.Payload = message.ServiceUnavailable, nil
		v.respond(n, j, response)
		return
	}
	j.exchange.recordExecution(v)
	if v.silent {
		return
	}
	if v.resetting {
		v.sim.after(v.processingTime, func() { v.respond(n, j, &message.Outgoing{Type: message.Reset, ID: j.request.ID}) })
		return
	}
	if j.exchange.operation.kind == download && j.exchange.block < lastBlockNumber {
		response.Template = []byte{0x60, byte(message.Content), 0, 0, 0xd1, 10, byte(j.exchange.block)<<4 | 8 | 2}
	}
	duration := v.processingTime
	if j.exchange.operation.kind == longGet {
		duration *= 20
	}
	if duration > time.Second && response.Type == message.Acknowledgement {
		v.sim.after(time.Second, func() {
			j.acknowledged = true
			v.respond(n, j, &message.Outgoing{Type: message.Acknowledgement, ID: j.request.ID})
		})
	}
	v.sim.after(duration, func() {
		if j.acknowledged {
			v.nextID++
			response.Type, response.ID = message.Confirmable, v.nextID
			v.sim.after(2*time.Second, func() {
				if !j.confirmed {
					v.respond(n, j, response)
				}
			})
		}
		v.respond(n, j, response)
	})
}

func (v *server) respond(n *node, j *job, o *message.Outgoing) {
	if !v.alive || j.cancelled {
		return
	}
	j.response = o
	if v.swapsMessageIDs {
		v.sim.after(time.Duration(v.sim.rng.IntN(10_000))*time.Millisecond, func() { v.send(n, j, o) })
		for k, other := range v.sortedJobs() {
			if k != j.request.ID && other.response == nil && o.Type == message.Acknowledgement {
				swapped := *o
				swapped.ID = k
				v.send(n, j, &swapped)
				return
			}
		}
	}
	v.send(n, j, o)
}

// sortedJobs yields the jobs in the order of their message IDs.
func (v *server) sortedJobs() func(func(uint16, *job) bool) {
	return func(yield func(uint16, *job) bool) {
		keys := make([]uint16, 0, len(v.jobs))
		byID := map[uint16]*job{}
		for k, j := range v.jobs {
			keys = append(keys, k.id)
			byID[k.id] = j
		}
		slices.Sort(keys)
		for _, k := range keys {
			if !yield(k, byID[k]) {
				return
			}
		}
	}
}

func (v *server) send(n *node, j *job, o *message.Outgoing) {
	m := encodeAndDecode(o)
	if o.Code != message.Empty {
		v.sim.stepReached("backend answers", n, j.exchange)
	}
	v.sim.deliverDatagram(j.exchange, func() { v.sim.deliverFromBackend(n, v, m) })
}

func (sim *simulation) deliverFromBackend(n *node, v *server, m *message.Message) {
	sim.callCore(n, func(c *core.Core, out *core.Effects) {
		c.HandleBackend(n.now(), &core.BackendEvent{From: v.addr, Message: m}, out)
	})
}

// handleEmpty handles an ACK or RST.
func (v *server) handleEmpty(n *node, m *message.Message) {
	if j := v.jobs[jobKey{n.id, m.ID}]; j != nil && m.Type == message.Reset {
		j.cancelled = true
	}
	for _, j := range v.jobs {
		if m.Type == message.Acknowledgement && j.response != nil && j.response.Type == message.Confirmable && j.response.ID == m.ID {
			j.confirmed = true
		}
	}
	if m.Type == message.Reset {
		v.feeds = slices.DeleteFunc(v.feeds, func(r *registration) bool { return r.node == n && r.lastMessageID == m.ID })
	}
}

func (v *server) register(n *node, j *job) {
	response := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: j.request.ID, Token: j.request.Token,
		Payload: j.exchange.expectedBody(), SetObserve: true, Observe: v.observeSequence()}
	registered := slices.ContainsFunc(v.feeds, func(r *registration) bool { return r.node == n && r.token == j.request.Token })
	if !registered {
		v.checkNewWork(n, j)
		if v.shedding {
			response = &message.Outgoing{Type: message.Acknowledgement, Code: message.ServiceUnavailable, ID: j.request.ID, Token: j.request.Token}
			v.respond(n, j, response)
			return
		}
		j.exchange.executions++
		v.feeds = append(v.feeds, &registration{node: n, token: j.request.Token, exchange: j.exchange, lastMessageID: j.request.ID})
	}
	if !v.silent {
		v.respond(n, j, response)
	}
}

func (v *server) observeSequence() uint32 {
	return uint32(v.sim.now/ids.Time(time.Millisecond)) & 0xffffff
}

// sendNotifications sends a notification for each registration.
func (sim *simulation) sendNotifications() {
	for _, v := range sim.servers {
		if !v.alive || v.silent {
			continue
		}
		for _, r := range v.feeds {
			v.nextID++
			r.lastMessageID = v.nextID
			messageType := message.NonConfirmable
			if v.nextID%2 == 0 {
				messageType = message.Confirmable
			}
			m := encodeAndDecode(&message.Outgoing{Type: messageType, Code: message.Content, ID: r.lastMessageID, Token: r.token,
				Payload: r.exchange.expectedBody(), SetObserve: true, Observe: v.observeSequence()})
			sim.deliverDatagram(r.exchange, func() { sim.deliverFromBackend(r.node, v, m) })
		}
	}
}

// kill ends the process of v. The message IDs that it has seen are kept, because
// the system is not at fault for a datagram that the network duplicates around a
// restart.
func (v *server) kill() {
	v.alive, v.feeds = false, nil
	for _, j := range v.jobs {
		j.cancelled, j.response = true, nil
	}
}

func (v *server) drain(on bool) {
	if on && !v.draining {
		v.drainSince = v.sim.now
	}
	v.draining = on
}

func (sim *simulation) checkHealth(n *node, s ids.Service, t ids.Target, url string) {
	i := slices.IndexFunc(sim.servers, func(v *server) bool { return v.service == s && v.target == t })
	if i < 0 || !bytes.Contains([]byte(url), []byte(sim.servers[i].addr.String())) {
		sim.recordViolation("a health check of %q, which is no target of %s", url, s)
		return
	}
	v := sim.servers[i]
	d := 2 * time.Millisecond
	if !v.alive {
		d = healthWait
	}
	incarnation := n.incarnation
	sim.after(d, func() {
		e := &core.HealthEvent{Service: s, Target: t, Load: -1, Duration: d, Healthy: v.alive, Draining: v.alive && v.draining}
		switch v.health {
		case falselyHealthy:
			e.Healthy, e.Draining = true, false
		case falselyUnhealthy:
			e.Healthy = false
		}
		if n.incarnation == incarnation {
			sim.callCore(n, func(c *core.Core, out *core.Effects) { c.HandleHealth(n.now(), e, out) })
		}
	})
}
