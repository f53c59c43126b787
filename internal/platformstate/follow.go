package platformstate

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
	// watchTimeout is how long the platform may hold a watch open. serversWatchTimeout is that
	// of the first watcher of the servers. It is short because engines give a shutdown notice
	// of one and a half seconds, and because the engines themselves are asked while the
	// platform doesn't answer for longer.
	watchTimeout        = 20 * time.Second
	serversWatchTimeout = 400 * time.Millisecond
	// broadcastTime is how long a broadcast usually takes, at most, from a watcher to all
	// other instances.
	broadcastTime = 250 * time.Millisecond
	// callTimeout is how long a call may take beyond its watch timeout, maxCallTimeout how
	// long it may take after failed calls.
	callTimeout    = 600 * time.Millisecond
	maxCallTimeout = 3 * time.Second
	// watchPause is the pause between two watches of servers, because several servers often
	// start or shut down together.
	watchPause = 60 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the delay between calls to a failing platform.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
	// sweepInterval is how often servers are removed whose time to reappear has ended.
	sweepInterval = 100 * time.Millisecond
	// freshWatchTime is how long stale watches aren't allowed after a missed change.
	freshWatchTime = 10 * time.Second
	// watcherCount is the number of instances that watch a resource for all.
	watcherCount = 2
	// rankCheckInterval is how often an instance checks whether it is a watcher,
	// retryCheckInterval how often it checks whether it may call a failing platform again.
	rankCheckInterval  = 250 * time.Millisecond
	retryCheckInterval = 50 * time.Millisecond
	// standbyDelay is how long the second watcher waits for the first one to broadcast a
	// change.
	standbyDelay = 120 * time.Millisecond
	// startupDelay is how long an instance that starts learns of others before it may become a
	// watcher.
	startupDelay       = 700 * time.Millisecond
	startCheckInterval = 20 * time.Millisecond
	// unreachableAfter is how long calls must fail until another instance becomes watcher,
	// unreachableTime how long this one then isn't one.
	unreachableAfter = 500 * time.Millisecond
	unreachableTime  = 5 * time.Second
)

// Options configures a [Follower].
type Options struct {
	State   *State
	Objects *objectapi.Client
	Dialect dialect.Dialect
	Log     zerolog.Logger
	Now     func() time.Time
	// Rank returns this instance's watcher rank for a kind, 0 for the first, and whether the
	// platform doesn't answer one of the running instances. nil means that there are no other
	// instances.
	Rank func(kind string) (rank int, unreachable bool)
	// StartWait is how long an instance that starts waits for the platform state from others
	// before it lists the resources itself.
	StartWait time.Duration
	// InstanceCount returns the number of known instances; nil means none. An instance waits
	// longer the more there are: the others may start at the same time, and their lists would
	// overload the platform.
	InstanceCount func() int
	// PropagationLimits are the times within which changes must take effect; zero means the
	// default.
	PropagationLimits PropagationLimits
	// ServerHeartbeat is how often backend servers renew their entries; zero means the default of 1 s.
	ServerHeartbeat time.Duration
	// Broadcast, if set, broadcasts what has changed. It must not block.
	Broadcast func()
}

// Follower keeps a [State] up to date from the platform, with one goroutine for each
// resource. Few instances watch a resource; the others get updates from them, and list it
// themselves if those don't arrive in time.
type Follower struct {
	opts    Options
	started time.Time
	// invalidServers, invalidRollouts and invalidConfigurations hold the objects that can't be decoded.
	invalidServers, invalidRollouts, invalidConfigurations invalidObjects

	mu sync.Mutex
	// revisions holds the revision of each server in the last list. The map doesn't change.
	revisions map[string]int64
	// failedCalls is the number of consecutive failed calls since failingSince.
	failedCalls  int
	failingSince time.Time
	failedAt     time.Time
	// missedChangeAt is when a list last found a missed change.
	missedChangeAt time.Time
	// backoff and nextCall determine when a failing platform is called again.
	backoff  objectapi.Backoff
	nextCall time.Time
}

