package admission

import "time"

// Limiter bounds the queue of one service at one owner.
type Limiter struct {
	MaxQueueTime time.Duration // longest wait for a slot
	Deadline     time.Duration // from arrival to response
	MaxLength    int           // longest queue
}

// CanQueue reports whether a request may be queued behind backlog others that
// share slots. run is the mean run time. slots may be a fraction: a partner's
// part of the owned slots.
func (l *Limiter) CanQueue(backlog int, run time.Duration, slots float64) bool {
	if backlog >= l.MaxLength || slots <= 0 {
		return false
	}
	wait := ExpectedWait(backlog, run, slots)
	return wait <= l.MaxQueueTime && wait+run <= l.Deadline
}

// ExpectedWait returns the expected time until a request behind backlog others gets one
// of slots.
func ExpectedWait(backlog int, run time.Duration, slots float64) time.Duration {
	return time.Duration(float64(backlog) * float64(run) / slots)
}

// maxRetryTokens bounds a burst of retries after a quiet time.
const maxRetryTokens = 10

// RetryBudget is a token bucket that is filled by first attempts: retries and
// retransmissions to backend servers stay within Ratio of them.
type RetryBudget struct {
	Ratio  float64
	tokens float64
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.Ratio, maxRetryTokens) }

// TryWithdraw takes one retry from the budget.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
