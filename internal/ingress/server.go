// Package ingress serves callers whose requests are routed by host and path to
// backend servers: model engines, whose generations it relays event by event
// and carries on when their engine leaves, and plain services.
//
// One request goes through one file after the other: request.go matches it to
// route and workspace, attempts.go sends it to backend servers until one has
// an answer, stream.go relays a generation, carry.go moves it to another
// engine.
//
// # Usage
//
//	s, err := ingress.NewServer(ingress.Options{...})
//	go s.Run(ctx)
//	...
//	s.Drain(now)
//	s.Close()
package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/outlierpeer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 8 << 20
	// readTimeout bounds reading one request.
	readTimeout = 10 * time.Second
	// writeTimeout bounds a write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
	// idleTimeout ends unused connections. It is above what callers are told
	// they may reuse, so that a request doesn't cross a close.
	idleTimeout = 60 * time.Second
	// closeEvery is how often a server that was closed while it began to serve
	// is closed again; it takes some milliseconds to begin.
	closeEvery = 20 * time.Millisecond
	// carries bounds the generations that are being moved at the same time.
	carries = 64
	// directoryKeep is how long callers may keep an answer of the directory.
	// Some keep it three times as long, within which a dead instance costs
	// them a failed connection.
	directoryKeep = time.Second
)

// Options configures a [Server].
type Options struct {
	// Callers, Ready and Directory are the listeners for requests, for the
	// platform's check and for callers that ask where to connect.
	Callers   net.Listener
	Ready     net.Listener
	Directory net.Listener
	Zone      string
	State     *observed.State
	Dialect   dialect.Dialect
	Balancer  *balancer.Balancer
	Retries   *retry.Budgets
	// Instances returns how many instances share common limits.
	Instances func() int
	// Addresses returns the instances that a caller in a zone may use.
	Addresses func(zone string) []string
	// Planner plans with the other instances where generations begin and when
	// they are copied; nil means that this one decides alone.
	Planner *planner.Planner
	// Rollouts carries roll-outs out with the other instances; nil means that none
	// are ordered.
	Rollouts *rolloutpeer.Peer
	// Outliers finds servers that fail what others answer; nil for none.
	Outliers *outlierpeer.Peer
	// Suspects are the requests that crash servers; nil for none.
	Suspects *Suspects
	// DenyFresh is how long ago the configuration may have been confirmed for a
	// request to be denied by it; 0 for the default.
	DenyFresh time.Duration
	// Grace is how long requests have to end after [Server.Drain].
	Grace  time.Duration
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

// Server serves callers.
type Server struct {
	opts     Options
	fields   dialect.Fields
	internal map[string]bool
	hertz    []*server.Hertz
	upstream *upstream.Client
	runs     *runs
	carriers *ants.Pool
	log      zerolog.Logger
	started  time.Time

	mu     sync.Mutex
	closed bool
	// served is closed when serving has ended; nil before it begins.
	served chan struct{}

	draining  atomic.Bool
	drainedAt atomic.Int64
	running   atomic.Int64
}

// NewServer returns a server that is ready to run.
func NewServer(opts Options) (*Server, error) {
	s := &Server{
		opts: opts, fields: opts.Dialect.Fields, internal: map[string]bool{}, upstream: upstream.New(),
		runs: newRuns(), log: opts.Log, started: opts.Now(),
	}
	for _, name := range opts.Dialect.Fields.Internal {
		s.internal[strings.ToLower(name)] = true
	}
	if s.opts.DenyFresh == 0 {
		s.opts.DenyFresh = denyFresh
	}
	var err error
	if s.carriers, err = ants.NewPool(carries, ants.WithNonblocking(true)); err != nil {
		return nil, merry.Prepend(err, "make pool of carriers")
	}
	callers, ready, directory := newHertz(opts.Callers), newHertz(opts.Ready), newHertz(opts.Directory)
	callers.NoRoute(s.handle)
	ready.GET(opts.Dialect.Paths.Ready, s.ready)
	directory.GET(opts.Dialect.Paths.Directory, s.directory)
	s.hertz = []*server.Hertz{callers, ready, directory}
	return s, nil
}

func newHertz(listener net.Listener) *server.Hertz {
	options := []config.Option{
		server.WithListener(listener),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(0),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
	}
	return server.New(options...)
}

// Run serves until Close.
func (s *Server) Run(ctx context.Context) error {
	if !s.begin() {
		return nil
	}
	failed := make(chan error, len(s.hertz))
	var serving sync.WaitGroup
	for _, h := range s.hertz {
		serving.Go(func() { failed <- serveOn(h) })
	}
	go func() { serving.Wait(); close(s.served) }()
	go s.carry(ctx)
	for range s.hertz {
		if err := <-failed; err != nil && ctx.Err() == nil && !s.draining.Load() {
			return merry.Prepend(err, "serve callers")
		}
	}
	return nil
}

// begin reports whether the server may serve: not after it was closed.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.served = make(chan struct{})
	return true
}

