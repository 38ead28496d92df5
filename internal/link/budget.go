package link

import (
	"sync"
	"time"
)

// overhead is what one message costs on the wire beyond its own bytes: a TLS
// 1.3 record (5 header, 1 type, 16 tag) and a WebSocket header with mask (8).
const overhead = 30

// handshakeBytes is what the dialling side sends for one TLS handshake with a
// client certificate and the WebSocket upgrade (BenchmarkDialBytes).
const handshakeBytes = 2100

// burst is the time for which unused budget is saved up.
const burst = 2 * time.Second

// Budget enforces the bytes a second that the control lanes of all links of
// one instance may use together. Urgent messages have precedence, so that a
// large configuration delta cannot delay heartbeats until peers suspect this
// instance, or a small new document beyond the 5 s in which it is to take
// effect: they may use the whole rate even while a bulk message is being paid
// off. A bulk message is sent when nothing is owed, and its size is owed then.
type Budget struct {
	mu     sync.Mutex
	rate   float64 // bytes a second
	urgent float64 // bytes that urgent messages may use now
	total  float64 // bytes that bulk messages may use now; negative: owed
	last   time.Time
}

// NewBudget returns a budget of rate bytes a second.
func NewBudget(rate int) *Budget {
	full := float64(rate) * burst.Seconds()
	return &Budget{rate: float64(rate), urgent: full, total: full}
}

// urgentBytes is the size up to which any control message is urgent. The
// profile of docs/examples with its envelope has 1,283 B.
const urgentBytes = 1500

// Take asks to send a control message of size bytes at now. When it may not
// be sent yet, wait is the time after which to ask again.
func (b *Budget) Take(now time.Time, size int, urgent bool) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	cost := float64(size + overhead)
	have := b.total
	if urgent {
		have = b.urgent - cost
	}
	if have < 0 {
		return time.Duration(-have / b.rate * float64(time.Second)), false
	}
	b.total -= cost
	if urgent {
		b.urgent -= cost
	}
	return 0, true
}

// Charge records size bytes that were sent without asking.
func (b *Budget) Charge(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= float64(size)
}

// Grant adds bytes that bulk messages may use at any time and that are not
// refilled. An
// instance that starts learns the complete view and configuration and tells
// its own to others, far above its mean rate.
func (b *Budget) Grant(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += float64(bytes)
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() || now.Before(b.last) {
		b.last = now
		return
	}
	gained := b.rate * now.Sub(b.last).Seconds()
	full := b.rate * burst.Seconds()
	b.urgent = min(b.urgent+gained, full)
	b.total = min(b.total+gained, max(full, b.total))
	b.last = now
}

// Owed returns the bytes that are still to be paid off.
func (b *Budget) Owed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(max(-b.total, 0))
}
