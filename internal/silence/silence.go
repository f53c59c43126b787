// Package silence decides when a stream without events has lost its engine, and what to do about it.
// It does no I/O and starts no goroutines; the present time is an argument.
//
// It is for model engines that accept work and then send nothing, and for connections that deliver
// neither events nor an error. A stream is suspected first. The engine's load report then tells a
// generation that waits, for instance because it was preempted, from one whose events don't arrive.
// Only the latter is moved, since a move costs a pause and, on some routes, a second prefill.
//
// # Usage
//
//	switch step := silence.Next(now, progress).(type) {
//	case silence.Wait:
//	case silence.Avoid:
//	case silence.Probe:
//	case silence.Move:
//	case silence.GiveUp:
//	}
package silence

import (
	"time"
)

const (
	// suspicionIntervals is the number of the stream's own event intervals without an event after
	// which it is suspected. A prefill of another prompt on the engine takes two to three.
	suspicionIntervals = 8
	// minSuspicion is the minimum time until a stream is suspected. A preempted generation is
	// recomputed in some 500 ms, so a shorter time would only cause calls.
	minSuspicion = 350 * time.Millisecond
	// unknownPaceSuspicion applies until the stream's own interval is known.
	unknownPaceSuspicion = 900 * time.Millisecond
	// patience is the fraction of the time until the caller leaves within which a stream is
	// suspected, and up to which a generation may run without progress.
	patience = 3
	// transitTime is how long events may be in transit that a load report counts already.
	transitTime = 100 * time.Millisecond
	// probeInterval is the time between two reports on the same engine.
	probeInterval = 500 * time.Millisecond
	// stopRetryInterval is the time until an engine that didn't answer, or for which there was no
	// target, is asked again to stop the generation.
	stopRetryInterval = time.Second
	// soundSilence is how long a sound engine may send nothing at all, for instance while its machine
	// stands still; then it goes on with its generations. It is at most soundShare of the time after
	// which the caller leaves.
	soundSilence = 1800 * time.Millisecond
	soundShare   = 0.75
	// lostAfter is how long the last events of a generation that has ended may be in transit on a
	// link that loses packets.
	lostAfter = 2500 * time.Millisecond
	// maxEvents is the maximum plausible number of events of one generation.
	maxEvents = 1 << 20
)

// Progress is what an instance knows of one stream. Durations of 0 are unknown.
type Progress struct {
	// Since is when the last event arrived, or when the present engine was asked if that is later.
	// It is zero for a stream without any event, and while its caller doesn't read.
	Since time.Time
	// Interval is the stream's own interval between events.
	Interval time.Duration
	// LeavesAfter is the time without an event after which the caller leaves.
	LeavesAfter time.Duration
	// Arrived is the number of events that have arrived.
	Arrived int
	// EngineHeard says that another stream on the engine got an event since. Deaf says that there are
	// streams on other engines and none of them got one: the instance's own link may be down.
	EngineHeard, Deaf bool
	// ProbedAt is when the last probe of the engine ended, Report its result.
	ProbedAt time.Time
	Report   Report
	// CanStop says that the engine can stop the generation for another engine to continue it. CanContinue says
	// that the stream continues without that: from a copy of the KV cache, or by a new run.
	CanStop, CanContinue bool
	// Stop is the result of the last request to stop the generation, at StoppedAt.
	Stop      Stop
	StoppedAt time.Time
}

// Report is what the load report of an engine says of one generation.
type Report struct {
	// Answered is false if the engine sent no valid report in time.
	Answered bool
	// Listed says that the engine knows the generation; Tokens and Events are then its number of tokens
	// in the KV cache and of events generated.
	Listed         bool
	Tokens, Events int
	// Unlisted is the number of requests at the engine that the report doesn't list: those that
	// wait, and on some engines all.
	Unlisted int
}

// Plausible reports whether the figures of a report can be used.
func (r Report) Plausible() bool {
	return r.Tokens >= 0 && r.Unlisted >= 0 && r.Events >= 0 && r.Events <= maxEvents
}

// Stop is the result of the request to stop a generation.
type Stop int

const (
	// StopNotAsked means that the engine hasn't been asked.
	StopNotAsked Stop = iota
	// StopRefused means that the engine goes on with the generation.
	StopRefused
	// StopUnknown means that the engine doesn't know the generation.
	StopUnknown
	// StopNoAnswer means that the engine didn't answer.
	StopNoAnswer
	// StopNoTarget means that no other engine has capacity.
	StopNoTarget
)

// Step is [Wait], [Avoid], [Probe], [Move] or [GiveUp].
type Step interface{ step() }

// Wait leaves the stream as it is.
type Wait struct{}

// Avoid leaves the stream as it is; new requests avoid the engine, which answers nothing.
type Avoid struct{}

// Probe asks the engine for its load report.
type Probe struct{}

// Move continues the generation on another engine.
type Move struct {
	// Stop says that the engine is first asked to stop the generation.
	Stop bool
	// Reason is what confirmed the suspicion.
	Reason Reason
	// Failing says that the engine counts as failing. It doesn't if only this connection is dead.
	Failing bool
}

