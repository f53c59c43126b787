// Package caller serves the HTTP API for callers: the list of entry instances, generations in
// OpenAI's format, and calls to plain services.
//
// # Usage
//
//	s, err := caller.NewServer(caller.Options{Address: "10.0.0.1:8080", ...})
//	go s.Run(ctx)
//	...
//	s.Drain()         // fail readiness, keep accepting requests
//	s.Shutdown(ctx)   // wait until cached instance lists expire, end all streams, stop
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

	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/connlimit"
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
	// maxHeaderBytes is enough for a long token and trace headers.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes limits request bodies while the configuration's limit is unknown or unset,
	// and is the upper end of that limit.
	maxBodyBytes = 8 << 20
	// maxConnections limits the open connections of callers. Further ones are closed
	// immediately: a reconnect storm of callers would use up all file descriptors, and the instance
	// could reach neither engines nor peers.
	maxConnections = 8192
	// maxRequests limits the running requests. Further ones are refused.
	maxRequests = 4096
	// readTimeout limits the reading of one request, so that a caller that sends a byte a minute
	// doesn't occupy a connection.
	readTimeout = 20 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 90 * time.Second
	// maxNotices limits the concurrent notices to other entry instances. Further ones are
	// dropped and counted.
	maxNotices = 64
	// drainMargin is added to the time for which callers may cache a response of /v1/instances.
	// It covers the network delay of the response.
	drainMargin = 500 * time.Millisecond
	// endMargin is the time that handlers have at a shutdown to write their last event.
	endMargin = 2 * time.Second
)

// ErrOptions means that the options of [NewServer] are invalid.
var ErrOptions = merry.New("unusable caller options")

// ConfigSource provides the active configuration.
type ConfigSource interface {
	Snapshot() *config.Snapshot
	// Confirmed reports whether the platform or a peer confirmed the configuration at most maxAge
	// before now.
	Confirmed(now time.Time, maxAge time.Duration) bool
}

// Instance is an entry instance that callers may use.
type Instance struct {
	ID      string
	Address string
	Zone    string
}

// Instances provides the live entry instances that aren't leaving, and the roster's epoch.
type Instances interface {
	Live() ([]Instance, int64)
}

// Options configures a [Server].
type Options struct {
	// Address is where callers reach this instance; empty means the listener's address. Listener
	// comes from [Listen].
	Address  string
	Listener net.Listener
	// Connections bounds what callers' connections and heads hold; nil for no limit.
	Connections *connlimit.Account
	Config      ConfigSource
	Instances   Instances
	// AwaitResume waits for the confirmation of the configuration after a pause of the process, for
	// a limited time; nil if there is none.
	AwaitResume func(ctx context.Context)
	Permits     permit.Acquirer
	Engine      relay.Engine
	Services    forward.Client
	// Claims may be nil: calls with an idempotency key are then refused.
	Claims        forward.Claims
	Retries       *retry.Budgets
	GenerationKey []byte
	// AcceptedGenerationKeys are further keys whose generation IDs are accepted.
	AcceptedGenerationKeys [][]byte
	Timing                 settings.Timing
	// GracePeriod is how long a generation keeps running after its caller disconnected; zero means
	// [relay.DefaultGracePeriod].
	GracePeriod time.Duration
	// SlowCallerTimeout is how long data written to a caller may stay unread or unacknowledged;
	// zero means [relay.DefaultSlowCallerTimeout].
	SlowCallerTimeout time.Duration
	// Journal records the steps of requests; nil records none.
	Journal *journal.Journal
	Logger  zerolog.Logger
	Scope   tally.Scope
	Tracer  trace.Tracer
	// CallerTracesPerSecond limits the requests per second that are traced because their callers
	// sampled them; zero allows none.
	CallerTracesPerSecond int
}

