package proof

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

const (
	// responseBound is the time within which a request must get its final
	// response: the greatest deadline of a profile plus the retransmission time
	// of a caller, 62 s, plus 10 s for the separate response.
	responseBound = 4*time.Second + 62*time.Second + 10*time.Second
	// configBound is the time within which a publication must come into force.
	configBound = 5 * time.Second
	// platformRecovery is the time after a platform fault from which publications
	// are checked. It is longer than the greatest back-off of reads, 30 s.
	platformRecovery = 40 * time.Second
	// linkRecovery is the same for faults of links between instances.
	linkRecovery = 10 * time.Second
	// stableSamples is the number of samples, one every 500 ms, that an instance
	// needs to count as reachable during all of configBound.
	stableSamples = 10
	// maxFeedGap is the longest allowed time between two notifications of an
	// unbroken feed. Backend servers send one every second.
	maxFeedGap = 2500 * time.Millisecond
	// feedTimeout is the time without notifications after which a caller
	// registers again.
	feedTimeout = 12 * time.Second
)

// recordExecution records that a backend server executes x and checks that it
// may.
func (x *exchange) recordExecution(v *server) {
	x.executions++
	x.operation.executions++
	v.executions++
	x.logEvent("ran at %s", v.addr)
	if x.operation.kind != post {
		return
	}
	if x.operation.executions > 1 {
		x.sim.recordViolation("claim %d ran %d times%s", x.operation.index, x.operation.executions, x.operation.eventLog())
	}
	if len(x.echo) == 0 {
		x.sim.recordViolation("claim %d ran without a token", x.operation.index)
	}
	if x.reportedNotExecuted {
		x.sim.recordViolation("claim %d (exchange %d) ran after its caller was told that it has not", x.operation.index, x.index)
	}
}

