package backend

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/client"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// maxFailedNotifications is the number of consecutive unacknowledged notifications
// after which a feed is closed.
const maxFailedNotifications = 3

// observer is one open feed, which sends the readings of a resource to a peer.
type observer struct {
	key    string // peer address and token
	feed   string
	token  message.Token
	conn   *client.Conn
	cancel context.CancelFunc
	opened time.Time
	muted  bool   // guarded by Server.mu; if set, the feed stays open but sends nothing
	latest uint64 // guarded by Server.mu; sequence number of the latest reading sent
}

func (req *request) feedName() string {
	if len(req.path) == 0 {
		return ""
	}
	return req.path[len(req.path)-1]
}

// sequenceAt returns the sequence number of the reading that is current at now and
// the time of the next reading. Both are the same on all servers of the group.
func (s *Server) sequenceAt(feed string, now time.Time) (seq uint64, next time.Time) {
	interval := s.group.opt.FeedInterval
	phase := time.Duration(xxhash.Sum64String(feed) % uint64(interval))
	n := (now.Sub(s.group.epoch) + phase) / interval
	return uint64(n), s.group.epoch.Add((n+1)*interval - phase)
}

func (s *Server) currentReading(feed string) []byte {
	seq, _ := s.sequenceAt(feed, time.Now())
	return wire.Reading(s.service, feed, seq)
}

// readingMaxAge returns the Max-Age of a reading in seconds.
func (s *Server) readingMaxAge() uint32 {
	return uint32((3*s.group.opt.FeedInterval + time.Second - 1) / time.Second)
}

func (s *Server) registerObserver(w *responseWriter, req request) {
	cc := w.Conn()
	ctx, cancel := context.WithCancel(cc.Context())
	o := &observer{
		key: cc.RemoteAddr().String() + "/" + string(req.token), feed: req.feedName(), token: req.token, conn: cc, cancel: cancel, opened: time.Now(),
	}
	seq, next := s.sequenceAt(o.feed, time.Now())
	s.mu.Lock()
	old := s.observers[o.key]
	refuse := old == nil && (len(s.observers) >= maxFeeds || s.state == Draining && time.Since(s.stateSince) > s.group.opt.DrainGrace)
	if refuse {
		s.counts.Shed++
	} else {
		if s.state == Draining && time.Since(s.stateSince) > lateWorkThreshold && old == nil {
			s.counts.LateWork++
		}
		o.latest = seq
		if old != nil {
			s.countSkipped(old.latest, seq)
			s.removeObserver(old)
		} else {
			s.counts.FeedsOpened++
		}
		s.observers[o.key] = o
	}
	s.mu.Unlock()
	if refuse {
		cancel()
		s.setResponse(w.Message(), codes.ServiceUnavailable, nil, 0)
		w.Message().SetOptionUint32(message.MaxAge, 1)
		return
	}
	s.setResponse(w.Message(), codes.Content, wire.Reading(s.service, o.feed, seq), 0)
	w.Message().SetObserve(uint32(seq & 0xffffff))
	w.Message().SetOptionUint32(message.MaxAge, s.readingMaxAge())
	go s.sendNotifications(ctx, o, next)
}

// countSkipped counts the readings between two that were sent in succession; the caller
// holds s.mu.
func (s *Server) countSkipped(previous, seq uint64) {
	if seq > previous+1 {
		s.counts.SkippedReadings += int(seq - previous - 1)
	}
}

func (s *Server) deregisterObserver(peer string, token message.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.observers[peer+"/"+string(token)]; ok {
		s.removeObserver(o)
	}
}

// removeObserver closes a feed; the caller holds s.mu.
func (s *Server) removeObserver(o *observer) {
	o.cancel()
	if s.observers[o.key] == o {
		delete(s.observers, o.key)
	}
}

// sendNotifications sends a confirmable notification for each reading until the
// feed ends.
func (s *Server) sendNotifications(ctx context.Context, o *observer, next time.Time) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removeObserver(o)
	}()
	for failed := 0; failed < maxFailedNotifications; {
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		var seq uint64
		seq, next = s.sequenceAt(o.feed, time.Now())
		s.mu.Lock()
		muted := o.muted || s.state == Stopped
		if !muted {
			s.countSkipped(o.latest, seq)
			o.latest = seq
		}
		graceExpired := s.state == Draining && time.Since(s.stateSince) > s.group.opt.DrainGrace
		if graceExpired {
			s.counts.FeedsClosedByDrain++
		}
		s.mu.Unlock()
		switch {
		case muted:
		case graceExpired:
			s.group.opt.Logger.Warn("feed-cut", "target", s.target.Name, "feed", o.feed, "peer", o.conn.RemoteAddr(), "open_for", time.Since(o.opened))
			_ = s.sendNotification(ctx, o, codes.ServiceUnavailable, nil, seq) // the feed is closed even if this fails
			return
		case s.sendNotification(ctx, o, codes.Content, wire.Reading(s.service, o.feed, seq), seq) == nil:
			failed = 0
			s.updateCounts(func(c *wire.TargetCounts) { c.Readings++ })
		default:
			failed++
		}
	}
}

func (s *Server) sendNotification(ctx context.Context, o *observer, code codes.Code, content []byte, seq uint64) error {
	ctx, cancel := context.WithTimeout(ctx, max(3*s.group.opt.FeedInterval, 3*ackTimeout))
	defer cancel()
	m := o.conn.AcquireMessage(ctx)
	defer o.conn.ReleaseMessage(m)
	m.SetType(message.Confirmable)
	m.SetMessageID(o.conn.GetMessageID())
	m.SetToken(bytes.Clone(o.token))
	s.setResponse(m, code, content, 0)
	if code == codes.Content {
		m.SetObserve(uint32(seq & 0xffffff))
		m.SetOptionUint32(message.MaxAge, s.readingMaxAge())
	}
	key := messageKey{peer: o.conn.RemoteAddr().String(), messageID: m.MessageID()}
	s.mu.Lock()
	s.notifications[key] = o
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.notifications, key)
	}()
	return o.conn.WriteMessage(m)
}
