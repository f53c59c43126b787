package platformstate

import "time"

const (
	// heartbeatInterval is how often backend servers renew their entries, entryExpiry how long after
	// the last renewal the platform removes one.
	heartbeatInterval = time.Second
	entryExpiry       = 3 * heartbeatInterval
	// minSilence is how long the platform must not have answered until entries may have expired: a
	// heartbeat may have been due at its beginning, and others learn of an answer a broadcast later.
	minSilence = entryExpiry - heartbeatInterval - broadcastTime
	// maxUnasked is how long at most no instance may have called the platform: changes of servers
	// have to be told sooner.
	maxUnasked = 2*time.Second + broadcastTime
	// reappearTime is how long after a silence of the platform backend servers may stay missing whose
	// entries expired during it: working servers renew theirs within two seconds.
	reappearTime = 2200 * time.Millisecond
)

// answered is the time for which the platform is known to have answered some instance without a
// silence in which entries of servers may have expired. The zero value knows of no answer.
type answered struct {
	// since is when the platform first answered after a silence, or when the first answer is known;
	// last is when the last one is known.
	since, last time.Time
	// silentFrom is the last answer before that silence. It is zero if none is known.
	silentFrom time.Time
}

// silenceEnded returns when the last silence ended, or false if none is known.
func (a *answered) silenceEnded() (time.Time, bool) {
	return a.since, !a.silentFrom.IsZero()
}

// record records an answer to this instance that was given at a time or later and is read now.
// failing says whether a call of this instance has failed since the last answer.
func (a *answered) record(at, now time.Time, failing bool) {
	if a.last.IsZero() || now.Sub(a.last) > shortestSilence(failing) {
		a.merge(now, now, failing)
		return
	}
	a.last = later(a.last, at)
}

// shortestSilence returns the time without answers that counts as a silence of the platform. Unless a
// call is known to have failed in it, no instance may have called.
func shortestSilence(failed bool) time.Duration {
	if failed {
		return minSilence
	}
	return maxUnasked
}

// merge adds a time during which the platform answered some instance, and whether a silence is known
// before it. Times with less than a silence between them are one.
func (a *answered) merge(since, last time.Time, afterSilence bool) {
	switch {
	case a.last.IsZero():
		a.since, a.last = since, last
	case since.Sub(a.last) > shortestSilence(afterSilence):
		*a = answered{since: since, last: last, silentFrom: a.last}
	case a.since.Sub(last) > minSilence:
		if !a.silentFrom.IsZero() {
			a.silentFrom = later(a.silentFrom, last)
		}
	default:
		a.since, a.last = earlier(a.since, since), later(a.last, last)
		a.forgetShortSilence()
	}
}

// forgetShortSilence forgets a silence that turns out to be too short for entries to expire.
func (a *answered) forgetShortSilence() {
	if a.since.Sub(a.silentFrom) <= minSilence {
		a.silentFrom = time.Time{}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
