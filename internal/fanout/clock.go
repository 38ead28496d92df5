package fanout

import "time"

// maxClockDrift is the largest relative difference in speed between the steady clocks of
// two instances.
const maxClockDrift = 1e-4

// senderClock estimates when messages of another instance were sent, by the clock of this
// one. It never gives a later time than the true one, except by the shortest transfer time of
// a message: a message that waited in a full link is not taken for a recent one.
type senderClock struct {
	dialedAt   time.Time // before any message of the connection was sent
	zero       time.Time // when the clock of the sender was zero, or earlier
	observedAt time.Time // when the last message arrived
}

// localTime returns a time at or before the one at which a message was sent. sentAt is its
// time on the clock of the sender.
func (c *senderClock) localTime(sentAt time.Duration, arrivedAt time.Time) time.Time {
	if c.zero.IsZero() {
		c.zero = c.dialedAt.Add(-sentAt)
	} else {
		c.zero = c.zero.Add(time.Duration(maxClockDrift * float64(arrivedAt.Sub(c.observedAt))))
	}
	if latest := arrivedAt.Add(-sentAt); latest.Before(c.zero) {
		c.zero = latest // the sender's clock is slower, or its message came faster
	}
	c.observedAt = arrivedAt
	return c.zero.Add(sentAt)
}