// Reason is what confirmed that no more events will arrive. It is written to logs.
type Reason string

// The reasons.
const (
	ReasonNoAnswer   Reason = "engine doesn't answer"
	ReasonUnknown    Reason = "engine doesn't know the generation"
	ReasonNotArrived Reason = "events don't arrive"
	ReasonNoProgress Reason = "generation doesn't progress"
)

// GiveUp ends the stream.
type GiveUp struct{}

func (Wait) step()   {}
func (Avoid) step()  {}
func (Probe) step()  {}
func (Move) step()   {}
func (GiveUp) step() {}

// Suspicion returns the time without an event after which the stream is suspected.
func (p Progress) Suspicion() time.Duration {
	limit := unknownPaceSuspicion
	if p.Interval > 0 {
		limit = max(minSuspicion, suspicionIntervals*p.Interval)
	}
	if p.LeavesAfter > 0 {
		limit = min(limit, p.LeavesAfter/patience)
	}
	return limit
}

// Suspected reports whether the stream has been without events for too long.
func (p Progress) Suspected(now time.Time) bool {
	return !p.Since.IsZero() && now.Sub(p.Since) >= p.Suspicion()
}

// Next returns the next step for a stream.
func Next(now time.Time, p Progress) Step {
	switch {
	case !p.Suspected(now):
		return Wait{}
	case !p.ProbedAt.After(p.Since):
		return Probe{}
	case p.Deaf && !p.Report.Answered:
		return p.waitOrProbe(now)
	case p.mayBeSound(now):
		if now.Sub(p.ProbedAt) >= probeInterval {
			return Probe{}
		}
		return Avoid{}
	}
	reason, lost := p.lost(now)
	if !lost {
		return p.waitOrProbe(now)
	}
	return p.nextOfLost(now, reason)
}

// mayBeSound reports whether the engine may go on by itself. It would then run the generation beside
// another engine, or stop it when it reads a request that was given up.
func (p Progress) mayBeSound(now time.Time) bool {
	if p.Report.Answered || p.EngineHeard {
		return false
	}
	limit := soundSilence
	if p.LeavesAfter > 0 {
		limit = min(limit, time.Duration(soundShare*float64(p.LeavesAfter)))
	}
	return now.Sub(p.Since) < limit
}

// waitOrProbe keeps waiting, with a new report from time to time.
func (p Progress) waitOrProbe(now time.Time) Step {
	if now.Sub(p.ProbedAt) >= probeInterval {
		return Probe{}
	}
	return Wait{}
}

// lost reports whether the last report confirms that no more events will arrive, and why.
func (p Progress) lost(now time.Time) (Reason, bool) {
	r := p.Report
	switch {
	case !r.Answered:
		return ReasonNoAnswer, true
	case r.Listed && r.Events > p.Arrived:
		return ReasonNotArrived, now.Sub(p.ProbedAt) >= transitTime
	case r.Listed && r.Tokens == 0:
		// Preempted: it has no memory and continues once there is some.
		return "", false
	case !r.Listed && r.Unlisted == 0:
		return ReasonUnknown, true
	}
	// It runs without progress, or is perhaps one of those that wait.
	return ReasonNoProgress, p.LeavesAfter > 0 && now.Sub(p.Since) >= p.LeavesAfter/patience
}

// nextOfLost returns the next step for a stream whose engine sends no more events.
func (p Progress) nextOfLost(now time.Time, reason Reason) Step {
	// An engine that answers nothing can't stop the generation. Where the stream continues without
	// its answer, asking would only lengthen the pause.
	hangs := !p.Report.Answered && !p.EngineHeard
	failing := reason != ReasonNotArrived || !p.EngineHeard
	switch {
	case p.Stop == StopNoTarget && now.Sub(p.StoppedAt) < stopRetryInterval:
		return p.waitOrProbe(now)
	case p.CanContinue:
		return Move{Stop: p.mayStop(now) && !hangs, Reason: reason, Failing: failing}
	case p.mayStop(now):
		return Move{Stop: true, Reason: reason, Failing: failing}
	case reason == ReasonNoProgress && now.Sub(p.Since) < p.LeavesAfter:
		// The engine may be about to go on, for instance with a generation that it has preempted.
		return p.waitOrProbe(now)
	case now.Sub(p.Since) >= lostAfter && (!p.CanStop || p.Stop == StopRefused || p.Stop == StopUnknown):
		return GiveUp{}
	}
	return p.waitOrProbe(now)
}

// mayStop reports whether the engine may be asked to stop the generation. One that has refused, or
// doesn't know the generation, isn't asked again.
func (p Progress) mayStop(now time.Time) bool {
	switch p.Stop {
	case StopNotAsked, StopNoTarget:
		return p.CanStop
	case StopNoAnswer:
		return p.CanStop && p.Report.Answered && now.Sub(p.StoppedAt) >= stopRetryInterval
	}
	return false
}
