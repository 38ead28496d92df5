//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["drill-after-outage"] = drillAfterOutage }

// drillAfterOutage: the entries of the targets expire during an outage of the store. A
// second after its return the store is restored from a copy, in a drill.
func drillAfterOutage(w *world, trouble bool) (broken bool) {
	zones := []string{"gnr-a", "gnr-b"}
	seeds := []string{w.seed(1), w.seed(2), w.seed(3)}
	daemons := []*daemon{
		w.newDaemon("edge-gnr-a-1", "gnr-a", 1, zones, seeds),
		w.newDaemon("edge-gnr-a-2", "gnr-a", 2, zones, seeds),
		w.newDaemon("edge-gnr-b-1", "gnr-b", 3, zones, seeds),
	}
	watch := w.routeAt(1)
	w.store.putConfig(7, []string{"counter"}, route{watch, "counter", "safe"})
	for n, zone := range []string{"gnr-a", "gnr-a", "gnr-b", "gnr-b"} {
		t := w.newTarget(fmt.Sprintf("i-%010x", 0xa1b2c30000+n*0x10101), "counter", zone, 2)
		w.store.beat(t)
		t.beats(1800 * time.Millisecond)
	}
	for _, d := range daemons {
		d.begin()
	}
	w.awaitReady(daemons...)
	time.Sleep(6 * time.Second)
	c := w.newClient(w.addr(100))
	type feed struct {
		*flow
		via *daemon
	}
	var feeds []feed
	for _, d := range daemons {
		for n := range 4 {
			f, err := c.openFlow(watch, d.via)
			w.check(err)
			_, err = f.request(fmt.Sprintf("%s-%d-a", d.id, n), 26*time.Millisecond, 1500*time.Millisecond)
			w.check(err)
			w.logf("feed %s is open at target %s through %s", f.from, f.target, d.id)
			feeds = append(feeds, feed{f, d})
		}
	}
	w.store.copyNow()
	if trouble {
		w.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		w.store.setDown(false)
	}
	time.Sleep(time.Second)
	if trouble {
		w.store.setDown(true)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.store.restore()
		w.store.setDown(false)
	}
	time.Sleep(2 * time.Second)
	w.logf("no disruption from here on")
	time.Sleep(7 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	for n, f := range feeds {
		all.Go(func() {
			answer, err := f.request(fmt.Sprintf("%s-%d-b", f.via.id, n), 26*time.Millisecond, 1500*time.Millisecond)
			w.logf("feed %s at %s through %s: %d bytes, %v", f.from, f.target, f.via.id, len(answer), err)
			if errors.Is(err, errSystemReset) {
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for _, d := range daemons {
		for range 2 {
			f, err := c.openFlow(watch, d.via)
			w.logf("new flow %s through %s: %v", f.from, d.id, err)
		}
	}
	return broken
}
