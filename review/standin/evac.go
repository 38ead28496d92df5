//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

func init() { cases["evac"] = playEvac }

// Bounds of gwrb-dock-now-grown.
const boundsPlaces = `apply_within = "5000ms"
evacuate_within = "5000ms"
grace = "6s"
flow_life = "60s"
heartbeat = "770ms"
cold_excess = 1.5
cold_slack = 5
memory_mb = 280`

const (
	contactTime   = 5 * time.Second // contact-ms
	evacuateTime  = 5 * time.Second // evacuate-ms
	awayTime      = 500 * time.Millisecond
	rewriteAfter  = 8 * time.Second // from the return of the store to the operator's second write
	evacuatedZone = "gnr-b"
)

// playEvac: a zone is evacuated. In a drill the store is away for a moment and comes back from
// a copy of before the evacuation; the operator writes it again some seconds later. Without
// trouble there is no drill.
func playEvac(l *lab, trouble bool) error {
	for _, zone := range []string{"gnr-a", "gnr-a", "gnr-b", "gnr-c"} {
		if _, err := l.addNode(zone, boundsPlaces, 3); err != nil {
			return err
		}
	}
	number := uint64(0x4a00000001)
	for n := range 14 {
		number += 0x0100010007
		if _, err := l.addTarget(number, "counter", l.zones[n%3], 2, 8, func() time.Duration { return 20 * time.Millisecond }); err != nil {
			return err
		}
	}
	l.store.PutConfig(1, platformtest.Route{IP: l.addr(8, 1).String(), Port: 443, Service: "counter", Kind: "safe"})
	if err := l.serve(); err != nil {
		return err
	}
	done := make(chan struct{})
	var users sync.WaitGroup
	for _, zone := range l.zones {
		c, err := l.addClient(zone)
		if err != nil {
			return err
		}
		users.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				users.Go(func() { l.oneRequest(c, n) })
			}
		})
	}
	time.Sleep(2 * time.Second)
	l.store.Copy()
	l.recordf("store   copy taken")
	time.Sleep(time.Second)
	l.store.Evacuate(evacuatedZone, true)
	acknowledged := time.Now()
	l.recordf("operator evacuates %s, acknowledged", evacuatedZone)
	time.Sleep(6 * time.Second)
	back := time.Now()
	if trouble {
		l.recordf("store   away")
		l.store.Refuse(503)
		time.Sleep(awayTime)
		l.store.Restore()
		l.store.Refuse(0)
		back = time.Now()
		l.recordf("store   back from the copy")
	}
	time.Sleep(rewriteAfter)
	l.store.Evacuate(evacuatedZone, true)
	l.recordf("operator writes the evacuation of %s again", evacuatedZone)
	time.Sleep(2 * time.Second)
	close(done)
	users.Wait()
	judgedFrom := back.Add(contactTime)
	if first := acknowledged.Add(evacuateTime); judgedFrom.Before(first) {
		judgedFrom = first
	}
	total, inZone, first := 0, 0, time.Time{}
	for _, t := range l.targets {
		t.mu.Lock()
		for _, at := range t.openings {
			total++
			if t.zone == evacuatedZone && at.After(judgedFrom) {
				if inZone++; first.IsZero() || at.Before(first) {
					first = at
				}
			}
		}
		t.mu.Unlock()
	}
	l.recordf("openings in all=%d; in %s later than %.3f s=%d", total, evacuatedZone, judgedFrom.Sub(l.began).Seconds(), inZone)
	if total < 500 {
		return fmt.Errorf("too little traffic: %d openings", total)
	}
	if inZone > 0 {
		l.breakRule("EVAC: %d requests reached targets of %s, the first at %.3f s; its evacuation was acknowledged at %.3f s and never taken back; the store is stable and all machines are in touch since %.3f s",
			inZone, evacuatedZone, first.Sub(l.began).Seconds(), acknowledged.Sub(l.began).Seconds(), judgedFrom.Sub(l.began).Seconds())
	}
	return nil
}

// oneRequest opens a flow for one request.
func (l *lab) oneRequest(c *client, n int) {
	f, err := c.dial(netip.AddrPortFrom(l.addr(8, 1), 443))
	if err != nil {
		return
	}
	if _, err := f.request(fmt.Sprintf("GET %s-%d", f, n), 1500*time.Millisecond); err != nil {
		f.remove()
		return
	}
	f.close()
}
