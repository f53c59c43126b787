package observed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// configurationWait and zonesWait are how long the platform may hold a watch
	// back. A watch that hears nothing costs one call; that it may hear nothing
	// for a bad reason is what refreshes are for.
	configurationWait = 20 * time.Second
	zonesWait         = 20 * time.Second
	// serversWait is short: engines give a notice of 1.5 s, and while the
	// platform is silent for longer they are asked themselves. These calls are of
	// the cheap kind.
	serversWait = 400 * time.Millisecond
	// callTimeout is what a call may take beyond its wait. An answer takes
	// milliseconds, and some 300 ms on a platform that is overloaded.
	callTimeout = 600 * time.Millisecond
	// slowTimeout is what it may take after calls that failed.
	slowTimeout = 3 * time.Second
	// gather is the pause between two watches of servers. Several leave and
	// come together, and each change alone would wake every instance. Of many
	// instances each pauses longer: with four dozen engines there is always a
	// change, and a third of a second of an engine's notice of 1.5 s is borne.
	gather = 60 * time.Millisecond
	// readers is how many instances read the platform at these times. Where
	// there are more, each reads less often, up to maxStretch, so that the
	// calls grow more slowly than the fleet: what one of them reads, the others
	// hear of from each other.
	readers    = 12
	maxStretch = 5.0
	// retryLeast and retryMost space calls to a platform that fails.
	retryLeast = 100 * time.Millisecond
	retryMost  = 700 * time.Millisecond
	// sweepEvery is how often entries that stayed missing are dropped.
	sweepEvery = 250 * time.Millisecond
)

// Options configures a [Follower].
type Options struct {
	State   *State
	Objects *objectapi.Client
	Dialect dialect.Dialect
	Log     zerolog.Logger
	Now     func() time.Time
	// Instances returns how many instances follow the platform.
	Instances func() int
	// Rank returns this instance's place among those that take turns at reading
	// a part, 0 for the first; nil means that there is no other.
	Rank func(now time.Time, key string) int
	// Announce, if set, tells others at once what was read.
	Announce func(ctx context.Context)
}

// Follower keeps a [State] up to date from the platform, with one duty for
// each kind of objects.
type Follower struct {
	opts Options
	// outage is set while calls to the platform fail.
	mu     sync.Mutex
	failed int
}

// NewFollower returns a follower that is ready to run.
func NewFollower(opts Options) *Follower { return &Follower{opts: opts} }

// follow is one kind of objects.
type follow struct {
	part Part
	kind string
	// wait is how long a watch waits, first and last are when a refresh is due.
	wait, first, last time.Duration
	// list takes over a whole list, apply one change.
	list  func(now time.Time, version int64, objects []objectapi.Object)
	apply func(now time.Time, e objectapi.Event)

	mu sync.Mutex
	// interrupt ends the watch that waits.
	interrupt context.CancelFunc
}

// ServersEvery returns how often one of so many instances hears of the servers
// at the latest.
func ServersEvery(instances int) time.Duration { return serversWait + stretch(instances, gather) }

// stretched is a wait for one of many instances.
func (f *Follower) stretched(d time.Duration) time.Duration { return stretch(f.opts.Instances(), d) }

func stretch(instances int, d time.Duration) time.Duration {
	share := float64(instances) / readers
	return time.Duration(float64(d) * min(maxStretch, max(1, share)))
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var duties sync.WaitGroup
	kinds := f.opts.Dialect.Kinds
	for _, one := range []*follow{
		{part: Configuration, kind: kinds.Configuration, wait: configurationWait, first: configurationFirst, last: configurationLast, list: f.listConfiguration, apply: f.applyConfiguration},
		{part: Servers, kind: kinds.Servers, wait: serversWait, first: serversFirst, last: serversLast, list: f.listServers, apply: f.applyServer},
		{part: Zones, kind: kinds.DrainedZones, wait: zonesWait, first: zonesFirst, last: zonesLast, list: f.listZones},
	} {
		duties.Go(func() { f.follow(ctx, one) })
		duties.Go(func() { f.refresh(ctx, one) })
	}
	duties.Go(func() { f.sweep(ctx) })
	duties.Wait()
}

func (f *Follower) sweep(ctx context.Context) {
	for objectapi.Pause(ctx, sweepEvery) == nil {
		f.opts.State.Sweep(f.opts.Now())
	}
}

// follow lists a kind and watches it, again and again.
func (f *Follower) follow(ctx context.Context, one *follow) {
	backoff := objectapi.Backoff{Min: retryLeast, Max: retryMost}
	patience := objectapi.Patience{Min: callTimeout, Max: slowTimeout}
	for ctx.Err() == nil {
		version, err := f.read(ctx, one, &patience)
		if err != nil {
			if objectapi.Pause(ctx, backoff.Fail()) != nil {
				return
			}
			continue
		}
		backoff.Reset()
		f.watch(ctx, one, version, &patience)
	}
}

// read lists a kind and takes the list over.
func (f *Follower) read(ctx context.Context, one *follow, patience *objectapi.Patience) (int64, error) {
	start := f.opts.Now()
	version, objects, err := f.opts.Objects.List(objectapi.WithTimeout(ctx, patience.Timeout()), one.kind)
	if err != nil {
		patience.Fail(f.opts.Now().Sub(start))
		f.lost(one, err)
		return 0, err
	}
	patience.Answered(f.opts.Now().Sub(start))
	f.regained()
	one.list(start, version, objects)
	if known, _ := f.opts.State.Version(one.part); one.part == Configuration || version >= known {
		f.opts.State.Read(start, one.part)
	}
	return version, nil
}

