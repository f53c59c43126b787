package owner

import (
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/admission"
)

const (
	// stablePollFactor multiplies the usual poll interval for a stable server. Two
	// reports a second from each of six servers are about 6 KB/s, three times
	// the control traffic that an instance may use. The reports of a stable server
	// change no decision before the next request.
	stablePollFactor = 4
	// stableAfterIntervals is how many usual intervals must have passed since the last
	// sign of trouble. An engine that ran out of memory or became cold shows
	// within some seconds whether it handles its load.
	stableAfterIntervals = 20
	// stableLoadNumerator / stableLoadDenominator is the fraction of its limit and of
	// its memory up to which a server counts as stable. In two seconds a sequence
	// grows by about 50 tokens; a quarter of the memory holds many times that
	// growth of a whole batch.
	stableLoadNumerator   = 3
	stableLoadDenominator = 4
)

// pollInterval returns the current time between two load reports of the server;
// usual is the interval for a server that isn't stable.
//
// At any moment most servers of a fleet are stable. Polling them less often means that
// decisions use an older report, so a server is stable only if it is neither cold nor
// leaving, answers, has no queue, is far from its limits, and has shown no restart or
// other trouble for a while. [entry.lastReportSuffices] limits what is still decided
// on an older report.
func (e *entry) pollInterval(now time.Time, usual time.Duration) time.Duration {
	switch {
	case e.reportReady != nil:
		return 0
	case e.stable(now, usual):
		return stablePollFactor * usual
	}
	return usual
}

func (e *entry) stable(now time.Time, usual time.Duration) bool {
	r, ok := e.state.LastReport()
	if !ok || !e.granting || !e.reachable || r.Cold || r.Leaving || e.state.Queued() > 0 {
		return false
	}
	if now.Sub(e.lastTroubleAt) < stableAfterIntervals*usual || now.Sub(e.grantingSince) < stableAfterIntervals*usual {
		return false
	}
	return stableLoadDenominator*e.state.Running() <= stableLoadNumerator*e.state.Limit() &&
		(e.cfg.MemoryTokens == 0 || stableLoadDenominator*r.UsedTokens <= stableLoadNumerator*e.cfg.MemoryTokens)
}

// lastReportSuffices reports whether a permit may be granted on the last load report. If
// the report is older than the usual interval, it requests another by setting
// reportReady, which is closed when the report arrives or fails.
//
// A server that restarted right after its last report may get as many permits as its
// cold limit; further requests wait some milliseconds for the report.
func (e *entry) lastReportSuffices(now time.Time, usual time.Duration) bool {
	if e.reportReady == nil && e.stable(now, usual) && now.Sub(e.polledAt) >= usual {
		e.reportReady = make(chan struct{})
	}
	return e.reportReady == nil || e.grantsSinceReport < e.cfg.ColdLimit
}

// countGrant counts a granted permit.
func (e *entry) countGrant() {
	e.grantsSinceReport++
	e.grantsSincePoll++
}

// recordPoll records the result of a load poll.
func (e *entry) recordPoll(now time.Time, err error, before, after admission.Report) {
	if e.reportReady != nil {
		close(e.reportReady)
		e.reportReady = nil
	}
	if e.pollEnded != nil {
		close(e.pollEnded)
		e.pollEnded = nil
	}
	if err == nil || errors.Is(err, ErrNotListening) {
		e.reportAskedAt = e.pollStartedAt
	}
	if err == nil {
		e.grantsSinceReport = e.grantsSincePoll
		if before.Incarnation != after.Incarnation {
			e.previousReport = before
		}
	}
	if err != nil || before.Incarnation != after.Incarnation || after.Cold || after.Preemptions > before.Preemptions {
		e.lastTroubleAt = now
	}
}
