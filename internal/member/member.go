// Package member keeps one entry instance in agreement with the others: it
// follows and proposes rosters, exchanges heartbeats, spreads configuration
// and suspects, and watches for pauses of its own process.
//
// # Usage
//
//	m, err := member.New(member.Options{Self: self, Objects: objects, List: list, Config: store, Peers: pool})
//	server := peer.NewServer(m.Handler(owner), key, scope)
//	go m.Run(ctx)
//	right := m.Right(now, server)
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/suspect"
)

// Objects is the part of the platform's object API that holds the roster.
type Objects interface {
	Get(ctx context.Context, kind, name string) (objectapi.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error)
	Update(ctx context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (objectapi.Changes, error)
}

// List is the platform's lagging list of instances.
type List interface {
	List(ctx context.Context) ([]instancelist.Instance, error)
}

// Config is the configuration in force on this instance.
type Config interface {
	Snapshot() *config.Snapshot
	Version() int64
	Confirm(now time.Time)
	Confirmed(now time.Time, within time.Duration) bool
	ObjectsAfter(after int64) (int64, []config.Object, error)
	Merge(now time.Time, objects []config.Object) (bool, error)
}

// Suspects spread between instances with the heartbeats.
type Suspects interface {
	Newest(now time.Time, n int) []suspect.Entry
	Merge(now time.Time, entries []suspect.Entry)
}

// Options is what a [Member] needs.
type Options struct {
	Self     roster.Instance
	Timing   roster.Timing
	Objects  Objects
	List     List
	Config   Config
	Suspects Suspects
	Peers    *peer.Pool
	// Heartbeat is the period of heartbeats.
	Heartbeat time.Duration
	Log       zerolog.Logger
	Metrics   tally.Scope
	Seed      uint64
}

// Member is safe for concurrent use.
type Member struct {
	opts Options
	// beats carries heartbeats; when it is full a peer is passed over until
	// the next round.
	beats *ants.Pool

	// wake asks the heartbeat duty for a round at once. It has room for one;
	// when full, a round is due already.
	wake chan struct{}
	// reread asks the roster duty to read at once, in the same way.
	reread chan struct{}

	mu      sync.Mutex
	lease   *roster.Lease
	guard   roster.Guard
	known   map[string]*peerState
	leaving bool
	listed  []roster.ListedInstance
	rng     *rand.Rand
	// peers are those that need heartbeats at peersEpoch and peersVersion.
	peers        []roster.Instance
	peersEpoch   int64
	peersVersion int64
	// differs is since when the roster should change.
	differs time.Time
	// platformFailed says that the last call for the roster had no answer, and
	// unconfirmedSince since when the platform hasn't confirmed it.
	platformFailed   bool
	unconfirmedSince time.Time
}

// peerState is what is known of another instance.
type peerState struct {
	instance      roster.Instance
	answeredAt    time.Time
	askedAt       time.Time
	configVersion int64
	epoch         int64
	// silent says by observer when an answer was last missed.
	silent map[string]time.Time
	// inFlight is set while a heartbeat to it has no answer.
	inFlight bool
}

// New returns a member without a roster.
func New(opts Options) (*Member, error) {
	beats, err := ants.NewPool(maxConcurrent, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(ErrPool, merry.WithCause(err))
	}
	return &Member{
		opts:   opts,
		beats:  beats,
		wake:   make(chan struct{}, 1),
		reread: make(chan struct{}, 1),
		lease:  roster.NewLease(opts.Self, opts.Timing),
		known:  map[string]*peerState{},
		rng:    rand.New(rand.NewPCG(opts.Seed, 1)),
	}, nil
}

// Run does all duties until ctx ends.
func (m *Member) Run(ctx context.Context) {
	defer m.beats.Release()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){m.watchPauses, m.followRoster, m.heartbeats, m.propose} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// Right implements owner.Rights. A paused process has none.
func (m *Member) Right(now time.Time, s roster.Server) permit.Authority {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.guard.Allowed(now) {
		return permit.Authority{Epoch: m.lease.Roster().Epoch}
	}
	return m.lease.Right(now, s)
}

// Roster returns the roster in force here; its epoch is 0 before the first.
func (m *Member) Roster() *roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Roster()
}

// Allowed reports whether new work may be sent at now. It is false after a
// pause of the process until configuration and roster are confirmed again.
func (m *Member) Allowed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.guard.Allowed(now)
}