// watch follows changes until the list has to be read again.
func (f *Follower) watch(ctx context.Context, one *follow, version int64, patience *objectapi.Patience) {
	for ctx.Err() == nil {
		start := f.opts.Now()
		call, done := one.interruptible(ctx)
		changes, err := f.opts.Objects.Watch(f.watchCall(call, one, patience), one.kind, version, one.wait)
		interrupted := call.Err() != nil
		done()
		now := f.opts.Now()
		if interrupted {
			version, _ = f.opts.State.Version(one.part)
			if one.part == Configuration {
				return
			}
			continue
		}
		if errors.Is(err, objectapi.ErrCompacted) {
			return
		}
		if err != nil {
			patience.Fail(now.Sub(start))
			f.lost(one, err)
			return
		}
		f.regained()
		if known, _ := f.opts.State.Version(one.part); one.part != Configuration && changes.Version < known {
			// A refresh was quicker: these changes are older than what it read.
			version = known
			continue
		}
		version = max(version, changes.Version)
		if one.apply == nil && len(changes.Events) > 0 {
			return
		}
		for _, e := range changes.Events {
			one.apply(now, e)
		}
		if len(changes.Events) > 0 || one.part == Servers {
			f.opts.State.Confirm(now, one.part, version)
		}
		if len(changes.Events) > 0 && one.part == Servers && objectapi.Pause(ctx, f.stretched(gather)) != nil {
			return
		}
	}
}

// watchCall bounds one watch. Those of servers are many and of the cheap kind.
func (f *Follower) watchCall(ctx context.Context, one *follow, patience *objectapi.Patience) context.Context {
	ctx = objectapi.WithTimeout(ctx, patience.Timeout())
	if one.part == Servers {
		ctx = objectapi.AllowStale(ctx)
	}
	return ctx
}

// lost and regained note an outage: what is missing right after it may return.
func (f *Follower) lost(one *follow, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
	f.opts.State.Lost()
	if f.failed == 1 {
		f.opts.Log.Warn().Str("kind", one.kind).Err(err).Msg("platform lost")
	}
}

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == 0 {
		return
	}
	f.opts.Log.Info().Int("failedCalls", f.failed).Msg("platform regained")
	f.failed = 0
	f.opts.State.Returned(f.opts.Now())
}

func (f *Follower) listConfiguration(now time.Time, _ int64, objects []objectapi.Object) {
	for _, o := range objects {
		f.takeConfiguration(now, o)
	}
}

func (f *Follower) applyConfiguration(now time.Time, e objectapi.Event) {
	if e.Type == objectapi.EventPut {
		f.takeConfiguration(now, e.Object)
	}
}

func (f *Follower) takeConfiguration(now time.Time, o objectapi.Object) {
	if o.Name != f.opts.Dialect.Kinds.ConfigurationName {
		return
	}
	f.TakeRaw(now, o.Value, "platform")
}

// TakeRaw takes over a configuration as the platform holds it, which may have
// come from another instance.
func (f *Follower) TakeRaw(now time.Time, value []byte, source string) {
	cfg, err := f.opts.Dialect.Configuration(value)
	if err != nil {
		f.opts.Log.Error().Err(err).Str("source", source).Msg("configuration not understood, the last one stays in force")
		return
	}
	if f.opts.State.Configure(now, cfg, value) {
		f.opts.Log.Info().Int64("version", cfg.Version).Str("source", source).Int("routes", len(cfg.Routes)).Msg("configuration in force")
	}
}

func (f *Follower) listServers(now time.Time, version int64, objects []objectapi.Object) {
	list := make([]dialect.Server, 0, len(objects))
	for _, o := range objects {
		if s, ok := f.server(o); ok {
			list = append(list, s)
		}
	}
	f.opts.State.ReplaceServers(now, version, list)
}

func (f *Follower) applyServer(now time.Time, e objectapi.Event) {
	if e.Type == objectapi.EventDelete {
		f.opts.Log.Info().Str("server", e.Object.Name).Msg("backend server gone")
		f.opts.State.RemoveServer(now, e.Object.Name)
		return
	}
	s, ok := f.server(e.Object)
	if !ok {
		// What was known of it is void: another writer may have replaced it.
		f.opts.State.RemoveServer(now, e.Object.Name)
		return
	}
	f.opts.Log.Info().Str("server", s.ID).Str("zone", s.Zone).Bool("leaving", s.Leaving).Msg("backend server")
	f.opts.State.PutServer(now, s)
}

func (f *Follower) server(o objectapi.Object) (dialect.Server, bool) {
	s, err := f.opts.Dialect.Server(o.Name, o.Value)
	if err != nil {
		f.opts.Log.Warn().Str("server", o.Name).Err(err).Msg("entry of a backend server not understood")
		return s, false
	}
	return s, true
}

func (f *Follower) listZones(now time.Time, version int64, objects []objectapi.Object) {
	zones := make([]string, 0, len(objects))
	for _, o := range objects {
		zones = append(zones, o.Name)
	}
	if f.opts.State.ReplaceZones(now, version, zones) && len(zones) > 0 {
		f.opts.Log.Info().Strs("zones", zones).Msg("availability zones taken out")
	}
}
