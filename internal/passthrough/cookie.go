package passthrough

// Cookie is the routing cookie: 32 bits, derived from the identity of a target
// alone, so that all instances compute it alike without talking to each other.
// Zero names no target.
type Cookie uint32

// cookieOf folds the 64-bit identity of a target. Identities below 2^32 are
// their own cookie and cannot collide with each other.
func cookieOf(identity uint64) Cookie {
	if c := Cookie(identity>>32) ^ Cookie(identity); c != 0 {
		return c
	}
	return 1
}