// NewFollower returns a follower that is ready to run.
func NewFollower(opts Options) *Follower {
	if opts.Rank == nil {
		opts.Rank = func(string) (int, bool) { return 0, false }
	}
	if opts.PropagationLimits == (PropagationLimits{}) {
		opts.PropagationLimits = DefaultPropagationLimits
	}
	if opts.PropagationLimits.Rollouts > 0 {
		opts.State.EnableRollouts()
	}
	if opts.Broadcast == nil {
		opts.Broadcast = func() {}
	}
	if opts.ServerHeartbeat == 0 {
		opts.ServerHeartbeat = defaultServerHeartbeat
	}
	opts.State.SetServerHeartbeat(opts.ServerHeartbeat, opts.PropagationLimits.Servers)
	opts.State.SetLog(opts.Log)
	return &Follower{opts: opts, started: opts.Now(), backoff: objectapi.Backoff{Min: minRetryDelay, Max: maxRetryDelay}}
}

// watchedResource is the follower's state of one resource.
type watchedResource struct {
	resource Resource
	kind     string
	// timeout is how long a watch waits, limit the time within which changes must take effect.
	timeout, limit time.Duration
	// list lists the resource; apply applies changes.
	list  func(ctx context.Context) (resourceList, error)
	apply func(now time.Time, from, to int64, events []objectapi.Event)

	mu sync.Mutex
	// cancelWatch ends the current watch.
	cancelWatch context.CancelFunc
	// listing is set while the resource is being listed; after a failure it isn't listed
	// before nextList.
	listing  bool
	nextList time.Time
	backoff  objectapi.Backoff
}

// ServersInterval is the longest usual time between two confirmations of the servers.
const ServersInterval = serversWatchTimeout + broadcastTime

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	kinds := f.opts.Dialect.Kinds
	limits := f.opts.PropagationLimits
	var all []*watchedResource
	for _, w := range []*watchedResource{
		{resource: Configuration, kind: kinds.Configuration, timeout: watchTimeout, limit: limits.Configuration, list: f.listAll(Configuration, kinds.Configuration, f.replaceConfiguration), apply: f.applyConfiguration},
		{resource: Servers, kind: kinds.Servers, timeout: serversWatchTimeout, limit: limits.Servers, list: f.listServers, apply: f.applyServers},
		{resource: Zones, kind: kinds.DrainedZones, timeout: watchTimeout, limit: limits.Zones, list: f.listAll(Zones, kinds.DrainedZones, f.replaceZones)},
		{resource: Rollouts, kind: kinds.Rollouts, timeout: watchTimeout, limit: limits.Rollouts, list: f.listAll(Rollouts, kinds.Rollouts, f.replaceRollouts)},
	} {
		if w.limit == 0 {
			continue
		}
		all = append(all, w)
		tasks.Go(func() { f.follow(ctx, w) })
	}
	tasks.Go(func() { f.refresh(ctx, all) })
	tasks.Go(func() { f.sweep(ctx) })
	tasks.Wait()
}

func (f *Follower) sweep(ctx context.Context) {
	for objectapi.Sleep(ctx, sweepInterval) == nil {
		f.opts.State.Sweep(f.opts.Now())
	}
}

// follow watches a resource while this instance is one of its watchers, from the last list
// or update on.
func (f *Follower) follow(ctx context.Context, w *watchedResource) {
	adaptive := objectapi.AdaptiveTimeout{Min: callTimeout, Max: maxCallTimeout}
	if f.start(ctx, w, &adaptive) != nil {
		return
	}
	watching, mustList := false, false
	for ctx.Err() == nil {
		if nowWatching := f.isWatcher(w); nowWatching != watching {
			watching = nowWatching
			f.opts.Log.Info().Str("kind", w.kind).Bool("watching", nowWatching).Msg("turn to watch the platform")
		}
		if !watching {
			if objectapi.Sleep(ctx, rankCheckInterval) != nil {
				return
			}
			continue
		}
		if !f.mayCall(f.opts.Now()) {
			if objectapi.Sleep(ctx, retryCheckInterval) != nil {
				return
			}
			continue
		}
		version, _ := f.opts.State.Version(w.resource)
		if mustList || version == 0 || w.resource == Configuration {
			var err error
			if version, err = f.list(ctx, w, &adaptive); err != nil {
				continue
			}
			f.opts.Broadcast()
		}
		mustList = f.watch(ctx, w, version, &adaptive)
	}
}

