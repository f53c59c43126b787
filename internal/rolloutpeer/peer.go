// Package rolloutpeer carries out rollouts together with the other instances. Each
// instance reports what it observes of the two versions to the coordinator, which is
// chosen by hashing among the instances that reach the platform, and gets a lease in
// return: the stage, and the share of requests that may go to the new version. An instance
// that gets no answer sends nothing to the new version. The coordinator writes the status
// to the platform, on the condition that it hasn't changed meanwhile. The next reports hold all
// that it needs, so any other instance can take over.
//
// # Usage
//
//	p := rolloutpeer.New(rolloutpeer.Options{...})
//	go p.Run(ctx)
//	servers, canary := p.Canary(now, "desk", rng.Float64())
//	p.Record(now, server, rolloutpeer.Observation{Route: "bookings", Latency: latency})
package rolloutpeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

const (
	// tick is the interval between checks of all rollouts.
	tick = 100 * time.Millisecond
	// minReportInterval is the minimum interval between two reports. It grows by
	// reportIntervalPerInstance with each instance, so that the coordinator's load stays the
	// same.
	minReportInterval         = 400 * time.Millisecond
	reportIntervalPerInstance = 4 * time.Millisecond
	// stepInterval is the time between two decisions.
	stepInterval = 250 * time.Millisecond
	// slowStartTime is the time after a server's start in which its latencies aren't compared.
	slowStartTime = 2 * time.Second
	// pauseMargin is by how much the wall clock may run ahead of the monotonic clock between
	// two checks before this instance counts as suspended.
	pauseMargin = time.Second
)

// Options configures a [Peer].
type Options struct {
	Self    string
	Table   *membership.Table
	Key     peer.Key
	State   *platformstate.State
	Objects *objectapi.Client
	Dialect dialect.Dialect
	Limits  rollout.Limits
	// Remaining returns how many requests of this instance run on a server.
	Remaining func(server string) int
	// StageChanged is called after a stage has changed, to broadcast it. It must not block.
	StageChanged func()
	Log          zerolog.Logger
	Scope        tally.Scope
	Now          func() time.Time
}

// Peer is one instance's part in all rollouts. It is safe for concurrent use.
type Peer struct {
	opts   Options
	client *instancerpc.Client

	mu sync.Mutex
	// ready is set once the platform's rollouts are known.
	ready    bool
	rollouts map[string]*localRollout
	// controllers holds the controllers by rollout ID, while this instance is the coordinator.
	controllers map[string]*rollout.Controller
	sequence    int64
	checkedAt   time.Time
}

// localRollout is this instance's state of one rollout.
type localRollout struct {
	*rollout.Participant
	reportedAt time.Time
	steppedAt  time.Time
	// waitReason is what the rollout waits for, as last logged.
	waitReason string
}

// New returns a peer that is ready to run.
func New(opts Options) *Peer {
	if opts.StageChanged == nil {
		opts.StageChanged = func() {}
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Peer{
		opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, callTimeout),
		rollouts: map[string]*localRollout{}, controllers: map[string]*rollout.Controller{}, checkedAt: opts.Now(),
	}
}

// Run takes part in rollouts until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for objectapi.Sleep(ctx, tick) == nil {
		now := p.opts.Now()
		p.checkPause(now)
		rollouts := p.opts.State.Rollouts()
		p.syncRollouts(now, rollouts)
		for i := range rollouts {
			if !rollouts[i].Stage.Ended() {
				p.participate(ctx, now, &rollouts[i])
			}
		}
	}
	p.client.CloseIdleConnections()
}

// checkPause discards the reports from before a suspension of this instance: the monotonic
// clock doesn't count that time.
func (p *Peer) checkPause(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	monotonic, wall := now.Sub(p.checkedAt), now.Round(0).Sub(p.checkedAt.Round(0))
	p.checkedAt = now
	if wall-monotonic <= pauseMargin {
		return
	}
	for _, c := range p.controllers {
		c.ExpireReports()
	}
}

// syncRollouts adds and removes local rollouts to match those of the platform.
func (p *Peer) syncRollouts(now time.Time, rollouts []dialect.Rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{}
	for i := range rollouts {
		r := &rollouts[i]
		known[r.ID] = true
		lr, ok := p.rollouts[r.ID]
		if !ok {
			lr = p.start(now, r)
		}
		if lr.Advance(r.Stage) {
			p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", r.Stage).Msg("rollout stage changed")
		}
		p.opts.State.SetStage(r.ID, lr.Stage())
	}
	for id := range p.rollouts {
		if !known[id] {
			p.opts.Log.Info().Str("service", p.rollouts[id].Spec.Service).Str("to", p.rollouts[id].Spec.To).Msg("rollout withdrawn")
			delete(p.rollouts, id)
			delete(p.controllers, id)
		}
	}
	version, _ := p.opts.State.Version(platformstate.Rollouts)
	p.ready = p.ready || version > 0
}

