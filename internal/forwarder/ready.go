package forwarder

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/platform"
)

// probeTimeout bounds the reading of a probe and the writing of its answer.
const probeTimeout = 5 * time.Second

// serveReady answers the readiness probe of the fabric.
func (f *Forwarder) serveReady() (*http.Server, error) {
	listener, err := net.Listen("tcp4", f.settings.Ready.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for probes on %s", f.settings.Ready)
	}
	server := &http.Server{
		Handler:           platform.ReadyHandler(f.serving),
		ReadHeaderTimeout: probeTimeout,
		WriteTimeout:      probeTimeout,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error("probe-listener-failed", "error", err)
		}
	}()
	return server, nil
}
