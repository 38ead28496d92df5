// Package documents is the client of the configuration service and
// instance list (HTTP with JSON, section 3.7 of docs/design.md). It only reads.
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
	// ReadTimeout bounds a call without a wait. The platform answers in
	// milliseconds when it is up.
	ReadTimeout = 2 * time.Second
	// WatchWait is the time for which the platform holds a watch, and WatchMargin
	// the time allowed beyond it. A connection that has gone silent is noticed
	// after their sum and replaced, within the 5 s in which a publication is to
	// take effect. Two watchers in each of ten data centres cause 7 reads a
	// second of the platform's 2,000.
	WatchWait   = 3 * time.Second
	WatchMargin = 1 * time.Second
	// MaxBody bounds a response. A page holds at most 1 MB of values; JSON
	// escaping can make them up to six times as long.
	MaxBody = 6<<20 + 256<<10

	maxDocuments = 1 << 16
	maxInstances = 1 << 14
	attempts     = 3
	backoffMin   = 100 * time.Millisecond
)

// Errors of a response that cannot be used.
var (
	ErrTooLarge = httpget.ErrTooLarge
	ErrOrder    = eris.New("platform: documents out of order of revision")
)

// Client reads from one platform address.
type Client struct {
	http *httpget.Client
	rand func() float64
}

// New returns a client for the platform at base, an http or https URL. random
// yields numbers from 0 to 1 for the jitter of retries; nil takes a default.
func New(base string, random func() float64) *Client {
	if random == nil {
		random = rand.Float64
	}
	return &Client{http: httpget.New(base, MaxBody), rand: random}
}

// Page is one page of publications.
type Page struct {
	Documents []core.Publication
	// UpToRevision is the revision up to which the page is complete. It is lower than
	// the revision asked for when the platform is stale.
	UpToRevision ids.Revision
	More         bool // further documents follow after UpToRevision
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

// Documents reads the publications after a revision. With watch it waits up
// to WatchWait for one; a page without documents then means that there was
// none. Failed calls are repeated with jittered back-off; the error is that of
// the last attempt.
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
	last := after
	for _, d := range b.Documents {
		if d.Revision <= last || d.Key == "" {
			return Page{}, ErrOrder
		}
		last = d.Revision
		p := core.Publication{Key: d.Key, Revision: d.Revision}
		if d.Value != nil {
			p.Value = []byte(*d.Value)
		}
		page.Documents = append(page.Documents, p)
	}
	if b.More && len(page.Documents) > 0 {
		// What follows is unknown, so the state is complete only up to here.
		page.UpToRevision = last
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

// Instances reads the list of live and leaving instances. Entries without a
// name or a valid address are left out; invalid counts them.
func (c *Client) Instances(ctx context.Context) (list []core.ListedInstance, invalid int, err error) {
	var body instancesBody
	if err := c.get(ctx, "/v1/instances", ReadTimeout, &body); err != nil {
		return nil, 0, eris.Wrap(err, "read instances")
	}
	if len(body.Instances) > maxInstances {
		return nil, 0, ErrTooLarge
	}
	for _, i := range body.Instances {
		if _, err := netip.ParseAddrPort(i.PeerAddr); err != nil || i.ID == "" || i.DataCentre == "" {
			invalid++
			continue
		}
		list = append(list, core.ListedInstance{ID: i.ID, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr, Leaving: i.Leaving})
	}
	return list, invalid, nil
}

// get repeats one call until it succeeds, at most attempts times.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration, body any) error {
	var err error
	for n := range attempts {
		if n > 0 && !c.pause(ctx, backoffMin<<n) {
			break
		}
		if err = c.http.Get(ctx, path, timeout, body); err == nil || errors.Is(err, ErrTooLarge) {
			return err
		}
	}
	return err
}

// pause waits between half of d and d, so that instances that failed together
// do not retry together. It reports false when ctx has ended.
func (c *Client) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + time.Duration(c.rand()*float64(d/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
