package daemon

import (
	"net/netip"
	"strconv"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// clock returns times that never decrease: the wall-clock time at process start
// plus the monotonic time since then, which also advances while the process is
// paused.
type clock struct {
	start         time.Time
	startUnixNano int64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, startUnixNano: now.UnixNano()}
}

func (c clock) now() ids.Time { return ids.Time(c.startUnixNano + int64(time.Since(c.start))) }

func formatPort(port uint16) string { return strconv.Itoa(int(port)) }

// backendBindAddress returns the local address of the socket that communicates
// with backend servers: the given IP and a port that the system assigns.
func backendBindAddress(ip netip.Addr) netip.AddrPort { return netip.AddrPortFrom(ip, 0) }