func (p *Peer) start(now time.Time, r *dialect.Rollout) *localRollout {
	spec := specOf(r)
	lr := &localRollout{Participant: rollout.NewParticipant(now, spec)}
	if !p.ready {
		lr.Participant = rollout.JoinParticipant(now, spec)
	}
	p.rollouts[r.ID] = lr
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Dur("duration", r.Duration).Stringer("stage", r.Stage).
		Bool("joins", !p.ready).Msg("roll-out begins")
	return lr
}

func specOf(r *dialect.Rollout) rollout.Spec {
	return rollout.Spec{ID: r.ID, Service: r.Service, To: r.TargetVersion, Duration: r.Duration}
}

// participate does this instance's part in one rollout: it reports, and decides if it is
// the coordinator.
func (p *Peer) participate(ctx context.Context, now time.Time, r *dialect.Rollout) {
	p.mu.Lock()
	lr := p.rollouts[r.ID]
	due := now.Sub(lr.reportedAt) >= p.reportInterval(now)
	p.mu.Unlock()
	coordinator, isCoordinator := p.coordinator()
	if due {
		p.report(ctx, now, r, lr, coordinator, isCoordinator)
	}
	if isCoordinator {
		p.decide(ctx, now, r, lr)
	}
	if p.opts.State.SetStage(r.ID, lr.Stage()) {
		p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", lr.Stage()).Str("decidedBy", coordinator.ID).Msg("rollout stage changed")
		p.opts.StageChanged()
	}
}

func (p *Peer) reportInterval(now time.Time) time.Duration {
	return max(minReportInterval, time.Duration(p.opts.Table.Count(now))*reportIntervalPerInstance)
}

// coordinator returns the coordinator of all rollouts, and whether it is this instance:
// the first owner that reaches the platform.
func (p *Peer) coordinator() (membership.Record, bool) {
	owners := p.opts.Table.Owners("rollouts", 3)
	if len(owners) == 0 {
		return membership.Record{}, false
	}
	first := owners[0]
	if i := slices.IndexFunc(owners, func(r membership.Record) bool { return !r.PlatformUnreachable }); i >= 0 {
		first = owners[i]
	}
	return first, first.ID == p.opts.Self
}

// remaining returns how many requests of this instance run on servers that are being
// drained.
func (p *Peer) remaining(service string) int {
	n := 0
	for _, id := range p.opts.State.DrainingServers(service) {
		n += p.opts.Remaining(id)
	}
	return n
}

// Joined reports whether requests may be sent to a service: an instance that starts during
// a rollout must learn its stage first.
func (p *Peer) Joined(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lr := p.rolloutOf(service); lr != nil {
		return lr.Joined(now)
	}
	return true
}

func (p *Peer) rolloutOf(service string) *localRollout {
	for _, lr := range p.rollouts {
		if lr.Spec.Service == service && !lr.Stage().Ended() {
			return lr
		}
	}
	return nil
}

// Canary returns the servers of the new version for a request of the canary, or false if
// the request isn't one. draw is a random number from 0 to 1.
func (p *Peer) Canary(now time.Time, service string, draw float64) ([]*platformstate.Server, bool) {
	p.mu.Lock()
	lr := p.rolloutOf(service)
	p.mu.Unlock()
	if lr == nil || lr.Track(now, draw) != rollout.Canary {
		return nil, false
	}
	all := p.opts.State.Canaries(service)
	servers := make([]*platformstate.Server, 0, len(all))
	for _, i := range rollout.CanaryServers(p.opts.Limits.Share, lr.Window(now), len(all)) {
		servers = append(servers, all[i])
	}
	return servers, len(servers) > 0
}

// Observation is how a server answered a request, or one gap between events of a stream.
type Observation struct {
	Route   string
	Metric  rollout.Metric
	Failed  bool
	Latency time.Duration
}

// Record counts an observation of a server whose service has a rollout.
func (p *Peer) Record(now time.Time, server platformstate.Server, s Observation) {
	p.mu.Lock()
	lr := p.rolloutOf(server.Service)
	p.mu.Unlock()
	if lr == nil {
		return
	}
	track, version := rollout.Stable, "old"
	if server.Version == lr.Spec.To {
		track, version = rollout.Canary, "new"
	}
	outcome := "answered"
	if s.Failed {
		outcome = "failed"
	}
	p.opts.Scope.Tagged(map[string]string{"version": version, "outcome": outcome}).Counter("answers").Inc(1)
	lr.Record(now, rollout.Sample{
		Route: s.Route, Server: server.ID, Track: track, Metric: s.Metric, Failed: s.Failed, Latency: s.Latency,
		ColdStart: now.Before(server.ColdUntil) || now.Sub(server.ListedSince) < slowStartTime,
	})
}
