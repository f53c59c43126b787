// Package rolloutpeer carries roll-outs out together with the other instances.
// Each reports what it sees of the two versions to the one that decides, found by
// hashing among those that reach the platform, and is answered with a lease: the
// stage, and the share of requests that may go to the new version. An instance
// that isn't answered sends nothing there. The one that decides tells the platform
// under the condition that nobody has told it since. What it knows comes with the
// next reports, so that any other can take its place.
//
// # Usage
//
//	p := rolloutpeer.New(rolloutpeer.Options{...})
//	go p.Run(ctx)
//	servers, canary := p.Canary(now, "desk", rng.Float64())
//	p.Note(now, "desk", server, rolloutpeer.Seen{Route: "bookings", Took: took})
package rolloutpeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

const (
	// tick is how often roll-outs are looked at.
	tick = 100 * time.Millisecond
	// reportLeast is the least time between two reports, reportEach what it grows
	// by with each instance, so that the one that decides bears the same load.
	reportLeast = 400 * time.Millisecond
	reportEach  = 4 * time.Millisecond
	// stepGap is the time between two decisions.
	stepGap = 250 * time.Millisecond
	// warmTime is for how long a server that has started isn't compared by its
	// times.
	warmTime = 2 * time.Second
	// pauseMargin is by how much the time of day may run ahead of the steady clock
	// between two looks before this instance takes itself for suspended.
	pauseMargin = time.Second
)

// Options configures a [Peer].
type Options struct {
	Self    string
	Table   *membership.Table
	Key     peer.Key
	State   *observed.State
	Objects *objectapi.Client
	Dialect dialect.Dialect
	Limits  rollout.Limits
	// Left returns how many requests of this instance are on a server.
	Left func(server string) int
	// Announce has others told of a new stage. It doesn't wait.
	Announce func()
	Log      zerolog.Logger
	Scope    tally.Scope
	Now      func() time.Time
}

// Peer is one instance's part in all roll-outs. It is safe for concurrent use.
type Peer struct {
	opts   Options
	caller *peerrpc.Caller

	mu sync.Mutex
	// ready is set once the roll-outs of the platform are known.
	ready bool
	parts map[string]*part
	// controllers are by order, while this instance decides.
	controllers map[string]*rollout.Controller
	sequence    int64
	looked      time.Time
}

// part is one roll-out as this instance has it.
type part struct {
	*rollout.Participant
	reported time.Time
	stepped  time.Time
	// wait is what the roll-out waits for, as last logged.
	wait string
}

// New returns a peer that is ready to run.
func New(opts Options) *Peer {
	if opts.Announce == nil {
		opts.Announce = func() {}
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Peer{
		opts: opts, caller: peerrpc.NewCaller(opts.Key, opts.Self, callTimeout),
		parts: map[string]*part{}, controllers: map[string]*rollout.Controller{}, looked: opts.Now(),
	}
}

// Run takes part in roll-outs until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for objectapi.Pause(ctx, tick) == nil {
		now := p.opts.Now()
		p.checkPause(now)
		rollouts := p.opts.State.Rollouts()
		p.follow(now, rollouts)
		for i := range rollouts {
			if !rollouts[i].Stage.Ended() {
				p.take(ctx, now, &rollouts[i])
			}
		}
	}
	p.caller.Drop()
}

// checkPause forgets what others were doing when this instance was suspended: the
// steady clock doesn't count that time.
func (p *Peer) checkPause(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	steady, day := now.Sub(p.looked), now.Round(0).Sub(p.looked.Round(0))
	p.looked = now
	if day-steady <= pauseMargin {
		return
	}
	for _, c := range p.controllers {
		c.Forget()
	}
}

// follow begins and ends this instance's part in roll-outs.
func (p *Peer) follow(now time.Time, rollouts []dialect.Rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{}
	for i := range rollouts {
		r := &rollouts[i]
		known[r.ID] = true
		one, ok := p.parts[r.ID]
		if !ok {
			one = p.begin(now, r)
		}
		if one.Advance(r.Stage) {
			p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", r.Stage).Msg("roll-out goes on")
		}
		p.opts.State.SetStage(r.ID, one.Stage())
	}
	for id := range p.parts {
		if !known[id] {
			p.opts.Log.Info().Str("service", p.parts[id].Order.Service).Str("to", p.parts[id].Order.To).Msg("roll-out withdrawn")
			delete(p.parts, id)
			delete(p.controllers, id)
		}
	}
	version, _ := p.opts.State.Version(observed.Rollouts)
	p.ready = p.ready || version > 0
}

