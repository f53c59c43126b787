package platformstate

import "time"

const (
	// defaultServerHeartbeat is how often backend servers renew their entries unless the deployment
	// says so, expiryHeartbeats how many heartbeats the platform waits until it removes an entry.
	defaultServerHeartbeat = time.Second
	expiryHeartbeats       = 3
	// reappearTime is how long after a silence of the platform backend servers may stay missing whose
	// entries expired during it: working servers renew theirs within two seconds.
	reappearTime = 2200 * time.Millisecond
)

// silenceLimits tell a silence of the platform in which entries of servers may have expired from one
// that is too short, and from a time in which no instance called it.
type silenceLimits struct {
	// failed is how long the platform must not have answered if a call is known to have failed in that
	// time: all heartbeats until an entry expires but one, which may have come before. Others learn of
	// an answer a broadcast later.
	failed time.Duration
	// unasked is the same if no failed call is known: changes of servers have to be told sooner, so
	// that some instance must have called.
	unasked time.Duration
}

func newSilenceLimits(heartbeat, propagation time.Duration) silenceLimits {
	failed := (expiryHeartbeats-1)*heartbeat - broadcastTime
	return silenceLimits{failed: failed, unasked: max(failed, propagation+broadcastTime)}
}

// shortest returns the shortest time without answers that counts as a silence.
func (l silenceLimits) shortest(callFailed bool) time.Duration {
	if callFailed {
		return l.failed
	}
	return l.unasked
}

// answered is the time for which the platform is known to have answered some instance without a
// silence in which entries of servers may have expired.
type answered struct {
	limits silenceLimits
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
	if a.last.IsZero() || now.Sub(a.last) > a.limits.shortest(failing) {
		a.merge(now, now, failing)
		return
	}
	a.last = later(a.last, at)
}

// merge adds a time during which the platform answered some instance, and whether a silence is known
// before it. Times with less than a silence between them are one.
func (a *answered) merge(since, last time.Time, afterSilence bool) {
	switch {
	case a.last.IsZero():
		a.since, a.last = since, last
	case since.Sub(a.last) > a.limits.shortest(afterSilence):
		a.since, a.last, a.silentFrom = since, last, a.last
	case a.since.Sub(last) > a.limits.failed:
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
	if a.since.Sub(a.silentFrom) <= a.limits.failed {
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
