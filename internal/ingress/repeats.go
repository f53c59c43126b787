package ingress

import (
	"errors"
	"time"

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
	// repeatCopy is a request for a generation's copy that its server has refused.
	repeatCopy repeatKind = "copy"
)

// repeat asks the retry budget whether a request may be sent to another server.
func (s *Server) repeat(now time.Time, r *request, kind repeatKind, a retry.Attempt) (retry.Again, bool) {
	again, ok := s.opts.Retries.Decide(now, r.service.Name, a).(retry.Again)
	if ok {
		r.sends.recordDraw(now, again.From)
	}
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

// refusedCopy reports whether the server of a generation's copy has answered that it doesn't go on with it.
func refusedCopy(err error) bool {
	return errors.Is(err, errRefused) || errors.Is(err, errServerFailed) || errors.Is(err, errForeignResponse)
}

// chargeRefusedCopy charges the retry budget for a copy that its server has refused. A run that goes on from
// its copy is no repeat, so that the budget isn't asked before.
func (cs *callerStream) chargeRefusedCopy(err error) {
	if !refusedCopy(err) {
		return
	}
	now := cs.s.opts.Now()
	cs.s.opts.Retries.Charge(now, cs.r.service.Name)
	cs.s.recordRepeat(now, cs.r, repeatCopy, true)
}
