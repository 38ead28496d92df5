package daemon

import (
	"net/netip"
	"strconv"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// clock yields times that never decrease: the wall clock at the start plus the
// monotonic time since, which also advances while the process is paused.
type clock struct {
	start time.Time
	unix  int64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unix: now.UnixNano()}
}

func (c clock) now() ids.Time { return ids.Time(c.unix + int64(time.Since(c.start))) }

func portText(port uint16) string { return strconv.Itoa(int(port)) }

// backendAddress is the local address of the socket towards backend servers.
func backendAddress(ip netip.Addr) netip.AddrPort { return netip.AddrPortFrom(ip, 0) }
