package relay

import "time"

// lag measures how long a caller has been behind.
//
// A full buffer stops the reading from the engine, and a slow caller must not restart the timeout
// with each token that it reads. So the time counts from when the buffer is first full until half
// of it is free: a caller that was only interrupted drains it at once.
type lag struct {
	since time.Time
}

// resetIfCaughtUp ends the lag of a caller that has at most half of the buffer left to read.
func (l *lag) resetIfCaughtUp(queued int) {
	if queued <= MessageCapacity/2 {
		l.since = time.Time{}
	}
}

// remaining returns how much longer to wait for a caller whose buffer is full.
func (l *lag) remaining(now time.Time, limit time.Duration) time.Duration {
	if l.since.IsZero() {
		l.since = now
	}
	return max(0, limit-now.Sub(l.since))
}
