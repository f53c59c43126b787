// Package owner grants permits for the backend servers that this instance owns or
// deputizes for. It polls their load, keeps one admission state for each, and serves
// the Acquire and Release calls of peers and of its own router.
//
// # Usage
//
//	o, err := owner.New(owner.Options{Self: self, AuthoritySource: member, Config: store.Snapshot, Loads: loads})
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
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// tickInterval is how often queued requests are checked without an event.
	// Releases and reports lead to grants at once; the tick handles deadlines
	// and servers for which this instance has gained the right to grant.
	tickInterval = 50 * time.Millisecond
	// pollWorkers limits concurrent load polls: an instance owns about six of
	// 2,000 servers, and up to all of them in a small deployment that has lost
	// its other instances.
	pollWorkers = 32
	// pollTimeout is well below the usual lag of reports; a server that answers
	// later counts as unreachable.
	pollTimeout = time.Second
	// maxAcquireWait limits how long one Acquire call waits; see the protocol.
	maxAcquireWait = time.Second
	// queuePlaceTTL is how long a queued request keeps its place between two Acquire
	// calls. The next call comes within a round trip; a crashed instance must not
	// block the others.
	queuePlaceTTL = 2 * maxAcquireWait
	// notReadyWait is how long a request is held while the owner waits for its
	// right to grant, or for a newer load report.
	notReadyWait = 200 * time.Millisecond
)

var (
	// ErrPool means that the worker pool could not be created.
	ErrPool = merry.Sentinel("load poll workers not started")
	// ErrNotListening means that nothing listens at a backend server's address.
	ErrNotListening = merry.Sentinel("backend server refuses connections")
)

// AuthoritySource returns what this instance may grant for a server, and the roster.
type AuthoritySource interface {
	Authority(now time.Time, s roster.Server) permit.Authority
	Roster() *roster.Roster
}

// Options configures an [Owner].
type Options struct {
	Self            string
	Incarnation     string
	AuthoritySource AuthoritySource
	Config          func() *config.Snapshot
	Loads           Loads
	Policy          admission.Policy
	Suspects        *Suspects
	// Announce sends crash suspects to all other instances and returns when each has answered or
	// has had its time to; it may be nil.
	Announce func(ctx context.Context, entries []crashsuspect.Entry)
	// PermitLifetime is how long a permit is valid, PollInterval the usual time
	// between two load reports of one server.
	PermitLifetime time.Duration
	PollInterval   time.Duration
	Log            zerolog.Logger
	Metrics        tally.Scope
	// Costs accounts for the owner's resource use; it may be nil.
	Costs *controlcost.Meters
}

// Owner grants permits for backend servers. It is safe for concurrent use.
type Owner struct {
	opts    Options
	workers *ants.Pool
	lengths *outputlength.Estimator

	// mu guards entries; each entry has its own lock. All entries share the
	// length estimator, so lengthsMu is held during admission calls.
	mu        sync.Mutex
	entries   map[string]*entry
	lengthsMu sync.Mutex

	// assigned are the servers that this instance owns or deputizes for at epoch
	// and version. Only tick uses the three.
	assigned []*pollenspindle.Server
	epoch    int64
	version  int64
}

// New returns an owner, whose background work [Owner.Run] does.
func New(opts Options) (*Owner, error) {
	workers, err := ants.NewPool(pollWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Wrap(ErrPool, merry.WithCause(err))
	}
	return &Owner{
		opts:    opts,
		workers: workers,
		lengths: outputlength.NewEstimator(outputlength.DefaultParams),
		entries: map[string]*entry{},
	}, nil
}

// Run polls load reports, updates rights and announces crashes until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer o.workers.Release()
	var announcements sync.WaitGroup
	defer announcements.Wait()
	announcements.Go(func() { o.runAnnouncements(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.opts.Costs.Meter(controlcost.RoleOwner).Run(func() { o.tick(ctx, time.Now()) })
		}
	}
}

