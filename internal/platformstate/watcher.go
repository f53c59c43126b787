package platformstate

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// PlatformUnreachable reports whether the platform hasn't answered this instance for some time, so that
// another one must watch it.
func (f *Follower) PlatformUnreachable() bool {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedCalls > 1 && f.failedAt.Sub(f.failingSince) >= unreachableAfter && now.Sub(f.failedAt) < unreachableTime
}

// start waits until others have sent the platform state, up to the start wait, and then
// lists the resource if it is still unknown. If that fails, it is left to the watchers.
func (f *Follower) start(ctx context.Context, w *watchedResource, adaptive *objectapi.AdaptiveTimeout) error {
	for !f.opts.State.Known() && f.opts.Now().Sub(f.started) < f.startWait() {
		if err := objectapi.Sleep(ctx, startCheckInterval); err != nil {
			return err
		}
	}
	if version, _ := f.opts.State.Version(w.resource); version == 0 {
		if _, err := f.list(ctx, w, adaptive); err == nil {
			f.opts.Broadcast()
		}
	}
	return objectapi.Sleep(ctx, max(0, startupDelay-f.opts.Now().Sub(f.started)))
}

const (
	// startWaitEach is how much longer an instance that starts waits for each other instance
	// that it knows, up to maxStartWait more.
	startWaitEach = 5 * time.Millisecond
	maxStartWait  = 5 * time.Second
)

func (f *Follower) startWait() time.Duration {
	if f.opts.InstanceCount == nil || f.opts.StartWait == 0 {
		return f.opts.StartWait
	}
	return f.opts.StartWait + min(maxStartWait, time.Duration(f.opts.InstanceCount())*startWaitEach)
}

// mayCall reports whether the platform may be called: while it fails, one resource probes
// it for all.
func (f *Follower) mayCall(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedCalls == 0 {
		return true
	}
	if now.Before(f.nextCall) {
		return false
	}
	f.nextCall = now.Add(maxRetryDelay)
	return true
}

// isWatcher reports whether this instance watches a resource for all.
func (f *Follower) isWatcher(w *watchedResource) bool {
	rank, _ := f.opts.Rank(w.kind)
	return rank < watcherCount
}

// allowsStaleWatch reports whether watches may be served from stale data.
func (f *Follower) allowsStaleWatch(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missedChangeAt.IsZero() || now.Sub(f.missedChangeAt) >= freshWatchTime
}

// recordMissedChange records that a watch missed a change.
func (f *Follower) recordMissedChange(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missedChangeAt = now
}

// callFailed and callSucceeded track whether the platform answers.
func (f *Follower) callFailed(since time.Time, w *watchedResource, err error) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedCalls == 0 {
		f.failingSince = since
		f.opts.Log.Warn().Str("kind", w.kind).Dur("after", now.Sub(since)).Err(err).Msg("platform lost")
	}
	f.failedCalls++
	f.failedAt, f.nextCall = now, now.Add(f.backoff.Fail())
	f.opts.State.RecordPlatformFailure(now)
}

func (f *Follower) callSucceeded(answered time.Time) {
	f.opts.State.RecordAnswer(answered, f.opts.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedCalls == 0 {
		return
	}
	f.opts.Log.Info().Int("failedCalls", f.failedCalls).Msg("platform regained")
	f.failedCalls = 0
	f.backoff.Reset()
}
