// Package relay delivers a generation from an engine to its caller: each token once, in order, and
// from a single generation.
//
// Three goroutines work on a generation. The session holds the permit and the connection to the
// engine, detects silent streams and resumes them. The caller's handler receives messages from the
// session over a bounded channel and writes them. The reader reads one connection and passes its
// events to the session, so that a silent connection can be abandoned.
//
// # Usage
//
//	r, err := relay.New(relay.Options{Engine: e, Permits: p, Retries: b, Timing: t})
//	g, err := r.Generate(ctx, relay.Job{...})
//	for m := range g.Messages() {
//		switch m := m.(type) {
//		case relay.Started: // the generation's ID is known
//		case relay.Token: // m.Event.Data is an OpenAI chunk
//		case relay.Finished:
//		case relay.Failed: // m.Failure
//		}
//	}
package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
)

const (
	// DefaultMaxGenerations limits the concurrent generations of one instance. At the design load
	// an instance has about 60; the limit leaves capacity for the loss of most other instances and
	// keeps the message buffers under about 64 MiB.
	DefaultMaxGenerations = 2048
	// readersPerGeneration allows a probe in addition to a silent connection.
	readersPerGeneration = 2
	// defaultRetryAfter is the Retry-After when there is no free capacity: some generations end
	// each second.
	defaultRetryAfter = time.Second
)

// ErrOptions means that the options passed to [New] are invalid.
var ErrOptions = merry.New("invalid relay options")

// Options configures a [Relay].
type Options struct {
	Engine  Engine
	Permits permit.Acquirer
	Retries *retry.Budgets
	// Confirmed reports whether new work may be sent, because the configuration was confirmed
	// recently.
	Confirmed func(now time.Time) bool
	// StallTimeout is how long a stream may be silent before it is probed.
	StallTimeout time.Duration
	// GracePeriod is how long a generation is kept after its caller has disconnected, so that the
	// caller can resume it through any instance; zero means [DefaultGracePeriod].
	GracePeriod time.Duration
	// SlowCallerTimeout is how long to wait for a caller that doesn't read; zero means
	// [DefaultSlowCallerTimeout].
	SlowCallerTimeout time.Duration
	// MaxGenerations limits the concurrent generations; zero means [DefaultMaxGenerations].
	MaxGenerations int
	Logger         zerolog.Logger
	Scope          tally.Scope
	Tracer         trace.Tracer
}

// Relay delivers generations to callers. It is safe for concurrent use.
type Relay struct {
	opts     Options
	metrics  metrics
	sessions *ants.Pool
	readers  *ants.Pool
	// evicted ends when streams must be resumed through another instance.
	evicted context.Context
	evict   context.CancelFunc

	mu     sync.Mutex
	active map[string]*session
}

// New returns a relay. [Relay.Close] frees its pools.
func New(opts Options) (*Relay, error) {
	if opts.Engine == nil || opts.Permits == nil || opts.Retries == nil || opts.StallTimeout <= 0 {
		return nil, ErrOptions
	}
	fillOptions(&opts)
	sessions, err := ants.NewPool(opts.MaxGenerations, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "create pool of sessions")
	}
	readers, err := ants.NewPool(readersPerGeneration*opts.MaxGenerations, ants.WithNonblocking(true))
	if err != nil {
		sessions.Release()
		return nil, merry.Prepend(err, "create pool of connection readers")
	}
	r := &Relay{opts: opts, metrics: newMetrics(opts.Scope), sessions: sessions, readers: readers, active: map[string]*session{}}
	r.evicted, r.evict = context.WithCancel(context.Background())
	return r, nil
}

func fillOptions(opts *Options) {
	if opts.MaxGenerations == 0 {
		opts.MaxGenerations = DefaultMaxGenerations
	}
	if opts.GracePeriod == 0 {
		opts.GracePeriod = DefaultGracePeriod
	}
	if opts.SlowCallerTimeout == 0 {
		opts.SlowCallerTimeout = DefaultSlowCallerTimeout
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Confirmed == nil {
		opts.Confirmed = func(time.Time) bool { return true }
	}
}

// Generation is a generation as the caller's handler sees it.
type Generation struct {
	messages chan Message
}

// Messages returns the channel of messages, which is closed after [Finished] or [Failed]. If it is
// closed without either, the caller was too slow and may resume the generation.
func (g *Generation) Messages() <-chan Message { return g.messages }

// Generate starts a generation. It is cancelled when ctx, the caller's context, ends; a stream that
// has started is kept for the grace period first. The error is an *answer.Failure and means that
// the relay is at its limit.
func (r *Relay) Generate(ctx context.Context, job Job) (*Generation, error) {
	s := newSession(ctx, r)
	s.job = job
	return r.submit(s, s.generate)
}

// Attach resumes a generation after a position. It holds no permit: the instance that started the
// generation holds the permit until the generation ends.
func (r *Relay) Attach(ctx context.Context, a Attachment) (*Generation, error) {
	s := newSession(ctx, r)
	return r.submit(s, func() { s.attach(a) })
}

func (r *Relay) submit(s *session, work func()) (*Generation, error) {
	g := &Generation{messages: s.messages}
	if err := r.sessions.Submit(work); err != nil {
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeTooManyStreams,
			"this instance is at its limit of concurrent generations")
		f.RetryAfter = defaultRetryAfter
		return nil, f
	}
	return g, nil
}

// Cancel ends a generation on its engine and frees its memory.
func (r *Relay) Cancel(ctx context.Context, address, requestID string) error {
	if s := r.find(requestID); s != nil {
		s.cancelled.Store(true)
		s.entry.Add(journal.Step{At: time.Now(), Kind: journal.Cancelled})
	}
	if err := r.opts.Engine.Cancel(ctx, address, requestID); err != nil {
		return &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeBackendLost, Outcome: answer.OutcomeUnknown,
			Message: "the backend server didn't confirm the cancellation; repeat it",
		}
	}
	return nil
}

// TakeOver records that the caller of a generation of this relay has reconnected, possibly through
// another instance, so that the end of the grace period doesn't cancel it. It reports whether the
// relay has the generation.
func (r *Relay) TakeOver(requestID string) bool {
	s := r.find(requestID)
	if s == nil {
		return false
	}
	s.takenOver.Store(true)
	s.entry.Add(journal.Step{At: time.Now(), Kind: journal.TakenOver})
	return true
}

// Evict ends all streams with a failure that tells callers to resume through another instance.
// Generations that haven't started are cancelled.
func (r *Relay) Evict() { r.evict() }

// Running returns the number of running generations, including those whose callers have
// disconnected.
func (r *Relay) Running() int { return r.sessions.Running() }

// Close frees the pools. It must be called only when no generation is running.
func (r *Relay) Close() {
	r.sessions.Release()
	r.readers.Release()
}

func (r *Relay) register(requestID string, s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[requestID] = s
}

func (r *Relay) unregister(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, requestID)
}

func (r *Relay) find(requestID string) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[requestID]
}
