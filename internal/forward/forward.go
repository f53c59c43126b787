// Package forward forwards calls to plain services. Idempotent calls are retried on other backend
// servers within the retry budget; other calls reach a backend server at most once.
//
// # Usage
//
//	f, err := forward.New(forward.Options{Client: c, Permits: p, Claims: cl, Retries: b})
//	route, err := forward.Match(service, "POST", "/bookings")
//	a, err := f.Do(ctx, forward.Call{Service: service, Route: route, ...})
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// DefaultMaxCalls limits the concurrent calls of one instance.
	DefaultMaxCalls = 1024
	// defaultRetryAfter is the Retry-After when there is no free capacity.
	defaultRetryAfter = time.Second
	// defaultTimeout applies to services without a timeout.
	defaultTimeout = 30 * time.Second
	// maxReacquires limits how often a permit that expired unused is replaced.
	maxReacquires = 3
)

// ErrOptions means that the options passed to [New] are invalid.
var ErrOptions = merry.New("invalid forward options")

// Client calls backend servers of plain services.
type Client interface {
	Do(ctx context.Context, address string, req service.Request) (service.Response, error)
}

// Options configures a [Forwarder].
type Options struct {
	Client  Client
	Permits permit.Acquirer
	// Claims may be nil; calls with an idempotency key are then refused as not run.
	Claims  Claims
	Retries *retry.Budgets
	// Confirmed reports whether new work may be sent.
	Confirmed func(now time.Time) bool
	// MaxCalls limits the concurrent calls; zero means [DefaultMaxCalls].
	MaxCalls int
	Logger   zerolog.Logger
	Scope    tally.Scope
	Tracer   trace.Tracer
}

// Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	opts    Options
	calls   *ants.Pool
	metrics metrics
	closed  context.Context
	close   context.CancelFunc
}

type metrics struct {
	unstored tally.Counter
	retries  tally.Counter
	replayed tally.Counter
}

// New returns a forwarder. [Forwarder.Close] frees its pool.
func New(opts Options) (*Forwarder, error) {
	if opts.Client == nil || opts.Permits == nil || opts.Retries == nil || opts.Confirmed == nil {
		return nil, ErrOptions
	}
	if opts.MaxCalls == 0 {
		opts.MaxCalls = DefaultMaxCalls
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Tracer == nil {
		opts.Tracer = noop.NewTracerProvider().Tracer("")
	}
	calls, err := ants.NewPool(opts.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "create pool of calls")
	}
	f := &Forwarder{opts: opts, calls: calls, metrics: metrics{
		unstored: opts.Scope.Counter("claims_unstored"),
		retries:  opts.Scope.Counter("retries"),
		replayed: opts.Scope.Counter("replayed"),
	}}
	f.closed, f.close = context.WithCancel(context.Background())
	return f, nil
}

// Close frees the pool. It must be called only when no call is running.
func (f *Forwarder) Close() {
	f.close()
	f.calls.Release()
}

// Call is one call to a plain service.
type Call struct {
	Service     *pollenspindle.Service
	Route       pollenspindle.Route
	Workspace   string
	Class       pollenspindle.Class
	Fingerprint uint64
	// Deadline is when the call is refused if it has no permit by then.
	Deadline time.Time
	Method   string
	// Path is the escaped path, Query the query without the question mark.
	Path   string
	Query  string
	Header []service.Header
	Body   []byte
	// IdempotencyKey is the caller's idempotency key; it may be empty.
	IdempotencyKey string
}

// Answer is the response of the service. Replayed is set if it is the stored response to an earlier
// request with the same key.
type Answer struct {
	Response service.Response
	Replayed bool
}

// Do forwards a call. An error is an *answer.Failure or a *permit.Refusal.
func (f *Forwarder) Do(ctx context.Context, call Call) (Answer, error) {
	type outcome struct {
		answer Answer
		err    error
	}
	// Buffered, so that the worker never blocks on a handler that has returned.
	done := make(chan outcome, 1)
	err := f.calls.Submit(func() {
		a, err := f.do(ctx, call)
		done <- outcome{a, err}
	})
	if err != nil {
		fail := answer.NotRun(http.StatusServiceUnavailable, answer.CodeTooManyStreams,
			"this instance is at its limit of concurrent calls")
		fail.RetryAfter = defaultRetryAfter
		return Answer{}, fail
	}
	o := <-done
	if o.answer.Replayed {
		f.metrics.replayed.Inc(1)
	}
	return o.answer, o.err
}

func (f *Forwarder) do(ctx context.Context, call Call) (Answer, error) {
	if !f.opts.Confirmed(time.Now()) {
		return Answer{}, &permit.Refusal{Reason: permit.ReasonNotConfirmed, RetryAfter: defaultRetryAfter}
	}
	if !call.Route.Idempotent && call.IdempotencyKey != "" {
		return f.doOnce(ctx, call)
	}
	response, err := f.run(ctx, call, func(time.Time) bool { return true })
	return Answer{Response: response}, err
}

// wait waits for d and reports whether it did so before the forwarder was closed.
func (f *Forwarder) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.closed.Done():
		return false
	}
}
