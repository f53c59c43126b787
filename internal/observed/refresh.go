package observed

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// A refresh is a read in full, which a deaf watch or a stale answer can't
	// keep from the truth. What one instance reads, the others are told. The first
	// times say how old the last read may get before the instance whose turn it is
	// reads again, and rankStep how much longer each of the others waits for it.
	// The last times say when any of them reads, told or not: below the two
	// seconds in which a configuration, or a server that leaves, is to be in
	// force, and the five of a zone taken out.
	configurationFirst = 1000 * time.Millisecond
	configurationLast  = 1700 * time.Millisecond
	serversFirst       = 1200 * time.Millisecond
	serversLast        = 1700 * time.Millisecond
	zonesFirst         = 2000 * time.Millisecond
	zonesLast          = 3000 * time.Millisecond
	rankStep           = 500 * time.Millisecond
	// refreshCheck is how often it is looked whether a refresh is due.
	refreshCheck = 100 * time.Millisecond
	// suspectAfter is for how long another instance may have read something else
	// before it is read here: its watch and ours hear of a change within that.
	suspectAfter = 300 * time.Millisecond
	// longestLast bounds a stretched last time. What one of a hundred instances
	// reads takes two seconds to reach all.
	longestLast = 8 * time.Second
)

// refresh reads a kind in full whenever the last read, here or elsewhere, is
// too old.
//
// The failure: a watch waits on a connection that has gone silent, or is told
// nothing while changes are made. Nothing is heard, and nothing seems to be
// wrong. Only a read shows it. With one watch for each instance and one read for
// all, the calls hardly grow with the number of instances.
func (f *Follower) refresh(ctx context.Context, one *follow) {
	patience := objectapi.Patience{Min: callTimeout, Max: slowTimeout}
	for objectapi.Pause(ctx, refreshCheck) == nil {
		if !f.due(f.opts.Now(), one) {
			continue
		}
		before := f.opts.State.Reading(one.part).Mark
		if _, err := f.read(ctx, one, &patience); err != nil {
			continue
		}
		if f.opts.State.Reading(one.part).Mark != before {
			f.opts.Log.Warn().Str("kind", one.kind).Msg("watch didn't tell of a change")
			one.restart()
		}
		if f.opts.Announce != nil {
			f.opts.Announce(ctx)
		}
	}
}

// due reports whether this instance is to refresh a kind. During an outage the
// lists that precede each watch go on by themselves.
func (f *Follower) due(now time.Time, one *follow) bool {
	if f.opts.State.Outage() {
		return false
	}
	if suspect := f.opts.State.Suspect(one.part); !suspect.IsZero() && now.Sub(suspect) >= suspectAfter {
		return true
	}
	read := f.opts.State.Reading(one.part).At
	if read.IsZero() {
		return false
	}
	rank := 0
	if f.opts.Rank != nil {
		rank = f.opts.Rank(now, one.kind)
	}
	after := one.first + time.Duration(rank)*rankStep
	return now.Sub(read) >= min(after, longestLast, f.stretched(one.last))
}

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
