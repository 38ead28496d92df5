package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	coapconfig "github.com/plgd-dev/go-coap/v3/options/config"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"github.com/plgd-dev/go-coap/v3/udp/server"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// State is what a backend server does with its traffic.
type State string

// States of a backend server.
const (
	Serving  State = "serving"
	Draining State = "draining" // still answers, but nothing new should arrive
	Stopped  State = "stopped"  // answers nothing at all
)

// lateWorkAfter is the time after the start of a drain from which new work is
// counted as late.
const lateWorkAfter = 5 * time.Second

var (
	errCancelled = errors.New("cancelled by RST")
	errShed      = errors.New("no slot and no room in the queue")
)

// exchange identifies a message of a peer.
type exchange struct {
	peer string
	mid  int32
}

// Server is one backend server.
type Server struct {
	group   *Group
	service string
	target  config.Target
	coap    *server.Server

	mu        sync.Mutex
	state     State
	since     time.Time // start of state
	cold      time.Time // end of the cold period
	lie       string    // reported status instead of the true one
	lag       time.Duration
	history   []sample
	running   int
	queue     []chan struct{}
	jobs      map[exchange]context.CancelCauseFunc
	observers map[string]*observer
	notified  map[exchange]*observer
	counts    wire.TargetCounts
}

func newServer(g *Group, service string, t config.Target) *Server {
	return &Server{
		group: g, service: service, target: t, state: Serving, since: time.Now(),
		jobs: map[exchange]context.CancelCauseFunc{}, observers: map[string]*observer{},
		notified: map[exchange]*observer{},
		counts:   wire.TargetCounts{Service: service, DataCentre: string(t.DataCentre)},
	}
}

// inGoroutine lets a slow request of a peer not delay its other messages. The
// handler holds a lock per message id, so duplicates still run once only.
func inGoroutine(r *pool.Message, cc *client.Conn, handler coapconfig.HandlerFunc[*client.Conn]) {
	go cc.ProcessReceivedMessageWithHandler(r, handler)
}

// monitor sees each message before go-coap does. An RST with the message id of
// a request cancels it; an RST with that of a notification ends the feed.
func (s *Server) monitor(cc *client.Conn, r *pool.Message) (drop bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Stopped {
		return true, nil
	}
	if r.Type() != message.Reset {
		return false, nil
	}
	k := exchange{peer: cc.RemoteAddr().String(), mid: r.MessageID()}
	if cancel, ok := s.jobs[k]; ok {
		cancel(errCancelled)
	}
	if o, ok := s.notified[k]; ok {
		s.remove(o)
	}
	return false, nil
}

// execute runs one request in a slot. It returns nil when the request ran to
// its end.
func (s *Server) execute(ctx context.Context, id wire.ID, post, long bool) error {
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.release()
	s.group.ledger.begin(id, post)
	d := s.runTime(long)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		s.group.ledger.end(id)
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *Server) runTime(long bool) time.Duration {
	d, ok := s.group.opt.RunTime[s.service]
	if !ok {
		d = 20 * time.Millisecond
	}
	if long {
		d *= time.Duration(s.group.opt.LongRunFactor)
	}
	s.mu.Lock()
	if time.Now().Before(s.cold) {
		d *= 3
	}
	s.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (s *Server) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.state == Draining && time.Since(s.since) > lateWorkAfter {
		s.counts.LateWork++
	}
	if s.running < s.target.Slots {
		s.start()
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.group.opt.QueueLimit {
		s.counts.Shed++
		s.mu.Unlock()
		return errShed
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, turn); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.counts.Shed++
		return errShed // not run, whatever ended the wait
	}
	return nil // the slot was granted at the same moment
}

// start takes a slot; the caller holds s.mu.
func (s *Server) start() {
	s.running++
	s.counts.Executions++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.running)
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		s.start()
	}
}
