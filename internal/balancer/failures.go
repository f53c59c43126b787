package balancer

import (
	"math"
	"time"
)

// HearFailures has failures that another balancer counts count here too.
func (b *Balancer) HearFailures(heard func(now time.Time, id string) float64) { b.heard = heard }

// SetAvoid has servers left alone that avoid reports, unless all others are full.
// Repeatable says whether the request may be sent again.
func (b *Balancer) SetAvoid(avoid func(now time.Time, id string, repeatable bool) bool) {
	b.avoid = avoid
}

// avoidCost is what a server that is to be left alone weighs: more than a full one.
const avoidCost = 4.0

func (b *Balancer) avoided(now time.Time, r Request, id string) float64 {
	if b.avoid != nil && b.avoid(now, id, r.Repeatable) {
		return avoidCost
	}
	return 0
}

// Failures returns how often a server failed lately, each failure counting less
// as time goes by.
func (b *Balancer) Failures(now time.Time, id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.failures(now, id)
	if b.avoid != nil && b.avoid(now, id, false) {
		n++
	}
	return n
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
