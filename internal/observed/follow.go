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
	// longWait is how long the platform may hold a watch back. That of the first
	// in turn to watch the servers is short: engines give a notice of one and a
	// half seconds, and while the platform is silent for longer they are asked
	// themselves.
	longWait    = 20 * time.Second
	serversWait = 400 * time.Millisecond
	// newsTime is how long news takes at the most, as a rule, from the instance
	// that watches to all others.
	newsTime = 250 * time.Millisecond
	// callTimeout is what a call may take beyond its wait, slowTimeout what it
	// may take after calls that failed.
	callTimeout = 600 * time.Millisecond
	slowTimeout = 3 * time.Second
	// gather is the pause between two watches of servers: several leave and come
	// together.
	gather = 60 * time.Millisecond
	// retryLeast and retryMost space calls to a platform that fails.
	retryLeast = 100 * time.Millisecond
	retryMost  = 700 * time.Millisecond
	// sweepEvery is how often entries that stayed missing are dropped.
	sweepEvery = 500 * time.Millisecond
	// freshFor is for how long watches aren't answered late after one that didn't
	// hear of a change.
	freshFor = 10 * time.Second
	// watchers is how many instances watch a kind of objects for all.
	watchers = 2
	// turnCheck is how often an instance looks whether it is to watch, failCheck
	// the same while the platform fails.
	turnCheck = 250 * time.Millisecond
	failCheck = 50 * time.Millisecond
	// standIn is how long the second one that watches leaves a change to the
	// first to tell.
	standIn = 120 * time.Millisecond
	// settleTime is how long an instance that starts hears of others before it
	// takes a turn to watch.
	settleTime = 700 * time.Millisecond
	startCheck = 20 * time.Millisecond
	// blindAfter is how long calls fail until another instance is to watch, and
	// blindFor how long this one leaves that to others then.
	blindAfter = 500 * time.Millisecond
	blindFor   = 5 * time.Second
)

// Options configures a [Follower].
type Options struct {
	State   *State
	Objects *objectapi.Client
	Dialect dialect.Dialect
	Log     zerolog.Logger
	Now     func() time.Time
	// Rank returns this instance's place among those that may follow a kind of
	// objects for all, 0 for the first, and whether one of those that run isn't
	// answered by the platform; nil means that there is no other.
	Rank func(kind string) (rank int, blind bool)
	// StartWait is how long an instance that starts waits to be told what is in
	// force before it reads by itself.
	StartWait time.Duration
	// Instances returns how many others are known; nil for none. It takes the longer
	// to be told the more start in the same moment, and their reads would hold the
	// platform up.
	Instances func() int
	// Bounds are the times in which changes are to be in force; zero for the
	// default ones.
	Bounds Bounds
	// Announce, if set, has others told of what was heard. It doesn't wait.
	Announce func()
}

// Follower keeps a [State] up to date from the platform, with one duty for each
// kind of objects. Few instances watch a kind; the others are told by them, and
// read by themselves where they aren't told in time.
type Follower struct {
	opts    Options
	started time.Time

	mu sync.Mutex
	// failed counts the calls that failed in series since failing.
	failed  int
	failing time.Time
	failure time.Time
	// unheard is when a read in full last found what a watch hadn't heard.
	unheard time.Time
	// backoff and next say when the platform is tried again while it fails.
	backoff objectapi.Backoff
	next    time.Time
}

// NewFollower returns a follower that is ready to run.
func NewFollower(opts Options) *Follower {
	if opts.Rank == nil {
		opts.Rank = func(string) (int, bool) { return 0, false }
	}
	if opts.Bounds == (Bounds{}) {
		opts.Bounds = DefaultBounds
	}
	if opts.Bounds.Rollouts > 0 {
		opts.State.FollowRollouts()
	}
	if opts.Announce == nil {
		opts.Announce = func() {}
	}
	return &Follower{opts: opts, started: opts.Now(), backoff: objectapi.Backoff{Min: retryLeast, Max: retryMost}}
}

// follow is one kind of objects.
type follow struct {
	part Part
	kind string
	// wait is how long a watch waits, bound the time in which changes are to be in
	// force.
	wait, bound time.Duration
	// list takes over a whole list, apply one change.
	list  func(now time.Time, version int64, objects []objectapi.Object)
	apply func(now time.Time, from, to int64, events []objectapi.Event)

	mu sync.Mutex
	// interrupt ends the watch that waits.
	interrupt context.CancelFunc
	// reading is set while the kind is read in full, notBefore after that failed.
	reading   bool
	notBefore time.Time
	backoff   objectapi.Backoff
}

