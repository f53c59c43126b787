package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/retry"
)

const (
	// maxTrialWait is how long a request with a suspected part waits for its trial: about as long as another
	// trial takes to begin its answer.
	maxTrialWait      = 700 * time.Millisecond
	trialPollInterval = 70 * time.Millisecond
	// maxTrialWaiters limits the requests that wait for a trial.
	maxTrialWaiters = 256
	// unclearInterval is how long a request with several suspected parts is held back since their last
	// crash: other requests that hold only one of them tell which one it is. None can while no server of
	// the service answers, so that it is held back until one has, or for maxUnclearTime.
	unclearInterval = 2 * time.Second
	maxUnclearTime  = 6 * time.Second
	// trialRetryAfter is the Retry-After of a request whose trial couldn't begin, with a random part added.
	trialRetryAfter, trialRetryJitter = time.Second, time.Second
	// maxResumeTrialWait is the same for a stream that goes on elsewhere: longer than the pause after a failed
	// trial, and shorter than callers wait for an event.
	maxResumeTrialWait = 1500 * time.Millisecond
	// beginTimeMargin times the time that runs take until their first event is how long no trial begins after
	// a crash: runs that were sent before may crash the server of the trial. maxSettleTime limits it.
	beginTimeMargin = 1.25
	maxSettleTime   = 3 * time.Second
	// beginTimeDecay is the share by which a shorter time lowers the known one.
	beginTimeDecay = 0.125
)

// promptParts returns the keys of the parts of a prompt. Requests of a session share the last one, too.
func (s *Server) promptParts(r *request) []uint64 {
	if s.opts.Suspects == nil || s.opts.Dialect.DecodePrefix == nil || !r.isGeneration() {
		return nil
	}
	var ids []string
	for _, h := range r.header {
		if strings.EqualFold(h.Name, s.fields.Prefix) {
			ids = append(ids, s.opts.Dialect.DecodePrefix(h.Value)...)
		}
	}
	keys := make([]uint64, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, crashsuspect.PartKey(r.service.Name, id))
	}
	return keys
}

// partsVerdict is what is known of the parts of a request.
type partsVerdict struct {
	verdict crashsuspect.Verdict
	// suspected holds the suspected parts, in order; lastCrash is when they last crashed a server.
	suspected []uint64
	lastCrash time.Time
}

// checkParts returns whether a request with these parts may run.
func (s *Suspects) checkParts(now time.Time, parts []uint64) partsVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v partsVerdict
	untryable, cause, excused := 0, false, false
	for _, part := range parts {
		switch s.table.CheckPart(now, part) {
		case crashsuspect.Refused:
			s.table.RecordRefused(now, part)
			return partsVerdict{verdict: crashsuspect.Refused}
		case crashsuspect.Suspected:
			v.verdict = crashsuspect.Suspected
			v.suspected = append(v.suspected, part)
			if s.table.Untryable(part) {
				untryable++
			}
			cause = cause || s.table.IsCause(part)
			if e, ok := s.table.Get(part); ok {
				v.lastCrash = latest(v.lastCrash, lastUncleared(e))
			}
		case crashsuspect.Clear:
			excused = excused || s.table.IsExcused(part)
		}
	}
	// Another trial of a part that failed two is left to requests without the parts that were there, too: one of
	// these may be the cause.
	if cause && excused || untryable > 1 && untryable == len(v.suspected) {
		return partsVerdict{verdict: crashsuspect.Refused}
	}
	slices.Sort(v.suspected)
	v.suspected = slices.Compact(v.suspected)
	return v
}

// hasCrashed reports whether a request, or one of its parts, may have crashed a server.
func (s *Suspects) hasCrashed(fingerprint uint64, parts []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range append([]uint64{fingerprint}, parts...) {
		if e, ok := s.table.Get(key); ok && len(e.Uncleared()) > 0 {
			return true
		}
	}
	return false
}

