// Package documents is a read-only client of the platform's configuration
// documents and instance list (JSON over HTTP, section 3.7 of docs/design.md).
package documents

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/httpget"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// Limits of the client.
const (
	// ReadTimeout is the timeout of a read that does not wait for changes. A
	// platform that is up answers within milliseconds.
	ReadTimeout = 2 * time.Second
	// WatchWait is the time for which the platform delays its response to a
	// watch (long poll) when there are no changes. WatchMargin is added to it
	// for the client's timeout. A connection on which nothing arrives any more is
	// therefore replaced after 4 s, within the 5 s in which a published change
	// must take effect. Two watching instances in each of ten data centres cause
	// 7 reads/s; the platform supports 2,000 reads/s.
	WatchWait   = 3 * time.Second
	WatchMargin = 1 * time.Second
	// MaxBodyBytes is the maximum size of a response body. A page contains at
	// most 1 MB of values, which JSON escaping can make up to six times as long.
	MaxBodyBytes = 6<<20 + 256<<10

	maxDocuments = 1 << 16
	maxInstances = 1 << 14
	maxAttempts  = 3
	minBackoff   = 100 * time.Millisecond
)

// Errors returned for an invalid response of the platform.
var (
	ErrTooLarge = httpget.ErrTooLarge
	ErrOrder    = eris.New("platform: documents out of order of revision")
)

// Client reads from the platform at one address.
type Client struct {
	http   *httpget.Client
	random func() float64
}

// New returns a client for the platform at base, an http or https URL. random
// returns numbers from 0 to 1 for the jitter of retries; nil selects
// rand.Float64.
func New(base string, random func() float64) *Client {
	if random == nil {
		random = rand.Float64
	}
	return &Client{http: httpget.New(base, MaxBodyBytes, httpget.ContinuousReads), random: random}
}

// Page is one page of published documents.
type Page struct {
	Documents []core.Publication
	// UpToRevision is the revision up to which the page is complete. It is lower
	// than the requested revision if the platform returned stale data.
	UpToRevision ids.Revision
	More         bool // there are more documents after UpToRevision
}

type documentsBody struct {
	Upto      ids.Revision `json:"upto"`
	More      bool         `json:"more"`
	Documents []struct {
		Key      string       `json:"key"`
		Revision ids.Revision `json:"revision"`
		Value    *string      `json:"value"`
	} `json:"documents"`
}

// Documents reads the documents published after a revision. With watch it waits
// up to WatchWait for a new document and returns a page without documents if
// none was published. Failed calls are retried with exponential backoff and
// jitter; the error is that of the last attempt.
func (c *Client) Documents(ctx context.Context, after ids.Revision, watch bool) (Page, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	timeout := ReadTimeout
	if watch {
		query.Set("wait", strconv.Itoa(int(WatchWait/time.Second)))
		timeout = WatchWait + WatchMargin
	}
	var body documentsBody
	if err := c.get(ctx, "/v1/documents?"+query.Encode(), timeout, &body); err != nil {
		return Page{}, eris.Wrapf(err, "read documents after revision %d", after)
	}
	return body.page(after)
}

func (b *documentsBody) page(after ids.Revision) (Page, error) {
	if len(b.Documents) > maxDocuments {
		return Page{}, ErrTooLarge
	}
	page := Page{UpToRevision: b.Upto, More: b.More}
	lastRevision := after
	for _, d := range b.Documents {
		if d.Revision <= lastRevision || d.Key == "" {
			return Page{}, ErrOrder
		}
		lastRevision = d.Revision
		p := core.Publication{Key: d.Key, Revision: d.Revision}
		if d.Value != nil {
			p.Value = []byte(*d.Value)
		}
		page.Documents = append(page.Documents, p)
	}
	if b.More && len(page.Documents) > 0 {
		// The documents after the last one are unknown, so the page is complete
		// only up to that one.
		page.UpToRevision = lastRevision
	}
	return page, nil
}

type instancesBody struct {
	Instances []struct {
		ID         ids.Instance   `json:"id"`
		DataCentre ids.DataCentre `json:"data_centre"`
		PeerAddr   string         `json:"peer_addr"`
		Leaving    bool           `json:"leaving"`
	} `json:"instances"`
}

// Instances reads the list of live and leaving instances. Entries without an
// ID, a data centre or a valid address are omitted; invalid is their number.
func (c *Client) Instances(ctx context.Context) (list []core.ListedInstance, invalid int, err error) {
	var body instancesBody
	if err := c.get(ctx, "/v1/instances", ReadTimeout, &body); err != nil {
		return nil, 0, eris.Wrap(err, "read instances")
	}
	if len(body.Instances) > maxInstances {
		return nil, 0, ErrTooLarge
	}
	for _, entry := range body.Instances {
		if _, err := netip.ParseAddrPort(entry.PeerAddr); err != nil || entry.ID == "" || entry.DataCentre == "" {
			invalid++
			continue
		}
		list = append(list, core.ListedInstance{ID: entry.ID, DataCentre: entry.DataCentre, PeerAddr: entry.PeerAddr, Leaving: entry.Leaving})
	}
	return list, invalid, nil
}

// get sends a GET request and retries it until it succeeds, up to maxAttempts
// attempts in all.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration, body any) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !c.backOff(ctx, minBackoff<<attempt) {
			break
		}
		if err = c.http.Get(ctx, path, timeout, body); err == nil || errors.Is(err, ErrTooLarge) {
			return err
		}
	}
	return err
}

// backOff waits for a random time between d/2 and d, so that instances whose
// calls failed at the same time do not retry at the same time. It returns false
// if ctx ends first.
func (c *Client) backOff(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + time.Duration(c.random()*float64(d/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
