package daemon

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/documents"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/syncbuf"
)

// Guards against a restored configuration service whose changes have no effect, without
// a word: its revisions are below those that it gave out before.
func TestPlatformBehindIsLogged(t *testing.T) {
	upto := "7"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"documents":[],"upto":`+upto+`}`)
	}))
	defer server.Close()
	var log syncbuf.Buffer
	read := make(chan struct{})
	w := &platformWatcher{client: documents.New(server.URL, func() float64 { return 0.5 }), requests: ring.New[readRequest](4),
		pushEvent: func(controlEvent) { read <- struct{}{} }, log: slog.New(slog.NewTextHandler(&log, nil))}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.watchDocuments(ctx)
	for _, upto = range []string{"9", "5", "5", "12"} {
		assert.Assert(t, w.requests.Push(readRequest{after: 8}))
		<-read
	}
	assert.Equal(t, strings.Count(log.String(), "\n"), 2, log.String())
	assert.Assert(t, strings.Contains(log.String(), "msg=platform-behind upto=5 known=8") && strings.Contains(log.String(), "msg=platform-caught-up upto=12"), log.String())
}
