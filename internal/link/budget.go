package link

import (
	"sync"
	"time"
)

// messageOverhead is the number of bytes that TLS and WebSocket add to each
// message on the wire: a TLS 1.3 record (5 header, 1 type, 16 tag) and a
// WebSocket header with mask (8).
const messageOverhead = 30

// handshakeBytes is the number of bytes that the dialling side sends for one TLS
// handshake with a client certificate and the WebSocket upgrade
// (BenchmarkDialBytes).
const handshakeBytes = 2100

// burstPeriod is the time for which unused budget accumulates.
const burstPeriod = 2 * time.Second

// Budget is a token bucket that limits the bytes per second of the control
// lanes of all links of one instance together. Urgent messages have priority:
// they may use the full rate even while the budget is in debt. Otherwise a large
// configuration delta could delay heartbeats until peers suspect this instance,
// or delay a small new document beyond the 5 s in which it must take effect. A
// bulk message of any size may be sent while there is no debt; its size can
// then put the budget into debt, which the refill pays off.
type Budget struct {
	mu              sync.Mutex
	bytesPerSecond  float64
	urgentAvailable float64 // bytes that urgent messages may use now
	bulkAvailable   float64 // bytes that bulk messages may use now; negative when in debt
	lastRefill      time.Time
}

// NewBudget returns a budget of rate bytes per second.
func NewBudget(rate int) *Budget {
	capacity := float64(rate) * burstPeriod.Seconds()
	return &Budget{bytesPerSecond: float64(rate), urgentAvailable: capacity, bulkAvailable: capacity}
}

// maxUrgentBytes is the largest size at which a control message is urgent
// regardless of its kind. The profile in docs/examples, which has 1,283 B with
// its envelope, is below it.
const maxUrgentBytes = 1500

// Take reserves budget for a control message of size bytes at time now. If the
// message may not be sent yet, ok is false and the caller should retry after
// wait.
func (b *Budget) Take(now time.Time, size int, urgent bool) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	cost := float64(size + messageOverhead)
	available := b.bulkAvailable
	if urgent {
		available = b.urgentAvailable - cost
	}
	if available < 0 {
		return time.Duration(-available / b.bytesPerSecond * float64(time.Second)), false
	}
	b.bulkAvailable -= cost
	if urgent {
		b.urgentAvailable -= cost
	}
	return 0, true
}

// Charge deducts size bytes that were sent without a call of Take.
func (b *Budget) Charge(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bulkAvailable -= float64(size)
}

// Grant adds bytes that bulk messages may use at any time and that are not
// refilled. A starting instance needs them: it exchanges the complete
// membership view and configuration with its peers, which takes far more bytes
// per second than its mean rate.
func (b *Budget) Grant(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bulkAvailable += float64(bytes)
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() || now.Before(b.lastRefill) {
		b.lastRefill = now
		return
	}
	gained := b.bytesPerSecond * now.Sub(b.lastRefill).Seconds()
	capacity := b.bytesPerSecond * burstPeriod.Seconds()
	b.urgentAvailable = min(b.urgentAvailable+gained, capacity)
	b.bulkAvailable = min(b.bulkAvailable+gained, max(capacity, b.bulkAvailable))
	b.lastRefill = now
}

// Owed returns the debt of the budget in bytes, or 0.
func (b *Budget) Owed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(max(-b.bulkAvailable, 0))
}
