package balancer

import (
	"math"
	"time"
)

// HearFailures has failures that another balancer counts count here too.
func (b *Balancer) HearFailures(heard func(now time.Time, id string) float64) { b.heard = heard }

// Failures returns how often a server failed lately, each failure counting less
// as time goes by.
func (b *Balancer) Failures(now time.Time, id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures(now, id)
}

func (b *Balancer) failures(now time.Time, id string) float64 {
	heard := 0.0
	if b.heard != nil {
		heard = b.heard(now, id)
	}
	own, ok := b.own[id]
	if !ok || own.failures == 0 {
		return heard
	}
	return heard + own.failures*math.Exp2(-float64(now.Sub(own.failedAt))/float64(failureHalf))
}

// Failed notes that a server failed a request that it should have answered.
func (b *Balancer) Failed(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.server(now, id)
	n := own.failures * math.Exp2(-float64(now.Sub(own.failedAt))/float64(failureHalf))
	own.failures, own.failedAt = min(maxFailures, n+1), now
}
