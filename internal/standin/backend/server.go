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

// State determines how a backend server handles requests.
type State string

// States of a backend server.
const (
	Serving  State = "serving"
	Draining State = "draining" // still responds, but should get no new work
	Stopped  State = "stopped"  // drops all messages
)

// lateWorkThreshold is the time after the start of a drain from which new work is
// counted as late.
const lateWorkThreshold = 5 * time.Second

var (
	errCancelled  = errors.New("cancelled by RST")
	errOverloaded = errors.New("no free slot and the queue is full")
)

// messageKey identifies a message by its peer and CoAP message id.
type messageKey struct {
	peer      string
	messageID int32
}

// Server is one backend server.
type Server struct {
	group   *Group
	service string
	target  config.Target
	coap    *server.Server

	mu             sync.Mutex
	state          State
	stateSince     time.Time     // time at which state was entered
	coldUntil      time.Time     // end of the cold period
	statusOverride string        // status to report instead of the actual one; empty: none
	healthLag      time.Duration // age of the reported health state
	healthHistory  []healthSample
	usedSlots      int
	slotWaiters    []chan struct{}                        // requests that wait for a slot, in order of arrival
	cancelFuncs    map[messageKey]context.CancelCauseFunc // of the requests in progress
	observers      map[string]*observer                   // open feeds by observer.key
	notifications  map[messageKey]*observer               // unacknowledged notifications
	counts         wire.TargetCounts
}

func newServer(g *Group, service string, t config.Target) *Server {
	return &Server{
		group: g, service: service, target: t, state: Serving, stateSince: time.Now(),
		cancelFuncs: map[messageKey]context.CancelCauseFunc{}, observers: map[string]*observer{},
		notifications: map[messageKey]*observer{},
		counts:        wire.TargetCounts{Service: service, DataCentre: string(t.DataCentre)},
	}
}

// processInGoroutine processes each message in its own goroutine, so that a slow
// request does not delay other messages of the same peer. go-coap holds a lock for
// each message id, so duplicates are still executed only once.
func processInGoroutine(r *pool.Message, cc *client.Conn, handler coapconfig.HandlerFunc[*client.Conn]) {
	go cc.ProcessReceivedMessageWithHandler(r, handler)
}

// filterMessage is called for each message before go-coap processes it. An RST with
// the message id of a request cancels the request; one with the message id of a
// notification closes the feed. In state Stopped all messages are dropped.
func (s *Server) filterMessage(cc *client.Conn, r *pool.Message) (drop bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Stopped {
		return true, nil
	}
	if r.Type() != message.Reset {
		return false, nil
	}
	key := messageKey{peer: cc.RemoteAddr().String(), messageID: r.MessageID()}
	if cancel, ok := s.cancelFuncs[key]; ok {
		cancel(errCancelled)
	}
	if o, ok := s.notifications[key]; ok {
		s.removeObserver(o)
	}
	return false, nil
}

// execute runs one request in a slot. It returns nil if the request completed.
func (s *Server) execute(ctx context.Context, id wire.ID, post, long bool) error {
	if err := s.acquireSlot(ctx); err != nil {
		return err
	}
	defer s.releaseSlot()
	s.group.executions.countStart(id, post)
	d := s.randomRunTime(long)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		s.group.executions.countEnd(id)
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *Server) randomRunTime(long bool) time.Duration {
	d, ok := s.group.opt.RunTime[s.service]
	if !ok {
		d = 20 * time.Millisecond
	}
	if long {
		d *= time.Duration(s.group.opt.LongRunFactor)
	}
	s.mu.Lock()
	if time.Now().Before(s.coldUntil) {
		d *= 3
	}
	s.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (s *Server) acquireSlot(ctx context.Context) error {
	s.mu.Lock()
	if s.state == Draining && time.Since(s.stateSince) > lateWorkThreshold {
		s.counts.LateWork++
	}
	if s.usedSlots < s.target.Slots {
		s.takeSlot()
		s.mu.Unlock()
		return nil
	}
	if len(s.slotWaiters) >= s.group.opt.QueueLimit {
		s.counts.Shed++
		s.mu.Unlock()
		return errOverloaded
	}
	granted := make(chan struct{})
	s.slotWaiters = append(s.slotWaiters, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.slotWaiters, granted); i >= 0 {
		s.slotWaiters = slices.Delete(s.slotWaiters, i, i+1)
		s.counts.Shed++
		return errOverloaded // not run, whether cancelled or expired
	}
	return nil // the slot was granted at the same time
}

// takeSlot marks a slot as used; the caller holds s.mu.
func (s *Server) takeSlot() {
	s.usedSlots++
	s.counts.Executions++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.usedSlots)
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedSlots--
	if len(s.slotWaiters) > 0 {
		close(s.slotWaiters[0])
		s.slotWaiters = s.slotWaiters[1:]
		s.takeSlot()
	}
}