// ServersEvery is how often an instance hears of the servers at the latest.
const ServersEvery = serversWait + newsTime

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var duties sync.WaitGroup
	kinds := f.opts.Dialect.Kinds
	bounds := f.opts.Bounds
	var all []*follow
	for _, one := range []*follow{
		{part: Configuration, kind: kinds.Configuration, wait: longWait, bound: bounds.Configuration, list: f.listConfiguration, apply: f.applyConfiguration},
		{part: Servers, kind: kinds.Servers, wait: serversWait, bound: bounds.Servers, list: f.listServers, apply: f.applyServers},
		{part: Zones, kind: kinds.DrainedZones, wait: longWait, bound: bounds.Zones, list: f.listZones},
		{part: Rollouts, kind: kinds.Rollouts, wait: longWait, bound: bounds.Rollouts, list: f.listRollouts},
	} {
		if one.bound == 0 {
			continue
		}
		all = append(all, one)
		duties.Go(func() { f.follow(ctx, one) })
	}
	duties.Go(func() { f.refresh(ctx, all) })
	duties.Go(func() { f.sweep(ctx) })
	duties.Wait()
}

func (f *Follower) sweep(ctx context.Context) {
	for objectapi.Pause(ctx, sweepEvery) == nil {
		f.opts.State.Sweep(f.opts.Now())
	}
}

// follow watches a kind while it is this instance's turn, from a list or from
// what others have told.
func (f *Follower) follow(ctx context.Context, one *follow) {
	patience := objectapi.Patience{Min: callTimeout, Max: slowTimeout}
	if f.start(ctx, one, &patience) != nil {
		return
	}
	watching, list := false, false
	for ctx.Err() == nil {
		if turn := f.watches(one); turn != watching {
			watching = turn
			f.opts.Log.Info().Str("kind", one.kind).Bool("watching", turn).Msg("turn to watch the platform")
		}
		if !watching {
			if objectapi.Pause(ctx, turnCheck) != nil {
				return
			}
			continue
		}
		if !f.mayTry(f.opts.Now()) {
			if objectapi.Pause(ctx, failCheck) != nil {
				return
			}
			continue
		}
		version, _ := f.opts.State.Version(one.part)
		if list || version == 0 || one.part == Configuration {
			var err error
			if version, err = f.read(ctx, one, &patience); err != nil {
				continue
			}
			f.opts.Announce()
		}
		list = f.watch(ctx, one, version, &patience)
	}
}

// read lists a kind and takes the list over.
func (f *Follower) read(ctx context.Context, one *follow, patience *objectapi.Patience) (int64, error) {
	start := f.opts.Now()
	version, objects, err := f.opts.Objects.List(objectapi.WithTimeout(ctx, patience.Timeout()), one.kind)
	if err != nil {
		patience.Fail(f.opts.Now().Sub(start))
		f.lost(start, one, err)
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

// watch follows changes while it is this instance's turn and reports whether the
// list has to be read before the next watch.
func (f *Follower) watch(ctx context.Context, one *follow, version int64, patience *objectapi.Patience) bool {
	for ctx.Err() == nil && f.watches(one) {
		start := f.opts.Now()
		call, done := one.interruptible(ctx)
		rank, _ := f.opts.Rank(one.kind)
		wait := one.wait
		if rank > 0 {
			wait = longWait
		}
		changes, err := f.opts.Objects.Watch(f.watchCall(call, start, patience), one.kind, version, wait)
		interrupted := call.Err() != nil
		done()
		now := f.opts.Now()
		if interrupted {
			return one.part == Configuration
		}
		if errors.Is(err, objectapi.ErrCompacted) {
			return true
		}
		if err != nil {
			patience.Fail(now.Sub(start))
			f.lost(start, one, err)
			return true
		}
		f.regained()
		if known, _ := f.opts.State.Version(one.part); one.part != Configuration && changes.Version < known {
			// A read in full was quicker: these changes are older than what it had.
			version = known
			continue
		}
		if one.apply == nil && len(changes.Events) > 0 {
			return true
		}
		if rank > 0 && len(changes.Events) > 0 {
			if objectapi.Pause(ctx, standIn) != nil {
				return true
			}
			if known, _ := f.opts.State.Version(one.part); one.part != Configuration && changes.Version <= known {
				version = known
				continue
			}
		}
		if len(changes.Events) > 0 {
			one.apply(now, version, changes.Version, changes.Events)
			// Without events the version stays: a watch that doesn't hear changes
			// may answer with the version that they led to.
			version = max(version, changes.Version)
		}
		if one.part == Servers {
			f.opts.State.Confirm(now, one.part)
		}
		if rank == 0 || len(changes.Events) > 0 {
			f.opts.Announce()
		}
		if len(changes.Events) > 0 && one.part == Servers && objectapi.Pause(ctx, gather) != nil {
			return true
		}
	}
	return false
}

// watchCall bounds one watch. Watches may be answered late, which is cheap for the
// platform, but for a while after one didn't hear of a change.
func (f *Follower) watchCall(ctx context.Context, now time.Time, patience *objectapi.Patience) context.Context {
	ctx = objectapi.WithTimeout(ctx, patience.Timeout())
	if f.mayBeLate(now) {
		ctx = objectapi.AllowStale(ctx)
	}
	return ctx
}
