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
	// again says that another attempt can't run the call twice.
	again bool
	cause retry.Cause
	// lapsed says that the permit ran out unused.
	lapsed bool
}

// run makes attempts until one has an answer for the caller. Just before the
// first byte maySend says whether the call still has the right to run.
func (f *Forwarder) run(ctx context.Context, call Call, maySend func(now time.Time) bool) (service.Response, error) {
	var excluded, avoided []string
	var earlier answer.Outcome
	lapses := 0
	for number := 1; ; number++ {
		p, err := f.acquire(ctx, call, excluded, avoided)
		if err != nil {
			return service.Response{}, answer.FromError(err).WithEarlierOutcome(earlier)
		}
		res := f.attempt(ctx, call, p, maySend)
		if res.failure == nil {
			f.opts.Retries.RecordSuccess(time.Now(), call.Service.Name)
			return res.response, nil
		}
		if res.lapsed && lapses < maxReacquires && ctx.Err() == nil {
			lapses++
			number--
			continue
		}
		if !res.again || !f.waitAgain(ctx, call, retry.Attempt{Number: number, Cause: res.cause}) {
			return service.Response{}, res.failure.WithEarlierOutcome(earlier)
		}
		if res.failure.Outcome != answer.OutcomeNotRun {
			earlier = res.failure.Outcome
		}
		f.metrics.retries.Inc(1)
		journal.FromContext(ctx).Add(journal.Step{
			At: time.Now(), Kind: journal.Restarted, Reason: string(res.failure.Code), Count: int64(number + 1),
		})
		excluded, avoided = append(excluded, p.Server), append(avoided, p.Zone)
	}
}

func (f *Forwarder) waitAgain(ctx context.Context, call Call, a retry.Attempt) bool {
	again, ok := f.opts.Retries.Decide(time.Now(), call.Service.Name, a).(retry.Again)
	return ok && f.pause(again.Delay) && ctx.Err() == nil
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
		// Without a permit nothing was sent, whatever went wrong.
		err = &permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: fullRetryAfter}
	}
	return p, err
}

// attempt sends the call under one permit and releases it exactly once.
func (f *Forwarder) attempt(ctx context.Context, call Call, p permit.Permit, maySend func(now time.Time) bool) result {
	start := time.Now()
	res := result{ending: permit.EndingLost}
	defer func() {
		f.opts.Permits.Release(p, permit.Outcome{Ending: res.ending, Duration: time.Since(start)})
		f.opts.Scope.Tagged(map[string]string{"zone": p.Zone, "ending": string(res.ending)}).Counter("attempts").Inc(1)
	}()
	// A process that was paused since it got the permit would send although
	// its place has gone to another, or to a zone taken out meanwhile.
	// A caller that has gone may be asking elsewhere by now.
	if !f.opts.Permits.MaySend(start, p) || !maySend(start) || ctx.Err() != nil || !f.opts.Confirmed(start) {
		res = result{ending: permit.EndingNotSent, failure: lapsedFailure(), lapsed: true}
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
		// Once it may have been sent, the call goes on without its caller, so
		// that its result is known to the next who asks with the key.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := f.opts.Tracer.Start(ctx, "service.call",
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", p.Server)))
	defer span.End()
	response, err := f.opts.Client.Do(ctx, p.Address, service.Request{
		Method: call.Method, Path: call.Path, Query: call.Query, Body: call.Body,
		Header: traced(ctx, call.Header), FreshConnection: true,
	})
	if err != nil {
		return failed(call, err)
	}
	return result{ending: permit.EndingFinished, response: response}
}

// failed turns an error of the client into a result.
func failed(call Call, err error) result {
	var refusal *service.Refusal
	switch {
	case errors.Is(err, service.ErrNotSent):
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server could be reached")
		f.RetryAfter = fullRetryAfter
		return result{ending: permit.EndingNotSent, failure: f, again: true, cause: retry.CauseNotSent}
	case errors.As(err, &refusal):
		return refused(refusal)
	case errors.Is(err, service.ErrBadRequest):
		return result{ending: permit.EndingNotSent, failure: answer.Invalid("request", "can't be passed on")}
	case errors.Is(err, service.ErrTooLarge):
		return result{ending: permit.EndingFinished, failure: &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeAnswerTooLarge, Outcome: answer.OutcomeRan,
			Message: "the service ran the request and its answer is too large",
		}}
	}
	// The answer is lost and the service may have run the request. Only an
	// idempotent one is sent again; another would run twice.
	return result{
		ending: permit.EndingLost, again: call.Route.Idempotent, cause: retry.CauseLost,
		failure: &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeBackendLost, Outcome: answer.OutcomeUnknown,
			Message: "the backend server's answer was lost; the request may have run",
		},
	}
}

func refused(r *service.Refusal) result {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused,
		"the backend server refused the request before running it")
	f.RetryAfter = max(r.RetryAfter, fullRetryAfter)
	res := result{ending: permit.EndingRefused, failure: f, again: true, cause: retry.CauseRefused}
	if r.Status == http.StatusTooManyRequests {
		f.Status = http.StatusTooManyRequests
		res.cause = retry.CauseOverload
	}
	return res
}

func lapsedFailure() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.Code(permit.ReasonOverloaded),
		"the place on a backend server lapsed before it could be used")
	f.RetryAfter = fullRetryAfter
	return f
}

// traced puts the span of this hop into the header.
func traced(ctx context.Context, header []service.Header) []service.Header {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	if carrier.Get("traceparent") == "" {
		return header
	}
	return append(slices.Clone(header), service.Header{Name: "traceparent", Value: carrier.Get("traceparent")})
}
