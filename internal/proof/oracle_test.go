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
	// answerBound is the greatest deadline of a profile plus the retransmission
	// time of a caller, 62 s, plus 10 s for the separate response.
	answerBound = 4*time.Second + 62*time.Second + 10*time.Second
	configBound = 5 * time.Second
	// platformCalm is longer than the greatest back-off of reads, 30 s.
	platformCalm = 40 * time.Second
	linkCalm     = 10 * time.Second
	// settled is the number of samples, every 500 ms, that an instance needs
	// to count as reachable during all of configBound.
	settled = 10
	// feedGap is the greatest gap of an unbroken feed: backend servers notify
	// every second.
	feedGap = 2500 * time.Millisecond
	// feedPatience is the silence after which a caller registers again.
	feedPatience = 12 * time.Second
)

// ran records that a backend server executes x.
func (x *exchange) ran(v *server) {
	x.runs++
	x.op.runs++
	v.executed++
	x.log("ran at %s", v.at)
	if x.op.kind != claim {
		return
	}
	if x.op.runs > 1 {
		x.w.violate("claim %d ran %d times%s", x.op.index, x.op.runs, x.op.trail())
	}
	if len(x.echo) == 0 {
		x.w.violate("claim %d ran without a token", x.op.index)
	}
	if x.notRun {
		x.w.violate("claim %d (exchange %d) ran after its caller was told that it has not", x.op.index, x.index)
	}
}

