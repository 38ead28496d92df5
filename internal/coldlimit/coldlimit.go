// Package coldlimit divides the requests that a cold backend server may get among the
// instances of a fleet that share no state. The limit holds for any span of a second and
// the sum over all instances.
//
// A few owners of each backend server, found by rendezvous hashing over the members of the
// fleet, get a quota each; all others get none. The quotas of all owners add up to half of
// the limit, so that the limit still holds while the fleet is in two groups that do not
// know each other. The package performs no I/O and reads no clock.
package coldlimit

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// window is the span for which a quota holds. It exceeds a second, for which the limit
// holds, by the difference between the transit times of two packets.
const window = time.Second + 200*time.Millisecond

// groups is the number of groups of instances that may not know each other.
const groups = 2

// Member identifies an instance by a hash of its name.
type Member uint32

// MemberOf returns the member with the given name.
func MemberOf(name ids.Instance) Member { return Member(ids.Hash(string(name))) }

// View is what an instance knows of the members of the fleet.
type View struct {
	Self    Member
	Members []Member // without duplicates; Self is one of them
	// UpdatedAt is when the members were last confirmed, ListedAt when the others could
	// first learn of Self; zero while they cannot.
	UpdatedAt, ListedAt ids.Time
	// Lifetime is the time for which a view may be used after UpdatedAt. An instance gets
	// quotas only when it has been listed for that time, since it is then in all views in
	// use.
	Lifetime time.Duration
}

// usable reports whether all other instances with a usable view know this one.
func (v *View) usable(now ids.Time) bool {
	return v.ListedAt != 0 && now.Sub(v.ListedAt) >= v.Lifetime && now.Sub(v.UpdatedAt) < v.Lifetime
}

// Quota returns the number of requests that the instance with the given rank may send to a
// backend server in any window, if all instances together may send it limit in a second.
func (v *View) Quota(now ids.Time, rank int, limit float64) int {
	budget := int(limit / groups)
	if budget < 1 || !v.usable(now) {
		return 0
	}
	owners := min(len(v.Members), budget)
	if rank >= owners {
		return 0
	}
	return budget / owners
}

// Rank returns the number of members that precede this one in the order of a server.
func (v *View) Rank(server uint64) (n int) {
	own := ids.Mix(server, uint64(v.Self))
	for _, m := range v.Members {
		if m != v.Self && ids.Mix(server, uint64(m)) >= own {
			n++
		}
	}
	return n
}

// Window counts the requests that this instance has sent to one backend server. Its zero
// value is ready for use.
type Window struct {
	sent []ids.Time // within the last window, in order
}

// Room returns the number of requests that may be sent now under a quota.
func (w *Window) Room(now ids.Time, quota int) int {
	w.expire(now)
	return max(quota-len(w.sent), 0)
}

// Add records that n requests are sent.
func (w *Window) Add(now ids.Time, n int) {
	w.expire(now)
	for range n {
		w.sent = append(w.sent, now)
	}
}

// NextRoom returns when n requests may be sent, and false if a quota never allows that.
func (w *Window) NextRoom(now ids.Time, quota, n int) (ids.Time, bool) {
	w.expire(now)
	excess := len(w.sent) + n - quota // of requests that must have left the window
	switch {
	case n > quota:
		return 0, false
	case excess <= 0:
		return now, true
	}
	return w.sent[excess-1].Add(window), true
}

func (w *Window) expire(now ids.Time) {
	n := 0
	for n < len(w.sent) && now.Sub(w.sent[n]) >= window {
		n++
	}
	w.sent = append(w.sent[:0], w.sent[n:]...)
}
