package ingressserve

import (
	"context"
	"sync"
	"time"
)

const (
	// runInterval is how often the process notes that it runs.
	runInterval = 50 * time.Millisecond
	// maxRunGap is the maximum time between two notes of a process that runs.
	maxRunGap = 200 * time.Millisecond
	// signalDelay is the maximum time from the moment at which a process runs again until it handles a signal that
	// was sent before.
	signalDelay = 250 * time.Millisecond
)

// runWatch notices when the process didn't run. Its zero value is ready to use.
type runWatch struct {
	mu sync.Mutex
	// last is when the process last ran, stoppedAt and resumedAt are the ends of the last gap.
	last, stoppedAt, resumedAt time.Time
}

// observe notes that the process runs.
func (w *runWatch) observe(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.last.IsZero() && now.Sub(w.last) > maxRunGap {
		w.stoppedAt, w.resumedAt = w.last, now
	}
	w.last = now
}

// sentAt returns the earliest time at which a signal that is handled now may have been sent.
func (w *runWatch) sentAt(now time.Time) time.Time {
	w.observe(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumedAt.IsZero() || now.Sub(w.resumedAt) > signalDelay {
		return now
	}
	return w.stoppedAt
}

// run observes until ctx ends.
func (w *runWatch) run(ctx context.Context) {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		w.observe(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