func (p *Peer) begin(now time.Time, r *dialect.Rollout) *part {
	order := orderOf(r)
	one := &part{Participant: rollout.NewParticipant(now, order)}
	if !p.ready {
		one.Participant = rollout.JoinParticipant(now, order)
	}
	p.parts[r.ID] = one
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Dur("duration", r.Duration).Stringer("stage", r.Stage).
		Bool("joins", !p.ready).Msg("roll-out begins")
	return one
}

func orderOf(r *dialect.Rollout) rollout.Order {
	return rollout.Order{ID: r.ID, Service: r.Service, To: r.TargetVersion, Duration: r.Duration}
}

// take does this instance's part in one roll-out: it reports, and decides where
// that is its turn.
func (p *Peer) take(ctx context.Context, now time.Time, r *dialect.Rollout) {
	p.mu.Lock()
	one := p.parts[r.ID]
	due := now.Sub(one.reported) >= p.reportEvery(now)
	p.mu.Unlock()
	decider, here := p.decider()
	if due {
		p.report(ctx, now, r, one, decider, here)
	}
	if here {
		p.decide(ctx, now, r, one)
	}
	if p.opts.State.SetStage(r.ID, one.Stage()) {
		p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", one.Stage()).Str("decidedBy", decider.ID).Msg("roll-out goes on")
		p.opts.Announce()
	}
}

func (p *Peer) reportEvery(now time.Time) time.Duration {
	return max(reportLeast, time.Duration(p.opts.Table.Count(now))*reportEach)
}

// decider returns the instance that decides, and whether it is this one: the first
// in turn of those that reach the platform.
func (p *Peer) decider() (membership.Record, bool) {
	owners := p.opts.Table.Owners("rollouts", 3)
	if len(owners) == 0 {
		return membership.Record{}, false
	}
	first := owners[0]
	if i := slices.IndexFunc(owners, func(r membership.Record) bool { return !r.Blind }); i >= 0 {
		first = owners[i]
	}
	return first, first.ID == p.opts.Self
}

// left returns how many requests of this instance are on servers that are to be
// left.
func (p *Peer) left(service string) int {
	n := 0
	for _, id := range p.opts.State.VacatedOf(service) {
		n += p.opts.Left(id)
	}
	return n
}

// Joined reports whether requests may be sent to a service: an instance that starts
// in the middle of a roll-out has to be told its stage first.
func (p *Peer) Joined(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.partOf(service); one != nil {
		return one.Joined(now)
	}
	return true
}

func (p *Peer) partOf(service string) *part {
	for _, one := range p.parts {
		if one.Order.Service == service && !one.Stage().Ended() {
			return one
		}
	}
	return nil
}

// Canary returns the servers of the new version that a request goes to, or false
// where it goes to the others. Draw is a random number from 0 to 1.
func (p *Peer) Canary(now time.Time, service string, draw float64) ([]observed.Server, bool) {
	p.mu.Lock()
	one := p.partOf(service)
	p.mu.Unlock()
	if one == nil || one.Track(now, draw) != rollout.Canary {
		return nil, false
	}
	all := p.opts.State.Canaries(service)
	servers := make([]observed.Server, 0, len(all))
	for _, i := range rollout.Canaries(p.opts.Limits.Share, one.Window(now), len(all)) {
		servers = append(servers, all[i])
	}
	return servers, len(servers) > 0
}

// Seen is how a server answered a request, or one stretch of a stream.
type Seen struct {
	Route  string
	Aspect rollout.Aspect
	Failed bool
	Took   time.Duration
}

// Note counts an answer of a server whose service has a roll-out.
func (p *Peer) Note(now time.Time, server observed.Server, s Seen) {
	p.mu.Lock()
	one := p.partOf(server.Service)
	p.mu.Unlock()
	if one == nil {
		return
	}
	track, version := rollout.Stable, "old"
	if server.Version == one.Order.To {
		track, version = rollout.Canary, "new"
	}
	outcome := "answered"
	if s.Failed {
		outcome = "failed"
	}
	p.opts.Scope.Tagged(map[string]string{"version": version, "outcome": outcome}).Counter("answers").Inc(1)
	one.Note(now, rollout.Sample{
		Route: s.Route, Server: server.ID, Track: track, Aspect: s.Aspect, Failed: s.Failed, Took: s.Took,
		Warming: now.Before(server.ColdUntil) || now.Sub(server.Since) < warmTime,
	})
}
