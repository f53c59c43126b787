package balancer

import (
	"math"
	"time"
)

const (
	// slownessTime is the time over which the slowness that a server states is averaged: it changes
	// many times a second. slownessHalfLife is the time in which an average that isn't renewed goes
	// half the way back to the usual, so that no server is avoided for good.
	slownessTime     = 500 * time.Millisecond
	slownessHalfLife = 2 * time.Second
	// maxSlowness limits what one response can do.
	maxSlowness = 8.0
	// slowServerCost is the cost of a server that takes twice as long as usual, whatever its load.
	slowServerCost = 0.15
)

// averageSlowness is the average of the slowness that a server has stated; 1 is usual.
type averageSlowness struct {
	value float64
	at    time.Time
}

// RecordSlowness records how long work takes on a server's machine, as it states in a response; 1 is
// usual.
func (b *Balancer) RecordSlowness(now time.Time, id string, slowness float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	average := &b.state(now, id).slowness
	weight := 1.0
	if !average.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(average.at))/float64(slownessTime))
	}
	before := average.now(now)
	average.value, average.at = before+weight*(min(maxSlowness, slowness)-before), now
}

// now returns the expected slowness.
func (a averageSlowness) now(now time.Time) float64 {
	if a.at.IsZero() {
		return 1
	}
	return 1 + (a.value-1)*math.Exp2(-float64(now.Sub(a.at))/float64(slownessHalfLife))
}
