package objectapi

import (
	"context"
	"time"
)

// AdaptiveTimeout is a timeout that adapts to a slow platform.
//
// It doubles with each call that times out, up to Max, so that a slow platform can still be read.
// It halves only after a response that took less than half of it. It is short at first, since a
// connection may be half open.
type AdaptiveTimeout struct {
	Min, Max time.Duration
	timeouts int
}

// Timeout returns the timeout of the next call.
func (t *AdaptiveTimeout) Timeout() time.Duration {
	return min(t.Min<<min(t.timeouts, maxDoublings), t.Max)
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 10

// Fail records a call that failed after elapsed. A failure before the timeout doesn't count: the
// call was refused, and a longer timeout would gain nothing.
func (t *AdaptiveTimeout) Fail(elapsed time.Duration) {
	if elapsed >= t.Timeout() && t.Timeout() < t.Max {
		t.timeouts++
	}
}

// Succeed records a response after elapsed, not counting the wait of a watch.
func (t *AdaptiveTimeout) Succeed(elapsed time.Duration) {
	if t.timeouts > 0 && elapsed < t.Timeout()/2 {
		t.timeouts--
	}
}

type timeoutKey struct{}

// WithTimeout returns a context whose calls have the given timeout instead of the client's. The
// client's is short, since callers wait for some calls; calls of background work may take longer.
func WithTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, timeoutKey{}, timeout)
}

func (c *Client) timeout(ctx context.Context) time.Duration {
	if timeout, ok := ctx.Value(timeoutKey{}).(time.Duration); ok {
		return timeout
	}
	return c.opts.Timeout
}

type staleKey struct{}

// AllowStale returns a context whose reads may return data that is seconds old. Such reads are
// cheaper for the platform; platforms without support for them serve normal reads.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

func staleAllowed(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
