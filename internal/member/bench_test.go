package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

var benchSizes = []int{5, 50, 500, 2500}

// viewOfSize returns a view of size serving members, including the local one.
func viewOfSize(size int) *View {
	v := New(newMember(instanceID(0), 1, "anand"), nil, 1)
	v.Tick(start, discard)
	for i := 1; i < size; i++ {
		m := newMember(instanceID(i), 1, "anand")
		m.Lifecycle = peerwire.Serving
		v.merge(&m, -1)
	}
	v.Tick(start, discard)
	return v
}

func discard(ids.Instance, *peerwire.Message) {}

func perSize(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) { run(b, size) })
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		v := viewOfSize(size)
		h := &peerwire.Heartbeat{Seq: 1, Clock: start, Digest: v.digest32()}
		from := v.links[0].id
		for b.Loop() {
			v.HandleHeartbeat(start, from, h)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		v := viewOfSize(size)
		v.recentChanges = nil
		now := start
		h := &peerwire.Heartbeat{Seq: 1, Digest: v.digest32()}
		for b.Loop() {
			now = now.Add(10 * time.Millisecond)
			for i := range v.links {
				if now%(200*1e6) == 0 && v.links[i].id != "" {
					v.HandleHeartbeat(now, v.links[i].id, h)
				}
			}
			v.Tick(now, discard)
		}
	})
}

// BenchmarkSimulated reports the simulated seconds until all views agree after
// a change among 500 instances, with a link limit of 2 KB/s for each node.
func BenchmarkSimulated(b *testing.B) {
	for _, c := range []struct {
		name   string
		change func(s *sim)
	}{
		{"crash", func(s *sim) { s.nodes[instanceID(1)].dead = true }},
		{"restart", func(s *sim) { s.start(instanceID(1), 2) }},
		{"rack-of-40", func(s *sim) {
			for i := 40; i < 80; i++ {
				s.nodes[instanceID(i)].dead = true
			}
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				s := newSim(500)
				s.step, s.linkRate = 50*time.Millisecond, 2048
				s.setAllServing()
				s.run(2 * time.Second)
				c.change(s)
				s.run(100 * time.Millisecond)
				b.ReportMetric(s.converge(2*time.Minute).Seconds(), "s-simulated")
			}
		})
	}
	b.Run("cold-start-without-link-limit", func(b *testing.B) {
		for b.Loop() {
			s := newSim(500)
			s.step = 100 * time.Millisecond
			b.ReportMetric(s.converge(2*time.Minute).Seconds(), "s-simulated")
		}
	})
}

// BenchmarkDelta merges one record that removes a member from the serving list or
// adds it, and computes the list.
func BenchmarkDelta(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		v := viewOfSize(size)
		m := newMember(instanceID(1), 1, "anand")
		m.Lifecycle = peerwire.Serving
		d := &peerwire.MemberDelta{Members: []peerwire.Member{m}}
		for b.Loop() {
			d.Members[0].Counter++
			d.Members[0].Lifecycle ^= peerwire.Joining ^ peerwire.Serving
			v.HandleDelta(start, instanceID(1), d)
			v.Changed()
		}
	})
}

// BenchmarkMemory reports the heap size of a view for each member.
func BenchmarkMemory(b *testing.B) {
	perSize(b, func(b *testing.B, size int) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := viewOfSize(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/member")
			runtime.KeepAlive(v)
		}
	})
}
