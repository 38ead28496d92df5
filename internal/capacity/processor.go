package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// targetSize is the deployment of a node at the target size: the 500 instances
// of one data centre, and the services and targets of all data centres.
var targetSize = clusterSize{members: 500, services: 6800, targets: 4, dataCentres: 5}

func processorMeasures() []Measure {
	events := []float64{10_000, 20_000, 40_000, 80_000}
	var sharedNode *node
	nodeAtTarget := func() *node { // several measures share one node at the target size
		if sharedNode == nil {
			sharedNode = newNode(targetSize)
		}
		return sharedNode
	}
	return []Measure{
		{Name: "processor-datagram", Unit: "µs", SizeName: "datagrams", Sizes: events, Run: measureDatagramCPU,
			Note: "socket read, decode, encode and socket write; both ends of the sockets in this process"},
		{Name: "processor-decision", Unit: "µs", SizeName: "decisions", Sizes: events, Note: "at the target size",
			Run: func(x float64) float64 { return measureExchangeCPU(nodeAtTarget(), int(x)) }},
		{Name: "processor-heartbeat", Unit: "µs", SizeName: "heartbeats", Sizes: events, Note: "encode, decode and handle, 500 members",
			Run: func(x float64) float64 { return measureHeartbeatCPU(nodeAtTarget(), int(x)) }},
		{Name: "processor-health", Unit: "µs", SizeName: "health samples", Sizes: events, Note: "handle one result in the core",
			Run: func(x float64) float64 { return measureHealthResultCPU(nodeAtTarget(), int(x)) }},
		{Name: "processor-health-http", Unit: "µs", SizeName: "health checks", Sizes: []float64{500, 1000, 2000, 4000}, Run: measureHealthRequestCPU,
			Note: "one GET over an open connection with net/http, client and server in this process"},
		{Name: "processor-change", Unit: "µs", SizeName: "configuration changes", Sizes: []float64{250, 500, 1000, 2000},
			Note: "parse and apply one service of 4 targets among 6,800",
			Run:  func(x float64) float64 { return measureConfigChangeCPU(nodeAtTarget(), int(x)) }},
		{Name: "processor-profile", Unit: "µs", SizeName: "services that use the profile", Sizes: []float64{850, 1700, 3400, 6800},
			Run: measureProfileChangeCPU, Note: "one change of a profile used by all services; blocks the core once"},
		{Name: "processor-tick", Unit: "µs", SizeName: "ticks", Sizes: []float64{1000, 2000, 4000, 8000},
			Note: "at the target size, heartbeats sent and received included",
			Run:  func(x float64) float64 { return measureTickCPU(nodeAtTarget(), int(x)) }},
		{Name: "processor-tick-flows", Unit: "µs", SizeName: "open flows", Sizes: []float64{3500, 7000, 14_000, 28_000},
			Run: func(x float64) float64 {
				n := newNode(clusterSize{1, 1, 15, 1})
				n.openFeeds(int(x))
				return measureTickCPU(n, 500) / 500
			}, Note: "one tick"},
	}
}

func measureDatagramCPU(x float64) float64 {
	loopback := net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	sender, senderErr := net.ListenUDP("udp4", &loopback)
	receiver, receiverErr := net.ListenUDP("udp4", &loopback)
	if senderErr != nil || receiverErr != nil {
		panic(fmt.Sprint("capacity: open loopback sockets: ", senderErr, receiverErr))
	}
	defer sender.Close()
	defer receiver.Close()
	to := receiver.LocalAddr().(*net.UDPAddr).AddrPort()
	raw, buffer, out := newRequest(false).Raw, make([]byte, 2048), make([]byte, 0, 2048)
	var m message.Message
	return leastCPUTime(func() {
		for range int(x) {
			if _, err := sender.WriteToUDPAddrPort(raw, to); err != nil {
				panic(err)
			}
			n, _, err := receiver.ReadFromUDPAddrPort(buffer)
			if err == nil {
				err = message.Decode(buffer[:n], &m)
			}
			if err == nil {
				out, err = message.Encode(out[:0], &message.Outgoing{Template: m.Raw, Type: m.Type, ID: m.ID + 1, Token: m.Token, DeadlineMS: 300})
			}
			if err != nil {
				panic(err)
			}
		}
	})
}

func measureExchangeCPU(n *node, decisions int) float64 {
	m := newRequest(false)
	caller := callerAddress(1)
	return leastCPUTime(func() {
		for done := 0; done < decisions; {
			m.ID++
			done += n.exchange(m, caller)
		}
	})
}

func measureHeartbeatCPU(n *node, count int) float64 {
	n.tick()
	var heartbeat *peerwire.Message
	for heartbeat == nil { // reuses a heartbeat of the node as that of a peer with the same view
		n.now = n.now.Add(tickInterval)
		n.effects.Reset()
		n.core.Tick(n.now, &n.effects)
		n.lastTick = n.now
		for i := range n.effects.List {
			if e := &n.effects.List[i]; e.Kind == core.ToPeer && e.PeerMessage.Heartbeat != nil {
				payload := *e.PeerMessage.Heartbeat
				payload.Updates = nil
				heartbeat = &peerwire.Message{From: e.Instance, Heartbeat: &payload}
			}
		}
	}
	var raw []byte
	return leastCPUTime(func() {
		for range count {
			n.advanceClock()
			heartbeat.Heartbeat.Clock = n.now
			raw, _ = peerwire.Encode(raw[:0], heartbeat)
			var got peerwire.Message
			if err := peerwire.Decode(raw, &got); err != nil {
				panic(err)
			}
			n.handlePeer(&got)
		}
	})
}

func measureHealthResultCPU(n *node, count int) float64 {
	e := &core.HealthEvent{Service: n.ownedService, Target: "backend-0", Healthy: true, Load: 0.5, Duration: time.Millisecond}
	return leastCPUTime(func() {
		for range count {
			n.advanceClock()
			n.effects.Reset()
			n.core.HandleHealth(n.now, e, &n.effects)
		}
	})
}

func measureHealthRequestCPU(x float64) float64 {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"status":"ok","load":0.5}`)
	}))
	defer server.Close()
	client := server.Client()
	return leastCPUTime(func() {
		for range int(x) {
			r, err := client.Get(server.URL)
			if err != nil {
				panic(err)
			}
			var body struct{ Status string }
			if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
				panic(err)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
	})
}

func measureConfigChangeCPU(n *node, count int) float64 {
	return leastCPUTime(func() {
		for range count {
			n.advanceClock()
			n.revision++
			n.applyConfig([]core.Publication{{Key: "service/s0003", Revision: n.revision, Value: serviceDocument(3, 4, "dc3", int(n.revision))}})
		}
	})
}

func measureProfileChangeCPU(x float64) float64 {
	n := newNode(clusterSize{members: 500, services: int(x), targets: 4, dataCentres: 5})
	defer runtime.KeepAlive(n)
	return leastCPUTime(func() {
		n.advanceClock()
		n.revision++
		n.applyConfig([]core.Publication{{Key: "profile/standard", Revision: n.revision, Value: profileDocument(int(n.revision))}})
	})
}

func measureTickCPU(n *node, count int) float64 {
	return leastCPUTime(func() {
		for range count {
			n.now = n.now.Add(tickInterval)
			n.tick()
		}
	})
}
