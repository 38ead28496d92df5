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
	honest healthMode = iota
	lyingHealthy
	lyingUnhealthy
)

const (
	targetsPerCentre = 3
	// drainBound is the time after which a draining backend server gets no
	// new work.
	drainBound = 3 * time.Second
	healthWait = 500 * time.Millisecond // time-out of a health check
)

// server is a fake backend server.
type server struct {
	w             *world
	service       ids.Service
	target        ids.Target
	dc            ids.DataCentre
	at            ids.Endpoint
	alive         bool
	draining      bool
	drainDocument bool
	drainSince    ids.Time
	health        healthMode
	shedding      bool
	silent        bool // runs requests, responds to none
	failing       bool // runs requests and answers with RST
	crossed       bool // swaps message ids and repeats old responses
	runTime       time.Duration
	jobs          map[jobKey]*job
	feeds         []*registration
	nextID        uint16
	executed      int
}

type jobKey struct {
	from ids.Instance
	id   uint16
}

// job is a request at a backend server.
type job struct {
	at        ids.Time
	m         *message.Message
	x         *exchange
	response  *message.Outgoing
	acked     bool
	cancelled bool
	confirmed bool // the separate response was acknowledged
}

// registration is a feed at a backend server.
type registration struct {
	n     *node
	token message.Token
	x     *exchange
	lastM uint16
}

func (w *world) buildServers() {
	for d, dc := range centres {
		for s, name := range services {
			for i := range targetsPerCentre {
				w.servers = append(w.servers, &server{
					w: w, service: name, target: ids.Target(fmt.Sprintf("%s-%d", dc, i)), dc: dc, alive: true,
					at:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(10*d + s), byte(i + 1)}), 5683),
					runTime: 20 * time.Millisecond, jobs: map[jobKey]*job{},
				})
			}
		}
	}
}

func (w *world) serverAt(at ids.Endpoint) *server {
	for _, v := range w.servers {
		if v.at == at {
			return v
		}
	}
	return nil
}

func (w *world) toBackend(n *node, at ids.Endpoint, m *message.Message) {
	v := w.serverAt(at)
	if v == nil {
		w.violate("a datagram to %v, which is no backend server", at)
		return
	}
	x := w.exchangeOf(m)
	if x != nil {
		x.touch(n)
		if m.HasObserve && m.Observe == 0 {
			w.reach("feed registering", n, x)
		} else {
			x.dispatched = v
			x.log("dispatched by %s id %d to %s", n.id, m.ID, v.at)
			w.reach("dispatched", n, x)
		}
	}
	w.datagram(x, func() { v.receive(n, m, x) })
}

func (v *server) receive(n *node, m *message.Message, x *exchange) {
	if !v.alive {
		return
	}
	if !m.Code.IsRequest() {
		v.empty(n, m)
		return
	}
	if x == nil {
		v.w.violate("%s got a request that no caller sent", v.target)
		return
	}
	if x.op.service != v.service || x.op.dc != v.dc {
		v.w.violate("a request of service %s reached %s of service %s", x.op.service, v.target, v.service)
	}
	if m.HasObserve && m.Observe == 1 {
		v.feeds = slices.DeleteFunc(v.feeds, func(r *registration) bool { return r.n == n && r.token == m.Token })
		if m.Type == message.NonConfirmable {
			return // the response is of no interest
		}
	}
	k := jobKey{n.id, m.ID}
	if j := v.jobs[k]; j != nil && j.m.Token == m.Token {
		if j.response != nil {
			v.send(n, j, j.response)
		}
		return
	}
	j := &job{at: v.w.now, m: m, x: x}
	v.jobs[k] = j
	if m.HasObserve && m.Observe == 0 {
		v.register(n, j)
		return
	}
	v.work(n, j)
}

// newWork checks that a draining backend server gets none.
func (v *server) newWork(n *node, j *job) {
	if v.draining {
		v.w.stats.drained++
	}
	if v.draining && v.health == honest && v.w.now.Sub(v.drainSince) > drainBound {
		v.w.violate("%s %s got new work from %s %v after it began to drain (exchange %d)", v.service, v.target, n.id, v.w.now.Sub(v.drainSince), j.x.index)
	}
}

func (v *server) work(n *node, j *job) {
	v.newWork(n, j)
	o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: j.m.ID, Token: j.m.Token, Payload: j.x.body()}
	if j.m.Type == message.NonConfirmable {
		v.nextID++
		o.Type, o.ID = message.NonConfirmable, v.nextID
	}
	if v.shedding {
		o.Code, o.Payload = message.ServiceUnavailable, nil
		v.respond(n, j, o)
		return
	}
	j.x.ran(v)
	if v.silent {
		return
	}
	if v.failing {
		v.w.after(v.runTime, func() { v.respond(n, j, &message.Outgoing{Type: message.Reset, ID: j.m.ID}) })
		return
	}
	if j.x.op.kind == download && j.x.block < lastBlock {
		o.Template = []byte{0x60, byte(message.Content), 0, 0, 0xd1, 10, byte(j.x.block)<<4 | 8 | 2}
	}
	run := v.runTime
	if j.x.op.kind == long {
		run *= 20
	}
	if run > time.Second && o.Type == message.Acknowledgement {
		v.w.after(time.Second, func() {
			j.acked = true
			v.respond(n, j, &message.Outgoing{Type: message.Acknowledgement, ID: j.m.ID})
		})
	}
	v.w.after(run, func() {
		if j.acked {
			v.nextID++
			o.Type, o.ID = message.Confirmable, v.nextID
			v.w.after(2*time.Second, func() {
				if !j.confirmed {
					v.respond(n, j, o)
				}
			})
		}
		v.respond(n, j, o)
	})
}

