// Package member implements the membership of one instance in the cluster: it watches and proposes
// rosters, exchanges heartbeats, distributes configuration and crash suspects, and detects pauses
// of its own process.
//
// # Usage
//
//	m, err := member.New(member.Options{Self: self, Objects: objects, List: list, Config: store, Peers: pool})
//	server := peer.NewServer(m.Handler(owner), key, scope)
//	go m.Run(ctx)
//	authority := m.Authority(now, server)
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
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/instancelist"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// Objects is the part of the platform's object API that stores the roster.
type Objects interface {
	Get(ctx context.Context, kind, name string) (objectapi.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error)
	Update(ctx context.Context, kind, name string, version int64, value []byte) (objectapi.Object, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (objectapi.Changes, error)
}

// List is the platform's list of instances, which lags behind.
type List interface {
	List(ctx context.Context) ([]instancelist.Instance, error)
}

// Config is the current configuration of this instance.
type Config interface {
	Snapshot() *config.Snapshot
	Version() int64
	Confirm(now time.Time)
	Confirmed(now time.Time, maxAge time.Duration) bool
	ObjectsAfter(after int64) (int64, []config.Object, error)
	Merge(now time.Time, objects []config.Object) (bool, error)
}

// Suspects is the table of crash suspects, which instances exchange in heartbeats.
type Suspects interface {
	Newest(now time.Time, n int) []crashsuspect.Entry
	Merge(now time.Time, entries []crashsuspect.Entry)
}

// Options configures a [Member].
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

// Member is the membership of this instance. It is safe for concurrent use.
type Member struct {
	opts Options
	// senders runs the heartbeat calls; when it is full, a peer is skipped until the next round.
	senders *ants.Pool
	// announcers runs the heartbeats that announce crashes; when it is full, an announcement waits.
	announcers *ants.Pool

	// wake triggers a heartbeat round at once. Its capacity is one; when it is full, a round is
	// already pending.
	wake chan struct{}
	// reread triggers a read of the roster in the same way.
	reread chan struct{}

	mu         sync.Mutex
	lease      *roster.Lease
	guard      roster.Guard
	peerStates map[string]*peerState
	leaving    bool
	listed     []roster.ListedInstance
	rng        *rand.Rand
	// required are the peers that need heartbeats, as of requiredEpoch and requiredVersion.
	required        []roster.Instance
	requiredEpoch   int64
	requiredVersion int64
	// changeDueSince is since when the roster should change; zero if it shouldn't.
	changeDueSince time.Time
	// platformFailed is set if the last call for the roster got no answer. unconfirmedSince is
	// since when the platform hasn't confirmed the roster.
	platformFailed   bool
	unconfirmedSince time.Time
}

// peerState is what is known of another instance.
type peerState struct {
	instance      roster.Instance
	answeredAt    time.Time
	lastSentAt    time.Time
	configVersion int64
	epoch         int64
	// missedBy has the last time of a missed answer, by observer.
	missedBy map[string]time.Time
	// inFlight is set while a heartbeat to the instance has no answer.
	inFlight bool
}

// New returns a member that has no roster yet.
func New(opts Options) (*Member, error) {
	beats, err := ants.NewPool(maxInFlight, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(ErrPool, merry.WithCause(err))
	}
	announcers, err := ants.NewPool(maxInFlight)
	if err != nil {
		return nil, merry.Wrap(ErrPool, merry.WithCause(err))
	}
	return &Member{
		opts:       opts,
		senders:    beats,
		announcers: announcers,
		wake:       make(chan struct{}, 1),
		reread:     make(chan struct{}, 1),
		lease:      roster.NewLease(opts.Self, opts.Timing),
		peerStates: map[string]*peerState{},
		rng:        rand.New(rand.NewPCG(opts.Seed, 1)),
	}, nil
}

// Run runs the member until ctx ends.
func (m *Member) Run(ctx context.Context) {
	defer m.senders.Release()
	defer m.announcers.Release()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){m.watchPauses, m.followRoster, m.runHeartbeats, m.runProposer} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// Authority implements owner.AuthoritySource. After a pause of the process there is none until it
// is confirmed again.
func (m *Member) Authority(now time.Time, s roster.Server) permit.Authority {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.guard.Allowed(now) {
		return permit.Authority{Epoch: m.lease.Roster().Epoch}
	}
	return m.lease.Authority(now, s)
}

// Roster returns the current roster. Its epoch is 0 before the first one was adopted.
func (m *Member) Roster() *roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Roster()
}

// NewWorkAllowed reports whether new work may be sent at now. It is false after a pause of the
// process until the configuration and the roster are confirmed again.
func (m *Member) NewWorkAllowed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.guard.Allowed(now)
}

const (
	// resumeTimeout limits how long requests wait for the confirmation after a pause of the process.
	// A round of heartbeats brings it, also while the platform is down.
	resumeTimeout = time.Second
	// resumeInterval is the time between two checks for it.
	resumeInterval = 10 * time.Millisecond
)

