//go:build review

package main

import (
	"context"
	"time"
)

// pause waits for d, or until ctx ends, and returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
