package objectapi

import "time"

// CutWatches decides how to go on after watches that a platform cut off while they waited. The next
// watch doesn't wait, so that its outcome tells at once whether the platform answers.
type CutWatches struct {
	// Backoff limits how often watches begin that are cut off.
	Backoff Backoff

	last bool
}

// Wait returns the wait of the next watch, which is wait or 0.
func (c *CutWatches) Wait(wait time.Duration) time.Duration {
	if c.last {
		return 0
	}
	return wait
}

// Cut records a watch that was cut off after elapsed, and returns the delay before the next one. The
// delay counts from the start of the watch: one that waited for long is repeated at once.
func (c *CutWatches) Cut(elapsed time.Duration) time.Duration {
	c.last = true
	return max(0, c.Backoff.Fail()-elapsed)
}

// Ended records a watch that wasn't cut off.
func (c *CutWatches) Ended() {
	if !c.last {
		c.Backoff.Reset()
	}
	c.last = false
}
