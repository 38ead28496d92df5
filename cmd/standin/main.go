// Command standin runs the stand-ins (test doubles) for the systems around
// arbutusdock: the platform, the network fabric, backend servers and callers. It
// also reports their counters.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
)

// args holds the subcommands. See the README of internal/standin for examples.
type args struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"documents, watch and list of instances"`
	Fabric   *fabricCmd   `arg:"subcommand:fabric" help:"sprays callers' datagrams over the instances"`
	Backend  *backendCmd  `arg:"subcommand:backend" help:"all backend servers of the service documents"`
	Caller   *callerCmd   `arg:"subcommand:caller" help:"callers of one user"`
	Report   *reportCmd   `arg:"subcommand:report" help:"sums up counts and judges the promises"`
	Generate *generateCmd `arg:"subcommand:generate" help:"writes settings and documents for loopback addresses"`
	HTTP     *httpCmd     `arg:"subcommand:http" help:"sends one control request"`
}

// Description returns the text that --help shows.
func (args) Description() string {
	return "Stand-ins for the world around arbutusdock. All addresses are loopback addresses."
}

// errGuaranteeBroken means that the report, which is already printed, lists
// violated guarantees.
var errGuaranteeBroken = errors.New("the report lists violated guarantees")

func main() {
	var a args
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	var err error
	switch {
	case a.Platform != nil:
		err = a.Platform.run(ctx)
	case a.Fabric != nil:
		err = a.Fabric.run(ctx)
	case a.Backend != nil:
		err = a.Backend.run(ctx)
	case a.Caller != nil:
		err = a.Caller.run(ctx)
	case a.Report != nil:
		err = a.Report.run()
	case a.Generate != nil:
		err = a.Generate.run()
	case a.HTTP != nil:
		err = a.HTTP.run(ctx)
	default:
		p.Fail("a subcommand is required")
	}
	if err != nil {
		if !errors.Is(err, errGuaranteeBroken) {
			slog.Error("stand-in failed", "error", err)
		}
		os.Exit(1)
	}
}

// serve serves h at each address until ctx is cancelled or a server fails.
func serve(ctx context.Context, h http.Handler, addresses ...string) error {
	failed := make(chan error, len(addresses))
	for _, a := range addresses {
		l, err := net.Listen("tcp4", a)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", a)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		defer func() { _ = s.Close() }()
		go func() { failed <- s.Serve(l) }()
	}
	slog.Info("serving", "addresses", strings.Join(addresses, " "))
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return eris.Wrap(err, "serve")
	}
}

// parseAddresses parses "name=IP" pairs.
func parseAddresses(pairs []string) (map[string]netip.Addr, error) {
	m := map[string]netip.Addr{}
	for _, p := range pairs {
		name, ip, _ := strings.Cut(p, "=")
		a, err := netip.ParseAddr(ip)
		if err != nil {
			return nil, eris.Wrapf(err, "%q: want name=IP", p)
		}
		m[name] = a
	}
	return m, nil
}
