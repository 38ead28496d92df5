package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/fanout"
	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/platform"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// serveReady serves the readiness probe of the fabric.
func (f *Forwarder) serveReady() (*http.Server, error) {
	return f.serveHTTP("probes", f.settings.Ready, platform.ReadyHandler(f.serving))
}

// serveHTTP starts a server for handler and returns it.
func (f *Forwarder) serveHTTP(name string, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s on %s", name, address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error("listener-failed", "listener", name, "error", err)
		}
	}()
	return server, nil
}

// startSource returns the source of updates: other instances and the platform, or the
// platform alone if no interface between instances is configured. With such an
// interface it also starts the server and the announcements.
func (f *Forwarder) startSource(ctx context.Context) (follow.Source, error) {
	timing := follow.TimingFor(f.settings.UpdateWithin())
	store := follow.Paced(platform.NewStore(f.settings.Platform.String()), timing.Interval)
	if !f.settings.Control.IsValid() {
		return store, nil
	}
	mux := http.NewServeMux()
	fanout.NewServer(f.state, fanout.NewDirectory(), f.log).Register(mux)
	server, err := f.serveHTTP("instances", f.settings.Control, mux)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // error ignored: the process is exiting
	source := fanout.NewSource(store, fanout.Config{
		DataCentre:      f.settings.DataCentre,
		Self:            fanout.Instance{ID: f.settings.Instance, Address: f.settings.Advertise},
		Seeds:           strings.FieldsFunc(f.settings.Seeds, func(r rune) bool { return r == ',' }),
		MaxAge:          timing.Wait + timing.Timeout,
		Log:             f.log,
		State:           f.state,
		OnInstanceCount: func(n int) { f.submit(ctx, func() { f.core.SetInstances(n) }) },
		OnRead:          f.metrics.countRead,
		WantsMembers:    f.limitsColdTargets.Load,
		OnMembers:       func(v fanout.MembersView) { f.submit(ctx, func() { f.setMembers(&v) }) },
	})
	f.fanoutSource = source
	announceCtx, cancel := context.WithCancel(ctx)
	f.stopAnnouncing = cancel
	go source.Announce(announceCtx)
	return source, nil
}
