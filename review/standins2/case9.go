//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stuck-gone"] = stuckGone }

// stuckGone: a target is partitioned from the store for five seconds, so that its entry
// expires. Meanwhile the store discards its history, and loses one answer to one instance.
func stuckGone(w *world, trouble bool) (broken bool) {
	zones := []string{"gnr-a", "gnr-b"}
	seeds := []string{w.seed(1)}
	a := w.newDaemon("edge-gnr-a-1", "gnr-a", 1, zones, seeds)
	b := w.newDaemon("edge-gnr-b-1", "gnr-b", 2, zones, seeds)
	watch := w.routeAt(1)
	spare := w.routeAt(9)
	w.store.putConfig(7, []string{"counter"}, route{watch, "counter", "safe"})
	var targets []*target
	for n, zone := range []string{"gnr-a", "gnr-a", "gnr-a", "gnr-b", "gnr-b"} {
		t := w.newTarget(fmt.Sprintf("i-%010x", 0xa1b2c30000+n*0x10101), "counter", zone, 2)
		w.store.beat(t)
		t.beats(0)
		targets = append(targets, t)
	}
	cut := targets[4]
	a.begin()
	w.awaitReady(a)
	time.Sleep(3 * time.Second)
	b.begin() // it reads the entries later than the other instance
	w.awaitReady(a, b)
	time.Sleep(5 * time.Second)
	c := w.newClient(w.addr(100))
	var feeds []*flow
	for n := range 4 {
		f, err := c.openFlow(watch, b.via)
		w.check(err)
		_, err = f.request(fmt.Sprint("watch-a", n), 26*time.Millisecond, 2500*time.Millisecond)
		w.check(err)
		w.logf("feed %s is open at target %s", f.from, f.target)
		feeds = append(feeds, f)
	}
	if trouble {
		cut.setMute(true)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.store.lose("edge-gnr-b-1", 1)
	}
	w.store.putConfigAndDiscard(trouble, 8, []string{"counter"}, route{watch, "counter", "safe"}, route{spare, "counter", "safe"})
	w.logf("store confirmed: configuration 8")
	time.Sleep(2 * time.Second)
	if trouble {
		cut.setMute(false)
	}
	time.Sleep(time.Second)
	w.logf("no disruption from here on")
	time.Sleep(6500 * time.Millisecond)
	var all sync.WaitGroup
	var mu sync.Mutex
	for n, f := range feeds {
		all.Go(func() {
			answer, err := f.request(fmt.Sprint("watch-b", n), 26*time.Millisecond, 2500*time.Millisecond)
			w.logf("feed %s at %s: %d bytes, %v", f.from, f.target, len(answer), err)
			if errors.Is(err, errSystemReset) {
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return broken
}

// setMute sets whether the target is partitioned from the store.
func (t *target) setMute(mute bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mute = mute
	t.w.logf("target %s is partitioned from the store: %v", t.id, mute)
}