// log records an event of x. Feeds have too many.
func (x *exchange) log(format string, args ...any) {
	if x.feed == nil {
		x.trail = append(x.trail, fmt.Sprintf("%v ", x.w.now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// trail lists what happened to an operation, for the message of a violation.
func (op *operation) trail() string {
	var b strings.Builder
	for _, x := range op.w.exchanges {
		if x.op == op {
			fmt.Fprintf(&b, "\n\texchange %d: %s", x.index, strings.Join(x.trail, ", "))
		}
	}
	return b.String()
}

// check judges a response that reached the caller of x.
func (x *exchange) check(m *message.Message) {
	w := x.w
	w.stats.responses[m.Code]++
	x.log("got code %v", m.Code)
	switch m.Code {
	case message.Content:
		if i := bytes.LastIndexByte(m.Raw, 0xff); i < 0 || !bytes.Equal(m.Raw[i+1:], x.body()) {
			w.violate("exchange %d got the wrong content %q", x.index, m.Raw)
		}
		if x.runs == 0 {
			w.violate("exchange %d got content but did not run", x.index)
		}
		if x.op.kind == download && x.block < lastBlock && (!m.Block2.More || int(m.Block2.Num) != x.block) {
			w.violate("exchange %d got block %v", x.index, m.Block2)
		}
	case message.ServiceUnavailable:
		x.notRun = true
		// A repeat of an idempotent request may be rejected by an instance
		// that does not know of the first one.
		single := x.count == 1 && !x.repeated
		if x.runs > 0 && x.feed == nil && (x.op.kind == claim || single) {
			w.violate("exchange %d of kind %d ran and got 5.03%s", x.index, x.op.kind, x.op.trail())
		}
	case message.Unauthorized:
		if x.op.kind != claim {
			w.violate("exchange %d is idempotent and got 4.01", x.index)
		}
		x.notRun = len(x.echo) > 0
		if x.runs > 0 {
			w.violate("claim %d ran and got 4.01%s", x.op.index, x.op.trail())
		}
	case message.GatewayTimeout:
	default:
		w.violate("exchange %d got code %v", x.index, m.Code)
	}
}

// excuse marks the exchanges that an instance held when it was killed or paused.
func (w *world) excuse(n *node) {
	for _, x := range w.exchanges {
		if x.touched[n] == n.run {
			x.excused = true
		}
	}
}

// checkEnds checks that every request got its final response in time.
func (w *world) checkEnds() {
	for _, x := range w.exchanges {
		if x.feed != nil || x.excused || x.lost || w.now.Sub(x.sent) < answerBound {
			continue
		}
		if x.final == nil {
			w.violate("exchange %d of kind %d, sent at %v, got no response%s", x.index, x.op.kind, x.sent.Sub(epoch), x.op.trail())
		}
	}
}

// observe samples the revisions of the instances and checks them.
func (w *world) observe() {
	for _, n := range w.nodes {
		if !n.alive || n.paused {
			n.revisions = nil
			continue
		}
		s := n.core.Snapshot()
		now := sample{w.now, s.Revision, s.Lifecycle}
		if k := len(n.revisions); k > 0 && now.revision < n.revisions[k-1].revision {
			w.violate("%s went from revision %d back to %d", n.id, n.revisions[k-1].revision, now.revision)
		}
		if now.lifecycle == "serving" && !n.serving {
			n.serving = true
			w.checkFirst(n, now.revision)
		}
		n.revisions = append(n.revisions, now)
	}
	w.checkPublished()
}

// checkFirst checks that a joining instance does not serve an older
// configuration than its reachable serving peers had a second ago.
func (w *world) checkFirst(n *node, r ids.Revision) {
	for _, o := range w.nodes {
		if o == n || o.dc != n.dc || w.separated(n, o) || len(o.revisions) < 4 || !o.alive || o.paused {
			continue
		}
		before := o.revisions[len(o.revisions)-3]
		w.stats.joins++
		if before.lifecycle == "serving" && before.revision > r {
			w.violate("%s serves revision %d first, %s has %d in force", n.id, r, o.id, before.revision)
		}
	}
}

func (w *world) separated(a, b *node) bool {
	return w.cut[[2]string{string(a.id), string(b.id)}] || w.cut[[2]string{string(b.id), string(a.id)}]
}

// checkPublished checks that publications are in force in time at all instances
// that can be reached: those that have run without a pause since, while neither
// links nor the platform have had a fault.
func (w *world) checkPublished() {
	for i := range w.platform.published {
		p := &w.platform.published[i]
		if p.checked || w.now.Sub(p.at) <= configBound {
			continue
		}
		p.checked = true
		if w.platformFault > p.at.Add(-platformCalm) || w.linkFault > p.at.Add(-linkCalm) || len(w.cut) > 0 {
			continue
		}
		w.stats.published++
		for _, n := range w.nodes {
			if k := len(n.revisions); k > settled && n.revisions[k-1].lifecycle == "serving" && n.revisions[k-1].revision < p.revision {
				w.violate("%s has revision %d, not %d, %v after its publication", n.id, n.revisions[k-1].revision, p.revision, w.now.Sub(p.at))
			}
		}
	}
}

// feed is an open feed of a caller.
type feed struct {
	x           *exchange
	established bool
	observe     uint32
	last        ids.Time // last notification
	strict      bool     // only planned changes have happened since it was opened
	breaks      int
	maxGap      time.Duration
	ended       bool
}

func (f *feed) receive(m *message.Message) {
	x := f.x
	if m.Code != message.Content || !m.HasObserve {
		x.final = m
		if f.established {
			f.breaks++
			if f.strict {
				x.w.violate("feed %d ended with code %v", x.op.index, m.Code)
			}
		}
		f.established = false
		x.w.after(max(time.Second, time.Duration(m.MaxAge)*time.Second), f.again)
		return
	}
	x.acked = true
	x.final = m
	if f.established && (m.Observe-f.observe)&0xffffff >= 1<<23 {
		return // older, reordered by the network
	}
	if f.last != 0 {
		f.maxGap = max(f.maxGap, x.w.now.Sub(f.last))
	}
	if f.established {
		if gap := x.w.now.Sub(f.last); f.strict && gap > feedGap {
			x.w.violate("feed %d was silent for %v", x.op.index, gap)
		}
	}
	f.established, f.observe, f.last = true, m.Observe, x.w.now
}

// again registers a feed again with the same token.
func (f *feed) again() {
	if f.established || f.ended {
		return
	}
	x := f.x
	x.id += 10_000
	x.final, x.acked, x.count = nil, false, 0
	x.transmit()
}

// refreshFeeds registers the feeds again that have been silent.
func (w *world) refreshFeeds() {
	for _, f := range w.feeds {
		if f.established && w.now.Sub(f.last) > feedPatience {
			f.breaks++
			if f.strict {
				w.violate("feed %d is silent since %v", f.x.op.index, f.last.Sub(epoch))
			}
			f.established = false
			f.again()
		}
	}
}

// loosen stops the check of feeds for gaps, after an unplanned fault.
func (w *world) loosen() {
	for _, f := range w.feeds {
		f.strict = false
	}
}

// registrations returns the number of registrations of f at backend servers.
func (w *world) registrations(f *feed) int {
	count := 0
	for _, v := range w.servers {
		for _, r := range v.feeds {
			if r.x == f.x && r.n.alive {
				count++
			}
		}
	}
	return count
}
