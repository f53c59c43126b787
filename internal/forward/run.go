package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/service"
)

// result is how one attempt ended.
type result struct {
	response service.Response
	ending   permit.Ending
	// failure is nil when the service answered.
	failure *answer.Failure
	// retryable is set if another attempt can't run a non-idempotent call twice.
	retryable bool
	cause     retry.Cause
	// pause is the pause that the service asked for; 0 for none.
	pause time.Duration
	// permitExpired is set if the permit expired unused.
	permitExpired bool
}

// run makes attempts until one succeeds or no retry is allowed. maySend is called just before the
// first byte is sent and reports whether the call may still run.
func (f *Forwarder) run(ctx context.Context, call Call, maySend func(now time.Time) bool) (service.Response, error) {
	var excluded, avoided []string
	var earlierOutcome answer.Outcome
	expiredPermits := 0
	for number := 1; ; number++ {
		p, err := f.acquire(ctx, call, excluded, avoided)
		if err != nil {
			return service.Response{}, answer.FromError(err).WithEarlierOutcome(earlierOutcome)
		}
		res := f.attempt(ctx, call, p, maySend)
		if res.failure == nil {
			f.opts.Retries.RecordSuccess(time.Now(), call.Service.Name)
			return res.response, nil
		}
		if res.permitExpired && expiredPermits < maxReacquires && ctx.Err() == nil {
			expiredPermits++
			number--
			continue
		}
		if !res.retryable || !f.waitBeforeRetry(ctx, call, retry.Attempt{Number: number, Cause: res.cause}) {
			return service.Response{}, res.failure.WithEarlierOutcome(earlierOutcome)
		}
		if res.failure.Outcome != answer.OutcomeNotRun {
			earlierOutcome = res.failure.Outcome
		}
		f.metrics.retries.Inc(1)
		journal.FromContext(ctx).Add(journal.Step{
			At: time.Now(), Kind: journal.Restarted, Reason: string(res.failure.Code), Count: int64(number + 1),
		})
		excluded, avoided = append(excluded, p.Server), append(avoided, p.Zone)
	}
}

func (f *Forwarder) waitBeforeRetry(ctx context.Context, call Call, a retry.Attempt) bool {
	again, ok := f.opts.Retries.Decide(time.Now(), call.Service.Name, a).(retry.Again)
	return ok && f.wait(again.Delay) && ctx.Err() == nil
}

func (f *Forwarder) acquire(ctx context.Context, call Call, excluded, avoided []string) (permit.Permit, error) {
	ctx, span := f.opts.Tracer.Start(ctx, "permit.acquire", trace.WithAttributes(attribute.String("service", call.Service.Name)))
	defer span.End()
	p, err := f.opts.Permits.Acquire(ctx, time.Now(), permit.Request{
		ID: uuid.NewString(), Service: call.Service.Name, Workspace: call.Workspace, Class: call.Class,
		Fingerprint: call.Fingerprint, Deadline: call.Deadline,
		ExcludeServers: slices.Clone(excluded), AvoidZones: slices.Clone(avoided),
	})
	var refusal *permit.Refusal
	if err != nil && !errors.As(err, &refusal) {
		// Without a permit nothing was sent, whatever the error is.
		err = &permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: defaultRetryAfter}
	}
	return p, err
}

// attempt sends the call under one permit and releases it exactly once.
func (f *Forwarder) attempt(ctx context.Context, call Call, p permit.Permit, maySend func(now time.Time) bool) result {
	start := time.Now()
	res := result{ending: permit.EndingLost}
	defer func() {
		o := permit.Outcome{Ending: res.ending, Duration: time.Since(start), Pause: res.pause}
		if res.cause == retry.CauseLost {
			f.opts.Permits.ReleaseLost(context.WithoutCancel(ctx), p, o)
		} else {
			f.opts.Permits.Release(p, o)
		}
		f.opts.Scope.Tagged(map[string]string{"zone": p.Zone, "ending": string(res.ending)}).Counter("attempts").Inc(1)
	}()
	// If the process was paused since it acquired the permit, the slot may have been given to
	// another call or the availability zone may have been drained. A caller that has disconnected
	// may have repeated its request through another instance.
	if !f.opts.Permits.MaySend(start, p) || !maySend(start) || ctx.Err() != nil || !f.opts.Confirmed(start) {
		res = result{ending: permit.EndingNotSent, failure: permitExpiredFailure(), permitExpired: true}
		return res
	}
	journal.FromContext(ctx).Add(journal.Step{At: start, Kind: journal.Sent, Server: p.Server, Peer: p.Owner})
	res = f.send(ctx, call, p)
	return res
}

func (f *Forwarder) send(ctx context.Context, call Call, p permit.Permit) result {
	timeout := time.Duration(call.Service.TimeoutSeconds) * time.Second
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if !call.Route.Idempotent {
		// Once the call may have been sent, it continues without its caller, so that the next
		// request with the same key finds the result.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := f.opts.Tracer.Start(ctx, "service.call",
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", p.Server)))
	defer span.End()
	response, err := f.opts.Client.Do(ctx, p.Address, service.Request{
		Method: call.Method, Path: call.Path, Query: call.Query, Body: call.Body,
		Header: withTraceHeader(ctx, call.Header), FreshConnection: true,
	})
	if err != nil {
		return errorResult(call, err)
	}
	return result{ending: permit.EndingFinished, response: response}
}

// errorResult converts an error of the client into a result.
func errorResult(call Call, err error) result {
	var refusal *service.Refusal
	switch {
	case errors.Is(err, service.ErrNotSent):
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server could be reached")
		f.RetryAfter = defaultRetryAfter
		return result{ending: permit.EndingNotSent, failure: f, retryable: true, cause: retry.CauseNotSent}
	case errors.As(err, &refusal):
		return refusalResult(refusal)
	case errors.Is(err, service.ErrBadRequest):
		return result{ending: permit.EndingNotSent, failure: answer.Invalid("request", "can't be forwarded")}
	case errors.Is(err, service.ErrTooLarge):
		return result{ending: permit.EndingFinished, failure: &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeAnswerTooLarge, Outcome: answer.OutcomeRan,
			Message: "the service ran the request, but its answer is too large",
		}}
	}
	// The answer is lost, and the service may have run the request. Only an idempotent call is sent
	// again; any other could run twice.
	return result{
		ending: permit.EndingLost, retryable: call.Route.Idempotent, cause: retry.CauseLost,
		failure: &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeBackendLost, Outcome: answer.OutcomeUnknown,
			Message: "the backend server's answer was lost; the request may have run",
		},
	}
}

func refusalResult(r *service.Refusal) result {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused,
		"the backend server refused the request before running it")
	f.RetryAfter = max(r.RetryAfter, defaultRetryAfter)
	res := result{ending: permit.EndingRefused, failure: f, retryable: true, cause: retry.CauseRefused}
	switch r.Status {
	case http.StatusTooManyRequests:
		f.Status = http.StatusTooManyRequests
		res.cause = retry.CauseOverload
	case http.StatusServiceUnavailable:
		res.pause = r.RetryAfter
	}
	return res
}

func permitExpiredFailure() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.Code(permit.ReasonOverloaded),
		"the permit for a backend server expired before it could be used")
	f.RetryAfter = defaultRetryAfter
	return f
}

// withTraceHeader adds the trace context of the current span to the header.
func withTraceHeader(ctx context.Context, header []service.Header) []service.Header {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	if carrier.Get("traceparent") == "" {
		return header
	}
	return append(slices.Clone(header), service.Header{Name: "traceparent", Value: carrier.Get("traceparent")})
}
