package flow

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// BlockKey identifies the transfer that follow-up blocks belong to.
type BlockKey struct {
	ids.FlowKey
	Path uint64
}

// BlockRoute tells where block 0 was served: by Target of this instance, or by
// another instance.
type BlockRoute struct {
	Target   ids.Target
	Instance ids.Instance
}

// AckKey identifies a message to a caller that awaits an ACK.
type AckKey struct {
	ids.FlowKey
	ID uint16
}

// Cache is a bounded map whose entries expire Lifetime after they were last
// set. At Limit entries the oldest is dropped.
type Cache[K comparable, V any] struct {
	Lifetime time.Duration
	Limit    int
	entries  map[K]cached[V]
	order    []stamp[K] // ring in order of time
	head     int
	length   int
}

type cached[V any] struct {
	value V
	set   ids.Time
}

type stamp[K comparable] struct {
	key K
	set ids.Time
}

// Set enters or refreshes the value of k.
func (c *Cache[K, V]) Set(now ids.Time, k K, v V) {
	if c.entries == nil {
		c.entries = make(map[K]cached[V])
	}
	_, present := c.entries[k]
	c.entries[k] = cached[V]{v, now}
	if present {
		return // its stamp is renewed when it reaches the head
	}
	for c.length >= c.Limit {
		c.drop()
	}
	c.push(stamp[K]{k, now})
}

// Get returns the value of k.
func (c *Cache[K, V]) Get(now ids.Time, k K) (V, bool) {
	e, ok := c.entries[k]
	if !ok || now.Sub(e.set) > c.Lifetime {
		var none V
		return none, false
	}
	return e.value, true
}

// Evict removes expired entries, examining at most max.
func (c *Cache[K, V]) Evict(now ids.Time, max int) {
	for ; max > 0 && c.length > 0; max-- {
		s := c.order[c.head]
		if now.Sub(s.set) <= c.Lifetime {
			return
		}
		e := c.entries[s.key]
		c.drop()
		if e.set != s.set {
			c.entries[s.key] = e
			c.push(stamp[K]{s.key, e.set})
		}
	}
}

// Len returns the number of entries.
func (c *Cache[K, V]) Len() int { return c.length }

func (c *Cache[K, V]) drop() {
	delete(c.entries, c.order[c.head].key)
	c.head = (c.head + 1) % len(c.order)
	c.length--
}

func (c *Cache[K, V]) push(s stamp[K]) {
	if c.length == len(c.order) {
		grown := make([]stamp[K], max(64, 2*len(c.order)))
		for i := range c.length {
			grown[i] = c.order[(c.head+i)%len(c.order)]
		}
		c.order, c.head = grown, 0
	}
	c.order[(c.head+c.length)%len(c.order)] = s
	c.length++
}
