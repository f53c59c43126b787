// Package caller is the HTTP API towards callers: which entry instances to
// use, generations in OpenAI's form, and calls to plain services.
//
// # Usage
//
//	s, err := caller.NewServer(caller.Options{Address: "10.0.0.1:8080", ...})
//	go s.Run(ctx)
//	...
//	s.Drain()         // fail readiness, go on accepting
//	s.Shutdown(ctx)   // wait out answers of /v1/instances, end every stream, stop
package caller

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/forward"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/placement"
	"pollenspindle.example/pollenspindle/internal/relay"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/settings"
)

const (
	// maxHeaderBytes is room for a long token and trace headers.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds bodies before the configuration's own limit is
	// known, and when it sets none.
	maxBodyBytes = 8 << 20
	// maxConnections bounds the callers connected at the same time; a further
	// connection is closed at once.
	maxConnections = 8192
	// maxRequests bounds the requests at work; a further one is refused.
	maxRequests = 4096
	// readTimeout bounds reading one request, so that a caller that sends a
	// byte a minute doesn't hold a connection.
	readTimeout = 20 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 90 * time.Second
	// backgroundPool bounds the notices to other entry instances under way; a
	// further one is dropped and counted.
	backgroundPool = 64
	// drainMargin is added to how long callers keep an answer of
	// /v1/instances: it covers the way of the answer.
	drainMargin = 500 * time.Millisecond
	// endMargin is how long handlers get to write their last event.
	endMargin = 2 * time.Second
)

// ErrOptions means that NewServer was given unusable options.
var ErrOptions = merry.New("unusable caller options")

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	Snapshot() *config.Snapshot
	// Confirmed reports whether the configuration was confirmed with the
	// platform or a peer during the time before now.
	Confirmed(now time.Time, within time.Duration) bool
}

// Instance is an entry instance that callers may use.
type Instance struct {
	ID      string
	Address string
	Zone    string
}

// Instances gives the live entry instances that aren't leaving, and the epoch.
type Instances interface {
	Live() ([]Instance, int64)
}

// Options configures a [Server].
type Options struct {
	// Address is where callers reach this instance; that of the listener if
	// it is empty. Listener is one of [Listen].
	Address   string
	Listener  net.Listener
	Config    ConfigSource
	Instances Instances
	Permits   permit.Acquirer
	Engine    relay.Engine
	Services  forward.Client
	// Claims may be nil; then calls with an idempotency key are refused.
	Claims        forward.Claims
	Retries       *retry.Budgets
	GenerationKey []byte
	// AcceptedGenerationKeys are further keys whose ids are read.
	AcceptedGenerationKeys [][]byte
	Timing                 settings.Timing
	// Grace is how long a generation is kept for a caller that has gone; zero
	// takes [relay.DefaultGrace].
	Grace time.Duration
	// SlowCaller is how long a caller may leave unread or unacknowledged what
	// is written to it; zero takes [relay.DefaultSlowCaller].
	SlowCaller time.Duration
	// Journal keeps the steps of requests; nil keeps none.
	Journal *journal.Journal
	Logger  zerolog.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	// CallerTraces bounds the requests a second that are traced because their
	// callers ask for it; zero allows none.
	CallerTraces int
}

// Server serves callers.
type Server struct {
	opts       Options
	hertz      *server.Hertz
	relay      *relay.Relay
	forward    *forward.Forwarder
	codec      *generation.Codec
	gate       *gate
	prefixes   *placement.Prefixes
	background *ants.Pool
	peers      *peerCaller
	log        zerolog.Logger
	scope      tally.Scope
	tracer     trace.Tracer
	// asked bounds the traces that callers ask for.
	asked *rate.Limiter
}

