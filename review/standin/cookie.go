//go:build review

package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

func init() { cases["cookie"] = playCookie }

// playCookie: empty targets are added (scale_out). Two of them have IDs that fold to the same
// 32 bits; the one that started first registers second. With no trouble the two are not added.
func playCookie(l *lab, trouble bool) error {
	work := func() time.Duration { return 20 * time.Millisecond }
	if err := smallDeployment(l, 8, work); err != nil {
		return err
	}
	l.store.PutConfig(1, platformtest.Route{IP: l.addr(8, 1).String(), Port: 443, Service: "counter", Kind: "safe"})
	if err := l.serve(); err != nil {
		return err
	}
	to := netip.AddrPortFrom(l.addr(8, 1), 443)
	var users sync.WaitGroup
	served, perTarget := 0, map[string]int{}
	var mu sync.Mutex
	use := func(c *client, delay time.Duration) {
		time.Sleep(delay)
		f, err := c.dial(to)
		if err != nil {
			l.recordf("no flow: %v", err)
			return
		}
		for n := range 20 {
			answer, err := f.request(fmt.Sprintf("GET %s-%d", f, n), 1500*time.Millisecond)
			if err == nil && strings.HasPrefix(answer, "200") {
				mu.Lock()
				served++
				perTarget[f.target]++
				mu.Unlock()
				err = f.pause(150 * time.Millisecond)
			}
			if errors.Is(err, errReset) {
				l.judgeReset(f, "reset while the client kept the flow in use")
				return
			}
			if err != nil {
				l.recordf("silent  flow=%s target=%s", f, f.target)
				return
			}
		}
		f.close()
	}
	for _, zone := range l.zones {
		c, err := l.addClient(zone)
		if err != nil {
			return err
		}
		for n := range 60 {
			users.Go(func() { use(c, time.Duration(n)*100*time.Millisecond) })
		}
	}
	time.Sleep(time.Second)
	if trouble {
		firstBorn, secondBorn := time.Now(), time.Now().Add(300*time.Millisecond)
		first, err := newTarget(l, 0x2a11c0ffee, "counter", "gnr-b", l.addr(3, 101), 2, 8, work)
		if err != nil {
			return err
		}
		time.Sleep(time.Until(secondBorn))
		second, err := newTarget(l, 0x0011c0ffee^0x2a, "counter", "gnr-b", l.addr(3, 102), 2, 8, work)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.targets[first.id], l.targets[second.id] = first, second
		l.mu.Unlock()
		first.born, second.born = firstBorn, secondBorn
		l.recordf("target  id=%s born=%s registers 2 s after its start", first.id, firstBorn.Sub(l.began))
		l.recordf("target  id=%s born=%s registers at once", second.id, secondBorn.Sub(l.began))
		l.publish(second, "ready", 0)
		time.Sleep(1700 * time.Millisecond)
		l.recordf("target  id=%s registers", first.id)
		l.publish(first, "ready", 0)
	}
	users.Wait()
	l.recordf("requests served=%d by target=%v", served, perTarget)
	if served < 1000 {
		return fmt.Errorf("too little traffic: %d requests", served)
	}
	return nil
}
