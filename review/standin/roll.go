//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"

	"net/netip"
)

func init() { cases["roll"] = playRoll }

// smallDeployment starts four nodes in three zones, as a small one of its kind has, and the targets of the
// service counter: five, five and four with two slots each.
func smallDeployment(l *lab, queue int, work func() time.Duration) error {
	for _, zone := range []string{"gnr-a", "gnr-a", "gnr-b", "gnr-c"} {
		if _, err := l.addNode(zone, boundsPlaces, 3); err != nil {
			return err
		}
	}
	number := uint64(0x4a00000001)
	for zone, count := range map[string]int{"gnr-a": 5, "gnr-b": 5, "gnr-c": 4} {
		for range count {
			number += 0x0100010007
			if _, err := l.addTarget(number, "counter", zone, 2, queue, work); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve starts all nodes and waits until they are in rotation.
func (l *lab) serve() error {
	for _, n := range l.nodes {
		if err := l.start(n); err != nil {
			return err
		}
		go l.probe(n)
	}
	return l.awaitRotation(15 * time.Second)
}

// playRoll: the operator adds routes in quick succession (config_storm) while the machines are
// stopped and started in turn (roll_term). Clients use each new route from its confirmation on
// and keep their flows open for many requests.
func playRoll(l *lab, trouble bool) error {
	work := func() time.Duration { return time.Duration(3+rand.IntN(3)) * time.Millisecond } // as slip-fetch
	if err := smallDeployment(l, 8, work); err != nil {
		return err
	}
	routes := []platformtest.Route{{IP: l.addr(8, 1).String(), Port: 443, Service: "counter", Kind: "safe"}}
	version := 1
	l.store.PutConfig(version, routes...)
	if err := l.serve(); err != nil {
		return err
	}
	clients := map[string]*client{}
	for _, zone := range l.zones {
		c, err := l.addClient(zone)
		if err != nil {
			return err
		}
		clients[zone] = c
	}
	var users sync.WaitGroup
	var opened, served, refused, silent atomic.Int64
	use := func(c *client, to netip.AddrPort, version int, delay, stay time.Duration) {
		time.Sleep(delay)
		for range 3 { // clients repeat a safe request twice
			f, err := c.dial(to)
			if err != nil {
				refused.Add(1)
				time.Sleep(retryPause)
				continue
			}
			opened.Add(1)
			via := f.via
			for end, n := time.Now().Add(stay), 0; time.Now().Before(end); n++ {
				answer, err := f.request(fmt.Sprintf("GET v%d-%s-%d", version, f, n), 1500*time.Millisecond)
				if err == nil && strings.HasPrefix(answer, "200") {
					served.Add(1)
					err = f.pause(requestPause)
				}
				switch {
				case errors.Is(err, errReset):
					l.judgeReset(f, fmt.Sprintf("route of version %d, opened via %s", version, via))
					return
				case err != nil:
					silent.Add(1)
					l.recordf("silent  flow=%s via=%s route of version %d", f, f.via, version)
					f.remove()
					return
				}
			}
			f.close()
			return
		}
	}
	for _, zone := range l.zones { // long flows on a route of the first version
		for n := range 8 {
			users.Go(func() {
				use(clients[zone], netip.AddrPortFrom(l.addr(8, 1), 443), 1, time.Duration(n)*20*time.Millisecond, 70*time.Second)
			})
		}
	}
	// storm writes a version with one more route each gap, for a while.
	storm := func(gap, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(gap) {
			version += 1 + rand.IntN(3)
			route := platformtest.Route{IP: l.addr(8, 2).String(), Port: 1000 + version, Service: "counter", Kind: "safe"}
			routes = append(routes, route)
			l.store.PutConfig(version, routes...)
			l.recordf("config  version=%d adds %s:%d", version, route.IP, route.Port)
			to := netip.AddrPortFrom(netip.MustParseAddr(route.IP), uint16(route.Port))
			for _, zone := range l.zones {
				for n := range usersPerRoute {
					v := version
					users.Go(func() { use(clients[zone], to, v, time.Duration(n)*arrivalGap, flowTime) })
				}
			}
		}
	}
	time.Sleep(2 * time.Second)
	release, stopRelease := sync.WaitGroup{}, make(chan struct{})
	release.Go(func() { playRelease(l, stopRelease) })
	for round := range rounds {
		for _, n := range l.nodes {
			var stopped sync.WaitGroup
			if trouble {
				stopped.Go(func() {
					if err := l.restart(n, 6*time.Second); err != nil {
						l.recordf("restart of %s failed: %v", n.id, err)
					}
				})
			}
			storm(stormGap, stormTime)
			stopped.Wait()
		}
		l.recordf("round %d done", round+1)
	}
	close(stopRelease)
	release.Wait()
	users.Wait()
	l.recordf("flows opened=%d requests served=%d openings refused=%d silent=%d", opened.Load(), served.Load(), refused.Load(), silent.Load())
	if opened.Load() < 100 || served.Load() < 1000 {
		return fmt.Errorf("too little traffic: %d flows, %d requests", opened.Load(), served.Load())
	}
	return nil
}

const (
	stormGap  = 330 * time.Millisecond // troubles of gwrb-dock-now-grown: config_storm, gap_s = 0.33, for_s = 4.0
	stormTime = 4 * time.Second

	rounds = 4

	// Users of a new route come one after the other, keep their flow open for a while and
	// pause between two requests.
	usersPerRoute = 25
	arrivalGap    = 15 * time.Millisecond
	flowTime      = 450 * time.Millisecond
	requestPause  = 20 * time.Millisecond
	retryPause    = 5 * time.Millisecond
)

// playRelease replaces the targets of the service slips one after the other: the new one
// starts first, cold for 2 s, and the old one drains. A target writes its record every
// heartbeat, which changes while it is cold.
func playRelease(l *lab, stop <-chan struct{}) {
	const heartbeat, cold, gap, drain = 770 * time.Millisecond, 2 * time.Second, 700 * time.Millisecond, 5 * time.Second
	var running sync.WaitGroup
	defer running.Wait()
	number := uint64(0x7300000001)
	var former *target
	for {
		number += 0x0100010007
		t, err := l.addTarget(number, "slips", l.zones[number%3], 2, 8, func() time.Duration { return 4 * time.Millisecond })
		if err != nil {
			l.recordf("no target: %v", err)
			return
		}
		old := former
		former = t
		running.Go(func() {
			for left := cold; left > 0; left -= heartbeat {
				l.publish(t, "ready", left)
				time.Sleep(heartbeat)
			}
			l.publish(t, "ready", 0)
		})
		if old != nil {
			running.Go(func() {
				l.publish(old, "draining", 0)
				time.Sleep(drain)
				l.store.Delete("servers/" + old.id)
				old.close()
			})
		}
		select {
		case <-stop:
			return
		case <-time.After(gap / 2): // two at a time
		}
	}
}
