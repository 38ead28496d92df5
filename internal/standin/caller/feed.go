package caller

import (
	"bytes"
	"context"
	"math/rand/v2"
	"path"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

const (
	// registerFor bounds a registration or a refresh.
	registerFor = 5 * time.Second
	// registerPause is the wait between two attempts to register.
	registerPause = 500 * time.Millisecond
	// feedCheck is the interval at which a feed is checked for silence.
	feedCheck = 100 * time.Millisecond
)

// feed is one open feed of a caller.
type feed struct {
	c       *Generator
	conn    *conn
	class   string
	service string
	path    string
	number  uint64

	mu      sync.Mutex
	token   message.Token
	attempt int
	seq     uint64
	last    time.Time // of the last reading; zero before the first
	ended   string    // reason for which the feed ended
	broken  *wire.Failure
}

func (f *feed) id() string {
	return wire.ID{Service: f.service, Caller: f.conn.name, Operation: f.number, Attempt: f.attempt}.String()
}

// run holds the feed open until ctx ends. It refreshes the registration, and
// registers again when the feed has ended or is silent.
func (f *feed) run(ctx context.Context) {
	opt := f.c.opt
	cancel := f.register(ctx)
	refresh := time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(opt.RefreshInterval)))
	for sleep(ctx, feedCheck) {
		f.mu.Lock()
		kind, detail := "", f.ended
		switch {
		case f.ended != "":
			kind = wire.KindFeedEnded
		case f.last.IsZero() || f.broken != nil:
			kind = "not registered"
		case time.Since(f.last) > opt.SilenceTimeout:
			kind, detail = wire.KindFeedSilent, "no reading for "+opt.SilenceTimeout.String()
		}
		if f.broken == nil && !f.last.IsZero() && kind != "" {
			f.broken = &wire.Failure{ID: f.id(), Class: f.class, Kind: kind, Detail: detail, Start: f.last.UnixMilli()}
			f.c.stats.feeds(func(n *wire.FeedCounts) { n.Breaks++ })
		}
		f.mu.Unlock()
		switch {
		case kind != "":
			cancel()
			if sleep(ctx, registerPause) {
				cancel = f.register(ctx)
			}
		case time.Now().After(refresh):
			refresh = time.Now().Add(opt.RefreshInterval)
			f.refresh(ctx)
		}
	}
	f.mu.Lock()
	if f.broken != nil {
		f.c.stats.fail(*f.broken) // never came back: End is 0
	}
	f.mu.Unlock()
	cancel()
}

// register opens the feed with a new token and returns how to end it.
func (f *feed) register(ctx context.Context) (cancel func()) {
	f.mu.Lock()
	f.attempt++
	f.ended = ""
	id := f.id()
	f.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, registerFor)
	defer stop()
	m, err := f.conn.build(ctx, question{code: codes.GET, path: f.path, id: id})
	if err != nil {
		return func() {}
	}
	defer f.conn.cc.ReleaseMessage(m)
	m.SetObserve(0)
	f.mu.Lock()
	f.token = bytes.Clone(m.Token())
	f.mu.Unlock()
	o, err := f.conn.cc.DoObserve(m, f.receive)
	if err != nil {
		return func() {} // the next check registers again
	}
	return func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = o.Cancel(ctx) // the service drops the feed after unacknowledged readings
	}
}

// refresh registers again with the same token (RFC 7641 section 3.3.1). The
// library's Observe call has no such operation, so the message is written
// directly; the response reaches the observation by its token.
func (f *feed) refresh(ctx context.Context) {
	f.mu.Lock()
	f.attempt++
	id, token := f.id(), f.token
	f.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, registerFor)
	defer stop()
	m, err := f.conn.build(ctx, question{code: codes.GET, path: f.path, id: id})
	if err != nil {
		return
	}
	defer f.conn.cc.ReleaseMessage(m)
	m.SetToken(token)
	m.SetObserve(0)
	if f.conn.cc.WriteMessage(m) == nil {
		f.c.stats.feeds(func(n *wire.FeedCounts) { n.Refreshes++ })
	}
}

// receive handles one notification.
func (f *feed) receive(r *pool.Message) {
	body, _ := r.ReadBody() // an unreadable body does not parse as a reading
	f.mu.Lock()
	defer f.mu.Unlock()
	if !bytes.Equal(r.Token(), f.token) {
		return // of an earlier registration
	}
	if r.Code() != codes.Content || !r.HasOption(message.Observe) {
		f.ended = r.Code().String()
		return
	}
	seq, err := wire.ParseReading(body, f.service, path.Base(f.path))
	if err != nil {
		now := time.Now().UnixMilli()
		f.c.stats.fail(wire.Failure{ID: f.id(), Class: f.class, Kind: wire.KindWrongContent, Detail: err.Error(), Start: now, End: now})
		f.c.stats.class(f.class, func(k *wire.ClassCounts) { k.WrongContent++ })
		return
	}
	first := f.last.IsZero()
	f.last = time.Now()
	if f.broken != nil {
		f.broken.End = f.last.UnixMilli()
		f.c.stats.fail(*f.broken)
		f.broken = nil
	}
	f.c.stats.feeds(func(n *wire.FeedCounts) {
		n.Readings++
		switch {
		case first:
			n.Opened++
		case seq == f.seq:
			n.Repeated++
		case seq < f.seq:
			n.OutOfOrder++
		case seq > f.seq+1:
			n.Missing += int(seq - f.seq - 1)
		}
	})
	f.seq = max(f.seq, seq)
}
