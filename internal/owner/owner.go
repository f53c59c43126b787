// Package owner gives out permits for the backend servers that this instance
// owns, or deputises for. It polls their load, keeps one admission state for
// each, and answers the Acquire and Release calls of peers and of its own
// router alike.
//
// # Usage
//
//	o, err := owner.New(owner.Options{Self: self, Rights: member, Config: store.Snapshot, Loads: loads})
//	go o.Run(ctx)
//	res := o.Acquire(ctx, req)
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/length"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// tickEvery is how often queued requests are looked at without an event.
	// Grants follow releases and reports at once; the tick is for deadlines
	// and for a server that has got its right.
	tickEvery = 50 * time.Millisecond
	// pollWorkers bounds the load polls at the same time: an instance owns
	// some six servers of 2,000, and up to all of them in a small deployment
	// that has lost its other instances.
	pollWorkers = 32
	// pollTimeout is well under the lag that reports have anyway; a server
	// that answers later is taken for unreachable.
	pollTimeout = time.Second
	// maxSlice bounds how long one Acquire waits; see the protocol.
	maxSlice = time.Second
	// keepAsk is how long a queued request keeps its place between two asks.
	// The next one comes within a round trip; an asker that died must not
	// hold up the others.
	keepAsk = 2 * maxSlice
	// waitingSlice is how long an ask is held while the owner itself waits
	// for its right.
	waitingSlice = 200 * time.Millisecond
)

var (
	// ErrPool means that the workers could not be started.
	ErrPool = merry.Sentinel("owner's workers not started")
	// ErrGone means that nothing listens at a backend server's address.
	ErrGone = merry.Sentinel("backend server's process has ended")
)

// Rights says what this instance may do for a server.
type Rights interface {
	Right(now time.Time, s roster.Server) permit.Authority
	Roster() *roster.Roster
}

// Options is what an [Owner] needs.
type Options struct {
	Self        string
	Incarnation string
	Rights      Rights
	Config      func() *config.Snapshot
	Loads       Loads
	Policy      admission.Policy
	Suspects    *Suspects
	// PermitFor is how long a permit may be used, PollEvery the time between
	// two load reports of one server.
	PermitFor time.Duration
	PollEvery time.Duration
	Log       zerolog.Logger
	Metrics   tally.Scope
	// Costs counts what the owner's work costs; it may be nil.
	Costs *control.Costs
}

// Owner is safe for concurrent use.
type Owner struct {
	opts    Options
	workers *ants.Pool
	lengths *length.Estimator

	// mu guards entries; each entry has its own lock. length.Estimator is
	// shared by all, so lengthsMu is held around admission calls.
	mu        sync.Mutex
	entries   map[string]*entry
	lengthsMu sync.Mutex

	// mine are the servers that concern this instance at epoch and version.
	// Only the ticking duty uses them.
	mine    []*pollenspindle.Server
	epoch   int64
	version int64
}

// New returns an owner whose duties [Owner.Run] starts.
func New(opts Options) (*Owner, error) {
	workers, err := ants.NewPool(pollWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(ErrPool, merry.WithCause(err))
	}
	return &Owner{
		opts:    opts,
		workers: workers,
		lengths: length.NewEstimator(length.DefaultParams),
		entries: map[string]*entry{},
	}, nil
}

// Run polls and ticks until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer o.workers.Release()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.opts.Costs.Of(control.RoleOwner).Run(func() { o.tick(ctx, time.Now()) })
		}
	}
}

// tick looks at each server for which this instance may have a right, and at
// those for which it had one.
func (o *Owner) tick(ctx context.Context, now time.Time) {
	snap := o.opts.Config()
	r := o.opts.Rights.Roster()
	moved := r.Epoch != o.epoch
	if moved || snap.Version != o.version {
		o.mine = concerned(snap, r, o.opts.Self)
		o.epoch, o.version = r.Epoch, snap.Version
		o.dismiss(now, snap)
	}
	for _, server := range o.mine {
		right := o.right(now, snap, server)
		e := o.entry(snap, server)
		o.with(e, func() {
			if moved {
				e.takeBack(now, r)
			}
			e.declare(o.admissionConfig(snap, server))
			e.follow(now, right, snap.TakesNewWork(server))
			e.deliver(e.state.Tick(now))
		})
		if right.Role != permit.RoleNone {
			o.poll(ctx, now, snap, *server, e)
		}
	}
}