// Server serves the HTTP API for callers.
type Server struct {
	opts     Options
	hertz    *server.Hertz
	callers  *callerconn.Listener
	relay    *relay.Relay
	forward  *forward.Forwarder
	codec    *generation.Codec
	gate     *gate
	prefixes *placement.Prefixes
	notices  *ants.Pool
	peers    *peerClient
	log      zerolog.Logger
	scope    tally.Scope
	tracer   trace.Tracer
	// traceLimiter limits the requests that are traced because their callers sampled them.
	traceLimiter *rate.Limiter
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
		traceLimiter: rate.NewLimiter(rate.Limit(opts.CallerTracesPerSecond), opts.CallerTracesPerSecond),
	}
	if s.relay, err = newRelay(opts, s.isConfirmed); err != nil {
		return nil, err
	}
	if s.forward, err = newForwarder(opts, s.isConfirmed); err != nil {
		return nil, err
	}
	if s.notices, err = ants.NewPool(maxNotices, ants.WithNonblocking(true)); err != nil {
		return nil, merry.Wrap(ErrOptions, merry.WithCause(err))
	}
	s.peers = newPeerClient()
	if err := limitUnread(opts.Listener, opts.SlowCallerTimeout); err != nil {
		return nil, err
	}
	s.callers, err = callerconn.NewListener(opts.Listener, callerconn.Options{
		ReadTimeout: readTimeout, WriteTimeout: opts.SlowCallerTimeout, MaxConnections: maxConnections, Account: opts.Connections,
		MaxHeadBytes: func() int { return maxHeaderBytes },
		Log:          opts.Logger, Scope: opts.Scope.SubScope("callers"),
	})
	if err != nil {
		return nil, merry.Wrap(ErrOptions, merry.WithCause(err))
	}
	s.hertz = newHertz(s.callers)
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
	if opts.SlowCallerTimeout == 0 {
		opts.SlowCallerTimeout = relay.DefaultSlowCallerTimeout
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
		StallTimeout: time.Duration(opts.Timing.StallMillis) * time.Millisecond, GracePeriod: opts.GracePeriod, SlowCallerTimeout: opts.SlowCallerTimeout,
		Logger: opts.Logger, Scope: opts.Scope.SubScope("relay"), Tracer: opts.Tracer,
	})
}

func newForwarder(opts Options, confirmed func(time.Time) bool) (*forward.Forwarder, error) {
	return forward.New(forward.Options{
		Client: opts.Services, Permits: opts.Permits, Claims: opts.Claims, Retries: opts.Retries,
		Confirmed: confirmed, Logger: opts.Logger, Scope: opts.Scope.SubScope("forward"), Tracer: opts.Tracer,
	})
}

// Run serves callers until [Server.Shutdown] and then returns nil.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.hertz.Close() })
	defer stop()
	if err := s.hertz.Run(); err != nil {
		return merry.Prepend(err, "serve callers")
	}
	return nil
}

// Drain makes the readiness probe fail. Requests are still accepted, since callers with an older
// response of /v1/instances keep using this instance until that expires.
func (s *Server) Drain() { s.gate.Drain() }

// Shutdown drains and waits until every response of /v1/instances that lists this instance has
// expired. It then refuses new requests and waits for the running ones. Callers of streams that
// still run after [settings.Timing.StopSeconds], or when ctx ends, are asked to resume through
// another instance.
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
	s.callers.Shutdown(endCtx)
	if err := s.hertz.Shutdown(endCtx); err != nil {
		s.log.Debug().Err(err).Msg("listener closed late")
	}
	s.relay.Close()
	s.forward.Close()
	s.notices.Release()
	s.peers.Close()
}

// awaitResume waits after a pause of the process before a request is authenticated.
func (s *Server) awaitResume(ctx context.Context) {
	if s.opts.AwaitResume != nil {
		s.opts.AwaitResume(ctx)
	}
}

func (s *Server) isConfirmed(now time.Time) bool {
	return s.opts.Config.Confirmed(now, time.Duration(s.opts.Timing.ConfirmMillis)*time.Millisecond)
}

func wait(ctx context.Context, d time.Duration) { waitFor(ctx, nil, d) }

// waitFor reports whether done was closed before d passed and before ctx ended.
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
