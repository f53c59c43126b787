package balancer

import (
	"math"
	"time"
)

// SetExternalFailures sets a function whose failures count in addition to this balancer's own.
func (b *Balancer) SetExternalFailures(failures func(now time.Time, id string) float64) {
	b.externalFailures = failures
}

// SetAvoid sets a function that reports servers to be avoided unless all others are full.
// repeatable is true if the request may be sent again.
func (b *Balancer) SetAvoid(avoid func(now time.Time, id string, repeatable bool) bool) {
	b.shouldAvoid = avoid
}

// avoidCost is the cost of a server to be avoided: more than that of a full one.
const avoidCost = 4.0

func (b *Balancer) avoidPenalty(now time.Time, r Request, id string) float64 {
	if b.shouldAvoid != nil && b.shouldAvoid(now, id, r.Retryable) {
		return avoidCost
	}
	return 0
}

// Failures returns the decayed number of recent failures of a server.
func (b *Balancer) Failures(now time.Time, id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.recentFailures(now, id)
	if b.shouldAvoid != nil && b.shouldAvoid(now, id, false) {
		n++
	}
	return n
}

func (b *Balancer) recentFailures(now time.Time, id string) float64 {
	external := 0.0
	if b.externalFailures != nil {
		external = b.externalFailures(now, id)
	}
	own, ok := b.own[id]
	if !ok || own.failures == 0 {
		return external
	}
	return external + own.failures*math.Exp2(-float64(now.Sub(own.failedAt))/float64(failureHalfLife))
}

// RecordFailure counts the failure of a server to answer a request.
func (b *Balancer) RecordFailure(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.state(now, id)
	n := own.failures * math.Exp2(-float64(now.Sub(own.failedAt))/float64(failureHalfLife))
	own.failures, own.failedAt = min(maxFailures, n+1), now
}