// NewServer returns a server that is ready to run.
func NewServer(opts Options) (*Server, error) {
	if err := checkOptions(&opts); err != nil {
		return nil, err
	}
	codec, err := generation.NewCodec(opts.GenerationKey, opts.AcceptedGenerationKeys...)
	if err != nil {
		return nil, merry.Wrap(ErrOptions, merry.WithCause(err))
	}
	s := &Server{
		opts: opts, codec: codec, gate: newGate(maxRequests), log: opts.Logger,
		prefixes: placement.NewPrefixes(), scope: opts.Scope, tracer: opts.Tracer,
		asked: rate.NewLimiter(rate.Limit(opts.CallerTraces), opts.CallerTraces),
	}
	if s.relay, err = newRelay(opts, s.confirmed); err != nil {
		return nil, err
	}
	if s.forward, err = newForwarder(opts, s.confirmed); err != nil {
		return nil, err
	}
	if s.background, err = ants.NewPool(backgroundPool, ants.WithNonblocking(true)); err != nil {
		return nil, merry.Wrap(ErrOptions, merry.WithCause(err))
	}
	if s.peers, err = newPeerCaller(); err != nil {
		return nil, err
	}
	if err := bound(opts.Listener, opts.SlowCaller); err != nil {
		return nil, err
	}
	s.hertz = newHertz(opts)
	s.routes()
	return s, nil
}

func checkOptions(opts *Options) error {
	if opts.Listener == nil || opts.Config == nil || opts.Instances == nil || opts.Permits == nil || opts.Engine == nil || opts.Services == nil {
		return ErrOptions
	}
	if opts.Retries == nil {
		return merry.Prepend(ErrOptions, "retry budgets are missing")
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.SlowCaller == 0 {
		opts.SlowCaller = relay.DefaultSlowCallerTimeout
	}
	if opts.Tracer == nil {
		opts.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if opts.Address == "" {
		opts.Address = opts.Listener.Addr().String()
	}
	return nil
}

func newRelay(opts Options, confirmed func(time.Time) bool) (*relay.Relay, error) {
	return relay.New(relay.Options{
		Engine: opts.Engine, Permits: opts.Permits, Retries: opts.Retries, Confirmed: confirmed,
		StallTimeout: time.Duration(opts.Timing.StallMillis) * time.Millisecond, GracePeriod: opts.Grace, SlowCallerTimeout: opts.SlowCaller,
		Logger: opts.Logger, Scope: opts.Scope.SubScope("relay"), Tracer: opts.Tracer,
	})
}

func newForwarder(opts Options, confirmed func(time.Time) bool) (*forward.Forwarder, error) {
	return forward.New(forward.Options{
		Client: opts.Services, Permits: opts.Permits, Claims: opts.Claims, Retries: opts.Retries,
		Confirmed: confirmed, Logger: opts.Logger, Scope: opts.Scope.SubScope("forward"), Tracer: opts.Tracer,
	})
}

// Run serves until Shutdown. The error is nil after a shutdown.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.hertz.Close() })
	defer stop()
	if err := s.hertz.Run(); err != nil {
		return merry.Prepend(err, "serve callers")
	}
	return nil
}

// Drain fails readiness. Requests are still accepted: callers that hold an
// older answer of /v1/instances go on coming until it expires.
func (s *Server) Drain() { s.gate.Drain() }

// Shutdown drains, waits until no caller holds an answer of /v1/instances
// that named this instance, then takes no new work and lets every request
// end. What hasn't ended after the stop limit, or when ctx ends, is told to
// resume through another instance.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	wait(ctx, time.Duration(s.opts.Timing.AddressSeconds)*time.Second+drainMargin)
	idle := s.gate.Stop()
	s.log.Info().Int("running", s.relay.Running()).Msg("stopped taking work")
	if !waitFor(ctx, idle, time.Duration(s.opts.Timing.StopSeconds)*time.Second) {
		s.log.Warn().Int("running", s.relay.Running()).Msg("stop limit reached, callers resume elsewhere")
	}
	s.relay.Evict()
	waitFor(context.WithoutCancel(ctx), idle, endMargin)
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endMargin)
	defer cancel()
	if err := s.hertz.Shutdown(endCtx); err != nil {
		s.log.Debug().Err(err).Msg("listener closed late")
	}
	s.relay.Close()
	s.forward.Close()
	s.background.Release()
	s.peers.Close()
}

func (s *Server) confirmed(now time.Time) bool {
	return s.opts.Config.Confirmed(now, time.Duration(s.opts.Timing.ConfirmMillis)*time.Millisecond)
}

func wait(ctx context.Context, d time.Duration) { waitFor(ctx, nil, d) }

// waitFor reports whether done came before d and the end of ctx.
func waitFor(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
