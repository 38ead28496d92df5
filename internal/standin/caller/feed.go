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
	// registerTimeout limits a registration or a refresh.
	registerTimeout = 5 * time.Second
	// registerRetryDelay is the delay before another attempt to register.
	registerRetryDelay = 500 * time.Millisecond
	// feedCheckInterval is the interval at which the state of a feed is checked.
	feedCheckInterval = 100 * time.Millisecond
)

// feed keeps one feed of a caller registered and checks its readings.
type feed struct {
	generator *Generator
	conn      *callerConn
	class     string
	service   string
	path      string
	operation uint64 // operation number in request ids

	mu          sync.Mutex
	token       message.Token
	attempt     int
	maxSeq      uint64
	lastReading time.Time     // time of the last reading; zero before the first
	endReason   string        // response code that ended the feed; empty while it is open
	openBreak   *wire.Failure // current interruption; nil: none
}

func (f *feed) id() string {
	return wire.ID{Service: f.service, Caller: f.conn.caller, Operation: f.operation, Attempt: f.attempt}.String()
}

// run keeps the feed registered until ctx is cancelled. It refreshes the
// registration, and registers anew if the feed has ended or is silent.
func (f *feed) run(ctx context.Context) {
	opt := f.generator.opt
	cancel := f.register(ctx)
	refresh := time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(opt.RefreshInterval)))
	for sleep(ctx, feedCheckInterval) {
		f.mu.Lock()
		kind, detail := "", f.endReason
		switch {
		case f.endReason != "":
			kind = wire.KindFeedEnded
		case f.lastReading.IsZero() || f.openBreak != nil:
			kind = "not registered"
		case time.Since(f.lastReading) > opt.SilenceTimeout:
			kind, detail = wire.KindFeedSilent, "no reading for "+opt.SilenceTimeout.String()
		}
		if f.openBreak == nil && !f.lastReading.IsZero() && kind != "" {
			f.openBreak = &wire.Failure{ID: f.id(), Class: f.class, Kind: kind, Detail: detail, Start: f.lastReading.UnixMilli()}
			f.generator.stats.updateFeeds(func(n *wire.FeedCounts) { n.Breaks++ })
		}
		f.mu.Unlock()
		switch {
		case kind != "":
			cancel()
			if sleep(ctx, registerRetryDelay) {
				cancel = f.register(ctx)
			}
		case time.Now().After(refresh):
			refresh = time.Now().Add(opt.RefreshInterval)
			f.refresh(ctx)
		}
	}
	f.mu.Lock()
	if f.openBreak != nil {
		f.generator.stats.addFailure(*f.openBreak) // the feed did not recover, so End is 0
	}
	f.mu.Unlock()
	cancel()
}

// register registers the feed with a new token and returns a function that
// deregisters it.
func (f *feed) register(ctx context.Context) (cancel func()) {
	f.mu.Lock()
	f.attempt++
	f.endReason = ""
	id := f.id()
	f.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, registerTimeout)
	defer stop()
	m, err := f.conn.newMessage(ctx, request{code: codes.GET, path: f.path, id: id})
	if err != nil {
		return func() {}
	}
	defer f.conn.coap.ReleaseMessage(m)
	m.SetObserve(0)
	f.mu.Lock()
	f.token = bytes.Clone(m.Token())
	f.mu.Unlock()
	o, err := f.conn.coap.DoObserve(m, f.receive)
	if err != nil {
		return func() {} // run registers again at its next check
	}
	return func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = o.Cancel(ctx) // if this fails, the server closes the feed after unacknowledged notifications
	}
}

// refresh registers again with the same token (RFC 7641 section 3.3.1). go-coap's
// Observe call does not support this, so the message is written directly; go-coap
// passes the response to the observation by its token.
func (f *feed) refresh(ctx context.Context) {
	f.mu.Lock()
	f.attempt++
	id, token := f.id(), f.token
	f.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, registerTimeout)
	defer stop()
	m, err := f.conn.newMessage(ctx, request{code: codes.GET, path: f.path, id: id})
	if err != nil {
		return
	}
	defer f.conn.coap.ReleaseMessage(m)
	m.SetToken(token)
	m.SetObserve(0)
	if f.conn.coap.WriteMessage(m) == nil {
		f.generator.stats.updateFeeds(func(n *wire.FeedCounts) { n.Refreshes++ })
	}
}

// receive handles one notification.
func (f *feed) receive(r *pool.Message) {
	body, _ := r.ReadBody() // ParseReading rejects an unreadable body
	f.mu.Lock()
	defer f.mu.Unlock()
	if !bytes.Equal(r.Token(), f.token) {
		return // belongs to an earlier registration
	}
	if r.Code() != codes.Content || !r.HasOption(message.Observe) {
		f.endReason = r.Code().String()
		return
	}
	seq, err := wire.ParseReading(body, f.service, path.Base(f.path))
	if err != nil {
		now := time.Now().UnixMilli()
		f.generator.stats.addFailure(wire.Failure{ID: f.id(), Class: f.class, Kind: wire.KindWrongContent, Detail: err.Error(), Start: now, End: now})
		f.generator.stats.updateClass(f.class, func(k *wire.ClassCounts) { k.WrongContent++ })
		return
	}
	first := f.lastReading.IsZero()
	f.lastReading = time.Now()
	if f.openBreak != nil {
		f.openBreak.End = f.lastReading.UnixMilli()
		f.generator.stats.addFailure(*f.openBreak)
		f.openBreak = nil
	}
	f.generator.stats.updateFeeds(func(n *wire.FeedCounts) {
		n.Readings++
		switch {
		case first:
			n.Opened++
		case seq == f.maxSeq:
			n.Repeated++
		case seq < f.maxSeq:
			n.OutOfOrder++
		case seq > f.maxSeq+1:
			n.Missing += int(seq - f.maxSeq - 1)
		}
	})
	f.maxSeq = max(f.maxSeq, seq)
}
