package passthrough

// Cookie is the routing cookie: 32 bits, derived only from the identity of a
// target, so that all instances compute the same value without communication.
// Zero identifies no target.
type Cookie uint32

// cookieOf folds the 64-bit identity of a target into a cookie. The cookie of an
// identity below 2^32 equals the identity, so these cannot collide with each
// other.
func cookieOf(identity uint64) Cookie {
	if c := Cookie(identity>>32) ^ Cookie(identity); c != 0 {
		return c
	}
	return 1
}
