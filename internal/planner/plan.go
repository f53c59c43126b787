package planner

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// usualRest is what a generation of which nothing else is known is expected to
// make yet, in tokens: half of a usual one.
const usualRest = 450

// engines returns the service of engines of this name.
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

// begin chooses the engine that a generation begins on.
func (p *Planner) begin(r Placing) (Placed, error) {
	service, err := p.engines(r.Service)
	if err != nil {
		return Placed{}, err
	}
	excluded := map[string]bool{}
	for _, id := range r.Excluded {
		excluded[id] = true
	}
	now := p.opts.Now()
	var engines []observed.Server
	groups, _ := p.groups(r.Service)
	for _, g := range groups {
		if g.key == r.Group {
			engines = g.engines
		}
	}
	choice := p.plan.Pick(now, balancer.Request{
		Service: service, Zone: r.Zone, Tokens: r.Need, Prompt: r.Prompt, Excluded: excluded,
		Instances: p.opts.Table.Count(now), Whole: true, Anyway: r.Anyway,
	}, engines)
	picked, ok := choice.(balancer.Picked)
	if _, full := choice.(balancer.Full); full && r.Need <= service.Engine.MemoryTokens {
		return Placed{}, ErrFull
	}
	if !ok {
		return Placed{}, ErrUnavailable
	}
	p.plan.Done(picked.Place)
	if within := time.Duration(r.Within) * time.Millisecond; within > 0 && p.plan.ReadWait(now, picked.Place.Server.ID) > within {
		p.plan.ReleasePrompt(picked.Place)
		return Placed{}, ErrFull
	}
	if r.Most > 0 && picked.Score > r.Most {
		p.plan.ReleasePrompt(picked.Place)
		return Placed{Score: picked.Score}, nil
	}
	p.loads.Assign(now, r.By, picked.Place.Server.ID, r.Need)
	return Placed{Engine: picked.Place.Server.ID, Score: picked.Score}, nil
}

// scheduleCopy plans a copy: where to, and when.
func (p *Planner) scheduleCopy(ctx context.Context, l Leaving) (Turn, error) {
	service, err := p.engines(l.Service)
	if err != nil {
		return Turn{}, err
	}
	now := p.opts.Now()
	decided := p.schedule.Add(now, Copy{Run: l.Run, By: l.By, From: l.Engine, Tokens: l.Tokens})
	if objectapi.Sleep(ctx, decided.Sub(now)) != nil {
		return Turn{}, ErrUnavailable
	}
	now = p.opts.Now()
	booked, ok := p.schedule.Turn(now, l.Engine, l.Run, &room{p: p, now: now, service: service, leaving: l})
	if !ok {
		return Turn{}, ErrUnavailable
	}
	wait := max(0, booked.At.Sub(now))
	p.opts.Log.Info().Str("request", l.Run).Str("from", l.Engine).Str("to", booked.To).Int("tokens", l.Tokens).
		Dur("wait", wait).Dur("takes", booked.Takes).Msg("turn given")
	return Turn{WaitMillis: wait.Milliseconds(), To: booked.To}, nil
}

// room knows which engines have room for the copies of one that leaves.
type room struct {
	p       *Planner
	now     time.Time
	service *routes.Service
	leaving Leaving
	found   map[string]observed.Server
}

// For returns the engines with room, the freest first: those of the group, whose
// loads are known, or else any.
func (r *room) For(c Copy) []Target {
	all := r.p.opts.State.Servers(r.service.Name)
	free := r.free(c, r.p.groupEngines(r.service.Name, r.leaving.Zone, r.leaving.Engine))
	if len(free) == 0 {
		free = r.free(c, all)
	}
	r.found = map[string]observed.Server{}
	targets := make([]Target, 0, len(free))
	for _, server := range free {
		r.found[server.ID] = server
		targets = append(targets, Target{ID: server.ID, Takes: migration.CopyTime(*r.service.Engine, c.Tokens, server.Zone != r.leaving.Zone)})
	}
	return targets
}

func (r *room) free(c Copy, engines []observed.Server) []observed.Server {
	return r.p.plan.Free(r.now, balancer.Request{
		Service: r.service, Zone: r.leaving.Zone, Tokens: r.need(c), Excluded: map[string]bool{r.leaving.Engine: true},
		Instances: r.p.opts.Table.Count(r.now),
	}, engines)
}

// need is the memory that a copy is expected to need: what the asker says, or
// for others of the same engine a little more than they have now.
func (r *room) need(c Copy) int {
	if c.Run == r.leaving.Run {
		return r.leaving.Need
	}
	return c.Tokens + usualRest
}

// Take counts a copy on the engine that it goes to.
func (r *room) Take(c Copy, t Target) { r.p.loads.Assign(r.now, c.By, t.ID, r.need(c)) }
