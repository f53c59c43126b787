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
	// MessageCapacity is how many messages a caller may be behind. A caller that is 256 tokens
	// behind has probably lost its connection.
	MessageCapacity = 256
	// DefaultSlowCallerTimeout is how long a caller may stay behind by more than half of the
	// message buffer once that was full. Then the caller is disconnected and may resume: events
	// aren't buffered without limit for a caller that doesn't read, and it doesn't block the
	// engine.
	DefaultSlowCallerTimeout = 10 * time.Second
	// maxReacquires limits how often a permit that expired unused is replaced.
	maxReacquires = 3
	// cancelTimeout limits one cancellation.
	cancelTimeout = 2 * time.Second
)

// errPermitExpired means that the permit expired, or the configuration was no longer confirmed,
// just before the first byte would have been sent.
var errPermitExpired = merry.New("permit no longer valid")

// session handles one generation on this instance: it acquires permits, makes attempts and passes
// messages to the caller's handler.
type session struct {
	relay    *Relay
	job      Job
	messages chan Message
	// callerCtx ends when the caller disconnects. Work continues in ctx, which keeps the caller's
	// span but not its cancellation.
	callerCtx context.Context
	ctx       context.Context
	entry     *journal.Entry
	// started is set once the caller was sent a token.
	started bool
	// detached is set once messages is closed.
	detached bool
	// lag measures how long the caller has been behind.
	lag       lag
	takenOver atomic.Bool
	cancelled atomic.Bool
	// earlierOutcome is the outcome of an earlier attempt that may have run, or empty.
	earlierOutcome  answer.Outcome
	excludedServers []string
	avoidedZones    []string
}

func newSession(caller context.Context, r *Relay) *session {
	return &session{
		relay: r, callerCtx: caller, ctx: context.WithoutCancel(caller),
		messages: make(chan Message, MessageCapacity), entry: journal.FromContext(caller),
	}
}

// result is how one attempt ended.
type result struct {
	ending permit.Ending
	// failure is nil when the generation finished.
	failure *answer.Failure
	// retryable is set if another attempt can't deliver two generations to the caller.
	retryable bool
	cause     retry.Cause
	// pause is the pause that the engine asked for; 0 for none.
	pause time.Duration
}

// generate makes attempts until one succeeds or no retry is allowed.
func (s *session) generate() {
	defer s.detach()
	reacquired := 0
	for number := 1; ; number++ {
		res := s.runAttempt()
		if res.failure == permitExpiredFailure && reacquired < maxReacquires && s.callerCtx.Err() == nil {
			reacquired++
			number--
			continue
		}
		if res.failure == nil {
			s.relay.opts.Retries.RecordSuccess(time.Now(), s.job.Permit.Service)
			s.end(Finished{})
			return
		}
		if !res.retryable || !s.waitBeforeRetry(number, res.cause) {
			s.end(Failed{res.failure.WithEarlierOutcome(s.earlierOutcome)})
			return
		}
		if res.failure.Outcome != answer.OutcomeNotRun {
			s.earlierOutcome = res.failure.Outcome
		}
		s.relay.metrics.retries.Inc(1)
		s.entry.Add(journal.Step{
			At: time.Now(), Kind: journal.Restarted, Reason: string(res.failure.Code), Count: int64(number + 1),
		})
	}
}

// waitBeforeRetry waits for the retry delay and reports whether to make another attempt.
func (s *session) waitBeforeRetry(number int, cause retry.Cause) bool {
	decision := s.relay.opts.Retries.Decide(time.Now(), s.job.Permit.Service, retry.Attempt{Number: number, Cause: cause})
	switch d := decision.(type) {
	case retry.Again:
		timer := time.NewTimer(d.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-s.callerCtx.Done():
		case <-s.relay.evicted.Done():
		}
	case retry.GiveUp:
	}
	return false
}