// tick updates the right to each assigned server, revokes those to servers that are
// no longer assigned, and polls.
func (o *Owner) tick(ctx context.Context, now time.Time) {
	snap := o.opts.Config()
	r := o.opts.AuthoritySource.Roster()
	epochChanged := r.Epoch != o.epoch
	if epochChanged || snap.Version != o.version {
		o.assigned = assignedServers(snap, r, o.opts.Self)
		o.epoch, o.version = r.Epoch, snap.Version
		o.revokeUnassigned(now, snap)
	}
	for _, server := range o.assigned {
		authority := o.authority(now, snap, server)
		e := o.entry(snap, server)
		o.withLock(e, func() {
			if epochChanged {
				e.releaseOrphanedPermits(now, r)
			}
			e.setConfig(o.admissionConfig(snap, server))
			e.applyAuthority(now, authority, snap.AcceptsRequests(server))
			e.deliver(e.state.Tick(now))
		})
		if authority.Role != permit.RoleNone {
			o.poll(ctx, now, snap, *server, e)
		}
	}
}

// assignedServers returns the servers that instance self owns or deputizes for. It is
// called once for each epoch and configuration version: checking all of 2,000 servers
// in each tick would take a tenth of a core.
func assignedServers(snap *config.Snapshot, r *roster.Roster, self string) []*pollenspindle.Server {
	var assigned []*pollenspindle.Server
	for i := range snap.Config.Servers {
		server := &snap.Config.Servers[i]
		s := RosterServer(snap, server)
		owner, _ := r.Owner(s.Name, s.Region)
		deputy, _ := r.Deputy(s.Name, s.Region)
		if owner.ID == self || deputy.ID == self {
			assigned = append(assigned, server)
		}
	}
	return assigned
}

// revokeUnassigned ends the right to servers that are no longer assigned to this
// instance, and drops servers that the configuration no longer has.
func (o *Owner) revokeUnassigned(now time.Time, snap *config.Snapshot) {
	keep := map[string]bool{}
	for _, server := range o.assigned {
		keep[server.Name] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, e := range o.entries {
		if !keep[name] {
			o.withLock(e, func() { e.applyAuthority(now, permit.Authority{}, false) })
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
			holders: map[string]permitHolder{},
		}
		o.entries[server.Name] = e
	}
	return e
}

// withLock calls f while holding the locks of e and of the shared estimator.
func (o *Owner) withLock(e *entry, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.lengthsMu.Lock()
	defer o.lengthsMu.Unlock()
	f()
}

func (o *Owner) authority(now time.Time, snap *config.Snapshot, server *pollenspindle.Server) permit.Authority {
	return o.opts.AuthoritySource.Authority(now, RosterServer(snap, server))
}

// RosterServer returns the properties of server that decide on its owner.
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
		PermitLifetime: o.opts.PermitLifetime,
		QueueTimeout:   queuePlaceTTL,
	}
	service, ok := snap.Services[server.Service]
	if ok && service.Kind == pollenspindle.ServiceGeneration {
		cfg.MemoryTokens = server.MemoryTokens
		cfg.TokenInterval = time.Duration(service.TokenIntervalTargetMillis) * time.Millisecond
	}
	return cfg
}

// Load describes the load of a server, for operators.
type Load struct {
	Server       string
	Role         permit.Role
	Running      int
	Queued       int
	Limit        int
	LoadPermille int
	// State is "cold", "warm" or "leaving"; empty without a report.
	State       string
	UsedTokens  int
	Preemptions int
	// ReportAge is the time since the server measured its last report.
	ReportAge time.Duration
}

// Load returns the load of a server that this instance owns or deputizes for.
func (o *Owner) Load(now time.Time, server string) (Load, bool) {
	e := o.find(server)
	if e == nil {
		return Load{}, false
	}
	var l Load
	o.withLock(e, func() {
		l = Load{
			Server:       server,
			Role:         e.authority.Role,
			Running:      e.state.Running(),
			Queued:       e.state.Queued(),
			Limit:        e.state.Limit(),
			LoadPermille: e.state.LoadPermille(now),
		}
		l.addReport(now, e.state)
	})
	return l, l.Role != permit.RoleNone
}

// addReport adds the values of the server's last load report.
func (l *Load) addReport(now time.Time, s *admission.Server) {
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

// NewPermitID returns a unique permit ID.
func NewPermitID() string { return uuid.NewString() }
