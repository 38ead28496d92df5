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

// maxFailedReadings is the number of unacknowledged readings in a row after
// which a feed is closed.
const maxFailedReadings = 3

// observer is one feed: the readings of a resource go to a peer.
type observer struct {
	key    string
	feed   string
	token  message.Token
	cc     *client.Conn
	cancel context.CancelFunc
	opened time.Time
	muted  bool // guarded by Server.mu: stays open, sends nothing more
}

func (q *request) feed() string {
	if len(q.path) == 0 {
		return ""
	}
	return q.path[len(q.path)-1]
}

// sequence returns the number of the reading that is current at now and the
// time of the next one. It is the same on every server.
func (s *Server) sequence(feed string, now time.Time) (seq uint64, next time.Time) {
	interval := s.group.opt.FeedInterval
	phase := time.Duration(xxhash.Sum64String(feed) % uint64(interval))
	n := (now.Sub(s.group.epoch) + phase) / interval
	return uint64(n), s.group.epoch.Add((n+1)*interval - phase)
}

func (s *Server) reading(feed string) []byte {
	seq, _ := s.sequence(feed, time.Now())
	return wire.Reading(s.service, feed, seq)
}

// maxAge is the time, in seconds, for which a reading is current.
func (s *Server) maxAge() uint32 {
	return uint32((3*s.group.opt.FeedInterval + time.Second - 1) / time.Second)
}

func (s *Server) register(w *responseWriter, q request) {
	cc := w.Conn()
	ctx, cancel := context.WithCancel(cc.Context())
	o := &observer{
		key: cc.RemoteAddr().String() + "/" + string(q.token), feed: q.feed(), token: q.token, cc: cc, cancel: cancel, opened: time.Now(),
	}
	s.mu.Lock()
	old := s.observers[o.key]
	refuse := old == nil && (len(s.observers) >= maxConnections || s.state == Draining && time.Since(s.since) > s.group.opt.DrainGrace)
	if refuse {
		s.counts.Shed++
	} else {
		if s.state == Draining && time.Since(s.since) > lateWorkAfter && old == nil {
			s.counts.LateWork++
		}
		if old != nil {
			s.remove(old)
		} else {
			s.counts.FeedsOpened++
		}
		s.observers[o.key] = o
	}
	s.mu.Unlock()
	if refuse {
		cancel()
		s.respond(w.Message(), codes.ServiceUnavailable, nil, 0)
		w.Message().SetOptionUint32(message.MaxAge, 1)
		return
	}
	seq, next := s.sequence(o.feed, time.Now())
	s.respond(w.Message(), codes.Content, wire.Reading(s.service, o.feed, seq), 0)
	w.Message().SetObserve(uint32(seq & 0xffffff))
	w.Message().SetOptionUint32(message.MaxAge, s.maxAge())
	go s.push(ctx, o, next)
}

func (s *Server) deregister(peer string, token message.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.observers[peer+"/"+string(token)]; ok {
		s.remove(o)
	}
}

// remove closes a feed; the caller holds s.mu.
func (s *Server) remove(o *observer) {
	o.cancel()
	if s.observers[o.key] == o {
		delete(s.observers, o.key)
	}
}

// push sends a confirmable notification for each reading until the feed ends.
func (s *Server) push(ctx context.Context, o *observer, next time.Time) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(o)
	}()
	for failed := 0; failed < maxFailedReadings; {
		t := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		var seq uint64
		seq, next = s.sequence(o.feed, time.Now())
		s.mu.Lock()
		quiet := o.muted || s.state == Stopped
		cut := s.state == Draining && time.Since(s.since) > s.group.opt.DrainGrace
		if cut {
			s.counts.FeedsClosedByDrain++
		}
		s.mu.Unlock()
		switch {
		case quiet:
		case cut:
			s.group.opt.Logger.Warn("feed-cut", "target", s.target.Name, "feed", o.feed, "peer", o.cc.RemoteAddr(), "open_for", time.Since(o.opened))
			_ = s.notify(ctx, o, codes.ServiceUnavailable, nil, seq) // the feed ends either way
			return
		case s.notify(ctx, o, codes.Content, wire.Reading(s.service, o.feed, seq), seq) == nil:
			failed = 0
			s.count(func(c *wire.TargetCounts) { c.Readings++ })
		default:
			failed++
		}
	}
}

func (s *Server) notify(ctx context.Context, o *observer, code codes.Code, content []byte, seq uint64) error {
	ctx, cancel := context.WithTimeout(ctx, max(3*s.group.opt.FeedInterval, 3*ackTimeout))
	defer cancel()
	m := o.cc.AcquireMessage(ctx)
	defer o.cc.ReleaseMessage(m)
	m.SetType(message.Confirmable)
	m.SetMessageID(o.cc.GetMessageID())
	m.SetToken(bytes.Clone(o.token))
	s.respond(m, code, content, 0)
	if code == codes.Content {
		m.SetObserve(uint32(seq & 0xffffff))
		m.SetOptionUint32(message.MaxAge, s.maxAge())
	}
	k := exchange{peer: o.cc.RemoteAddr().String(), mid: m.MessageID()}
	s.mu.Lock()
	s.notified[k] = o
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.notified, k)
	}()
	return o.cc.WriteMessage(m)
}
