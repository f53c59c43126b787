package planner

import (
	"maps"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// ReasonPace is the reason of a transfer request for a generation on a slow engine that doesn't shut
// down.
const ReasonPace = "pace"

const (
	// paceMoveInterval is the minimum time between two migrations for pace in a group. Each occupies
	// two links for a copy, which generations of a leaving engine may need.
	paceMoveInterval = 500 * time.Millisecond
	// maxPaceUtilization is the highest utilization of a target, including the generation: a fuller
	// engine is slower for all its generations.
	maxPaceUtilization = 0.7
	// minSlowTime is how long an engine must have counted as slow: two or three windows of each of its
	// streams, more than its machine's short slow phases last.
	minSlowTime = 2 * time.Second
	// maxTargetFailures is the number of recent failures from which on an engine isn't a target.
	maxTargetFailures = 0.5
)

// expectedEvents returns the number of events of an output of the given number of tokens.
func expectedEvents(service *routes.Service, tokens int) int {
	return max(0, tokens) / max(1, service.Engine.TokensPerEvent)
}

// transferForPace answers the request to migrate a generation away from a slow engine. The error is
// [ErrFull] if no engine is suitable now, and [ErrUnavailable] if this planner can't decide.
func (p *Planner) transferForPace(now time.Time, service *routes.Service, l TransferRequest) (TransferResponse, error) {
	if p.paces == nil || l.Reason != ReasonPace || l.Tokens < 0 || l.RequiredTokens <= 0 {
		return TransferResponse{}, ErrUnavailable
	}
	source, ok := p.opts.State.Eligible(service.Name, l.Engine)
	if !ok {
		return TransferResponse{}, ErrUnavailable
	}
	relative := p.plannedPace(now, source)
	if !relative.Known || relative.Ratio < pace.SlowRatio || p.paces.planned.SlowFor(now, source.ID) < minSlowTime {
		return TransferResponse{}, ErrFull
	}
	key := p.groupKeyOf(service.Name, source.Zone, source.ID)
	if !p.paces.moveDue(now, key) {
		return TransferResponse{}, ErrFull
	}
	target := p.paceTarget(now, service, source, l)
	if target == nil {
		return TransferResponse{}, ErrFull
	}
	p.paces.recordMove(now, key)
	p.loads.Assign(now, l.Instance, target.ID, l.RequiredTokens)
	p.paces.opts.Scope.Counter("pace_moves").Inc(1)
	p.opts.Log.Info().Str("request", l.GenerationID).Str("from", source.ID).Str("to", target.ID).Float64("ratio", relative.Ratio).
		Int("tokens", l.Tokens).Msg("migration for pace granted")
	return TransferResponse{Target: target.ID, Reason: ReasonPace}, nil
}

// paceTarget returns the engine for a generation that migrates for pace; nil if none is suitable.
func (p *Planner) paceTarget(now time.Time, service *routes.Service, source *platformstate.Server, l TransferRequest) *platformstate.Server {
	r := balancer.Request{
		Service: service, Zone: source.Zone, Tokens: l.RequiredTokens, Excluded: map[string]bool{source.ID: true},
		Instances: p.opts.Table.Count(now), ExpectedEvents: expectedEvents(service, l.RequiredTokens-l.Tokens),
	}
	for _, s := range p.loadBalancer.FreeServers(now, r, ofVersion(p.groupEngines(service.Name, source.Zone, source.ID), l.Version)) {
		// An engine without an estimate may be slow itself.
		if p.plannedPace(now, s).Ratio <= 1 && p.paces.planned.Confirmed(s.ID) && p.loadBalancer.Utilization(now, r, s) <= maxPaceUtilization &&
			p.opts.Failures(now, s.ID) < maxTargetFailures {
			return s
		}
	}
	return nil
}

// moveDue reports whether a group may let a generation migrate for pace.
func (c *paces) moveDue(now time.Time, group string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.moves[group]
	return !ok || now.Sub(last) >= paceMoveInterval
}

func (c *paces) recordMove(now time.Time, group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.moves, func(_ string, at time.Time) bool { return now.Sub(at) >= paceMoveInterval })
	c.moves[group] = now
}

// SlowRatio returns the ratio of an engine that the planner of its group counts as slow; false if it
// doesn't, or if the planner hasn't said so recently.
func (p *Planner) SlowRatio(now time.Time, server *platformstate.Server) (float64, bool) {
	if p.paces == nil {
		return 0, false
	}
	p.paces.mu.Lock()
	defer p.paces.mu.Unlock()
	received, ok := p.paces.received[server.ID]
	ok = ok && received.ratio >= pace.SlowRatio && received.born == server.StartedAtMillis && now.Sub(received.at) < receivedPaceTTL
	return received.ratio, ok
}
