package objectapi

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff spaces the attempts of one duty that keeps failing.
//
// The full range of the delay is random, so that instances whose calls fail in the
// same moment don't return together.
type Backoff struct {
	// Min is the greatest first delay, Max the greatest of all.
	Min, Max time.Duration

	failures int
}

// Fail counts a failure and answers how long to wait.
func (b *Backoff) Fail() time.Duration {
	d := b.Max
	if b.failures < 30 {
		d = min(b.Max, b.Min<<b.failures)
	}
	b.failures++
	return jitter(d)
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() {
	b.failures = 0
}

// jitter answers a random duration between a fifth of d and d.
func jitter(d time.Duration) time.Duration {
	least := d / 5
	return least + time.Duration(rand.Int64N(int64(d-least)+1))
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
