package documents

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.URL, func() float64 { return 0 })
}

// Guards against a request or a page that differs from section 3.7, against a
// deleted document that is decoded as an empty one, and against skipping
// documents because the revision in an incomplete page is used as the revision
// up to which the page is complete.
func TestDocuments(t *testing.T) {
	var query string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RequestURI()
		_, _ = io.WriteString(w, `{"upto":9,"more":true,"documents":[{"key":"service/x","revision":4,"value":"a"},{"key":"profile/y","revision":5,"value":null}]}`)
	})
	page, err := c.Documents(context.Background(), 3, true)
	assert.NilError(t, err)
	assert.Equal(t, query, "/v1/documents?after=3&wait=3")
	assert.DeepEqual(t, page, Page{UpToRevision: 5, More: true, Documents: []core.Publication{
		{Key: "service/x", Revision: 4, Value: []byte("a")}, {Key: "profile/y", Revision: 5}}})
}

// Guards against losing the lower revision that shows that the platform's data
// are stale.
func TestStaleRevision(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"upto":2,"documents":[]}`) })
	page, err := c.Documents(context.Background(), 3, false)
	assert.NilError(t, err)
	assert.Equal(t, page.UpToRevision, ids.Revision(2))
}

// Guards against calls that are not retried after a failure.
func TestRetries(t *testing.T) {
	calls := 0
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls < maxAttempts {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = io.WriteString(w, `{"upto":1}`)
	})
	_, err := c.Documents(context.Background(), 0, false)
	assert.NilError(t, err)
	assert.Equal(t, calls, maxAttempts)
}

// Guards against invalid responses being accepted, and against response bodies
// of any size being read.
func TestBadResponses(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":       `upto`,
		"out of order":  `{"upto":9,"documents":[{"key":"a","revision":5},{"key":"b","revision":4}]}`,
		"old document":  `{"upto":9,"documents":[{"key":"a","revision":2}]}`,
		"no key":        `{"upto":9,"documents":[{"key":"","revision":5}]}`,
		"negative":      `{"upto":-1}`,
		"endless value": `{"upto":1,"documents":[{"key":"a","revision":5,"value":"` + strings.Repeat("x", MaxBodyBytes) + `"}]}`,
	} {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := c.Documents(context.Background(), 3, false)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against calls that do not end when the platform accepts connections but
// never responds.
func TestUnresponsivePlatform(t *testing.T) {
	release := make(chan struct{})
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { <-release })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err := c.Instances(ctx)
	close(release)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// Guards against one invalid entry causing the rest of the list to be rejected.
func TestInstances(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"instances":[{"id":"a","data_centre":"x","peer_addr":"127.0.0.1:1","caller_ip":"127.0.0.1","leaving":true},{"id":"b","data_centre":"x","peer_addr":"nowhere"}]}`)
	})
	list, invalid, err := c.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, invalid, 1)
	assert.DeepEqual(t, list, []core.ListedInstance{{ID: ids.Instance("a"), DataCentre: "x", PeerAddr: "127.0.0.1:1", Leaving: true}})
}