// logEvent records an event of x. It omits feeds, which have too many events.
func (x *exchange) logEvent(format string, args ...any) {
	if x.feed == nil {
		x.events = append(x.events, fmt.Sprintf("%v ", x.sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// eventLog returns the events of an operation for the message of a violation.
func (op *operation) eventLog() string {
	var b strings.Builder
	for _, x := range op.sim.exchanges {
		if x.operation == op {
			fmt.Fprintf(&b, "\n\texchange %d: %s", x.index, strings.Join(x.events, ", "))
		}
	}
	return b.String()
}

// checkResponse checks a response that reached the caller of x.
func (x *exchange) checkResponse(m *message.Message) {
	sim := x.sim
	sim.stats.responses[m.Code]++
	x.logEvent("got code %v", m.Code)
	switch m.Code {
	case message.Content:
		if i := bytes.LastIndexByte(m.Raw, 0xff); i < 0 || !bytes.Equal(m.Raw[i+1:], x.expectedBody()) {
			sim.recordViolation("exchange %d got the wrong content %q", x.index, m.Raw)
		}
		if x.executions == 0 {
			sim.recordViolation("exchange %d got content but did not run", x.index)
		}
		if x.operation.kind == download && x.block < lastBlockNumber && (!m.Block2.More || int(m.Block2.Num) != x.block) {
			sim.recordViolation("exchange %d got block %v", x.index, m.Block2)
		}
	case message.ServiceUnavailable:
		x.reportedNotExecuted = true
		// A retransmission of an idempotent request may be rejected by an
		// instance that did not handle the first transmission.
		single := x.transmissions == 1 && !x.repeated
		if x.executions > 0 && x.feed == nil && (x.operation.kind == post || single) {
			sim.recordViolation("exchange %d of kind %d ran and got 5.03%s", x.index, x.operation.kind, x.operation.eventLog())
		}
	case message.Unauthorized:
		if x.operation.kind != post {
			sim.recordViolation("exchange %d is idempotent and got 4.01", x.index)
		}
		x.reportedNotExecuted = len(x.echo) > 0
		if x.executions > 0 {
			sim.recordViolation("claim %d ran and got 4.01%s", x.operation.index, x.operation.eventLog())
		}
	case message.GatewayTimeout:
	default:
		sim.recordViolation("exchange %d got code %v", x.index, m.Code)
	}
}

// markInterrupted marks the exchanges that an instance had handled when it was
// killed or paused.
func (sim *simulation) markInterrupted(n *node) {
	for _, x := range sim.exchanges {
		if x.handledBy[n] == n.incarnation {
			x.interrupted = true
		}
	}
}

// checkFinalResponses checks that every request got its final response in time.
func (sim *simulation) checkFinalResponses() {
	for _, x := range sim.exchanges {
		if x.feed != nil || x.interrupted || x.lost || sim.now.Sub(x.sentAt) < responseBound {
			continue
		}
		if x.response == nil {
			sim.recordViolation("exchange %d of kind %d, sent at %v, got no response%s", x.index, x.operation.kind, x.sentAt.Sub(epoch), x.operation.eventLog())
		}
	}
}

// sampleRevisions samples the configuration revisions of the instances and
// checks them.
func (sim *simulation) sampleRevisions() {
	for _, n := range sim.nodes {
		if !n.alive || n.paused {
			n.revisions = nil
			continue
		}
		s := n.core.Snapshot()
		current := sample{sim.now, s.Revision, s.Lifecycle}
		if k := len(n.revisions); k > 0 && current.revision < n.revisions[k-1].revision {
			sim.recordViolation("%s went from revision %d back to %d", n.id, n.revisions[k-1].revision, current.revision)
		}
		if current.lifecycle == "serving" && !n.serving {
			n.serving = true
			sim.checkFirstRevision(n, current.revision)
		}
		n.revisions = append(n.revisions, current)
	}
	sim.checkPublished()
}

// checkFirstRevision checks that a joining instance does not begin to serve with
// an older configuration than its reachable serving peers had a second ago.
func (sim *simulation) checkFirstRevision(n *node, r ids.Revision) {
	for _, o := range sim.nodes {
		if o == n || o.dc != n.dc || sim.linkCut(n, o) || len(o.revisions) < 4 || !o.alive || o.paused {
			continue
		}
		previous := o.revisions[len(o.revisions)-3]
		sim.stats.firstRevisions++
		if previous.lifecycle == "serving" && previous.revision > r {
			sim.recordViolation("%s serves revision %d first, %s has %d in force", n.id, r, o.id, previous.revision)
		}
	}
}

func (sim *simulation) linkCut(a, b *node) bool {
	return sim.cutLinks[[2]string{string(a.id), string(b.id)}] || sim.cutLinks[[2]string{string(b.id), string(a.id)}]
}

// checkPublished checks that publications come into force in time at all
// reachable instances: those that have run since the publication without a
// pause. It skips publications around which a link or the platform had a fault.
func (sim *simulation) checkPublished() {
	for i := range sim.platform.published {
		p := &sim.platform.published[i]
		if p.checked || sim.now.Sub(p.publishedAt) <= configBound {
			continue
		}
		p.checked = true
		if sim.lastPlatformFault > p.publishedAt.Add(-platformRecovery) || sim.lastLinkFault > p.publishedAt.Add(-linkRecovery) || len(sim.cutLinks) > 0 {
			continue
		}
		sim.stats.published++
		for _, n := range sim.nodes {
			if k := len(n.revisions); k > stableSamples && n.revisions[k-1].lifecycle == "serving" && n.revisions[k-1].revision < p.revision {
				sim.recordViolation("%s has revision %d, not %d, %v after its publication", n.id, n.revisions[k-1].revision, p.revision, sim.now.Sub(p.publishedAt))
			}
		}
	}
}

// feed is the state of an observation (RFC 7641) at its caller.
type feed struct {
	exchange         *exchange
	established      bool
	observe          uint32
	lastNotification ids.Time
	uninterrupted    bool // a break or a long gap is a violation, as there were only planned changes
	breaks           int
	maxGap           time.Duration
	ended            bool // the feed is not registered again
}

func (f *feed) receive(m *message.Message) {
	x := f.exchange
	if m.Code != message.Content || !m.HasObserve {
		x.response = m
		if f.established {
			f.breaks++
			if f.uninterrupted {
				x.sim.recordViolation("feed %d ended with code %v", x.operation.index, m.Code)
			}
		}
		f.established = false
		x.sim.after(max(time.Second, time.Duration(m.MaxAge)*time.Second), f.reregister)
		return
	}
	x.acknowledged = true
	x.response = m
	if f.established && (m.Observe-f.observe)&0xffffff >= 1<<23 {
		return // older, reordered by the network
	}
	if f.lastNotification != 0 {
		f.maxGap = max(f.maxGap, x.sim.now.Sub(f.lastNotification))
	}
	if f.established {
		if gap := x.sim.now.Sub(f.lastNotification); f.uninterrupted && gap > maxFeedGap {
			x.sim.recordViolation("feed %d was silent for %v", x.operation.index, gap)
		}
	}
	f.established, f.observe, f.lastNotification = true, m.Observe, x.sim.now
}

// reregister registers a feed again with the same token.
func (f *feed) reregister() {
	if f.established || f.ended {
		return
	}
	x := f.exchange
	x.messageID += 10_000
	x.response, x.acknowledged, x.transmissions = nil, false, 0
	x.transmit()
}

// reregisterSilentFeeds registers feeds again that have had no notification for
// feedTimeout.
func (sim *simulation) reregisterSilentFeeds() {
	for _, f := range sim.feeds {
		if f.established && sim.now.Sub(f.lastNotification) > feedTimeout {
			f.breaks++
			if f.uninterrupted {
				sim.recordViolation("feed %d is silent since %v", f.exchange.operation.index, f.lastNotification.Sub(epoch))
			}
			f.established = false
			f.reregister()
		}
	}
}

// relaxFeedChecks allows breaks and gaps of all feeds, after an unplanned fault.
func (sim *simulation) relaxFeedChecks() {
	for _, f := range sim.feeds {
		f.uninterrupted = false
	}
}

// registrations returns the number of registrations of f at backend servers.
func (sim *simulation) registrations(f *feed) int {
	count := 0
	for _, v := range sim.servers {
		for _, r := range v.feeds {
			if r.exchange == f.exchange && r.node.alive {
				count++
			}
		}
	}
	return count
}
