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
	// starvedRunTime is the time in which a process that runs now and then may not get to handle a signal, and
	// maxSignalDelay limits how long before its handling it is taken to have been sent for that reason.
	starvedRunTime = 500 * time.Millisecond
	maxSignalDelay = 2 * time.Second
	// catchUpTime is how long a process that didn't run passes on what has arrived meanwhile, and maxOverrun is how
	// far beyond the end of the grace period. The rest of exitMargin is for the exit.
	catchUpTime = 200 * time.Millisecond
	maxOverrun  = exitMargin / 2
)

// graceWait is the wait of a leaving instance for the requests in progress.
type graceWait struct {
	// end is when requests are cut, latestEnd the same after a gap at the end of the grace period.
	end, latestEnd time.Time
	lookedAt       time.Time
}

func newGraceWait(now, end time.Time) *graceWait {
	return &graceWait{end: end, latestEnd: end.Add(maxOverrun), lookedAt: now}
}

// isOver reports whether the requests in progress are cut. After a gap, the answers that have arrived meanwhile are
// passed on first.
func (w *graceWait) isOver(now time.Time) bool {
	if now.Sub(w.lookedAt) > 2*leavePollInterval {
		end := now.Add(catchUpTime)
		if end.After(w.latestEnd) {
			end = w.latestEnd
		}
		if again := now.Add(leavePollInterval); end.Before(again) {
			end = again
		}
		if end.After(w.end) {
			w.end = end
		}
	}
	w.lookedAt = now
	return !now.Before(w.end)
}

// signalWatch estimates when a signal was sent to a process that may not have run since. Its zero value is ready to use.
type signalWatch struct {
	mu sync.Mutex
	// last is when the process last ran, stoppedAt and resumedAt are the ends of the last gap. starvedSince is the
	// begin of the first one in a series between which the process ran too little to handle signals.
	last, stoppedAt, resumedAt, starvedSince time.Time
}

// observe notes that the process runs.
func (w *signalWatch) observe(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.last.IsZero() && now.Sub(w.last) > maxRunGap {
		if w.resumedAt.IsZero() || w.last.Sub(w.resumedAt) > starvedRunTime {
			w.starvedSince = w.last
		}
		w.stoppedAt, w.resumedAt = w.last, now
	}
	w.last = now
}

// sentAt returns when a signal that is handled now was probably sent, and the earliest time at which it may have been.
func (w *signalWatch) sentAt(now time.Time) (probably, earliest time.Time) {
	w.observe(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	probably, earliest = now, now
	if w.resumedAt.IsZero() {
		return probably, earliest
	}
	if now.Sub(w.resumedAt) <= starvedRunTime {
		earliest = w.starvedSince
		if limit := now.Add(-maxSignalDelay); earliest.Before(limit) {
			earliest = limit
		}
	}
	if now.Sub(w.resumedAt) <= signalDelay {
		probably = w.stoppedAt
	}
	if probably.Before(earliest) {
		earliest = probably
	}
	return probably, earliest
}

// run observes until ctx ends.
func (w *signalWatch) run(ctx context.Context) {
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
