// Package httpget reads JSON from an HTTP server with limits on time and size. It is
// used for all reads from the users' platform and from the configuration service.
package httpget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/progress"
)

// ErrTooLarge is returned for a response that exceeds the size limit.
var ErrTooLarge = eris.New("response exceeds the size limit")

// StatusError is the error for a response with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Status, http.StatusText(e.Status))
}

// bodyStallTimeout bounds the time for which the transfer of a body may stall. A
// reachable server sends at least one segment within it.
const bodyStallTimeout = 500 * time.Millisecond

// connectTimeout bounds the set-up of a connection. A reachable server accepts within
// milliseconds; one behind a network partition does not respond at all.
const connectTimeout = 700 * time.Millisecond

// ContinuousReads is the maxIdle of a client that waits for changes in one read after the
// other. Its pauses between two reads, and before a retry, are at most 0.6 s.
const ContinuousReads = time.Second

// Client reads from one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	maxBody int64
	http    *http.Client
}

// New returns a client for base, an http or https URL without a trailing slash.
// maxBody is the maximum size of a response body in bytes. A connection that has been
// idle for longer than maxIdle is not used again: it may have gone silent meanwhile,
// which only the timeout of a request would show.
func New(base string, maxBody int64, maxIdle time.Duration) *Client {
	return &Client{
		base:    base,
		maxBody: maxBody,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     maxIdle,
				DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// BaseURL returns the base URL, for error messages and logs.
func (c *Client) BaseURL() string { return c.base }

// Get requests path, which may include a query, and decodes the response into body.
// The response must begin within timeout. The transfer of the body may then take any
// time as long as it makes progress, so that a large one over a slow link is not
// aborted and restarted. A connection on which a request fails is not reused, since it
// may have become unresponsive. The error is context.DeadlineExceeded for a response
// that does not begin or stalls, a *StatusError for a status other than 200,
// ErrTooLarge for a response above the size limit, or the error of the connection or
// the decoder. All but ErrTooLarge name the server; those without a response also tell
// how long a connection that was used before had been idle.
func (c *Client) Get(ctx context.Context, path string, timeout time.Duration, body any) error {
	return c.GetWithHeader(ctx, path, timeout, body, func(http.Header) {})
}

// GetWithHeader is like Get and passes the header of the response to header, whatever
// its status is.
func (c *Client) GetWithHeader(ctx context.Context, path string, timeout time.Duration, body any, header func(http.Header)) error {
	ctx, monitor, stop := progress.Watch(ctx, timeout)
	defer stop()
	var conn httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i }})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil && conn.Reused {
		return eris.Wrapf(err, "read from %s over a connection that was idle for %s", c.base, conn.IdleTime.Round(time.Millisecond))
	}
	if err != nil {
		return eris.Wrapf(err, "read from %s", c.base)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or is discarded
	header(response.Header)
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(&StatusError{response.StatusCode}, "read from %s", c.base)
	}
	monitor.Begin(bodyStallTimeout)
	data, err := io.ReadAll(io.LimitReader(monitor.Reader(response.Body), c.maxBody+1))
	if err != nil {
		return eris.Wrapf(err, "read body from %s", c.base)
	}
	if int64(len(data)) > c.maxBody {
		return ErrTooLarge
	}
	return eris.Wrapf(json.Unmarshal(data, body), "decode body from %s", c.base)
}
