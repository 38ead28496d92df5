// Package caller is the stand-in for the callers of both users: an unmodified
// go-coap client that runs their mixes of requests and feeds, verifies every
// answer and counts what did not arrive.
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

// largeShare is the share of certificates that take long to produce.
const largeCertificateShare = 0.02

// Source is a stream of operations of one class.
type Source struct {
	Class   string
	Service string
	Rate    float64 // operations a second over all callers
}

// FeedSource is a number of open feeds of one class.
type FeedSource struct {
	Class   string
	Service string
	Path    string // the number of the feed is appended
	Count   int
}

// Options configure a Caller.
type Options struct {
	User         string
	PublicIPs    map[string]netip.Addr // public IP by data centre
	Ports        map[string]uint16     // UDP port by service
	Sources      []Source
	Feeds        []FeedSource
	PartnerHosts []string   // Uri-Host of the partners
	FirstLocalIP netip.Addr // first of the callers' own IPs
	Callers      int        // callers by service and data centre
	Duration     time.Duration
	Deadline     time.Duration // for an answer, before retransmission is taken into account
	// AckTimeout is the transmission parameter ACK_TIMEOUT of CoAP; 0: 500 ms.
	AckTimeout      time.Duration
	RefreshInterval time.Duration // of the registration of a feed
	SilenceTimeout  time.Duration // time without a reading after which a feed is silent
	BurstFactor     float64       // factor of the demand in a burst: 2 s in every 10 s; 0 or 1: steady
	ZipfExponent    float64       // exponent (above 1) of the demand over resources; 0: uniform
	Seed            int64
}

// Mix returns the sources of a user at a total of rate requests a second and
// with the given number of feeds.
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

// Caller runs the mix of one user.
type Generator struct {
	opt   Options
	stats *stats
	conns map[string][]*callerConn // by service
}

// New opens the connections of all callers.
func New(ctx context.Context, opt Options) (*Generator, error) {
	if opt.AckTimeout == 0 {
		opt.AckTimeout = defaultAckTimeout
	}
	c := &Generator{opt: opt, stats: newStats(opt.User), conns: map[string][]*callerConn{}}
	d := &dialer{retransmitRunner: periodic.New(ctx.Done(), retransmitCheckInterval), ackTimeout: opt.AckTimeout}
	services := map[string]bool{}
	for _, s := range opt.Sources {
		services[s.Service] = true
	}
	for s := range services {
		if err := c.openConns(d, s, opt.Callers, s); err != nil {
			return nil, err
		}
	}
	for _, s := range opt.Feeds {
		// Feeds have connections of their own: go-coap skips half of its message
		// ids whenever a confirmable notification comes close to them.
		if err := c.openConns(d, s.Service, (s.Count+1)/2, "feed "+s.Service); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Generator) openConns(d *dialer, service string, count int, key string) error {
	var dcs []string
	for dc := range c.opt.PublicIPs {
		dcs = append(dcs, dc)
	}
	sort.Strings(dcs)
	local := c.opt.FirstLocalIP
	for _, dc := range dcs {
		for i := range count {
			to := netip.AddrPortFrom(c.opt.PublicIPs[dc], c.opt.Ports[service])
			cc, err := d.dial(local, to)
			if err != nil {
				return err
			}
			n := &callerConn{caller: fmt.Sprintf("%s-%s-%d", c.opt.User, dc, len(c.conns[key])), coap: cc}
			if key != service {
				n.caller += "f"
			}
			if len(c.opt.PartnerHosts) > 0 {
				n.host = c.opt.PartnerHosts[i%len(c.opt.PartnerHosts)]
			}
			c.conns[key] = append(c.conns[key], n)
			local = local.Next()
			if b := local.As4(); b[3] > 240 {
				local = c.opt.FirstLocalIP
			}
		}
	}
	return nil
}

// Run runs the mix for the duration, waits for the answers of all requests and
// returns the counts.
func (c *Generator) Run(ctx context.Context) wire.CallerResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var requests, feeds sync.WaitGroup
	for i, s := range c.opt.Feeds {
		conns := c.conns["feed "+s.Service]
		for n := range s.Count {
			f := &feed{
				generator: c, conn: conns[n%len(conns)], class: s.Class, service: s.Service,
				path: fmt.Sprintf("%s%d", s.Path, n), operation: uint64(1+i)<<32 + uint64(n),
			}
			c.stats.updateClass(s.Class, func(k *wire.ClassCounts) { k.Started++ })
			feeds.Go(func() { f.run(ctx) })
		}
	}
	for i, s := range c.opt.Sources {
		requests.Go(func() { c.generateOperations(ctx, s, int64(i), &requests) })
	}
	requests.Wait()
	cancel()
	feeds.Wait()
	for _, conns := range c.conns {
		for _, n := range conns {
			_ = n.coap.Close()
		}
	}
	return c.stats.summary()
}

// generate starts the operations of one source as a Poisson process.
func (c *Generator) generateOperations(ctx context.Context, s Source, index int64, all *sync.WaitGroup) {
	rng := rand.New(rand.NewSource(c.opt.Seed + index))
	choose := func(n uint64) uint64 { return uint64(rng.Int63n(int64(n))) }
	if c.opt.ZipfExponent > 1 {
		zipf := rand.NewZipf(rng, c.opt.ZipfExponent, 1, 1<<20)
		choose = func(n uint64) uint64 { return zipf.Uint64() % n }
	}
	conns := slices.Clone(c.conns[s.Service])
	began := time.Now()
	next := began
	for number := uint64(index+1) << 40; ; number++ {
		rate := s.Rate
		if c.opt.BurstFactor > 1 && int(time.Since(began)/time.Second)%10 >= 8 {
			rate *= c.opt.BurstFactor
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(began) > c.opt.Duration || !sleep(ctx, time.Until(next)) {
			return
		}
		op := operation{class: s.Class, service: s.Service}
		switch s.Class {
		case Watch:
			op.path = fmt.Sprintf("/depots/%d", choose(200))
		case Claim:
			op.path, op.post = fmt.Sprintf("/lots/%d", choose(500)), true
		case Slip:
			op.path = fmt.Sprintf("/slips/%d", choose(1000))
		case CheckIn:
			op.path, op.post = fmt.Sprintf("/passes/%d", choose(500)), true
		case Certificate:
			op.path = fmt.Sprintf("/certificates/%d", choose(200))
			if rng.Float64() < largeCertificateShare {
				op.class, op.large = LargeCertificate, true
				op.path = fmt.Sprintf("/certificates/large%d", choose(4))
			}
		}
		n, conn := number, conns[rng.Intn(len(conns))]
		all.Go(func() { c.perform(ctx, conn, op, n) })
	}
}
