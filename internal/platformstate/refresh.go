package platformstate

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// PropagationLimits are the times within which changes on the platform must take effect.
// Rollouts aren't followed if theirs is 0.
type PropagationLimits struct {
	Configuration, Servers, Zones, Rollouts time.Duration
}

// DefaultPropagationLimits applies to a deployment that sets none.
var DefaultPropagationLimits = PropagationLimits{Configuration: 2 * time.Second, Servers: 2 * time.Second, Zones: 5 * time.Second}

const (
	// firstRelistShare is the age of the last list, as a share of the limit, at which the
	// first watcher relists a resource, and lastRelistShare the age at which any instance
	// does. Between them each rank waits rankDelayShare longer than the previous one.
	firstRelistShare = 0.5
	lastRelistShare  = 0.85
	rankDelayShare   = 0.25
	// laterRankDelay is how much longer each further rank waits than that while it hears others: if
	// all of hundreds of instances listed at once, the platform couldn't answer any of them in time.
	laterRankDelay = 20 * time.Millisecond
	// serversRelistAge limits the first age for servers, as engines give a shutdown notice of
	// one and a half seconds.
	serversRelistAge = 1500 * time.Millisecond
	// relistCheckInterval is how often to check whether a list is due.
	relistCheckInterval = 150 * time.Millisecond
	// divergedDelay is how long another instance must have listed different contents before
	// this one lists them too. Instances that aren't watchers wait divergedRankDelay longer by
	// rank, because the update is on its way to them.
	divergedDelay     = 300 * time.Millisecond
	divergedRankDelay = 40 * time.Millisecond
	maxDivergedDelay  = time.Second
	// heldRankDelay is how much longer the second watcher waits than the first before it lists
	// the rollouts because of a new version.
	heldRankDelay = 300 * time.Millisecond
	// maxRelistDelay limits the delay between failed lists of an instance that isn't a
	// watcher.
	maxRelistDelay = 5 * time.Second
)

// refresh lists a resource whenever the last list, by any instance, is too old: a
// half-open watch delivers neither events nor an error.
func (f *Follower) refresh(ctx context.Context, all []*watchedResource) {
	var lists sync.WaitGroup
	defer lists.Wait()
	for objectapi.Sleep(ctx, relistCheckInterval) == nil {
		now := f.opts.Now()
		for _, w := range all {
			if w.mayList(now) && f.relistDue(now, w) && w.startListing() {
				lists.Go(func() { w.endListing(f.opts.Now, f.relist(ctx, w)) })
			}
		}
	}
}

// relist lists a resource and broadcasts the result.
func (f *Follower) relist(ctx context.Context, w *watchedResource) error {
	adaptive := objectapi.AdaptiveTimeout{Min: callTimeout, Max: maxCallTimeout}
	before := f.opts.State.ContentHash(w.resource)
	if _, err := f.list(ctx, w, &adaptive); err != nil {
		return err
	}
	if f.opts.State.ContentHash(w.resource) != before {
		f.opts.Log.Warn().Str("kind", w.kind).Msg("a change had not been heard")
		f.recordMissedChange(f.opts.Now())
		w.restartWatch()
	}
	f.opts.Broadcast()
	return nil
}

// mayList reports whether a resource may be listed; startListing and endListing mark the
// start and the end.
func (w *watchedResource) mayList(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.listing && !now.Before(w.nextList)
}

func (w *watchedResource) startListing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	started := !w.listing
	w.listing = true
	return started
}

func (w *watchedResource) endListing(now func() time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listing = false
	w.backoff.Min, w.backoff.Max = maxRetryDelay, maxRelistDelay
	if err == nil {
		w.backoff.Reset()
		return
	}
	w.nextList = now().Add(w.backoff.Fail())
}

// relistDue reports whether this instance has to list a resource. During an outage only
// the lists before each watch continue. An instance that isn't a watcher leaves it to others
// while the platform doesn't answer one of them: they take over in order of rank, not all
// at once.
func (f *Follower) relistDue(now time.Time, w *watchedResource) bool {
	rank, unreachable := f.opts.Rank(w.kind)
	watching := rank < watcherCount
	if watching && f.opts.State.Outage() {
		return false
	}
	if divergedSince := f.opts.State.DivergedSince(w.resource); !divergedSince.IsZero() {
		after := divergedDelay
		if !watching {
			after = min(maxDivergedDelay, after+time.Duration(rank)*divergedRankDelay)
		}
		if now.Sub(divergedSince) >= after {
			return true
		}
	}
	listedAt := f.opts.State.LastListing(w.resource).At
	if w.resource == Rollouts && watching {
		held := f.opts.State.HeldSince()
		if !held.IsZero() && listedAt.Before(held) && now.Sub(held) >= time.Duration(rank)*heldRankDelay {
			return true
		}
	}
	if listedAt.IsZero() {
		if watching {
			return false
		}
		// Until then an instance that starts waits for the others.
		listedAt = f.started.Add(f.startWait())
	}
	maxAge := scale(w.limit, firstRelistShare)
	if w.resource == Servers {
		maxAge = min(maxAge, serversRelistAge)
	}
	after := maxAge + time.Duration(rank)*scale(w.limit, rankDelayShare)
	if !unreachable || watching {
		latest := scale(w.limit, lastRelistShare)
		if rank >= watcherCount && f.opts.State.HeardOthers(now) {
			latest += time.Duration(rank-watcherCount) * laterRankDelay
		}
		after = min(after, latest)
	}
	return now.Sub(listedAt) >= after
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// restartWatch ends the current watch; the next one starts from the known version.
func (w *watchedResource) restartWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// cancelable returns a context for one watch, which restartWatch ends.
func (w *watchedResource) cancelable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = cancel
	return ctx, cancel
}
