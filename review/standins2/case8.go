//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["busy-target"] = busyTarget }

// busyTarget: targets with a full set of long requests answer a health check late. One
// client gives up right after its opening packet.
func busyTarget(w *world, trouble bool) (broken bool) {
	zones := []string{"gnr-a"}
	seeds := []string{w.seed(1), w.seed(2)}
	a := w.newDaemon("edge-gnr-a-1", "gnr-a", 1, zones, seeds)
	b := w.newDaemon("edge-gnr-a-2", "gnr-a", 2, zones, seeds)
	watch := w.routeAt(1)
	claim := w.routeAt(2)
	slip := w.routeAt(3)
	w.store.putConfig(7, []string{"counter", "slips"}, route{watch, "counter", "safe"}, route{claim, "counter", "unsafe"}, route{slip, "slips", "download"})
	var targets []*target
	for n := range 3 {
		targets = append(targets, w.newTarget(fmt.Sprintf("i-%010x", 0xa1b2c30000+n*0x10101), "counter", "gnr-a", 2))
	}
	targets = append(targets, w.newTarget("i-7b094dba18", "slips", "gnr-a", 2))
	for _, t := range targets {
		w.store.beat(t)
		t.beats(0)
	}
	a.begin()
	b.begin()
	w.awaitReady(a, b)
	time.Sleep(3 * time.Second) // the targets have warmed up
	c := w.newClient(w.addr(100))

	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { // slips are fetched all the time
		f, err := c.openFlow(slip, a.via)
		w.check(err)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			_, err := f.request(fmt.Sprint("slip-", n), 4*time.Millisecond, 5*time.Second)
			w.check(err)
		}
	})
	// Feeds that stay open, each with a request now and then.
	var feeds []*flow
	for n := range 6 {
		f, err := c.openFlow(watch, a.via)
		w.check(err)
		_, err = f.request(fmt.Sprint("watch-a", n), 26*time.Millisecond, 1500*time.Millisecond)
		w.check(err)
		feeds = append(feeds, f)
	}
	time.Sleep(500 * time.Millisecond)
	w.logf("claims begin")
	var claims sync.WaitGroup
	begin := func(from *daemon, name string) {
		f, err := c.openFlow(claim, from.via)
		w.check(err)
		claims.Go(func() {
			answer, err := f.request(name, 300*time.Millisecond, 2*time.Second)
			w.logf("claim %s at %s: %d bytes, %v", name, f.target, len(answer), err)
			if errors.Is(err, errSystemReset) {
				broken = true
			}
		})
	}
	for n := range 6 {
		begin(b, fmt.Sprint("claim-b", n))
	}
	for n := range 6 {
		begin(a, fmt.Sprint("claim-a", n))
	}
	if trouble {
		f := c.cancelledOpening(watch, a.via)
		w.logf("client %s gives up right after its opening packet", f.from)
	}
	time.Sleep(460 * time.Millisecond)
	var mu sync.Mutex
	for n, f := range feeds {
		claims.Go(func() {
			answer, err := f.request(fmt.Sprint("watch-b", n), 26*time.Millisecond, 1500*time.Millisecond)
			w.logf("feed %s at %s: %d bytes, %v", f.from, f.target, len(answer), err)
			if errors.Is(err, errSystemReset) {
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	claims.Wait()
	close(stop)
	background.Wait()
	return broken
}
