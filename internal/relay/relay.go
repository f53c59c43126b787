// Package relay carries one generation from an engine to its caller: each
// token once, in order, from one generation.
//
// Two duties work on a generation, joined by a bounded ring of messages. The
// life holds the permit and the connection to the engine, watches for silence
// and resumes; the caller's handler takes messages from the ring and writes
// them. A third, the pump, reads one connection and hands its events to the
// life, so that a silent connection can be left behind.
//
// # Usage
//
//	r, err := relay.New(relay.Options{Engine: e, Permits: p, Retries: b, Timing: t})
//	g, err := r.Generate(ctx, relay.Job{...})
//	for m := range g.Messages() {
//		switch m := m.(type) {
//		case relay.Begun: // the generation's id is known
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
	// DefaultMaxGenerations bounds the generations of one entry instance. At
	// the size to design for one has about 60 open; the bound is for the loss
	// of most instances, and keeps the rings' memory under 64 MiB or so.
	DefaultMaxGenerations = 2048
	// pumpsPerGeneration leaves room for a probe beside a silent connection.
	pumpsPerGeneration = 2
	// fullRetryAfter is said when all places are taken: some end each second.
	fullRetryAfter = time.Second
)

// ErrOptions means that New was given unusable options.
var ErrOptions = merry.New("unusable relay options")

// Options configures a [Relay].
type Options struct {
	Engine  Engine
	Permits permit.Acquirer
	Retries *retry.Budgets
	// Confirmed reports whether new work may be sent: the configuration was
	// confirmed a short while ago.
	Confirmed func(now time.Time) bool
	// Stall is how long a stream may be silent before it is probed.
	Stall time.Duration
	// Grace is how long a generation whose caller has gone is kept for the
	// caller to come back through any instance; zero takes [DefaultGrace].
	Grace time.Duration
	// SlowCaller is how long a caller that doesn't read is waited for; zero
	// takes [DefaultSlowCaller].
	SlowCaller time.Duration
	// MaxGenerations bounds the generations at the same time; zero takes
	// [DefaultMaxGenerations].
	MaxGenerations int
	Logger         zerolog.Logger
	Scope          tally.Scope
	Tracer         trace.Tracer
}

// Relay carries generations. It is safe for concurrent use.
type Relay struct {
	opts    Options
	metrics metrics
	lives   *ants.Pool
	pumps   *ants.Pool
	// evicted ends when streams are to be resumed elsewhere.
	evicted context.Context
	evict   context.CancelFunc

	mu   sync.Mutex
	held map[string]*life
}

// New returns a relay. Close frees its pools.
func New(opts Options) (*Relay, error) {
	if opts.Engine == nil || opts.Permits == nil || opts.Retries == nil || opts.Stall <= 0 {
		return nil, ErrOptions
	}
	fillOptions(&opts)
	lives, err := ants.NewPool(opts.MaxGenerations, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of generations")
	}
	pumps, err := ants.NewPool(pumpsPerGeneration*opts.MaxGenerations, ants.WithNonblocking(true))
	if err != nil {
		lives.Release()
		return nil, merry.Prepend(err, "make pool of connections")
	}
	r := &Relay{opts: opts, metrics: newMetrics(opts.Scope), lives: lives, pumps: pumps, held: map[string]*life{}}
	r.evicted, r.evict = context.WithCancel(context.Background())
	return r, nil
}

func fillOptions(opts *Options) {
	if opts.MaxGenerations == 0 {
		opts.MaxGenerations = DefaultMaxGenerations
	}
	if opts.Grace == 0 {
		opts.Grace = DefaultGrace
	}
	if opts.SlowCaller == 0 {
		opts.SlowCaller = DefaultSlowCaller
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Confirmed == nil {
		opts.Confirmed = func(time.Time) bool { return true }
	}
}

// Generation is the caller's end of one generation.
type Generation struct {
	messages chan Message
}

// Messages ends after [Finished] or [Failed]. When it ends without either,
// the caller was too slow; the generation may be resumed.
func (g *Generation) Messages() <-chan Message { return g.messages }

// Generate starts a generation. It goes on until ctx, the caller's, ends, and
// for a streamed one that has begun a grace period longer. The error is an
// *answer.Failure: all places are taken.
func (r *Relay) Generate(ctx context.Context, job Job) (*Generation, error) {
	l := newLife(ctx, r)
	l.job = job
	return r.submit(l, l.generate)
}

// Attach resumes a generation after a position. It holds no permit: the entry
// instance that started the generation accounts for it to its end.
func (r *Relay) Attach(ctx context.Context, a Attachment) (*Generation, error) {
	l := newLife(ctx, r)
	return r.submit(l, func() { l.attach(a) })
}

func (r *Relay) submit(l *life, duty func()) (*Generation, error) {
	g := &Generation{messages: l.ring}
	if err := r.lives.Submit(duty); err != nil {
		f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeTooManyStreams,
			"this entry instance carries as many generations as it can")
		f.RetryAfter = fullRetryAfter
		return nil, f
	}
	return g, nil
}

// Cancel ends a generation on its engine and frees its memory.
func (r *Relay) Cancel(ctx context.Context, address, requestID string) error {
	if l := r.find(requestID); l != nil {
		l.cancelled.Store(true)
		l.steps.Add(journal.Step{At: time.Now(), Kind: journal.Cancelled})
	}
	if err := r.opts.Engine.Cancel(ctx, address, requestID); err != nil {
		return &answer.Failure{
			Status: http.StatusBadGateway, Code: answer.CodeBackendLost, Outcome: answer.OutcomeUnknown,
			Message: "the backend server didn't confirm the cancellation; repeat it",
		}
	}
	return nil
}

// TakeOver tells that the caller of a generation held here has come back,
// perhaps through another instance, so that its grace period doesn't end it.
func (r *Relay) TakeOver(requestID string) bool {
	l := r.find(requestID)
	if l == nil {
		return false
	}
	l.takenOver.Store(true)
	l.steps.Add(journal.Step{At: time.Now(), Kind: journal.TakenOver})
	return true
}

// Evict ends all streams with a failure that tells callers to resume through
// another instance; generations that haven't begun are cancelled.
func (r *Relay) Evict() { r.evict() }

// Running counts the generations held, also those whose callers have gone.
func (r *Relay) Running() int { return r.lives.Running() }

// Close frees the pools. Call it when no generation is running.
func (r *Relay) Close() {
	r.lives.Release()
	r.pumps.Release()
}

func (r *Relay) hold(requestID string, l *life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[requestID] = l
}

func (r *Relay) drop(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, requestID)
}

func (r *Relay) find(requestID string) *life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[requestID]
}
