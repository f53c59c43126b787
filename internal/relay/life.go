package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
)

const (
	// RingCapacity is how far a caller may be behind. A caller that reads
	// 256 tokens late has lost the connection rather than the thread.
	RingCapacity = 256
	// DefaultSlowCaller is how long a caller may stay behind by more than half
	// a ring once it was full. After it the caller is cut off and may resume:
	// events aren't kept without bound for one that doesn't read, and the
	// engine isn't held up by it.
	DefaultSlowCaller = 10 * time.Second
	// maxReacquires bounds how often an unused permit that ran out is replaced.
	maxReacquires = 3
	// cancelTimeout bounds one cancellation.
	cancelTimeout = 2 * time.Second
)

// errPermitExpired means that the permit ran out, or the configuration was no
// longer confirmed, just before the first byte would have left.
var errPermitExpired = merry.New("permit no longer valid")

// life is one generation as this entry instance sees it.
type life struct {
	relay *Relay
	job   Job
	ring  chan Message
	// caller ends when the caller has gone; work goes on in ctx, which keeps
	// the caller's span but not its end.
	caller context.Context
	ctx    context.Context
	steps  *journal.Entry
	// begun says that the caller has got a token.
	begun bool
	// detached says that nobody reads the ring any more.
	detached bool
	// lag is that of the caller behind the ring.
	lag       lag
	takenOver atomic.Bool
	cancelled atomic.Bool
	// earlier is the outcome of an attempt before, if one may have run.
	earlier  answer.Outcome
	excluded []string
	avoided  []string
}

func newLife(caller context.Context, r *Relay) *life {
	return &life{
		relay: r, caller: caller, ctx: context.WithoutCancel(caller),
		ring: make(chan Message, RingCapacity), steps: journal.FromContext(caller),
	}
}

// result is how one attempt ended.
type result struct {
	ending permit.Ending
	// failure is nil when the generation finished.
	failure *answer.Failure
	// again says that another attempt can't give the caller two generations.
	again bool
	cause retry.Cause
}

// generate makes attempts until one has an answer for the caller.
func (l *life) generate() {
	defer l.detach()
	reacquired := 0
	for number := 1; ; number++ {
		res := l.attempt()
		if res.failure == errExpiredFailure && reacquired < maxReacquires && l.caller.Err() == nil {
			reacquired++
			number--
			continue
		}
		if res.failure == nil {
			l.relay.opts.Retries.RecordSuccess(time.Now(), l.job.Permit.Service)
			l.end(Finished{})
			return
		}
		if !res.again || !l.waitAgain(number, res.cause) {
			l.end(Failed{res.failure.WithEarlierOutcome(l.earlier)})
			return
		}
		if res.failure.Outcome != answer.OutcomeNotRun {
			l.earlier = res.failure.Outcome
		}
		l.relay.metrics.retries.Inc(1)
		l.steps.Add(journal.Step{
			At: time.Now(), Kind: journal.Restarted, Reason: string(res.failure.Code), Count: int64(number + 1),
		})
	}
}

// waitAgain reports whether another attempt is to be made, after its delay.
func (l *life) waitAgain(number int, cause retry.Cause) bool {
	decision := l.relay.opts.Retries.Decide(time.Now(), l.job.Permit.Service, retry.Attempt{Number: number, Cause: cause})
	switch d := decision.(type) {
	case retry.Again:
		timer := time.NewTimer(d.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-l.caller.Done():
		case <-l.relay.evicted.Done():
		}
	case retry.GiveUp:
	}
	return false
}

// attempt acquires a permit and runs the generation under it. The permit is
// released exactly once, whatever happens in between.
func (l *life) attempt() result {
	req := l.job.Permit
	req.ID = uuid.NewString()
	req.ExcludeServers = l.excluded
	req.AvoidZones = l.avoided
	p, err := l.acquire(req)
	if err != nil {
		return result{failure: l.acquireFailure(err)}
	}
	a := newAttempt(l, p, req.ID)
	l.relay.hold(req.ID, l)
	res := result{ending: permit.EndingLost}
	defer func() {
		l.relay.drop(req.ID)
		l.relay.opts.Permits.Release(p, a.outcome(res.ending))
		l.relay.opts.Scope.Tagged(map[string]string{"zone": p.Zone, "ending": string(res.ending)}).Counter("attempts").Inc(1)
	}()
	res = a.run()
	if res.again {
		l.excluded = append(slices.Clone(l.excluded), p.Server)
		l.avoided = append(slices.Clone(l.avoided), p.Zone)
	}
	return res
}

func (l *life) acquire(req permit.Request) (permit.Permit, error) {
	ctx, span := l.span("permit.acquire", attribute.String("service", req.Service))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Waiting for a permit ends with the caller or with the process.
	defer context.AfterFunc(l.caller, cancel)()
	defer context.AfterFunc(l.relay.evicted, cancel)()
	now := time.Now()
	p, err := l.relay.opts.Permits.Acquire(ctx, now, req)
	l.relay.metrics.permitWait.RecordDuration(time.Since(now))
	if err == nil {
		l.steps.Add(journal.Step{At: time.Now(), Kind: journal.PermitGranted, Server: p.Server, Peer: p.Owner, Count: p.Epoch})
	}
	return p, err
}

func (l *life) acquireFailure(err error) *answer.Failure {
	var refusal *permit.Refusal
	if errors.As(err, &refusal) {
		l.relay.opts.Scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refusals").Inc(1)
		return answer.FromError(refusal)
	}
	// Without a permit nothing was sent, whatever went wrong.
	f := answer.FromError(&permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: fullRetryAfter})
	if l.relay.evicted.Err() != nil {
		f = answer.FromError(&permit.Refusal{Reason: permit.ReasonShuttingDown, RetryAfter: fullRetryAfter})
	}
	return f
}

// end tells the caller and the journal how the generation ended.
func (l *life) end(m Message) {
	switch m := m.(type) {
	case Finished:
		l.steps.End(time.Now(), journal.Finished, "")
	case Failed:
		state := journal.Failed
		if m.Failure.Outcome == answer.OutcomeNotRun {
			state = journal.Refused
		}
		l.steps.End(time.Now(), state, string(m.Failure.Code))
	}
	l.push(m)
}

// push puts a message into the ring. When the ring is full it waits a while
// for the caller, then gives the caller up.
func (l *life) push(m Message) bool {
	if l.detached {
		return false
	}
	l.lag.caught(len(l.ring))
	select {
	case l.ring <- m:
		return true
	default:
	}
	timer := time.NewTimer(l.lag.left(time.Now(), l.relay.opts.SlowCaller))
	defer timer.Stop()
	select {
	case l.ring <- m:
		return true
	case <-l.caller.Done():
	case <-l.relay.evicted.Done():
	case <-timer.C:
		l.relay.metrics.slowCallers.Inc(1)
	}
	l.detach()
	return false
}

// detach ends the ring.
func (l *life) detach() {
	if !l.detached {
		l.detached = true
		close(l.ring)
	}
}

func (l *life) span(name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if l.relay.opts.Tracer == nil {
		return l.ctx, trace.SpanFromContext(context.Background())
	}
	return l.relay.opts.Tracer.Start(l.ctx, name, trace.WithAttributes(attrs...), trace.WithSpanKind(trace.SpanKindClient))
}

// errExpiredFailure is the failure of an attempt whose permit ran out unused.
var errExpiredFailure = func() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.Code(permit.ReasonOverloaded),
		"the place on a backend server lapsed before it could be used")
	f.RetryAfter = fullRetryAfter
	return f
}()
