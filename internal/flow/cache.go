package flow

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// BlockKey identifies a block-wise transfer (RFC 7959) to which follow-up blocks
// belong.
type BlockKey struct {
	ids.FlowKey
	Path uint64 // hash of the Uri-Path options
}

// BlockRoute records where block 0 was served: by a target of this instance, or by
// another instance.
type BlockRoute struct {
	Target   ids.Target
	Instance ids.Instance
}

// AckKey identifies a message to a caller that has not been acknowledged yet.
type AckKey struct {
	ids.FlowKey
	ID uint16
}

// Cache is a bounded map whose entries expire Lifetime after they were last set. A
// new key evicts the oldest entry when the map holds Limit entries.
type Cache[K comparable, V any] struct {
	Lifetime time.Duration
	Limit    int
	entries  map[K]cacheEntry[V]
	order    []orderEntry[K] // ring buffer ordered by time
	head     int
	length   int
}

type cacheEntry[V any] struct {
	value V
	setAt ids.Time
}

// orderEntry records when a key was set. The key may have been set again since.
type orderEntry[K comparable] struct {
	key   K
	setAt ids.Time
}

// Set stores v as the value of k and restarts the lifetime of the entry.
func (c *Cache[K, V]) Set(now ids.Time, k K, v V) {
	if c.entries == nil {
		c.entries = make(map[K]cacheEntry[V])
	}
	_, present := c.entries[k]
	c.entries[k] = cacheEntry[V]{v, now}
	if present {
		return // Evict renews its position in order when it reaches the head
	}
	for c.length >= c.Limit {
		c.removeOldest()
	}
	c.appendOrder(orderEntry[K]{k, now})
}

// Get returns the value of k and whether an entry exists that has not expired.
func (c *Cache[K, V]) Get(now ids.Time, k K) (V, bool) {
	e, ok := c.entries[k]
	if !ok || now.Sub(e.setAt) > c.Lifetime {
		var none V
		return none, false
	}
	return e.value, true
}

// Evict removes expired entries. It examines at most max entries.
func (c *Cache[K, V]) Evict(now ids.Time, max int) {
	for ; max > 0 && c.length > 0; max-- {
		oldest := c.order[c.head]
		if now.Sub(oldest.setAt) <= c.Lifetime {
			return
		}
		e := c.entries[oldest.key]
		c.removeOldest()
		if e.setAt != oldest.setAt {
			c.entries[oldest.key] = e
			c.appendOrder(orderEntry[K]{oldest.key, e.setAt})
		}
	}
}

// Len returns the number of entries, including expired ones that have not been
// removed yet.
func (c *Cache[K, V]) Len() int { return c.length }

func (c *Cache[K, V]) removeOldest() {
	delete(c.entries, c.order[c.head].key)
	c.head = (c.head + 1) % len(c.order)
	c.length--
}

func (c *Cache[K, V]) appendOrder(s orderEntry[K]) {
	if c.length == len(c.order) {
		grown := make([]orderEntry[K], max(64, 2*len(c.order)))
		for i := range c.length {
			grown[i] = c.order[(c.head+i)%len(c.order)]
		}
		c.order, c.head = grown, 0
	}
	c.order[(c.head+c.length)%len(c.order)] = s
	c.length++
}
