package ingress

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/retry"
)

// repeatKind is a way by which a request reaches a second server.
type repeatKind string

const (
	// repeatAttempt is another attempt before the first event, repeatRestart one for the rest of a stream,
	// repeatNewRun the same for a stream that was ended on an engine that leaves.
	repeatAttempt repeatKind = "attempt"
	repeatRestart repeatKind = "restart"
	repeatNewRun  repeatKind = "newRun"
	// repeatCopy is a request that goes on from a generation's copy. It is a repeat unless its server goes on.
	repeatCopy repeatKind = "copy"
)

const (
	// maxRetryWait is how long a stream that has stopped waits for a retry for the request to its copy. Copies
	// that go on give theirs back within some tenths of a second.
	maxRetryWait = time.Second
	// retriesForCopies is the number of retries that other repeats leave for the requests to copies: one that is
	// given back each time lets all streams of a leaving engine go on.
	retriesForCopies = 1
	// retryPollInterval is how often a waiting stream asks for a retry.
	retryPollInterval = 10 * time.Millisecond
)

// errNoRetryLeft means that a request wasn't sent because the retry budget is exhausted.
var errNoRetryLeft = merry.Sentinel("the retry budget is exhausted")

// repeat asks the retry budget whether a request may be sent to another server, and reserves the retry.
func (s *Server) repeat(now time.Time, r *request, kind repeatKind, a retry.Attempt) (retry.Again, bool) {
	if e := r.service.Engine; e != nil && e.SupportsMigration {
		a.Keep = retriesForCopies
	}
	again, ok := r.sends.decide(now, s.opts.Retries, r.service.Name, a)
	s.recordRepeat(now, r, kind, ok)
	return again, ok
}

// recordRepeat logs and counts a repeat, and logs one that wasn't allowed.
func (s *Server) recordRepeat(now time.Time, r *request, kind repeatKind, allowed bool) {
	s.log.Info().Str("request", r.id).Str("service", r.service.Name).Str("kind", string(kind)).Bool("allowed", allowed).
		Float64("budget", s.opts.Retries.Remaining(now, r.service.Name)).Int("instances", s.opts.Instances()).Msg("repeat")
	if allowed {
		s.opts.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("repeats").Inc(1)
	}
}

// awaitRetry reserves a retry for the request to a generation's copy, waiting for one while goesOn returns true.
func (s *Server) awaitRetry(ctx context.Context, r *request, goesOn func(now time.Time) bool) error {
	for {
		now := s.opts.Now()
		if r.sends.reserve(now, s.opts.Retries, r.service.Name) {
			return nil
		}
		if !goesOn(now) || objectapi.Sleep(ctx, retryPollInterval) != nil {
			s.recordRepeat(now, r, repeatCopy, false)
			return merry.Wrap(errNoRetryLeft)
		}
	}
}

// releaseRetry gives up the retry that is reserved for a request.
func (s *Server) releaseRetry(r *request) {
	r.sends.release(s.opts.Now(), s.opts.Retries, r.service.Name)
}

// admit decides whether a request is sent over a connection that is open. The first arrival of a request is free,
// each other one draws a retry.
func (s *Server) admit(r *request, a *arrival) error {
	now := s.opts.Now()
	if !r.sends.begin(now, s.opts.Retries, r.service.Name, a) {
		s.recordRepeat(now, r, a.kind, false)
		return merry.Wrap(errNoRetryLeft)
	}
	return nil
}

// endArrival records what has become of a request that was sent. A copy that its server goes on from is no repeat.
func (s *Server) endArrival(r *request, a arrival, outcome sendOutcome) {
	if !a.repeated {
		return
	}
	now := s.opts.Now()
	if a.kind == repeatCopy && outcome == outcomeAccepted {
		s.opts.Retries.Return(now, a.draw)
	}
	s.log.Info().Str("request", r.id).Str("service", r.service.Name).Str("server", a.server).Str("kind", string(a.kind)).Str("outcome", string(outcome)).
		Str("drawnFrom", string(a.draw.From)).Dur("sinceDecision", a.sinceDecision()).Dur("ago", now.Sub(a.draw.At)).Msg("repeat sent")
	s.opts.Scope.Tagged(map[string]string{"kind": string(a.kind), "outcome": string(outcome), "drawnFrom": string(a.draw.From)}).Counter("repeats_sent").Inc(1)
}
