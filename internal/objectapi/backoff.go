package objectapi

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays with jitter between the attempts of a call that
// fails repeatedly. The jitter keeps instances whose calls fail at the same time from retrying
// together.
type Backoff struct {
	// Min is the upper limit of the first delay, Max that of all delays.
	Min, Max time.Duration

	failures int
}

// Fail counts a failure and returns the delay before the next attempt.
func (b *Backoff) Fail() time.Duration {
	d := b.Max
	if b.failures < 30 {
		d = min(b.Max, b.Min<<b.failures)
	}
	b.failures++
	return jitter(d)
}

// Reset clears the failures after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// jitter returns a random duration from a fifth of d to d.
func jitter(d time.Duration) time.Duration {
	shortest := d / 5
	return shortest + time.Duration(rand.Int64N(int64(d-shortest)+1))
}

// Sleep waits for d or until ctx ends, and returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
