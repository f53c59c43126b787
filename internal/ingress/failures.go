package ingress

import (
	"net/http"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// drainRetryAfter is the Retry-After of a leaving instance: any other instance accepts the
	// request at once.
	drainRetryAfter = 60 * time.Millisecond
	// minGraceRequest is the minimum remaining grace period for a request that isn't streamed:
	// several times its usual duration.
	minGraceRequest = time.Second
	// minGraceStream is the part of the grace period that a stream needs before its first event,
	// because its prompt may have to wait for other prompts.
	minGraceStream = 2500 * time.Millisecond
)

// refuseWhileDraining refuses requests that a leaving instance might not complete.
//
// Callers that know this instance keep coming for seconds. A long stream that starts then would be
// cut when the process exits; if it is refused, it starts on another instance. The decision uses
// the caller's limit on the output, not the expected output.
//
// Once connections are refused, requests come on kept connections alone, whose callers know other instances by
// then: those that may last beyond the end by their own limits are refused, too.
func (s *Server) refuseWhileDraining(now time.Time, r *request) *answer.Failure {
	if !s.draining.Load() {
		return nil
	}
	remaining := s.opts.Grace - now.Sub(time.Unix(0, s.drainedAt.Load()))
	required, limit := minGraceRequest, r.startDeadline
	if r.route.Kind == routes.Stream {
		required, limit = minGraceStream+time.Duration(r.maxOutput)*timePerToken, r.callerDeadline
	}
	if r.late {
		required = max(required, limit.Sub(now))
	}
	if required <= remaining {
		return nil
	}
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeResumeElsewhere, "this instance is leaving; send the request to another one")
	f.RetryAfter = drainRetryAfter
	return f
}

func lostFailure() *answer.Failure {
	return &answer.Failure{
		Status: http.StatusBadGateway, Code: answer.CodeBackendLost, Outcome: answer.OutcomeUnknown,
		Message: "the backend server's response was lost; the request may have run",
	}
}

func refusedFailure(jitter int64) *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "the backend servers refused the request before running it")
	f.RetryAfter = fullRetryAfter + time.Duration(jitter)
	return f
}

func timeoutFailure(t *attempts) *answer.Failure {
	if t.possibleRuns == 0 {
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendTimeout, "no backend server could be reached in time")
		f.RetryAfter = fullRetryAfter
		return f
	}
	return &answer.Failure{
		Status: http.StatusGatewayTimeout, Code: answer.CodeBackendTimeout, Outcome: answer.OutcomeUnknown,
		Message: "the backend server didn't respond in time; the request may have run",
	}
}