// runAttempt acquires a permit and runs the generation under it. The permit is released exactly
// once, whatever happens in between.
func (s *session) runAttempt() result {
	req := s.job.Permit
	req.ID = uuid.NewString()
	req.ExcludeServers = s.excludedServers
	req.AvoidZones = s.avoidedZones
	p, err := s.acquire(req)
	if err != nil {
		return result{failure: s.acquireFailure(err)}
	}
	a := newAttempt(s, p, req.ID)
	s.relay.register(req.ID, s)
	res := result{ending: permit.EndingLost}
	defer func() {
		s.relay.unregister(req.ID)
		s.release(p, a.outcome(&res), res.cause)
		s.relay.opts.Scope.Tagged(map[string]string{"zone": p.Zone, "ending": string(res.ending)}).Counter("attempts").Inc(1)
	}()
	res = a.run()
	if res.retryable {
		s.excludedServers = append(slices.Clone(s.excludedServers), p.Server)
		s.avoidedZones = append(slices.Clone(s.avoidedZones), p.Zone)
	}
	return res
}

// release releases the permit of an attempt. A lost one is repeated, here or by the caller.
func (s *session) release(p permit.Permit, o permit.Outcome, cause retry.Cause) {
	if cause == retry.CauseLost {
		s.relay.opts.Permits.ReleaseLost(s.ctx, p, o)
		return
	}
	s.relay.opts.Permits.Release(p, o)
}

func (s *session) acquire(req permit.Request) (permit.Permit, error) {
	ctx, span := s.span("permit.acquire", attribute.String("service", req.Service))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Stop waiting for a permit when the caller disconnects or the process shuts down.
	defer context.AfterFunc(s.callerCtx, cancel)()
	defer context.AfterFunc(s.relay.evicted, cancel)()
	now := time.Now()
	p, err := s.relay.opts.Permits.Acquire(ctx, now, req)
	s.relay.metrics.permitWait.RecordDuration(time.Since(now))
	if err == nil {
		s.entry.Add(journal.Step{At: time.Now(), Kind: journal.PermitGranted, Server: p.Server, Peer: p.Owner, Count: p.Epoch})
	}
	return p, err
}

func (s *session) acquireFailure(err error) *answer.Failure {
	var refusal *permit.Refusal
	if errors.As(err, &refusal) {
		s.relay.opts.Scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refusals").Inc(1)
		return answer.FromError(refusal)
	}
	// Without a permit nothing was sent, whatever the error is.
	f := answer.FromError(&permit.Refusal{Reason: permit.ReasonOwnerNotFound, RetryAfter: defaultRetryAfter})
	if s.relay.evicted.Err() != nil {
		f = answer.FromError(&permit.Refusal{Reason: permit.ReasonShuttingDown, RetryAfter: defaultRetryAfter})
	}
	return f
}

// end records in the journal how the generation ended and sends the last message to the caller.
func (s *session) end(m Message) {
	switch m := m.(type) {
	case Finished:
		s.entry.End(time.Now(), journal.Finished, "")
	case Failed:
		state := journal.Failed
		if m.Failure.Outcome == answer.OutcomeNotRun {
			state = journal.Refused
		}
		s.entry.End(time.Now(), state, string(m.Failure.Code))
	}
	s.push(m)
}

// push sends a message to the caller's handler and reports whether it was accepted. When the buffer
// is full, it waits for the caller until the slow-caller timeout and then detaches it.
func (s *session) push(m Message) bool {
	if s.detached {
		return false
	}
	s.lag.resetIfCaughtUp(len(s.messages))
	select {
	case s.messages <- m:
		return true
	default:
	}
	timer := time.NewTimer(s.lag.remaining(time.Now(), s.relay.opts.SlowCallerTimeout))
	defer timer.Stop()
	select {
	case s.messages <- m:
		return true
	case <-s.callerCtx.Done():
	case <-s.relay.evicted.Done():
	case <-timer.C:
		s.relay.metrics.slowCallers.Inc(1)
	}
	s.detach()
	return false
}

// detach closes the message channel.
func (s *session) detach() {
	if !s.detached {
		s.detached = true
		close(s.messages)
	}
}

func (s *session) span(name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if s.relay.opts.Tracer == nil {
		return s.ctx, trace.SpanFromContext(context.Background())
	}
	return s.relay.opts.Tracer.Start(s.ctx, name, trace.WithAttributes(attrs...), trace.WithSpanKind(trace.SpanKindClient))
}

// permitExpiredFailure is the failure of an attempt whose permit expired unused.
var permitExpiredFailure = func() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.Code(permit.ReasonOverloaded),
		"the permit for a backend server expired before it could be used")
	f.RetryAfter = defaultRetryAfter
	return f
}()
