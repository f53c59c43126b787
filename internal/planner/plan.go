package planner

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// defaultRemainingTokens is the expected remaining output of a generation about which nothing else
// is known: half of a typical output.
const defaultRemainingTokens = 450

// engines returns the service with this name if it is served by model engines.
func (p *Planner) engines(name string) (*routes.Service, error) {
	table := p.opts.State.Table()
	if table == nil {
		return nil, ErrUnavailable
	}
	service, ok := table.Service(name)
	if !ok || service.Engine == nil {
		return nil, ErrUnavailable
	}
	return service, nil
}

// chooseEngine assigns an engine to a new generation.
func (p *Planner) chooseEngine(r PlacementRequest) (PlacementResponse, error) {
	service, err := p.engines(r.Service)
	if err != nil {
		return PlacementResponse{}, err
	}
	excluded := map[string]bool{}
	for _, id := range r.Excluded {
		excluded[id] = true
	}
	if !r.Force && p.queues.holds(r.Group) {
		// Requests that wait go first.
		return PlacementResponse{}, ErrFull
	}
	now := p.opts.Now()
	events := expectedEvents(service, r.RequiredTokens-r.PromptTokens)
	var engines []*platformstate.Server
	groups, _ := p.groups(r.Service)
	for _, g := range groups {
		if g.key == r.Group {
			engines = ofVersion(g.engines, r.Version)
		}
	}
	choice := p.loadBalancer.Pick(now, balancer.Request{
		Service: service, Zone: r.Zone, Tokens: r.RequiredTokens, PromptTokens: r.PromptTokens, Excluded: excluded,
		Instances: p.opts.Table.Count(now), CompareAll: true, Force: r.Force, HandoverTokens: p.handoverTokens(now, r),
		ExpectedEvents: events, Target: time.Duration(r.MaxPrefillWaitMillis) * time.Millisecond,
	}, engines)
	picked, ok := choice.(balancer.Picked)
	if _, full := choice.(balancer.Full); full && r.RequiredTokens <= service.Engine.MemoryTokens {
		return PlacementResponse{}, ErrFull
	}
	if !ok {
		return PlacementResponse{}, ErrUnavailable
	}
	p.loadBalancer.Release(picked.Placement)
	if maxWait := time.Duration(r.MaxPrefillWaitMillis) * time.Millisecond; maxWait > 0 && p.loadBalancer.PrefillWait(now, picked.Placement.Server.ID) > maxWait {
		p.loadBalancer.CancelPrefill(picked.Placement)
		return PlacementResponse{}, ErrFull
	}
	if r.MaxScore > 0 && picked.Score > r.MaxScore {
		p.loadBalancer.CancelPrefill(picked.Placement)
		return PlacementResponse{Score: picked.Score}, nil
	}
	p.assign(now, r, picked.Placement.Server.ID)
	p.recordPacePlacement(now, r.Group, picked.Placement.Server.ID, events)
	return PlacementResponse{Engine: picked.Placement.Server.ID, Score: picked.Score}, nil
}

// ofVersion returns the engines of a version; all if it is empty.
func ofVersion(engines []*platformstate.Server, version string) []*platformstate.Server {
	if version == "" {
		return engines
	}
	var out []*platformstate.Server
	for _, e := range engines {
		if e.Version == version {
			out = append(out, e)
		}
	}
	return out
}

// scheduleCopy waits until the slots of an engine's copies are assigned and returns the target and
// the start of one.
func (p *Planner) scheduleCopy(ctx context.Context, l TransferRequest) (TransferResponse, error) {
	service, err := p.engines(l.Service)
	if err != nil {
		return TransferResponse{}, err
	}
	if l.Reason != "" {
		return p.transferForPace(p.opts.Now(), service, l)
	}
	if p.bounds != nil {
		return p.scheduleInTime(ctx, service, l)
	}
	now := p.opts.Now()
	decideAt := p.schedule.Add(now, Copy{GenerationID: l.GenerationID, Instance: l.Instance, Source: l.Engine, Tokens: l.Tokens, Version: l.Version})
	if objectapi.Sleep(ctx, decideAt.Sub(now)) != nil {
		return TransferResponse{}, ErrUnavailable
	}
	now = p.opts.Now()
	slot, ok := p.schedule.Slot(now, l.Engine, l.GenerationID, &targetFinder{p: p, now: now, service: service, request: l})
	if !ok {
		return TransferResponse{}, ErrUnavailable
	}
	wait := max(0, slot.Start.Sub(now))
	p.opts.Log.Info().Str("request", l.GenerationID).Str("from", l.Engine).Str("to", slot.Target).Int("tokens", l.Tokens).
		Dur("wait", wait).Dur("takes", slot.Duration).Msg("turn given")
	return TransferResponse{WaitMillis: wait.Milliseconds(), Target: slot.Target}, nil
}

// targetFinder finds engines with free capacity for the copies from an engine that shuts down.
type targetFinder struct {
	p       *Planner
	now     time.Time
	service *routes.Service
	request TransferRequest
}

// Candidates returns the engines with free capacity, best first: those of the group, whose loads
// are known, or, if there are none, any engines of the service.
func (r *targetFinder) Candidates(c Copy) []Target {
	all := r.p.opts.State.Servers(r.service.Name)
	free := r.freeEngines(c, r.p.groupEngines(r.service.Name, r.request.Zone, r.request.Engine))
	if len(free) == 0 {
		free = r.freeEngines(c, all)
	}
	return r.targets(c, free)
}

// targets returns engines as targets of a copy.
func (r *targetFinder) targets(c Copy, free []*platformstate.Server) []Target {
	targets := make([]Target, 0, len(free))
	for _, server := range free {
		targets = append(targets, Target{ID: server.ID, Duration: migration.TransferTime(*r.service.Engine, c.Tokens, server.Zone != r.request.Zone)})
	}
	return targets
}

func (r *targetFinder) freeEngines(c Copy, engines []*platformstate.Server) []*platformstate.Server {
	return r.freeUpTo(c, engines, 0)
}

// freeUpTo returns the engines with capacity up to a share of their memory, best first; 0 for the
// usual one.
func (r *targetFinder) freeUpTo(c Copy, engines []*platformstate.Server, share float64) []*platformstate.Server {
	return r.p.loadBalancer.FreeServers(r.now, balancer.Request{
		Service: r.service, Zone: r.request.Zone, Tokens: r.requiredTokens(c), Excluded: map[string]bool{r.request.Engine: true},
		Instances: r.p.opts.Table.Count(r.now), ExpectedEvents: expectedEvents(r.service, r.requiredTokens(c)-c.Tokens), MemoryLimit: share, HandoverTokens: r.handoverTokens(c),
	}, ofVersion(engines, c.Version))
}

// requiredTokens returns the expected memory demand of a copy: the requester's estimate, or for
// other copies from the same engine their current size and a default.
func (r *targetFinder) requiredTokens(c Copy) int {
	if c.GenerationID == r.request.GenerationID {
		return r.request.RequiredTokens
	}
	return c.Tokens + defaultRemainingTokens
}

// Reserve counts a copy on its target engine.
func (r *targetFinder) Reserve(c Copy, t Target) {
	r.p.loads.assignLoad(r.now, c.Instance, t.ID, loadOf(r.requiredTokens(c), r.handoverTokens(c)))
}
