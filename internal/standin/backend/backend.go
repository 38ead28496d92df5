// Package backend is the stand-in for backend servers: CoAP servers with a limited
// number of slots, a short queue, feeds and block-wise responses, whose health
// reports can be delayed or wrong. All servers of one process share a counter of
// executions by request id.
package backend

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	coapnet "github.com/plgd-dev/go-coap/v3/net"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/pkg/runner/periodic"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/config"
)

const (
	// ackTimeout and maxRetransmit are the CoAP transmission parameters of the
	// servers. On loopback the default ACK_TIMEOUT of 2 s is not needed.
	ackTimeout    = 500 * time.Millisecond
	maxRetransmit = 4
	// retransmitCheckInterval is the interval at which go-coap checks for messages
	// to retransmit. Its default of 4 s is longer than ackTimeout.
	retransmitCheckInterval = 50 * time.Millisecond
	// maxFeeds limits the open feeds of one backend server.
	maxFeeds = 2000
	// healthSampleInterval is the interval at which the health state is recorded
	// for delayed health reports.
	healthSampleInterval = 100 * time.Millisecond
	maxHealthSamples     = 600
)

// Options configures a Group.
type Options struct {
	Services      []config.Service
	DataCentre    string                   // only targets of this data centre; empty: all
	RunTime       map[string]time.Duration // average run time of a short request by service; default 20 ms
	LongRunFactor int                      // run time of a long request as a multiple of that of a short one
	QueueLimit    int                      // maximum number of requests that wait for a slot
	FeedInterval  time.Duration            // time between two readings of a feed
	DrainGrace    time.Duration            // time from the start of a drain until open feeds are closed
	ColdPeriod    time.Duration            // time after a cold start during which requests run slower
	Logger        *slog.Logger
}

// Group is the set of backend servers of one process.
type Group struct {
	opt        Options
	epoch      time.Time // start of the sequence numbers of all feeds
	executions executionCounter
	servers    []*Server
	done       chan struct{}
	goroutines sync.WaitGroup
	closeOnce  sync.Once
}

// Start starts a server for each target of the services.
func Start(opt Options) (*Group, error) {
	if opt.Logger == nil {
		opt.Logger = slog.Default()
	}
	g := &Group{opt: opt, epoch: time.Now(), done: make(chan struct{}), executions: newExecutionCounter()}
	retransmitRunner := periodic.New(g.done, retransmitCheckInterval)
	for _, svc := range opt.Services {
		for _, t := range svc.Targets {
			if opt.DataCentre != "" && string(t.DataCentre) != opt.DataCentre {
				continue
			}
			s := newServer(g, string(svc.Name), t)
			l, err := coapnet.NewListenUDP("udp4", t.Address.String())
			if err != nil {
				g.Close()
				return nil, eris.Wrapf(err, "listen for target %s of service %s", t.Name, svc.Name)
			}
			s.coap = udp.NewServer(
				options.WithHandlerFunc(s.handle),
				options.WithRequestMonitor(s.filterMessage),
				options.WithProcessReceivedMessageFunc(processInGoroutine),
				options.WithBlockwise(false, 0, time.Second),
				options.WithTransmission(1, ackTimeout, maxRetransmit),
				options.WithPeriodicRunner(retransmitRunner),
				options.WithInactivityMonitor(time.Hour, func(*client.Conn) {}),
				options.WithErrors(func(err error) { opt.Logger.Debug("coap", "target", t.Name, "error", err) }),
			)
			g.servers = append(g.servers, s)
			g.goroutines.Go(func() {
				if err := s.coap.Serve(l); err != nil {
					opt.Logger.Error("serve", "target", t.Name, "error", err)
				}
				_ = l.Close()
			})
		}
	}
	g.goroutines.Go(g.sampleHealth)
	return g, nil
}

// Close stops all servers.
func (g *Group) Close() {
	g.closeOnce.Do(func() { close(g.done) })
	for _, s := range g.servers {
		s.coap.Stop()
	}
	g.goroutines.Wait()
}

// Handler returns the handler of the HTTP API: GET /health/<service>/<target>, PUT
// /control and GET /counts.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/{service}/{target}", g.handleHealth)
	mux.HandleFunc("PUT /control", g.handleControl)
	mux.HandleFunc("GET /counts", g.handleCounts)
	return mux
}

func (g *Group) sampleHealth() {
	t := time.NewTicker(healthSampleInterval)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case now := <-t.C:
			for _, s := range g.servers {
				s.sampleHealth(now)
			}
		}
	}
}