// list lists a resource and applies the list.
func (f *Follower) list(ctx context.Context, w *watchedResource, adaptive *objectapi.AdaptiveTimeout) (int64, error) {
	start := f.opts.Now()
	list, err := w.list(objectapi.WithTimeout(ctx, adaptive.Timeout()))
	if err != nil {
		adaptive.Fail(f.opts.Now().Sub(start))
		f.callFailed(start, w, err)
		return 0, err
	}
	adaptive.Succeed(f.opts.Now().Sub(start))
	f.callSucceeded(start)
	if list.replace(start) {
		f.opts.State.RecordListing(start, w.resource)
	}
	return list.version, nil
}

// watch applies changes while this instance is a watcher, and reports whether the resource
// has to be listed before the next watch. After a watch that was cut off while it waited, the next one
// doesn't wait: whether the platform answers it decides whether the platform is lost.
func (f *Follower) watch(ctx context.Context, w *watchedResource, version int64, adaptive *objectapi.AdaptiveTimeout) bool {
	cuts := objectapi.CutWatches{Backoff: objectapi.Backoff{Min: minRetryDelay, Max: maxRetryDelay}}
	for ctx.Err() == nil && f.isWatcher(w) {
		start := f.opts.Now()
		call, done := w.cancelable(ctx)
		rank, _ := f.opts.Rank(w.kind)
		wait := cuts.Wait(w.timeout)
		if rank > 0 {
			wait = cuts.Wait(watchTimeout)
		}
		changes, err := f.opts.Objects.Watch(f.watchContext(call, start, adaptive), w.kind, version, wait)
		interrupted := call.Err() != nil
		done()
		now := f.opts.Now()
		if interrupted {
			return w.resource == Configuration
		}
		if errors.Is(err, objectapi.ErrWatchEnded) {
			if objectapi.Sleep(ctx, cuts.Cut(now.Sub(start))) != nil {
				return true
			}
			continue
		}
		cuts.Ended()
		if errors.Is(err, objectapi.ErrCompacted) || errors.Is(err, objectapi.ErrUnreadable) {
			f.callSucceeded(start)
			return true
		}
		if err != nil {
			adaptive.Fail(now.Sub(start) - wait)
			f.callFailed(start, w, err)
			return true
		}
		answered := start
		if len(changes.Events) == 0 {
			answered = earlier(now, start.Add(wait))
		}
		f.callSucceeded(answered)
		if known, _ := f.opts.State.Version(w.resource); w.resource != Configuration && changes.Version < known {
			// A list was faster: these changes are older.
			version = known
			continue
		}
		if w.apply == nil && len(changes.Events) > 0 {
			return true
		}
		if rank > 0 && len(changes.Events) > 0 {
			if objectapi.Sleep(ctx, standbyDelay) != nil {
				return true
			}
			if known, _ := f.opts.State.Version(w.resource); w.resource != Configuration && changes.Version <= known {
				version = known
				continue
			}
		}
		if len(changes.Events) > 0 {
			w.apply(now, version, changes.Version, changes.Events)
			// Without events the version stays: a watch that misses changes may answer with the
			// version that includes them.
			version = max(version, changes.Version)
		}
		if w.resource == Servers {
			f.opts.State.Confirm(now, w.resource)
		}
		if rank == 0 || len(changes.Events) > 0 {
			f.opts.Broadcast()
		}
		if len(changes.Events) > 0 && w.resource == Servers && objectapi.Sleep(ctx, watchPause) != nil {
			return true
		}
	}
	return false
}

// watchContext returns the context of one watch. A stale watch is cheaper for the
// platform, but isn't allowed for a while after a missed change.
func (f *Follower) watchContext(ctx context.Context, now time.Time, adaptive *objectapi.AdaptiveTimeout) context.Context {
	ctx = objectapi.WithTimeout(ctx, adaptive.Timeout())
	if f.allowsStaleWatch(now) {
		ctx = objectapi.AllowStale(ctx)
	}
	return ctx
}
