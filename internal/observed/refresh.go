package observed

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// Bounds are the times in which what the platform has is to be in force. Roll-outs
// aren't followed where theirs is 0.
type Bounds struct {
	Configuration, Servers, Zones, Rollouts time.Duration
}

// DefaultBounds are those of a deployment that has none of its own.
var DefaultBounds = Bounds{Configuration: 2 * time.Second, Servers: 2 * time.Second, Zones: 5 * time.Second}

const (
	// firstShare is how old, as a share of the bound, the last read in full gets
	// before the first in turn reads again, and lastShare before any instance
	// does. Between them each waits rankShare longer than the one before it.
	firstShare = 0.5
	lastShare  = 0.85
	rankShare  = 0.25
	// serversFirst bounds the first time for servers, as engines give a notice of
	// one and a half seconds.
	serversFirst = 1500 * time.Millisecond
	// refreshCheck is how often it is looked whether a refresh is due.
	refreshCheck = 150 * time.Millisecond
	// suspectAfter is for how long another instance may have read something else
	// before it is read here, and suspectStep how much longer each of those waits
	// that don't watch: what they lack is on its way.
	suspectAfter = 300 * time.Millisecond
	suspectStep  = 40 * time.Millisecond
	maxSuspect   = time.Second
	// heldStep is how much longer the second one that watches waits than the first
	// before it reads roll-outs for a version that has appeared.
	heldStep = 300 * time.Millisecond
	// aloneMost bounds the pause between reads that fail of an instance that
	// doesn't watch.
	aloneMost = 5 * time.Second
)

// refresh reads a kind in full whenever the last read, here or elsewhere, is too
// old: a half-open watch delivers no events and no error.
func (f *Follower) refresh(ctx context.Context, all []*follow) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for objectapi.Pause(ctx, refreshCheck) == nil {
		now := f.opts.Now()
		for _, one := range all {
			if one.idle(now) && f.due(now, one) && one.begin() {
				reads.Go(func() { one.end(f.opts.Now, f.reread(ctx, one)) })
			}
		}
	}
}

// reread reads a kind in full and tells others of it.
func (f *Follower) reread(ctx context.Context, one *follow) error {
	patience := objectapi.Patience{Min: callTimeout, Max: slowTimeout}
	before := f.opts.State.Mark(one.part)
	if _, err := f.read(ctx, one, &patience); err != nil {
		return err
	}
	if f.opts.State.Mark(one.part) != before {
		f.opts.Log.Warn().Str("kind", one.kind).Msg("a change had not been heard")
		f.noteMissedChange(f.opts.Now())
		one.restart()
	}
	f.opts.Announce()
	return nil
}

// idle reports whether a kind may be read in full, begin and end that it is.
func (one *follow) idle(now time.Time) bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	return !one.reading && !now.Before(one.notBefore)
}

func (one *follow) begin() bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	began := !one.reading
	one.reading = true
	return began
}

func (one *follow) end(now func() time.Time, err error) {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.reading = false
	one.backoff.Min, one.backoff.Max = retryMost, aloneMost
	if err == nil {
		one.backoff.Reset()
		return
	}
	one.notBefore = now().Add(one.backoff.Fail())
}

// due reports whether this instance is to read a kind in full. While the platform
// fails, the lists that precede each watch go on by themselves. One that doesn't
// watch leaves it to others as long as one of them is known not to be answered:
// they take each other's place in order, not all at once.
func (f *Follower) due(now time.Time, one *follow) bool {
	rank, blind := f.opts.Rank(one.kind)
	watching := rank < watchers
	if watching && f.opts.State.Outage() {
		return false
	}
	if suspect := f.opts.State.Suspect(one.part); !suspect.IsZero() {
		after := suspectAfter
		if !watching {
			after = min(maxSuspect, after+time.Duration(rank)*suspectStep)
		}
		if now.Sub(suspect) >= after {
			return true
		}
	}
	read := f.opts.State.Reading(one.part).At
	if one.part == Rollouts && watching {
		held := f.opts.State.HeldSince()
		if !held.IsZero() && read.Before(held) && now.Sub(held) >= time.Duration(rank)*heldStep {
			return true
		}
	}
	if read.IsZero() {
		if watching {
			return false
		}
		read = f.started
	}
	first := share(one.bound, firstShare)
	if one.part == Servers {
		first = min(first, serversFirst)
	}
	after := first + time.Duration(rank)*share(one.bound, rankShare)
	if !blind || watching {
		after = min(after, share(one.bound, lastShare))
	}
	return now.Sub(read) >= after
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// restart ends the watch that waits; it begins anew from what is known.
func (one *follow) restart() {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.interrupt != nil {
		one.interrupt()
	}
}

// interruptible returns a context for one watch, which restart ends.
func (one *follow) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	one.mu.Lock()
	defer one.mu.Unlock()
	one.interrupt = cancel
	return ctx, cancel
}