func (v *server) respond(n *node, j *job, o *message.Outgoing) {
	if !v.alive || j.cancelled {
		return
	}
	j.response = o
	if v.crossed {
		v.w.after(time.Duration(v.w.rng.IntN(10_000))*time.Millisecond, func() { v.send(n, j, o) })
		for k, other := range v.sortedJobs() {
			if k != j.m.ID && other.response == nil && o.Type == message.Acknowledgement {
				crossed := *o
				crossed.ID = k
				v.send(n, j, &crossed)
				return
			}
		}
	}
	v.send(n, j, o)
}

// sortedJobs yields the jobs without a response in the order of message ids.
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
	m := decode(o)
	if o.Code != message.Empty {
		v.w.reach("backend answers", n, j.x)
	}
	v.w.datagram(j.x, func() { v.w.fromBackend(n, v, m) })
}

func (w *world) fromBackend(n *node, v *server, m *message.Message) {
	w.call(n, func(c *core.Core, out *core.Effects) {
		c.HandleBackend(n.now(), &core.BackendEvent{From: v.at, Message: m}, out)
	})
}

// empty handles an ACK or RST.
func (v *server) empty(n *node, m *message.Message) {
	if j := v.jobs[jobKey{n.id, m.ID}]; j != nil && m.Type == message.Reset {
		j.cancelled = true
	}
	for _, j := range v.jobs {
		if m.Type == message.Acknowledgement && j.response != nil && j.response.Type == message.Confirmable && j.response.ID == m.ID {
			j.confirmed = true
		}
	}
	if m.Type == message.Reset {
		v.feeds = slices.DeleteFunc(v.feeds, func(r *registration) bool { return r.n == n && r.lastM == m.ID })
	}
}

func (v *server) register(n *node, j *job) {
	o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: j.m.ID, Token: j.m.Token,
		Payload: j.x.body(), SetObserve: true, Observe: v.sequence()}
	known := slices.ContainsFunc(v.feeds, func(r *registration) bool { return r.n == n && r.token == j.m.Token })
	if !known {
		v.newWork(n, j)
		if v.shedding {
			o = &message.Outgoing{Type: message.Acknowledgement, Code: message.ServiceUnavailable, ID: j.m.ID, Token: j.m.Token}
			v.respond(n, j, o)
			return
		}
		j.x.runs++
		v.feeds = append(v.feeds, &registration{n: n, token: j.m.Token, x: j.x, lastM: j.m.ID})
	}
	if !v.silent {
		v.respond(n, j, o)
	}
}

func (v *server) sequence() uint32 { return uint32(v.w.now/ids.Time(time.Millisecond)) & 0xffffff }

// pushFeeds sends a notification for each registration.
func (w *world) pushFeeds() {
	for _, v := range w.servers {
		if !v.alive || v.silent {
			continue
		}
		for _, r := range v.feeds {
			v.nextID++
			r.lastM = v.nextID
			kind := message.NonConfirmable
			if v.nextID%2 == 0 {
				kind = message.Confirmable
			}
			m := decode(&message.Outgoing{Type: kind, Code: message.Content, ID: r.lastM, Token: r.token,
				Payload: r.x.body(), SetObserve: true, Observe: v.sequence()})
			w.datagram(r.x, func() { w.fromBackend(r.n, v, m) })
		}
	}
}

// kill ends the process of v. The message ids that it has seen are kept, as a
// datagram that the network doubles around a restart is no fault of the system.
func (v *server) kill() {
	v.alive, v.feeds = false, nil
	for _, j := range v.jobs {
		j.cancelled, j.response = true, nil
	}
}

func (v *server) drain(on bool) {
	if on && !v.draining {
		v.drainSince = v.w.now
	}
	v.draining = on
}

func (w *world) checkHealth(n *node, s ids.Service, t ids.Target, url string) {
	i := slices.IndexFunc(w.servers, func(v *server) bool { return v.service == s && v.target == t })
	if i < 0 || !bytes.Contains([]byte(url), []byte(w.servers[i].at.String())) {
		w.violate("a health check of %q, which is no target of %s", url, s)
		return
	}
	v := w.servers[i]
	d := 2 * time.Millisecond
	if !v.alive {
		d = healthWait
	}
	run := n.run
	w.after(d, func() {
		e := &core.HealthEvent{Service: s, Target: t, Load: -1, Duration: d, Healthy: v.alive, Draining: v.alive && v.draining}
		switch v.health {
		case lyingHealthy:
			e.Healthy, e.Draining = true, false
		case lyingUnhealthy:
			e.Healthy = false
		}
		if n.run == run {
			w.call(n, func(c *core.Core, out *core.Effects) { c.HandleHealth(n.now(), e, out) })
		}
	})
}
