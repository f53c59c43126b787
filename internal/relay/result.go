package relay

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
)

func withSpan(ctx context.Context, span trace.Span) context.Context {
	return trace.ContextWithSpan(ctx, span)
}

// canRestart reports whether the caller has received nothing of this attempt.
func (a *attempt) canRestart() bool { return !a.session.started || !a.session.job.Streamed }

// failLost ends an attempt whose engine no longer has the generation. A stream that has started
// isn't retried: a second generation would continue with different tokens.
func (a *attempt) failLost(e permit.Ending) *result {
	res := a.failureResult(answer.CodeGenerationLost, "the backend server lost the generation")
	res.ending, res.retryable, res.cause = e, a.canRestart(), retry.CauseLost
	if a.session.cancelled.Load() {
		res.ending, res.retryable = permit.EndingCancelled, false
		res.failure.Code, res.failure.Message = answer.CodeGenerationCancelled, "the generation was cancelled"
	}
	return &res
}

// failUnreachable ends an attempt whose engine can't be connected to. The generation may still be
// running there. A retry can't be mixed with it: the caller has received nothing yet, and each
// attempt has its own connections. A collected answer that has started is retried only if the old
// generation was certainly cancelled, since it may hold memory for a long time.
func (a *attempt) failUnreachable() *result {
	res := a.failureResult(answer.CodeBackendLost, "the connection to the backend server was lost")
	stopped := a.tryCancel()
	res.cause = retry.CauseLost
	res.retryable = !a.session.started || (!a.session.job.Streamed && stopped)
	if stopped {
		res.ending = permit.EndingCancelled
	}
	return &res
}

// failStalled ends an attempt whose engine has the generation but sends no tokens, which would hold
// its slot and memory forever.
func (a *attempt) failStalled() *result {
	res := a.failureResult(answer.CodeGenerationStalled, "the backend server stopped sending tokens")
	if a.tryCancel() {
		res.ending = permit.EndingCancelled
	}
	return &res
}

func (a *attempt) failGap() *result {
	res := a.failureResult(answer.CodeGenerationGap, "the backend server no longer has some tokens that were not delivered")
	if a.tryCancel() {
		res.ending = permit.EndingCancelled
	}
	return &res
}

func (a *attempt) cancel(f *answer.Failure) *result {
	res := result{ending: permit.EndingLost, failure: f}
	if a.tryCancel() {
		res.ending = permit.EndingCancelled
	}
	return &res
}

// onEvicted ends an attempt because the process is shutting down. A stream that has started keeps
// running on the engine and can be resumed through another instance.
func (a *attempt) onEvicted() *result {
	f := &answer.Failure{
		Status: http.StatusServiceUnavailable, Code: answer.CodeResumeElsewhere, Outcome: answer.OutcomeRan,
		Message: "this instance is shutting down; resume through another one", Position: a.progress.lastPosition,
	}
	if a.session.job.Streamed && a.session.started {
		return &result{ending: permit.EndingLost, failure: f}
	}
	f.Outcome = answer.OutcomeUnknown
	f.Message = "this instance is shutting down; repeat the request through another one"
	return a.cancel(f)
}

// tryCancel cancels the generation and reports whether it certainly ended on the engine. An engine
// that never answered the start may confirm the cancellation and receive the start only afterwards,
// so that confirmation must not free the permit's slot for another request.
func (a *attempt) tryCancel() bool {
	if a.resumed {
		return false
	}
	// Close the connection first, so that a pending start can't reach the engine after its own
	// cancellation.
	a.conn.close()
	// The cancellation must not be aborted when the caller disconnects.
	ctx, cancel := context.WithTimeout(a.session.ctx, cancelTimeout)
	defer cancel()
	return a.session.relay.opts.Engine.Cancel(ctx, a.address, a.request) == nil && a.acknowledged
}

// failureResult returns the result of an attempt whose request was sent.
func (a *attempt) failureResult(code answer.Code, message string) result {
	outcome := answer.OutcomeUnknown
	if a.acknowledged {
		outcome = answer.OutcomeRan
	}
	return result{ending: permit.EndingLost, failure: &answer.Failure{
		Status: http.StatusBadGateway, Code: code, Message: message,
		Outcome: outcome, Position: a.progress.lastPosition,
	}}
}

func callerGoneFailure() *answer.Failure {
	return &answer.Failure{
		Status: http.StatusRequestTimeout, Code: answer.CodeGenerationCancelled, Outcome: answer.OutcomeUnknown,
		Message: "the caller disconnected",
	}
}

func notSentFailure() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server could be reached")
	f.RetryAfter = defaultRetryAfter
	return f
}

func refusedResult(refused *RefusedError) *result {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused,
		"the backend server refused the request before running it")
	f.RetryAfter = max(refused.RetryAfter, defaultRetryAfter)
	res := &result{ending: permit.EndingRefused, failure: f, retryable: true, cause: retry.CauseRefused}
	switch {
	case refused.Status == http.StatusBadRequest:
		f.Status, f.Code, f.RetryAfter = http.StatusBadRequest, answer.CodeInvalidRequest, 0
		f.Message = "the backend server rejected the request as invalid"
		res.retryable = false
	case refused.Overload:
		f.Status = http.StatusTooManyRequests
		res.cause = retry.CauseOverload
	case refused.Status == http.StatusServiceUnavailable:
		res.pause = refused.RetryAfter
	}
	return res
}