// AwaitResume waits until new work is allowed after a pause of the process, or resumeTimeout. It
// returns at once if the process wasn't paused.
func (m *Member) AwaitResume(ctx context.Context) {
	for ctx.Err() == nil && m.resuming(time.Now()) {
		pause(ctx, resumeInterval, nil)
	}
}

func (m *Member) resuming(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.guard.Resuming(now, resumeTimeout)
}

// Live returns the instances that callers may use, without those that are leaving.
func (m *Member) Live() []roster.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []roster.Instance
	for _, in := range m.lease.Roster().Instances {
		if !in.Leaving && !m.announcedLeaving(in) {
			live = append(live, in)
		}
	}
	return live
}

// announcedLeaving reports whether an instance has announced that it is leaving. During a platform
// outage no roster can say so, and callers would still be sent to the instance and find its
// listener closed. The announcement holds until the instance has a new incarnation, even after its
// process has ended.
func (m *Member) announcedLeaving(in roster.Instance) bool {
	if in.ID == m.opts.Self.ID {
		return m.leaving
	}
	p, ok := m.peerStates[in.ID]
	return ok && p.instance.Leaving && p.instance.Incarnation == in.Incarnation
}

// Leave marks this instance as leaving: it owns no servers in the next roster, and callers aren't
// sent to it.
func (m *Member) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.opts.Log.Info().Msg("leaving")
	signal(m.wake)
}

// HasLeft reports whether this instance is leaving or absent in the current roster, and so owns no
// servers.
func (m *Member) HasLeft() bool {
	in, ok := m.Roster().Find(m.opts.Self.ID)
	return !ok || in.Leaving
}

// HasLeftEverywhere reports whether the other instances know that this one is leaving: each that
// answers heartbeats has the roster that says so. Until then they still return this instance to
// callers, which cache that answer. In a large cluster this covers only the instances that exchange
// heartbeats with this one; the others learn of a roster at the same time through their own
// watches.
func (m *Member) HasLeftEverywhere(now time.Time) bool {
	if !m.HasLeft() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.lease.Roster()
	for _, in := range r.Instances {
		p, ok := m.peerStates[in.ID]
		if ok && in.ID != m.opts.Self.ID && now.Sub(p.answeredAt) < answerMaxAge && p.epoch < r.Epoch {
			return false
		}
	}
	return true
}

// ConfigVersions returns the known configuration version of each instance in the roster, as of the
// last heartbeat exchanged with it; 0 means that the version is unknown.
func (m *Member) ConfigVersions() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := map[string]int64{}
	for _, in := range m.lease.Roster().Instances {
		versions[in.ID] = 0
		if in.ID == m.opts.Self.ID {
			versions[in.ID] = m.opts.Config.Version()
		} else if p, ok := m.peerStates[in.ID]; ok {
			versions[in.ID] = p.configVersion
		}
	}
	return versions
}

// watchPauses detects pauses of the process with the monotonic clock.
func (m *Member) watchPauses(ctx context.Context) {
	tick := time.NewTicker(roster.TickInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		m.mu.Lock()
		paused := m.guard.Tick(now)
		if m.opts.Config.Confirmed(now, m.opts.Timing.LeaseDuration) {
			m.guard.ConfirmConfig(m.configConfirmedAt(now))
		}
		m.mu.Unlock()
		if paused {
			m.opts.Log.Warn().Msg("process was paused, no new work until the roster and configuration are confirmed")
			m.opts.Metrics.Counter("pauses").Inc(1)
			signal(m.reread)
			signal(m.wake)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// configConfirmedAt returns a time at which the configuration was up to date, to the precision of
// confirmAges.
func (m *Member) configConfirmedAt(now time.Time) time.Time {
	for _, age := range confirmAges {
		if m.opts.Config.Confirmed(now, age) {
			return now.Add(-age)
		}
	}
	return time.Time{}
}

// confirmAges are tried in ascending order, because the store reports only whether it was confirmed
// within a given age.
var confirmAges = []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d, a signal on early, or the end of ctx.
func pause(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-early:
	}
}

// self returns the current description of this instance.
func (m *Member) self() roster.Instance {
	self := m.opts.Self
	self.Leaving = m.leaving
	return self
}

func (m *Member) peerState(id string) *peerState {
	p, ok := m.peerStates[id]
	if !ok {
		p = &peerState{instance: roster.Instance{ID: id}, missedBy: map[string]time.Time{}}
		m.peerStates[id] = p
	}
	return p
}

// pruneInstances removes the state of instances that are in neither the roster nor the list.
func (m *Member) pruneInstances() {
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
	for id := range m.peerStates {
		if !keep[id] {
			delete(m.peerStates, id)
		}
	}
	m.opts.Peers.KeepOnly(addresses)
}