// Live returns the instances that callers may use, without those that leave.
func (m *Member) Live() []roster.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []roster.Instance
	for _, in := range m.lease.Roster().Instances {
		if !in.Leaving && !m.saysLeaving(in) {
			live = append(live, in)
		}
	}
	return live
}

// saysLeaving reports whether an instance has said itself that it leaves. With
// the platform down no roster can say so; its callers would go on being sent
// to it and meet a closed listener. What it said holds until it starts anew,
// also when its process has ended.
func (m *Member) saysLeaving(in roster.Instance) bool {
	if in.ID == m.opts.Self.ID {
		return m.leaving
	}
	p, ok := m.known[in.ID]
	return ok && p.instance.Leaving && p.instance.Incarnation == in.Incarnation
}

// Leave marks this instance as leaving: it owns nothing in the next roster,
// and is named to no caller.
func (m *Member) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.opts.Log.Info().Msg("leaving")
	signal(m.wake)
}

// Left reports whether a roster is in force in which this instance owns
// nothing.
func (m *Member) Left() bool {
	in, ok := m.Roster().Find(m.opts.Self.ID)
	return !ok || in.Leaving
}

// LeftEverywhere reports whether the others know that this instance leaves:
// each that answers heartbeats has the roster that says so. Until then they
// name this instance to callers, who keep that answer for its time. In a large
// fleet only those are asked that exchange heartbeats with this instance; the
// rest learn of a roster at the same time, by their own watches.
func (m *Member) LeftEverywhere(now time.Time) bool {
	if !m.Left() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.lease.Roster()
	for _, in := range r.Instances {
		p, ok := m.known[in.ID]
		if ok && in.ID != m.opts.Self.ID && now.Sub(p.answeredAt) < answeredFor && p.epoch < r.Epoch {
			return false
		}
	}
	return true
}

// ConfigVersions returns the version of the configuration that each instance
// of the roster is known to have. What is known is as old as the last
// heartbeat exchanged with it; 0 means that nothing is known.
func (m *Member) ConfigVersions() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := map[string]int64{}
	for _, in := range m.lease.Roster().Instances {
		versions[in.ID] = 0
		if in.ID == m.opts.Self.ID {
			versions[in.ID] = m.opts.Config.Version()
		} else if p, ok := m.known[in.ID]; ok {
			versions[in.ID] = p.configVersion
		}
	}
	return versions
}

// watchPauses is the watch on the monotonic clock.
func (m *Member) watchPauses(ctx context.Context) {
	tick := time.NewTicker(roster.TickInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		m.mu.Lock()
		paused := m.guard.Tick(now)
		if m.opts.Config.Confirmed(now, m.opts.Timing.LeaseDuration) {
			m.guard.ConfirmConfig(m.configAskedAt(now))
		}
		m.mu.Unlock()
		if paused {
			m.opts.Log.Warn().Msg("process was paused, nothing new until confirmed")
			m.opts.Metrics.Counter("pauses").Inc(1)
			signal(m.reread)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// configAskedAt returns the latest moment, of those that matter to the guard,
// since which the configuration is confirmed.
func (m *Member) configAskedAt(now time.Time) time.Time {
	for _, age := range confirmAges {
		if m.opts.Config.Confirmed(now, age) {
			return now.Add(-age)
		}
	}
	return time.Time{}
}

// confirmAges are tried from the youngest. The store says only whether it was
// confirmed within an age.
var confirmAges = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d, a signal, or the end of ctx.
func pause(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-early:
	}
}

// self describes this instance as it is now.
func (m *Member) self() roster.Instance {
	self := m.opts.Self
	self.Leaving = m.leaving
	return self
}

func (m *Member) peerState(id string) *peerState {
	p, ok := m.known[id]
	if !ok {
		p = &peerState{instance: roster.Instance{ID: id}, silent: map[string]time.Time{}}
		m.known[id] = p
	}
	return p
}

// forget drops the instances that neither roster nor list names any more.
func (m *Member) forget() {
	keep := map[string]bool{}
	addresses := map[string]bool{}
	for _, in := range m.lease.Roster().Instances {
		keep[in.ID] = true
		addresses[in.PeerAddress] = true
	}
	for _, l := range m.listed {
		keep[l.ID] = true
		addresses[l.PeerAddress] = true
	}
	for id := range m.known {
		if !keep[id] {
			delete(m.known, id)
		}
	}
	m.opts.Peers.Keep(addresses)
}
