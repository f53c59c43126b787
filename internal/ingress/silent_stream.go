package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/silence"
)

// errMovedOn means that a request for the rest of a stream was given up, because its engine sends
// nothing.
var errMovedOn = merry.Sentinel("the engine that was asked for the rest of the stream sends nothing")

// silentState is what silence detection holds for a stream, protected by the stream's mutex.
type silentState struct {
	// interval is the stream's last known interval between events, on any engine.
	interval time.Duration
	// suspected is set from a suspicion to the next event.
	suspected bool
	// confirmed is set once a move from the present engine was decided, and its failure recorded.
	confirmed bool
	// avoided is set once the present engine has been recorded as failing for new requests.
	avoided   bool
	stop      silence.Stop
	stoppedAt time.Time
	// broken is set when the read or the request for the rest was interrupted; moved is set with it
	// until the next event.
	broken, moved bool
	// cuttingOverSince is when a cutover was first seen in progress; cutoverReady is set once its
	// result allows the stream to continue.
	cuttingOverSince time.Time
	cutoverReady     bool
}

// silenceProgress returns what the stream itself shows. resumed is when this process last continued
// after a gap.
func (a *activeStream) silenceProgress(resumed time.Time) silence.Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := silence.Progress{
		Interval: a.silent.interval, LeavesAfter: patienceOf(a.request), Arrived: int(max(a.events, a.lastID)),
		CanStop: a.request.service.Engine != nil && a.request.service.Engine.SupportsMigration, CanContinue: a.request.route.Resumable || a.kvCopy != nil,
		Stop: a.silent.stop, StoppedAt: a.silent.stoppedAt,
	}
	if a.events == 0 || a.cuttingOver || a.done || a.writing || a.silent.broken {
		return p
	}
	p.Since = a.lastEventAt
	if resumed.After(p.Since) {
		p.Since = resumed
	}
	return p
}

// suspect marks the stream as suspected and reports whether it wasn't.
func (a *activeStream) suspect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.silent.suspected
	a.silent.suspected = true
	return first
}

// confirmSilence reports whether the silence of the stream is new for its present engine.
func (a *activeStream) confirmSilence(server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.silent.confirmed && a.placement.Server.ID == server
	a.silent.confirmed = a.silent.confirmed || first
	return first
}

// avoidEngine reports whether it is new that requests are to avoid the stream's present engine.
func (a *activeStream) avoidEngine(server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.silent.avoided && a.placement.Server.ID == server
	a.silent.avoided = a.silent.avoided || first
	return first
}

// silenceConfirmed reports whether a move from the present engine was decided: a failure of the
// engine has been recorded then.
func (a *activeStream) silenceConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent.confirmed
}

// recordStop records the result of the request to stop the generation.
func (a *activeStream) recordStop(now time.Time, server string, outcome silence.Stop) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placement.Server.ID == server {
		a.silent.stop, a.silent.stoppedAt = outcome, now
	}
}

// breakOff interrupts the read of the stream or the request for its rest, if the stream is on this
// engine, and reports whether that hasn't been done before.
func (a *activeStream) breakOff(server string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent.broken || a.done || a.abort == nil || a.placement.Server.ID != server {
		return false
	}
	a.silent.broken, a.silent.moved = true, true
	a.abort()
	return true
}

// breakOverdueCutover interrupts the read of a stream that is silent while its engine is asked to
// stop it, and reports whether it did.
func (a *activeStream) breakOverdueCutover(now time.Time) bool {
	a.mu.Lock()
	if !a.cuttingOver {
		a.silent.cuttingOverSince = time.Time{}
	} else if a.silent.cuttingOverSince.IsZero() {
		a.silent.cuttingOverSince = now
	}
	since := a.silent.cuttingOverSince
	if a.lastEventAt.After(since) {
		since = a.lastEventAt
	}
	continues := a.silent.cutoverReady || a.kvCopy != nil || a.request.route.Resumable
	server, overdue := a.placement.Server.ID, a.cuttingOver && continues && !a.cutoverAwaited && !a.writing && now.Sub(since) >= cutoverSilence
	a.mu.Unlock()
	return overdue && a.breakOff(server)
}

// cutoverEnded records that the result of a cutover allows the stream to continue.
func (a *activeStream) cutoverEnded(point resumePoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent.cutoverReady = point.err == nil
}

// resumeSilent begins with another engine; the stream's mutex is held.
func (a *activeStream) resumeSilent() {
	a.silent.confirmed, a.silent.avoided, a.silent.broken, a.silent.cutoverReady = false, false, false, false
	a.silent.stop, a.silent.stoppedAt = silence.StopNotAsked, time.Time{}
}

// eventAfterSilence records that an event arrived at the present interval, 0 if unknown, and returns
// whether the stream had been suspected and moved since the previous one.
func (a *activeStream) eventAfterSilence(interval time.Duration) (suspected, moved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if interval > 0 {
		a.silent.interval = interval
	}
	suspected, moved = a.silent.suspected, a.silent.moved
	a.silent.suspected, a.silent.moved, a.silent.avoided = false, false, false
	return suspected, moved
}

// recordEventAfterSilence counts and logs the end of a silence.
func (cs *callerStream) recordEventAfterSilence() {
	if cs.s.silence == nil {
		return
	}
	suspected, moved := cs.stream.eventAfterSilence(cs.stream.eventInterval())
	switch {
	case moved:
		cs.s.opts.Scope.Counter("streams_rescued").Inc(1)
		cs.s.log.Info().Str("request", cs.r.id).Str("server", cs.stream.server().ID).Msg("silent stream continues elsewhere")
	case suspected:
		cs.s.log.Info().Str("request", cs.r.id).Str("server", cs.stream.server().ID).Msg("suspected stream continues")
	}
}

// askRest prepares the request for the rest of a stream: until the response begins, the stream
// counts as silent from now on, and the request can be interrupted.
func (cs *callerStream) askRest(ctx context.Context) context.Context {
	if cs.s.silence == nil {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	cs.stream.startRead(cs.s.opts.Now(), func() { cancel(errMovedOn) })
	return ctx
}

// askError returns why a request for the rest of a stream failed. An engine that was told to stop the
// generation closes the connection, which may be seen before its answer.
func (cs *callerStream) askError(ctx context.Context, err error) error {
	if cs.s.silence != nil && (errors.Is(context.Cause(ctx), errMovedOn) || cs.stream.isCuttingOver()) {
		return errMovedOn
	}
	return err
}

// movesOn reports whether a request for the rest of a stream failed because it was interrupted, so
// that the stream can be moved on.
func (cs *callerStream) movesOn(ctx context.Context, err error) bool {
	if cs.s.silence == nil || ctx.Err() != nil || !errors.Is(err, errMovedOn) || cs.movedOn >= maxResumes {
		return false
	}
	cs.movedOn++
	return cs.stream.isCuttingOver() || cs.r.route.Resumable
}
