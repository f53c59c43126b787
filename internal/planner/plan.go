package planner

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/gossip"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// usualRest is what a generation of which nothing else is known is expected
	// to make yet, in tokens: half of a usual one.
	usualRest = 450
	// groupSize is up to how many engines one instance plans for. Choosing
	// among two dozen is nearly as good as among all, and a planner has some
	// dozen calls a second at the size designed for.
	groupSize = 32
)

// groupsOf returns into how many groups engines are divided.
func groupsOf(engines int) int { return max(1, (engines+groupSize-1)/groupSize) }

// groupOf returns the group that an engine, or the name of a request, belongs to.
func groupOf(name string, groups int) int { return int(xxhash.Sum64String(name) % uint64(groups)) }

// inGroup returns the engines of one group.
func inGroup(engines []observed.Server, group int) []observed.Server {
	groups := groupsOf(len(engines))
	if groups == 1 {
		return engines
	}
	var out []observed.Server
	for i := range engines {
		if groupOf(engines[i].ID, groups) == group {
			out = append(out, engines[i])
		}
	}
	return out
}

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

// begin chooses the engine that a generation begins on. What this instance asks
// itself for is known of it at once.
func (p *Planner) begin(r Placing, own bool) (Placed, error) {
	service, err := p.engines(r.Service)
	if err != nil {
		return Placed{}, err
	}
	p.forgetTold(p.opts.Now())
	excluded := map[string]bool{}
	for _, id := range r.Excluded {
		excluded[id] = true
	}
	engines := inGroup(p.opts.State.Servers(r.Service), r.Group)
	choice := p.plan.Pick(p.opts.Now(), balancer.Request{
		Service: service, Zone: r.Zone, Tokens: r.Need, Prompt: r.Prompt, Excluded: excluded,
		Instances: p.opts.Table.Count(), Whole: true,
	}, engines)
	picked, ok := choice.(balancer.Picked)
	if _, full := choice.(balancer.Full); full && r.Need <= service.Engine.MemoryTokens {
		return Placed{}, ErrFull
	}
	if !ok {
		return Placed{}, ErrUnavailable
	}
	if own {
		p.plan.Done(picked.Place)
	} else {
		p.give(r.By, picked.Place)
	}
	return Placed{Engine: picked.Place.Server.ID}, nil
}

// given is the load of a generation that was placed for another instance.
type given struct {
	place balancer.Place
	by    string
	beat  gossip.BeatOf
	until time.Time
}

// give counts what was given out until the instance that got it tells of it.
func (p *Planner) give(by string, place balancer.Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given = append(p.given, given{place: place, by: by, beat: p.opts.Table.BeatOf(by), until: p.opts.Now().Add(p.handOver())})
}

// toldBeats is how many counts later an instance surely tells of what it was
// given: the one known may be older than its next, which may precede the answer.
const toldBeats = 2

// forgetTold drops what its instances have told of since, or should have.
//
// Load: dozens of generations a second. Harm: counted here for as long as news
// takes at the longest, each counts twice once it is told of; engines look full
// that have room, and callers are sent where nobody plans.
func (p *Planner) forgetTold(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given = slices.DeleteFunc(p.given, func(g given) bool {
		beat := p.opts.Table.BeatOf(g.by)
		told := beat.Started == g.beat.Started && beat.Beat >= g.beat.Beat+toldBeats && g.beat.Started != 0
		if told || !now.Before(g.until) {
			p.plan.Done(g.place)
			return true
		}
		return false
	})
}

// handOver is how long the load of what was given out is counted here: until
// the instance that got it has told of it.
func (p *Planner) handOver() time.Duration { return gossip.NewsTime(p.opts.Table.Count()) }

// turn plans a copy: where to, and when.
func (p *Planner) turn(ctx context.Context, l Leaving) (Turn, error) {
	service, err := p.engines(l.Service)
	if err != nil {
		return Turn{}, err
	}
	now := p.opts.Now()
	decided := p.schedule.Add(now, Copy{Run: l.Run, From: l.Engine, Tokens: l.Tokens})
	if objectapi.Pause(ctx, decided.Sub(now)) != nil {
		return Turn{}, ErrUnavailable
	}
	now = p.opts.Now()
	p.forgetTold(now)
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

// For returns the engines with room, the freest first.
func (r *room) For(c Copy) []Target {
	free := r.p.plan.Free(r.now, balancer.Request{
		Service: r.service, Zone: r.leaving.Zone, Tokens: r.need(c), Excluded: map[string]bool{r.leaving.Engine: true},
		Instances: r.p.opts.Table.Count(),
	}, r.p.opts.State.Servers(r.service.Name))
	r.found = map[string]observed.Server{}
	targets := make([]Target, 0, len(free))
	for _, server := range free {
		r.found[server.ID] = server
		targets = append(targets, Target{ID: server.ID, Takes: migration.CopyTime(*r.service.Engine, c.Tokens, server.Zone != r.leaving.Zone)})
	}
	return targets
}

// need is the memory that a copy is expected to need: what the asker says, or
// for others of the same engine a little more than they have now.
func (r *room) need(c Copy) int {
	if c.Run == r.leaving.Run {
		return r.leaving.Need
	}
	return c.Tokens + usualRest
}

// Take counts a copy on the engine that it goes to, until others tell of it.
func (r *room) Take(c Copy, t Target) {
	place := balancer.Place{Server: r.found[t.ID], Tokens: r.need(c)}
	r.p.plan.Reserve(r.now, place)
	time.AfterFunc(r.p.handOver(), func() { r.p.plan.Done(place) })
}
