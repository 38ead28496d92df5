//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

func init() { cases["sameid"] = playSameID }

const (
	drainTime    = 5 * time.Second // drain-ms of gwrb-dock-now-grown
	coldTime     = 2 * time.Second
	heartbeat    = 770 * time.Millisecond
	restartGap   = 250 * time.Millisecond // between two targets that begin to drain
	usersPerZone = 36
	userFlowTime = 400 * time.Millisecond
	userPause    = 15 * time.Millisecond
	restartPause = 800 * time.Millisecond // after a machine is back, before the next one is stopped
	rollUntil    = 98 * time.Second       // since the start
)

// playSameID: the targets of a service are restarted one after the other, each under the id
// that it had, while the machines of the system are stopped and started in turn. Without
// trouble the targets are restarted, but no machine is stopped.
func playSameID(l *lab, trouble bool) error {
	work := func() time.Duration { return time.Duration(6+rand.IntN(5)) * time.Millisecond }
	if err := smallDeployment(l, 8, work); err != nil {
		return err
	}
	number := uint64(0x8800000001)
	for n := range 16 {
		number += 0x0100010007
		if _, err := l.addTarget(number, "counter", l.zones[(n+2)%3], 2, 8, work); err != nil {
			return err
		}
	}
	l.store.PutConfig(1, platformtest.Route{IP: l.addr(8, 1).String(), Port: 443, Service: "counter", Kind: "safe"})
	if err := l.serve(); err != nil {
		return err
	}
	to := netip.AddrPortFrom(l.addr(8, 1), 443)
	done := make(chan struct{})
	ended := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	var background sync.WaitGroup
	var opened, served atomic.Int64
	for _, zone := range l.zones {
		c, err := l.addClient(zone)
		if err != nil {
			return err
		}
		for range usersPerZone {
			background.Go(func() {
				for !ended() {
					f, err := c.dial(to)
					if err != nil {
						time.Sleep(userPause)
						continue
					}
					opened.Add(1)
					via := f.via
					l.useFlow(f, via, &served)
				}
			})
		}
	}
	background.Go(func() { l.restartTargets(ended, &background, work) })
	time.Sleep(4 * time.Second)
	for time.Since(l.began) < rollUntil {
		for _, n := range l.nodes {
			if time.Since(l.began) >= rollUntil {
				break
			}
			if trouble {
				if err := l.restart(n, 6*time.Second); err != nil {
					return err
				}
			} else {
				time.Sleep(2 * time.Second)
			}
			time.Sleep(restartPause)
		}
	}
	close(done)
	background.Wait()
	l.recordf("flows opened=%d requests served=%d", opened.Load(), served.Load())
	if served.Load() < 5000 {
		return fmt.Errorf("too little traffic: %d requests", served.Load())
	}
	return nil
}

// useFlow sends requests on a flow for a while.
func (l *lab) useFlow(f *flow, via string, served *atomic.Int64) {
	for end, n := time.Now().Add(userFlowTime), 0; time.Now().Before(end) && !f.closed; n++ {
		answer, err := f.request(fmt.Sprintf("GET %s-%d", f, n), 1500*time.Millisecond)
		if err == nil && strings.HasPrefix(answer, "200") {
			served.Add(1)
			err = f.pause(userPause)
		}
		if errors.Is(err, errReset) {
			l.judgeReset(f, "opened via "+via)
			return
		}
		if err != nil {
			f.remove()
			return
		}
	}
	f.close()
}

// restartTargets restarts the targets one after the other: a target drains, leaves, and starts
// again under its id, at another port.
func (l *lab) restartTargets(ended func() bool, running *sync.WaitGroup, work func() time.Duration) {
	l.mu.Lock()
	var list []*target
	for _, t := range l.targets {
		list = append(list, t)
	}
	l.mu.Unlock()
	for n := 0; !ended(); n++ {
		old, slot := list[n%len(list)], n%len(list)
		next := make(chan *target, 1)
		running.Go(func() {
			old.mu.Lock()
			old.draining = true
			old.mu.Unlock()
			l.publish(old, "draining", 0)
			time.Sleep(drainTime)
			old.close()
			l.store.Delete("servers/" + old.id)
			time.Sleep(300 * time.Millisecond)
			t, err := newTarget(l, old.number, old.service, old.zone, old.address.Addr(), cap(old.slots), old.queue, work)
			if err != nil {
				l.recordf("no target: %v", err)
				next <- nil
				return
			}
			l.mu.Lock()
			l.targets[t.id] = t
			l.mu.Unlock()
			l.recordf("target  id=%s started again at %s", t.id, t.address)
			next <- t
			for left := coldTime; left > 0; left -= heartbeat {
				l.publish(t, "ready", left)
				time.Sleep(heartbeat)
			}
			l.publish(t, "ready", 0)
		})
		list[slot] = nil
		running.Go(func() {
			if t := <-next; t != nil {
				l.mu.Lock()
				list[slot] = t
				l.mu.Unlock()
			}
		})
		time.Sleep(restartGap)
		for {
			l.mu.Lock()
			ready := list[(n+1)%len(list)] != nil
			l.mu.Unlock()
			if ready || ended() {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