func lastUncleared(e crashsuspect.Entry) (last time.Time) {
	for _, c := range e.Uncleared() {
		last = latest(last, c.At)
	}
	return last
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordServiceAnswered records that a server of a service can run requests.
func (s *Suspects) recordServiceAnswered(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer[service] = now
}

// recordBegin records how long a run of a service took until its first event.
func (s *Suspects) recordBegin(service string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.beginTimes[service]
	s.beginTimes[service] = max(took, known-time.Duration(beginTimeDecay*float64(known-took)))
}

// settled reports whether the runs of a service have begun or ended that were under way at a crash.
func (s *Suspects) settled(now time.Time, service string, lastCrash time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(lastCrash) >= min(maxSettleTime, time.Duration(beginTimeMargin*float64(s.beginTimes[service])))
}

// unclear reports whether requests with one suspected part may still tell which of several parts crashes
// servers of a service.
func (s *Suspects) unclear(now time.Time, service string, lastCrash time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := now.Sub(lastCrash)
	return since < unclearInterval || since < maxUnclearTime && !s.lastAnswer[service].After(lastCrash)
}

// PartRefused reports whether requests with a part must not run.
func (s *Suspects) PartRefused(now time.Time, part uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CheckPart(now, part) == crashsuspect.Refused
}

// Entry returns what is known of a part.
func (s *Suspects) Entry(part uint64) (crashsuspect.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(part)
}

// recordPartsCrash records that a server crashed on which a run of a request with these parts had got to a
// point. trial is the part that was tried, 0 for none.
func (s *Suspects) recordPartsCrash(now time.Time, server platformstate.Server, parts []uint64, trial uint64, at crashsuspect.Progress) {
	if len(parts) == 0 || !at.CountsAgainstParts() {
		return
	}
	name := crashName(server)
	entries := make([]crashsuspect.Entry, 0, len(parts))
	for _, part := range parts {
		entries = append(entries, crashsuspect.PartCrash(part, crashsuspect.Crash{Name: name, At: now, Trial: trial == part}, at))
		s.Log.Info().Uint64("part", part).Str("crash", name).Bool("trial", trial == part).Int("events", at.Events).Dur("running", at.Running).
			Msg("server crashed on a part of prompts")
	}
	s.Merge(now, entries)
	s.Broadcast(entries)
}

// recordPartsRun records how far a run has got that was sent at sentAt, and clears its parts of the crashes that
// it shows not to have been their fault.
func (s *Suspects) recordPartsRun(now, sentAt time.Time, parts []uint64, p crashsuspect.Progress) {
	var cleared []crashsuspect.Entry
	s.mu.Lock()
	for _, part := range parts {
		e, ok := s.table.Get(part)
		if !ok {
			continue
		}
		if entry, ok := e.ClearedBy(sentAt, p); ok {
			cleared = append(cleared, entry)
			s.Log.Info().Uint64("part", part).Int("crashes", len(entry.Crashes)).Int("events", p.Events).Dur("running", p.Running).Bool("complete", p.Complete).
				Msg("part of prompts cleared of crashes")
		}
	}
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.Merge(now, cleared)
		s.Broadcast(cleared)
	}
}

// passed reports whether a run has itself got past all crashes that count against these parts.
func (s *Suspects) passed(parts []uint64, p crashsuspect.Progress) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if e, ok := s.table.Get(part); ok && !e.PassedBy(p) {
			return false
		}
	}
	return true
}

// partsAllowed reports whether a request may still be sent that was admitted before it waited. before is how
// far the run has got that goes on.
func (s *Server) partsAllowed(r *request, before crashsuspect.Progress) bool {
	if len(r.parts) == 0 {
		return true
	}
	v := s.opts.Suspects.checkParts(s.opts.Now(), r.parts)
	switch v.verdict {
	case crashsuspect.Clear:
		return true
	case crashsuspect.Suspected:
		return s.opts.Trials == nil || r.tries(v.suspected) || s.opts.Suspects.passed(v.suspected, before)
	case crashsuspect.Refused:
	}
	return false
}

// tries reports whether a request is a trial of all of these parts.
func (r *request) tries(parts []uint64) bool {
	tried := r.trials.Load()
	return tried != nil && !slices.ContainsFunc(parts, func(part uint64) bool { return !slices.Contains(*tried, part) })
}

// admitRest is admitParts for a run that goes on elsewhere.
func (s *Server) admitRest(ctx context.Context, r *request, before crashsuspect.Progress) *answer.Failure {
	if s.partsAllowed(r, before) {
		return nil
	}
	s.endTrials(r, crashsuspect.TrialNotRun)
	return s.admitPartsWithin(ctx, r, maxResumeTrialWait)
}

