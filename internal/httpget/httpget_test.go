package httpget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against accepting a response that is too large, late, redirected, of another
// status or not JSON, against errors that do not name the server or the use of a silent
// connection, and against aborting the transfer of a body while it makes progress.
func TestGet(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/good":
			_, _ = io.WriteString(w, `{"n":7}`)
		case "/large":
			_, _ = io.WriteString(w, `{"n":7,"pad":"`+strings.Repeat("x", 200)+`"}`)
		case "/text":
			_, _ = io.WriteString(w, "hello")
		case "/moved":
			http.Redirect(w, r, "/good", http.StatusFound)
		case "/slow":
			<-r.Context().Done()
		case "/piecemeal": // takes longer than the timeout for the start of a response
			for _, piece := range []string{`{"pad":"`, strings.Repeat("x", 50), `",`, `"n":`, `7}`} {
				_, _ = io.WriteString(w, piece)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(40 * time.Millisecond)
			}
		case "/broken":
			_, _ = io.WriteString(w, `{"n":`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	c := New(s.URL, 100, time.Minute)
	get := func(path string) error {
		var body struct{ N int }
		err := c.Get(context.Background(), path, 100*time.Millisecond, &body)
		assert.Assert(t, err != nil || body.N == 7)
		return err
	}
	assert.NilError(t, get("/good"))
	assert.ErrorIs(t, get("/large"), ErrTooLarge)
	var status *StatusError
	assert.Assert(t, errors.As(get("/down"), &status) && status.Status == http.StatusServiceUnavailable)
	assert.Assert(t, errors.As(get("/moved"), &status) && status.Status == http.StatusFound)
	assert.ErrorContains(t, get("/down"), "read from "+s.URL+": status 503")
	assert.ErrorContains(t, get("/text"), "decode body from "+s.URL)
	assert.ErrorIs(t, get("/slow"), context.DeadlineExceeded)
	assert.NilError(t, get("/good"))
	assert.ErrorContains(t, get("/slow"), "read from "+s.URL+" over a connection that was idle for ")
	assert.NilError(t, get("/piecemeal"))
	assert.ErrorIs(t, get("/broken"), context.DeadlineExceeded)
}

// Guards against a request that waits for its timeout on a connection that has gone
// silent while it was idle.
func TestIdleConnectionIsNotReused(t *testing.T) {
	const maxIdle = 50 * time.Millisecond
	used := map[string]bool{} // connections that have served a request, by the address of the client
	var mu sync.Mutex
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		silent := used[r.RemoteAddr]
		used[r.RemoteAddr] = true
		mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	c := New(s.URL, 100, maxIdle)
	get := func() error {
		var body struct{}
		return c.Get(context.Background(), "/", 100*time.Millisecond, &body)
	}
	assert.NilError(t, get())
	assert.ErrorIs(t, get(), context.DeadlineExceeded) // reused at once, and silent
	assert.NilError(t, get())
	time.Sleep(2 * maxIdle)
	assert.NilError(t, get())
}
