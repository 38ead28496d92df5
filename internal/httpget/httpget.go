// Package httpget reads JSON from an HTTP server with a bounded time and size.
// All reads from the users' platform and from the configuration service go
// through it.
package httpget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/progress"
)

// ErrTooLarge is the error of a response that exceeds the size limit.
var ErrTooLarge = eris.New("response exceeds the size limit")

// StatusError is a response with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Status, http.StatusText(e.Status))
}

// bodyPause bounds the pauses within a body. A server in reach sends at least a
// segment in this time.
const bodyPause = 500 * time.Millisecond

// connectTimeout bounds the opening of a connection. A server behind a
// partition does not respond at all; one in reach answers in milliseconds.
const connectTimeout = 700 * time.Millisecond

// Client reads from one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	maxBody int64
	http    *http.Client
}

// New returns a client for base, an http or https URL without a trailing
// slash. maxBody bounds a response, in bytes.
func New(base string, maxBody int64) *Client {
	return &Client{
		base:    base,
		maxBody: maxBody,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
				DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// BaseURL returns the base URL, for errors and logs.
func (c *Client) BaseURL() string { return c.base }

// Get reads path, which may have a query, into body. The response begins within
// timeout; a body takes as long as it makes progress, so that a large one over a
// slow link is not given up and begun again. A connection on which a call fails is
// not used again, since it may have gone silent. The error is
// context.DeadlineExceeded for a response that does not begin or goes silent, a
// *StatusError for a status other than 200, ErrTooLarge for a response above the
// size limit, or that of the connection or the decoder; it names the server.
func (c *Client) Get(ctx context.Context, path string, timeout time.Duration, body any) error {
	ctx, monitor, stop := progress.Watch(ctx, timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "read from %s", c.base)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or is given up
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(&StatusError{response.StatusCode}, "read from %s", c.base)
	}
	monitor.Begin(bodyPause)
	data, err := io.ReadAll(io.LimitReader(monitor.Reader(response.Body), c.maxBody+1))
	if err != nil {
		return eris.Wrapf(err, "read body from %s", c.base)
	}
	if int64(len(data)) > c.maxBody {
		return ErrTooLarge
	}
	return eris.Wrapf(json.Unmarshal(data, body), "decode body from %s", c.base)
}