// admitParts lets a request run whose parts may crash servers: not if one of them does, and in a trial if
// that isn't known yet. It waits a moment for its trial.
func (s *Server) admitParts(ctx context.Context, r *request) *answer.Failure {
	return s.admitPartsWithin(ctx, r, min(maxTrialWait, r.patience(s.opts.Now())))
}

func (s *Server) admitPartsWithin(ctx context.Context, r *request, limit time.Duration) *answer.Failure {
	if len(r.parts) == 0 {
		return nil
	}
	until := s.opts.Now().Add(limit)
	for {
		now := s.opts.Now()
		v := s.opts.Suspects.checkParts(now, r.parts)
		switch v.verdict {
		case crashsuspect.Clear:
			return nil
		case crashsuspect.Refused:
			return s.partRefusedFailure(r)
		case crashsuspect.Suspected:
		}
		if s.beginTrial(ctx, now, r, v) {
			return nil
		}
		if !s.awaitTrial(ctx, until) {
			break
		}
	}
	s.opts.Scope.Counter("part_trials_refused").Inc(1)
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "another request finds out whether a part of this one crashes backend servers")
	f.RetryAfter = trialRetryAfter + rand.N(trialRetryJitter)
	return f
}

// awaitTrial waits until the next attempt to begin a trial, and reports whether there is one.
func (s *Server) awaitTrial(ctx context.Context, until time.Time) bool {
	waiters := s.trialWaiters.Add(1)
	defer s.trialWaiters.Add(-1)
	return waiters <= maxTrialWaiters && s.opts.Now().Add(trialPollInterval).Before(until) && objectapi.Sleep(ctx, trialPollInterval) == nil
}

// beginTrial begins the trials of all suspected parts of a request, or of none.
func (s *Server) beginTrial(ctx context.Context, now time.Time, r *request, v partsVerdict) bool {
	if s.opts.Trials == nil {
		return true
	}
	if !s.opts.Suspects.settled(now, r.service.Name, v.lastCrash) {
		return false
	}
	if len(v.suspected) > 1 && s.opts.Suspects.unclear(now, r.service.Name, v.lastCrash) {
		return false
	}
	for i, part := range v.suspected {
		if !s.opts.Trials.Begin(ctx, part, r.id) {
			for _, begun := range v.suspected[:i] {
				s.opts.Trials.End(begun, r.id, crashsuspect.TrialNotRun)
			}
			return false
		}
	}
	// The keeper may have known more.
	if s.opts.Suspects.checkParts(s.opts.Now(), v.suspected).verdict == crashsuspect.Refused {
		r.trials.Store(&v.suspected)
		s.endTrials(r, crashsuspect.TrialNotRun)
		return false
	}
	r.trials.Store(&v.suspected)
	s.opts.Scope.Counter("part_trials").Inc(1)
	s.log.Info().Str("request", r.id).Int("parts", len(v.suspected)).Msg("request with suspected parts tried")
	return true
}

// endTrials ends the trials of a request.
func (s *Server) endTrials(r *request, outcome crashsuspect.TrialOutcome) {
	if parts := r.trials.Swap(nil); parts != nil {
		for _, part := range *parts {
			s.opts.Trials.End(part, r.id, outcome)
		}
	}
}

// endTrialsWith ends the trials of a request whose attempt has ended. Those that have shown something have
// ended before.
func (s *Server) endTrialsWith(r *request, res result) {
	outcome := crashsuspect.TrialUnclear
	if f, ok := res.(failed); ok {
		switch {
		case !f.mayHaveRun:
			outcome = crashsuspect.TrialNotRun
		case f.cause == retry.CauseLost:
			outcome = crashsuspect.TrialFailed
		}
	}
	s.endTrials(r, outcome)
}

// triedPart returns the part that a request tries alone; 0 if there is none.
func (r *request) triedPart() uint64 {
	if parts := r.trials.Load(); parts != nil && len(*parts) == 1 {
		return (*parts)[0]
	}
	return 0
}

func (s *Server) partRefusedFailure(r *request) *answer.Failure {
	s.opts.Scope.Counter("part_refused").Inc(1)
	s.log.Warn().Str("request", r.id).Str("service", r.serviceName()).Msg("request refused, a part of it crashes servers")
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "backend servers crash on a part of this request")
	f.RetryAfter = suspectRetryAfter
	return f
}
