package relay

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// minReconnectDelay is the first delay before a broken connection is replaced; it doubles up to
// maxReconnectDelay.
const (
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = time.Second
)

func reconnectDelay(failures int) time.Duration {
	return min(maxReconnectDelay, minReconnectDelay<<min(failures, 8))
}

// onTimer replaces a broken connection, probes a silent one, and ends a generation that has been
// silent or without a caller for too long.
func (a *attempt) onTimer(now time.Time) *result {
	if !a.cancelAt.IsZero() && !now.Before(a.cancelAt) {
		return a.onGraceExpired()
	}
	silence := a.progress.silentFor(now)
	switch {
	case silence >= a.silenceLimit():
		return a.failStalled()
	case a.unanswered > 0 && silence >= unreachableLimit:
		return a.failUnreachable()
	case !a.reconnectAt.IsZero():
		if !now.Before(a.reconnectAt) {
			a.recordStep(now, journal.Reconnected, a.progress.lastPosition)
			a.reconnect(now)
		}
	case !now.Before(a.probeAt):
		a.probe(now)
	}
	return nil
}

// probe resumes a silent stream on a new connection.
//
// An open connection can stop delivering data for good while new ones work, which looks like a
// stalled engine. A new connection distinguishes the two: either tokens arrive, or the engine
// itself is slow. No token is lost in either case, because positions are absolute.
//
// If the engine doesn't answer new connections either, it counts as unreachable. The limit for that
// is shorter than for an engine that has the generation and is slow.
func (a *attempt) probe(now time.Time) {
	if a.conn != nil && !a.conn.answered {
		a.unanswered++
	}
	a.progress.probes++
	a.starting = false
	a.session.relay.metrics.probes.Inc(1)
	a.recordStep(now, journal.Probed, a.progress.lastPosition)
	a.reconnect(now)
}

func (a *attempt) reconnect(now time.Time) {
	a.reconnectAt = time.Time{}
	a.probeAt = now.Add(a.progress.probeDelay(a.session.relay.opts.StallTimeout))
	if err := a.open(a.resume()); err != nil {
		a.reconnectAt = now.Add(reconnectDelay(a.disconnects))
	}
}

// nextTimeout returns the time until onTimer must run if no signal arrives.
func (a *attempt) nextTimeout(now time.Time) time.Duration {
	next := a.probeAt
	if !a.reconnectAt.IsZero() {
		next = a.reconnectAt
	}
	if !a.cancelAt.IsZero() && a.cancelAt.Before(next) {
		next = a.cancelAt
	}
	if limit := a.progress.lastEventAt.Add(unreachableLimit); a.unanswered > 0 && limit.Before(next) {
		next = limit
	}
	return max(next.Sub(now), 0)
}

func (a *attempt) silenceLimit() time.Duration {
	if a.session.job.Permit.Class == pollenspindle.ClassPatient {
		return patientSilenceLimit
	}
	return silenceLimit
}
