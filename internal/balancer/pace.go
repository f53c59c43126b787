package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// secondLaterCost is the cost of each second that the output takes longer than on an engine of
	// average speed: callers notice each pause, but only few of the pauses in that second are long
	// enough to be late. maxPaceCost keeps a slow engine with free memory preferable to full ones;
	// minPaceCost keeps fast engines from being filled first.
	secondLaterCost = 0.1
	maxPaceCost     = 1.0
	minPaceCost     = -0.2
	// lateCost is the cost of a first event after the route's target: such a request fails its
	// caller, whatever follows.
	lateCost = 2.0
	// disturbanceCost is the cost of a second of prefill for each generation that it slows.
	disturbanceCost = 0.1
)

// SetPace makes the balancer prefer engines by their measured pace.
func (b *Balancer) SetPace(relative func(now time.Time, server *platformstate.Server) pace.Relative) {
	b.pace = relative
}

// paceCost returns the cost of an engine's pace for a request. It is 0 where all engines are alike.
func (b *Balancer) paceCost(now time.Time, r Request, s *platformstate.Server) float64 {
	if b.pace == nil || r.Service.Engine == nil {
		return 0
	}
	relative := b.pace(now, s)
	if !relative.Mixed {
		return 0
	}
	later := float64(r.ExpectedEvents) * relative.Reference.Seconds() * (relative.Ratio - 1)
	cost := min(maxPaceCost, max(minPaceCost, later*secondLaterCost))
	usual := prefillTime(r.PromptTokens).Seconds()
	prefill := usual * relative.Ratio
	cost += prefill - usual
	if r.Target > 0 && b.prefillSeconds(now, s.ID)+prefill > r.Target.Seconds() {
		cost += lateCost
	}
	return cost + prefill*disturbanceCost*float64(b.runningOn(now, s.ID))
}

// runningOn returns the number of generations that run on an engine, as far as known.
func (b *Balancer) runningOn(now time.Time, id string) int {
	running := b.ownRunning(id)
	if b.othersLoad != nil {
		running += b.othersLoad(now, id).Running
	}
	return running
}

// prefillRatio returns by how much the prefill on an engine takes longer than usual.
func (b *Balancer) prefillRatio(now time.Time, s *platformstate.Server) float64 {
	if b.pace == nil {
		return 1
	}
	if ratio := b.pace(now, s).Ratio; ratio > 0 {
		return ratio
	}
	return 1
}

// prefillTime returns the time that the engine takes for the prefill of the request's prompt.
func (p Placement) prefillTime() time.Duration {
	if p.prefillRatio == 0 || p.prefillRatio == 1 {
		return prefillTime(p.PromptTokens)
	}
	return time.Duration(float64(prefillTime(p.PromptTokens)) * p.prefillRatio)
}

// Utilization returns how full a server would be with a request; 1 is full.
func (b *Balancer) Utilization(now time.Time, r Request, s *platformstate.Server) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.utilization(now, r, s)
}
