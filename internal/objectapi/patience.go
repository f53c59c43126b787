package objectapi

import (
	"context"
	"time"
)

// Patience says how long to wait for an answer of a platform that may be slow.
//
// The time doubles with each call that ran into it, up to Max, so that a slow
// platform can still be read, and goes back by half only when an answer would have
// come within that. It is short at first, as a connection may be half open.
type Patience struct {
	Min, Max time.Duration
	failures int
}

// Timeout returns how long the next answer may take.
func (p *Patience) Timeout() time.Duration {
	return min(p.Min<<min(p.failures, maxDoublings), p.Max)
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 10

// Fail counts a call that ended without an answer after a time. One that ended
// early was refused: to wait longer for the next would gain nothing.
func (p *Patience) Fail(took time.Duration) {
	if took >= p.Timeout() && p.Timeout() < p.Max {
		p.failures++
	}
}

// Answered counts an answer that took a time, without what the platform was
// asked to wait.
func (p *Patience) Answered(took time.Duration) {
	if p.failures > 0 && took < p.Timeout()/2 {
		p.failures--
	}
}

type timeoutKey struct{}

// WithTimeout returns a context whose calls may each take timeout, in place of
// that of the client. Callers of the product wait for some calls, so that the
// client's is short; those of a duty that has to go on may take longer.
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

// AllowStale returns a context whose reads may answer what was true seconds
// ago. Such reads are cheaper for the platform; where it makes no difference
// they are ordinary reads.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

func stale(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
