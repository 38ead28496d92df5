//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry: another writer writes entries in which a field is missing, or is of another
// type, under the id of a running target of one service, with the name of another service.
func foreignEntry(w *world, trouble bool) (broken bool) {
	zones := []string{"gnr-a"}
	seeds := []string{w.seed(1), w.seed(2)}
	daemons := []*daemon{w.newDaemon("edge-gnr-a-1", "gnr-a", 1, zones, seeds), w.newDaemon("edge-gnr-a-2", "gnr-a", 2, zones, seeds)}
	claim := w.routeAt(2)
	slip := w.routeAt(3)
	w.store.putConfig(7, []string{"counter", "slips"}, route{claim, "counter", "unsafe"}, route{slip, "slips", "download"})
	var slips *target
	for n, service := range []string{"counter", "counter", "slips", "slips"} {
		slips = w.newTarget(fmt.Sprintf("i-%010x", 0xa1b2c30000+n*0x10101), service, "gnr-a", 2)
		w.store.beat(slips)
		slips.beats(0)
	}
	for _, d := range daemons {
		d.begin()
	}
	w.awaitReady(daemons...)
	time.Sleep(6 * time.Second)
	c := w.newClient(w.addr(100))
	start := time.Now()
	for n := 0; time.Since(start) < 9*time.Second; n++ {
		if n%100 == 50 && trouble {
			entry := slips.entry()
			entry["service"] = "counter"
			switch n / 100 % 3 {
			case 0:
				delete(entry, "service") // the field is missing; JSON names are case-sensitive
				entry["Service"] = "counter"
			case 1:
				entry["born"] = nil
			case 2:
				delete(entry, "born")
			}
			data, err := json.Marshal(entry)
			w.check(err)
			w.store.foreignWrite("servers/"+slips.id, data)
			w.logf("another writer: servers/%s %s", slips.id, data)
		}
		d := daemons[n%2]
		f, err := c.openFlow(claim, d.via)
		var answer string
		if err == nil {
			answer, err = f.request(fmt.Sprint("claim-", n), 5*time.Millisecond, 2*time.Second)
			f.close()
		}
		if strings.Contains(answer, "\r\n\r\nslips ") {
			w.logf("claim-%d was run by the service slips, target %s", n, f.target)
			broken = true
		}
		if err != nil {
			w.logf("claim-%d: %v", n, err)
		}
		time.Sleep(12 * time.Millisecond)
	}
	return broken
}

// foreignWrite is a write by another writer than a target. The target writes its own entry
// again with its next heartbeat.
func (s *store) foreignWrite(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, false)
	delete(s.entries, key)
}
