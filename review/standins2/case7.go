//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["drain-after-drill"] = drainAfterDrill }

// drainAfterDrill: an outage of the store and a restore, as in drillAfterOutage. Well after
// it one instance is restarted as planned, and then a target leaves as planned.
func drainAfterDrill(w *world, trouble bool) (broken bool) {
	zones := []string{"gnr-a"}
	seeds := []string{w.seed(1), w.seed(2)}
	daemons := []*daemon{
		w.newDaemon("edge-gnr-a-1", "gnr-a", 1, zones, seeds),
		w.newDaemon("edge-gnr-a-2", "gnr-a", 2, zones, seeds),
	}
	watch := w.routeAt(1)
	w.store.putConfig(7, []string{"counter"}, route{watch, "counter", "safe"})
	var targets []*target
	for n := range 8 {
		t := w.newTarget(fmt.Sprintf("i-%010x", 0xa1b2c30000+n*0x10101), "counter", "gnr-a", 2)
		w.store.beat(t)
		t.beats(1800 * time.Millisecond)
		targets = append(targets, t)
	}
	for _, d := range daemons {
		d.begin()
	}
	w.awaitReady(daemons...)
	time.Sleep(6 * time.Second)
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
	w.logf("no disruption but planned work from here on")
	time.Sleep(5 * time.Second)

	reader := w.store.lastWatcher()
	restarted := daemons[0]
	if restarted.id == reader {
		restarted = daemons[1]
	}
	w.logf("%s reads the store; planned restart of %s", reader, restarted.id)
	restarted.signal(syscall.SIGTERM)
	<-restarted.ended
	restarted.begin()
	w.awaitReady(restarted)
	time.Sleep(7 * time.Second)

	c := w.newClient(w.addr(100))
	leaving := targets[0]
	leaving.drain()
	acknowledged := time.Now()
	for n := 0; time.Since(acknowledged) < 9*time.Second; n++ {
		f, err := c.openFlow(watch, restarted.via)
		if err == nil {
			_, err = f.request(fmt.Sprint("watch-", n), 26*time.Millisecond, 1500*time.Millisecond)
			f.close()
		}
		since := time.Since(acknowledged)
		w.logf("flow %s at %s, %d ms after the confirmation: %v", f.from, f.target, since.Milliseconds(), err)
		if f.target == leaving.id && since > 5200*time.Millisecond {
			broken = true
		}
		time.Sleep(30 * time.Millisecond)
	}
	return broken
}
