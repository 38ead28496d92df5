package admission

import "time"

// Limiter bounds the queue of one service at one owner.
type Limiter struct {
	MaxQueueTime time.Duration // maximum wait for a slot
	Deadline     time.Duration // from arrival to response
	MaxLength    int           // maximum number of queued requests
}

// CanQueue reports whether a request may be queued behind backlog other requests that
// use the same slots. runTime is the mean run time. slots may be fractional: it is a
// partner's share of the owned slots.
func (l *Limiter) CanQueue(backlog int, runTime time.Duration, slots float64) bool {
	if backlog >= l.MaxLength || slots <= 0 {
		return false
	}
	wait := ExpectedWait(backlog, runTime, slots)
	return wait <= l.MaxQueueTime && wait+runTime <= l.Deadline
}

// ExpectedWait returns the expected queue time of a request behind backlog other
// requests, for the given number of slots and mean run time.
func ExpectedWait(backlog int, runTime time.Duration, slots float64) time.Duration {
	return time.Duration(float64(backlog) * float64(runTime) / slots)
}

// maxRetryTokens is the maximum burst of retries after a period without retries.
const maxRetryTokens = 10

// RetryBudget is a token bucket that is filled by first attempts. It limits retries and
// retransmissions to backend servers to Ratio times the number of first attempts.
type RetryBudget struct {
	Ratio  float64
	tokens float64
}

// Deposit adds Ratio tokens for a first attempt.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.Ratio, maxRetryTokens) }

// TryWithdraw takes one token for a retry. It returns false when the budget is used up.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
