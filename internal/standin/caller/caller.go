// Package caller is the stand-in for the callers of the users board and kelani: a
// load generator that uses an unmodified go-coap client. It sends the mix of
// requests and feeds of one user, verifies each response and counts failures.
package caller

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/pkg/runner/periodic"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// Classes of requests and feeds.
const (
	Watch            = "watch"
	WatchFeed        = "watch feed"
	Claim            = "claim"
	Slip             = "slip"
	AlarmFeed        = "alarm feed"
	CheckIn          = "check-in"
	Certificate      = "certificate"
	LargeCertificate = "large certificate"
	OutcomeQuery     = "outcome query"
)

// largeCertificateShare is the fraction of certificate requests that are for large
// certificates, which take long to produce.
const largeCertificateShare = 0.02

// Source describes a stream of operations of one class.
type Source struct {
	Class   string
	Service string
	Rate    float64 // operations per second over all callers
}

// FeedSource describes a set of open feeds of one class.
type FeedSource struct {
	Class   string
	Service string
	Path    string // the number of the feed is appended
	Count   int
}

// Options configures a Generator.
type Options struct {
	User         string
	PublicIPs    map[string]netip.Addr // public IP by data centre
	Ports        map[string]uint16     // UDP port by service
	Sources      []Source
	Feeds        []FeedSource
	PartnerHosts []string   // Uri-Host of the partners
	FirstLocalIP netip.Addr // source IP address of the first caller; the next callers use the following ones, up to .240
	Callers      int        // number of callers for each service and data centre
	Duration     time.Duration
	Deadline     time.Duration // time limit for a response, not counting the time for retransmissions
	// AckTimeout is the transmission parameter ACK_TIMEOUT of CoAP; 0: 500 ms.
	AckTimeout      time.Duration
	RefreshInterval time.Duration // interval at which the registration of a feed is refreshed
	SilenceTimeout  time.Duration // time without a reading after which a feed counts as silent
	BurstFactor     float64       // factor of the rate during 2 s of every 10 s; 0 or 1: constant rate
	ZipfExponent    float64       // exponent (above 1) of the Zipf distribution of requests over resources; 0: uniform
	Seed            int64
}

// Mix returns the sources of a user for a total of rate requests per second and
// the given number of feeds.
func Mix(user string, rate float64, feeds int) ([]Source, []FeedSource, error) {
	switch user {
	case "board":
		return []Source{
			{Class: Watch, Service: "counter", Rate: 0.6 * rate},
			{Class: Claim, Service: "counter", Rate: 0.25 * rate},
			{Class: Slip, Service: "slip", Rate: 0.15 * rate},
		}, []FeedSource{{Class: WatchFeed, Service: "counter", Path: "/depots/", Count: feeds}}, nil
	case "kelani":
		return []Source{
			{Class: CheckIn, Service: "alarm", Rate: 0.6 * rate},
			{Class: Certificate, Service: "certificate", Rate: 0.4 * rate},
		}, []FeedSource{{Class: AlarmFeed, Service: "alarm", Path: "/sites/", Count: feeds}}, nil
	}
	return nil, nil, fmt.Errorf("unknown user %q: want board or kelani", user)
}

// Generator generates the load of one user.
type Generator struct {
	opt   Options
	stats *stats
	conns map[string][]*callerConn // by service, or "feed " and service
}

