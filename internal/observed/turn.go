package observed

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// Blind reports whether the platform has failed to answer this instance for some
// time, so that another one is to watch it.
func (f *Follower) Blind() bool {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed > 1 && f.failure.Sub(f.failing) >= blindAfter && now.Sub(f.failure) < blindFor
}

// start waits until others have told what is in force, or for as long as they may
// take, and reads a kind that isn't known by then. Where that fails, it is left to
// those whose turn it is.
func (f *Follower) start(ctx context.Context, one *follow, patience *objectapi.Patience) error {
	for !f.opts.State.Known() && f.opts.Now().Sub(f.started) < f.startWait() {
		if err := objectapi.Pause(ctx, startCheck); err != nil {
			return err
		}
	}
	if version, _ := f.opts.State.Version(one.part); version == 0 {
		if _, err := f.read(ctx, one, patience); err == nil {
			f.opts.Announce()
		}
	}
	return objectapi.Pause(ctx, max(0, settleTime-f.opts.Now().Sub(f.started)))
}

const (
	// startWaitEach is how much longer an instance that starts waits for each other
	// one that it knows, up to startWaitMost more.
	startWaitEach = 5 * time.Millisecond
	startWaitMost = 2 * time.Second
)

func (f *Follower) startWait() time.Duration {
	if f.opts.Instances == nil || f.opts.StartWait == 0 {
		return f.opts.StartWait
	}
	return f.opts.StartWait + min(startWaitMost, time.Duration(f.opts.Instances())*startWaitEach)
}

// mayTry reports whether the platform may be called: while it fails, one kind of
// objects tries for all.
func (f *Follower) mayTry(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == 0 {
		return true
	}
	if now.Before(f.next) {
		return false
	}
	f.next = now.Add(retryMost)
	return true
}

// watches reports whether this instance is to watch a kind for all.
func (f *Follower) watches(one *follow) bool {
	rank, _ := f.opts.Rank(one.kind)
	return rank < watchers
}

// mayBeLate reports whether watches may be answered late.
func (f *Follower) mayBeLate(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unheard.IsZero() || now.Sub(f.unheard) >= freshFor
}

// noteMissedChange notes that a watch didn't hear of a change.
func (f *Follower) noteMissedChange(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unheard = now
}

// lost and regained note an outage: what is missing right after it may return.
func (f *Follower) lost(since time.Time, one *follow, err error) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == 0 {
		f.failing = since
		f.opts.Log.Warn().Str("kind", one.kind).Err(err).Msg("platform lost")
	}
	f.failed++
	f.failure, f.next = now, now.Add(f.backoff.Fail())
	f.opts.State.Lost(now)
}

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == 0 {
		return
	}
	f.opts.Log.Info().Int("failedCalls", f.failed).Msg("platform regained")
	f.failed = 0
	f.backoff.Reset()
	f.opts.State.Returned(f.opts.Now())
}
