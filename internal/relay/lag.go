package relay

import "time"

// lag measures how long a caller has been behind.
//
// A full ring stops the reading from the engine, and each token that a slow caller
// takes must not start the wait anew. So the time counts from the first full ring until half of it is free: a caller that was
// only interrupted empties it at once.
type lag struct {
	since time.Time
}

// caught ends the lag of a caller that has at most half a ring to read.
func (l *lag) caught(queued int) {
	if queued <= RingCapacity/2 {
		l.since = time.Time{}
	}
}

// left is how much longer a caller with a full ring is waited for.
func (l *lag) left(now time.Time, limit time.Duration) time.Duration {
	if l.since.IsZero() {
		l.since = now
	}
	return max(0, limit-now.Sub(l.since))
}