// New returns a Generator and opens the connections of all its callers.
func New(ctx context.Context, opt Options) (*Generator, error) {
	if opt.AckTimeout == 0 {
		opt.AckTimeout = defaultAckTimeout
	}
	g := &Generator{opt: opt, stats: newStats(opt.User), conns: map[string][]*callerConn{}}
	d := &dialer{retransmitRunner: periodic.New(ctx.Done(), retransmitCheckInterval), ackTimeout: opt.AckTimeout}
	services := map[string]bool{}
	for _, s := range opt.Sources {
		services[s.Service] = true
	}
	for s := range services {
		if err := g.openConns(d, s, opt.Callers, s); err != nil {
			return nil, err
		}
	}
	for _, s := range opt.Feeds {
		// Feeds use separate connections: go-coap skips half of its message ids
		// whenever a confirmable notification has a message id close to them.
		if err := g.openConns(d, s.Service, (s.Count+1)/2, "feed "+s.Service); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *Generator) openConns(d *dialer, service string, count int, key string) error {
	var dcs []string
	for dc := range g.opt.PublicIPs {
		dcs = append(dcs, dc)
	}
	sort.Strings(dcs)
	local := g.opt.FirstLocalIP
	for _, dc := range dcs {
		for i := range count {
			to := netip.AddrPortFrom(g.opt.PublicIPs[dc], g.opt.Ports[service])
			cc, err := d.dial(local, to)
			if err != nil {
				return err
			}
			conn := &callerConn{caller: fmt.Sprintf("%s-%s-%d", g.opt.User, dc, len(g.conns[key])), coap: cc, ackTimeout: d.ackTimeout}
			if key != service {
				conn.caller += "f"
			}
			if len(g.opt.PartnerHosts) > 0 {
				conn.host = g.opt.PartnerHosts[i%len(g.opt.PartnerHosts)]
			}
			g.conns[key] = append(g.conns[key], conn)
			local = local.Next()
			if b := local.As4(); b[3] > 240 {
				local = g.opt.FirstLocalIP
			}
		}
	}
	return nil
}

// Run generates load for Options.Duration, waits until all operations have ended
// and returns the counters.
func (g *Generator) Run(ctx context.Context) wire.CallerResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var requests, feeds sync.WaitGroup
	for i, s := range g.opt.Feeds {
		conns := g.conns["feed "+s.Service]
		for n := range s.Count {
			f := &feed{
				generator: g, conn: conns[n%len(conns)], class: s.Class, service: s.Service,
				path: fmt.Sprintf("%s%d", s.Path, n), operation: uint64(1+i)<<32 + uint64(n),
			}
			g.stats.updateClass(s.Class, func(k *wire.ClassCounts) { k.Started++ })
			feeds.Go(func() { f.run(ctx) })
		}
	}
	for i, s := range g.opt.Sources {
		requests.Go(func() { g.generateOperations(ctx, s, int64(i), &requests) })
	}
	requests.Wait()
	cancel()
	feeds.Wait()
	for _, conns := range g.conns {
		for _, conn := range conns {
			_ = conn.coap.Close()
		}
	}
	return g.stats.summary()
}

// generateOperations starts the operations of one source as a Poisson process.
func (g *Generator) generateOperations(ctx context.Context, s Source, index int64, requests *sync.WaitGroup) {
	rng := rand.New(rand.NewSource(g.opt.Seed + index))
	pickResource := func(n uint64) uint64 { return uint64(rng.Int63n(int64(n))) }
	if g.opt.ZipfExponent > 1 {
		zipf := rand.NewZipf(rng, g.opt.ZipfExponent, 1, 1<<20)
		pickResource = func(n uint64) uint64 { return zipf.Uint64() % n }
	}
	conns := slices.Clone(g.conns[s.Service])
	began := time.Now()
	next := began
	for number := uint64(index+1) << 40; ; number++ {
		rate := s.Rate
		if g.opt.BurstFactor > 1 && int(time.Since(began)/time.Second)%10 >= 8 {
			rate *= g.opt.BurstFactor
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(began) > g.opt.Duration || !sleep(ctx, time.Until(next)) {
			return
		}
		op := operation{class: s.Class, service: s.Service}
		switch s.Class {
		case Watch:
			op.path = fmt.Sprintf("/depots/%d", pickResource(200))
		case Claim:
			op.path, op.post = fmt.Sprintf("/lots/%d", pickResource(500)), true
		case Slip:
			op.path = fmt.Sprintf("/slips/%d", pickResource(1000))
		case CheckIn:
			op.path, op.post = fmt.Sprintf("/passes/%d", pickResource(500)), true
		case Certificate:
			op.path = fmt.Sprintf("/certificates/%d", pickResource(200))
			if rng.Float64() < largeCertificateShare {
				op.class, op.large = LargeCertificate, true
				op.path = fmt.Sprintf("/certificates/large%d", pickResource(4))
			}
		}
		n, conn := number, conns[rng.Intn(len(conns))]
		requests.Go(func() { g.perform(ctx, conn, op, n) })
	}
}