// concerned returns the servers that instance self owns or deputises for. It
// is made once for each epoch and configuration: looking at all of 2,000
// servers in each tick would take a tenth of a core.
func concerned(snap *config.Snapshot, r *roster.Roster, self string) []*pollenspindle.Server {
	var mine []*pollenspindle.Server
	for i := range snap.Config.Servers {
		server := &snap.Config.Servers[i]
		place := RosterServer(snap, server)
		owner, _ := r.Owner(place.Name, place.Region)
		deputy, _ := r.Deputy(place.Name, place.Region)
		if owner.ID == self || deputy.ID == self {
			mine = append(mine, server)
		}
	}
	return mine
}

// dismiss ends the right to the servers that are no longer this instance's
// concern, and drops those that the configuration no longer has.
func (o *Owner) dismiss(now time.Time, snap *config.Snapshot) {
	keep := map[string]bool{}
	for _, server := range o.mine {
		keep[server.Name] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, e := range o.entries {
		if !keep[name] {
			o.with(e, func() { e.follow(now, permit.Authority{}, false) })
		}
		if _, ok := snap.Servers[name]; !ok {
			delete(o.entries, name)
		}
	}
}

func (o *Owner) find(server string) *entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries[server]
}

func (o *Owner) entry(snap *config.Snapshot, server *pollenspindle.Server) *entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[server.Name]
	if !ok {
		cfg := o.admissionConfig(snap, server)
		e = &entry{
			zone:    server.Zone,
			cfg:     cfg,
			state:   admission.New(cfg, o.opts.Policy, o.lengths),
			waiters: map[string]chan admission.Decision{},
			given:   map[string]given{},
		}
		o.entries[server.Name] = e
	}
	return e
}

// with runs f with e and the shared estimator locked.
func (o *Owner) with(e *entry, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.lengthsMu.Lock()
	defer o.lengthsMu.Unlock()
	f()
}

func (o *Owner) right(now time.Time, snap *config.Snapshot, server *pollenspindle.Server) permit.Authority {
	return o.opts.Rights.Right(now, RosterServer(snap, server))
}

// RosterServer is what the roster needs to know of server.
func RosterServer(snap *config.Snapshot, server *pollenspindle.Server) roster.Server {
	s := roster.Server{Name: server.Name, ColdLimit: server.ColdLimit}
	if zone, ok := snap.Zones[server.Zone]; ok {
		s.Region = zone.Region
	}
	return s
}

func (o *Owner) admissionConfig(snap *config.Snapshot, server *pollenspindle.Server) admission.Config {
	cfg := admission.Config{
		Name:           server.Name,
		ColdLimit:      server.ColdLimit,
		WarmLimit:      server.WarmLimit,
		PermitLifetime: o.opts.PermitFor,
		QueueTimeout:   keepAsk,
	}
	service, ok := snap.Services[server.Service]
	if ok && service.Kind == pollenspindle.ServiceGeneration {
		cfg.MemoryTokens = server.MemoryTokens
		cfg.TokenInterval = time.Duration(service.TokenIntervalTargetMillis) * time.Millisecond
	}
	return cfg
}

// Load is how full a server is, for operators.
type Load struct {
	Server       string
	Role         permit.Role
	Running      int
	Queued       int
	Limit        int
	LoadPermille int
	// State is cold, warm or leaving; empty without a report.
	State       string
	UsedTokens  int
	Preemptions int
	// ReportAge is how long ago the server measured what it last reported.
	ReportAge time.Duration
}

// Load returns the state of a server that this instance owns or deputises for.
func (o *Owner) Load(now time.Time, server string) (Load, bool) {
	e := o.find(server)
	if e == nil {
		return Load{}, false
	}
	var l Load
	o.with(e, func() {
		l = Load{
			Server:       server,
			Role:         e.right.Role,
			Running:      e.state.Running(),
			Queued:       e.state.Queued(),
			Limit:        e.state.Limit(),
			LoadPermille: e.state.LoadPermille(now),
		}
		l.fill(now, e.state)
	})
	return l, l.Role != permit.RoleNone
}

// fill adds what the server last reported.
func (l *Load) fill(now time.Time, s *admission.Server) {
	r, ok := s.LastReport()
	if !ok {
		return
	}
	l.Preemptions, l.ReportAge, l.State = r.Preemptions, now.Sub(r.MeasuredAt), "warm"
	switch {
	case r.Leaving:
		l.State = "leaving"
	case r.Cold:
		l.State = "cold"
	}
	for _, s := range r.Sequences {
		l.UsedTokens += s.Prompt + s.Output
	}
}

// NewPermitID returns an id that no other permit has.
func NewPermitID() string { return uuid.NewString() }