// ErrListener means that a listener failed.
var ErrListener = merry.Sentinel("listener failed")

// serveOn serves on one listener. The library panics when it can't be served, which
// would end the process in the middle of others' requests.
func serveOn(h *server.Hertz) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = merry.Wrap(ErrListener, merry.AppendMessagef("%v", r))
		}
	}()
	return h.Run()
}

// Ready reports whether callers may be sent here.
func (s *Server) Ready() bool { return s.opts.State.Known() && !s.draining.Load() }

// Drain fails readiness and has callers leave with their next answers.
func (s *Server) Drain(now time.Time) {
	s.drainedAt.Store(now.UnixNano())
	s.draining.Store(true)
}

// Draining reports whether the server leaves.
func (s *Server) Draining() bool { return s.draining.Load() }

// Running returns how many requests are at work.
func (s *Server) Running() int64 { return s.running.Load() }

// Close ends the listeners and with them what is still at work.
//
// The library doesn't close a server that is on its way to serve, so that it is
// closed until it has ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	served := s.served
	s.mu.Unlock()
	for s.closeAll(); served != nil; s.closeAll() {
		select {
		case <-served:
			served = nil
		case <-time.After(closeEvery):
		}
	}
	s.carriers.Release()
	s.upstream.Close()
}

func (s *Server) closeAll() {
	for _, h := range s.hertz {
		_ = h.Close()
	}
	for _, l := range []net.Listener{s.opts.Callers, s.opts.Ready, s.opts.Directory} {
		_ = l.Close()
	}
}

func (s *Server) rng() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *Server) ready(_ context.Context, c *app.RequestContext) {
	status := http.StatusOK
	if !s.Ready() {
		status = http.StatusServiceUnavailable
	}
	c.SetStatusCode(status)
}

func (s *Server) directory(_ context.Context, c *app.RequestContext) {
	addresses := s.opts.Addresses(c.Query(s.opts.Dialect.DirectoryZone))
	c.Data(http.StatusOK, "application/json", s.opts.Dialect.Directory(addresses, directoryKeep))
}

// handle answers one request of a caller.
func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	s.running.Add(1)
	defer s.running.Add(-1)
	now := s.opts.Now()
	if s.draining.Load() {
		c.SetConnectionClose()
	}
	s.awaitStart(ctx, now)
	r, err := s.read(now, c)
	if err == nil {
		ctx, span := s.opts.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		err = s.serve(ctx, c, r)
		span.End()
	}
	if err != nil && !errors.Is(err, errBroken) {
		s.fail(c, r, err)
	}
}

// fail answers with a failure of this instance's own.
func (s *Server) fail(c *app.RequestContext, r *request, err error) {
	f := answer.Of(err)
	s.opts.Scope.Tagged(map[string]string{"code": string(f.Code)}).Counter("failures").Inc(1)
	line := s.log.Info().Int("status", f.Status).Str("code", string(f.Code)).Str("outcome", string(f.Outcome)).Dur("retryAfter", f.RetryAfter)
	if r != nil {
		line = line.Str("request", r.id).Str("service", r.serviceName()).Dur("took", s.opts.Now().Sub(r.start))
	}
	line.Msg("request failed")
	if f.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if id := c.GetHeader(s.fields.RequestID); len(id) > 0 {
		c.Response.Header.Set(s.fields.RequestID, string(id))
	}
	c.Data(f.Status, "application/json", f.JSON())
}

func (r *request) serviceName() string {
	if r.service == nil {
		return ""
	}
	return r.service.Name
}
