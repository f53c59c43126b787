// Package ingress serves callers whose requests are routed by host and path to backend servers:
// model engines, whose generations are relayed event by event and migrated when their engine
// leaves, and plain services.
//
// A request is handled in this order: request.go matches it to its route and workspace, attempts.go
// sends it to backend servers until one responds, stream.go relays a generation, migrations.go and
// migrator.go move the generation to another engine, silence.go finds engines that send nothing.
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
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/handover"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/lengthpeer"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/originpeer"
	"pollenspindle.example/pollenspindle/internal/outlierpeer"
	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/trialpeer"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// maxHeadBytes limits the header fields of a request unless the configuration does.
	maxHeadBytes = 16 << 10
	// maxLibraryHeadBytes is the limit of the HTTP library, above any that a configuration names.
	maxLibraryHeadBytes = 8 << 20
	maxBodyBytes        = 8 << 20
	// readTimeout limits the wait for the first byte of a connection, and for further ones of a body, and is the
	// time for a head unless the configuration allows more.
	readTimeout = 10 * time.Second
	// writeTimeout limits a write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
	// idleTimeout closes idle connections. It exceeds the time for which callers may reuse them, so
	// that no request meets a connection that is being closed.
	idleTimeout = 60 * time.Second
	// closeRetryInterval is how often closing is repeated for a server that was starting when it
	// was closed; a start takes some milliseconds.
	closeRetryInterval = 20 * time.Millisecond
	// maxWorkers limits the concurrent background tasks, most of which are migrations.
	maxWorkers = 64
	// invalidLoadInterval is the minimum time between two log lines of invalid loads.
	invalidLoadInterval = 10 * time.Second
	// directoryTTL is how long callers may cache a directory response. Some cache it three times as
	// long; in that time an instance that is down costs them a failed connection.
	directoryTTL = time.Second
)

// Options configures a [Server].
type Options struct {
	// Callers, Ready and Directory are the listeners for requests, for the platform's readiness
	// check and for callers that look up instances.
	Callers   net.Listener
	Ready     net.Listener
	Directory net.Listener
	// Connections bounds what callers' connections and heads hold; nil for no limit.
	Connections *connlimit.Account
	Zone        string
	// Dial opens connections to backend servers; nil for plain TCP.
	Dial httpclient.DialFunc
	// LinksLost reports whether the instance's own links to all backend servers are lost; nil for never.
	LinksLost func() bool
	State     *platformstate.State
	Dialect   dialect.Dialect
	Balancer  *balancer.Balancer
	Retries   *retry.SharedBudgets
	// Instances returns the number of instances that share common limits.
	Instances func() int
	// Addresses returns the instances for callers in an availability zone.
	Addresses func(zone string) []string
	// Handover observes the notices of engines and makes handovers keep to them; nil if they don't.
	Handover *handover.Watch
	// Planner plans, together with the other instances, where generations start and when they are
	// migrated; nil means that this instance decides alone.
	Planner *planner.Planner
	// Pace, if set, holds what this instance measures of the pace of engines.
	Pace *pace.Observations
	// LengthKey, if set, lets generations wait at the planner while engines have no free memory.
	LengthKey LengthKey
	// Rollouts runs rollouts together with the other instances; nil for none.
	Rollouts *rolloutpeer.Peer
	// Outliers detects servers that fail requests which other servers don't fail; nil for none.
	Outliers *outlierpeer.Peer
	// Lengths learns output lengths together with the other instances; nil means that only the
	// caller's hint is known.
	Lengths *lengthpeer.Peer
	// Origins tells the instances which server began a stream; nil if there are no others.
	Origins *originpeer.Peer
	// Suspects holds the requests that crash servers; nil for none.
	Suspects *Suspects
	// Trials lets instances try a suspected part of prompts one at a time; nil if there are no others.
	Trials *trialpeer.Peer
	// Refresh asks for the crash suspects that this instance may lack, after its start or a pause, and reports
	// whether it has them; nil if there is nobody to ask.
	Refresh func(ctx context.Context) bool
	// Limits holds the limits that backend servers have named.
	Limits *pushback.Limits
	// Pauses holds until when backend servers want no request from this instance.
	Pauses *pushback.Pauses
	// Brittle holds the backend servers that crash if they reject many requests; nil for none.
	Brittle *pushback.Brittle
	// DenyMaxAge is the maximum age of the last confirmation of the configuration with which a
	// request may be denied; 0 for the default.
	DenyMaxAge time.Duration
	// MemoryBytes is the memory that the process may use; 0 for the default.
	MemoryBytes int64
	// DetectSilence moves streams whose engine sends nothing, instead of only those that are stalled.
	DetectSilence bool
	// Grace is the time for requests to complete after [Server.Drain].
	Grace  time.Duration
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

// Server serves callers.
type Server struct {
	opts           Options
	fields         dialect.Fields
	internalFields map[string]bool
	hertz          []*server.Hertz
	callers        *callerconn.Listener
	ready          *callerconn.Listener
	directory      *callerconn.Listener
	upstream       *upstream.Client
	memory         *memoryBudget
	streams        *activeStreams
	workers        *ants.Pool
	crashes        *crashChecks
	resumed        resumeGuard
	// streamBegan wakes migrateGenerations for a stream that has begun on a leaving engine.
	streamBegan chan struct{}
	log         zerolog.Logger
	// invalidLoads logs a few of the invalid values that servers state in every response.
	invalidLoads zerolog.Logger
	startedAt    time.Time
	// silence is nil if [Options.DetectSilence] is off.
	silence *silenceDetector

	// runs notices when this process didn't run.
	runs runWatch

	mu     sync.Mutex
	closed bool
	// serveDone is closed when serving has ended; nil before it starts.
	serveDone chan struct{}

	// lastPaceRequest is when a migration for pace was last requested; used by one goroutine.
	lastPaceRequest time.Time

	draining  atomic.Bool
	drainedAt atomic.Int64
	// refusesConnections is set once callers can't open connections any more.
	refusesConnections atomic.Bool
	running            atomic.Int64
	// roomWaiters counts the requests that wait for room on brittle servers.
	roomWaiters atomic.Int64
	// trialWaiters counts the requests that wait for a trial.
	trialWaiters atomic.Int64
}

// NewServer returns a server that is ready to run.
func NewServer(opts Options) (*Server, error) {
	s := &Server{
		opts: opts, fields: opts.Dialect.Fields, internalFields: map[string]bool{}, memory: newMemoryBudget(opts.MemoryBytes),
		streams: newActiveStreams(), streamBegan: make(chan struct{}, 1), log: opts.Log, startedAt: opts.Now(),
		invalidLoads: opts.Log.Sample(&zerolog.BurstSampler{Burst: 1, Period: invalidLoadInterval}),
	}
	s.upstream = upstream.New(s.memory, opts.Dial)
	for _, name := range opts.Dialect.Fields.Internal {
		s.internalFields[strings.ToLower(name)] = true
	}
	if s.opts.Dial == nil {
		s.opts.Dial = httpclient.DialTCP
	}
	if s.opts.LinksLost == nil {
		s.opts.LinksLost = func() bool { return false }
	}
	if s.opts.Brittle == nil {
		s.opts.Brittle = pushback.NewBrittle()
	}
	if s.opts.DenyMaxAge == 0 {
		s.opts.DenyMaxAge = denyMaxAge
	}
	var err error
	if s.opts.Origins == nil {
		if s.opts.Origins, err = originpeer.New(originpeer.Options{Table: membership.NewTable(membership.Record{}), Now: opts.Now}); err != nil {
			return nil, err
		}
	}
	if s.workers, err = ants.NewPool(maxWorkers, ants.WithNonblocking(true)); err != nil {
		return nil, merry.Prepend(err, "make worker pool")
	}
	if s.crashes, err = newCrashChecks(s); err != nil {
		return nil, merry.Prepend(err, "make pool of crash checks")
	}
	if opts.DetectSilence {
		s.silence = newSilenceDetector(s)
	}
	for _, listen := range []struct {
		name  string
		class connlimit.Class
		on    **callerconn.Listener
		tcp   net.Listener
		log   zerolog.Logger
		route func(h *server.Hertz)
	}{
		{"callers", connlimit.Callers, &s.callers, opts.Callers, opts.Log, func(h *server.Hertz) { h.NoRoute(s.handle) }},
		{"ready", connlimit.Internal, &s.ready, opts.Ready, zerolog.Nop(), func(h *server.Hertz) { h.GET(opts.Dialect.Paths.Ready, s.serveReady) }},
		{"directory", connlimit.Callers, &s.directory, opts.Directory, zerolog.Nop(), func(h *server.Hertz) { h.GET(opts.Dialect.Paths.Directory, s.serveDirectory) }},
	} {
		if *listen.on, err = callerconn.NewListener(listen.tcp, callerconn.Options{
			ReadTimeout: readTimeout, WriteTimeout: writeTimeout, RequestID: s.fields.RequestID, Now: opts.Now,
			Account: opts.Connections, Class: listen.class, MaxHeadBytes: s.maxHeadBytes, HeadTimeout: s.headTimeout,
			Log: listen.log, Scope: opts.Scope.Tagged(map[string]string{"role": listen.name}),
		}); err != nil {
			return nil, err
		}
		h := newHertz(*listen.on)
		h.Use(s.recoverPanic)
		listen.route(h)
		s.hertz = append(s.hertz, h)
	}
	return s, nil
}

func newHertz(listener *callerconn.Listener) *server.Hertz {
	h := server.New(append(listener.ServerOptions(),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxLibraryHeadBytes),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithStreamBody(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(0),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
	)...)
	h.Use(listener.Handle)
	return h
}

// limits returns the limits of the configuration for callers.
func (s *Server) limits() routes.Limits {
	if table := s.opts.State.Table(); table != nil {
		return table.Limits
	}
	return routes.Limits{}
}

// maxHeadBytes returns the limit for the header fields of a request.
func (s *Server) maxHeadBytes() int {
	if n := s.limits().MaxHeadBytes; n > 0 {
		return min(n, maxLibraryHeadBytes/2)
	}
	return maxHeadBytes
}

// headTimeout returns the time for the head of a request.
func (s *Server) headTimeout() time.Duration { return max(readTimeout, s.limits().HeadTimeout) }

// Run serves until Close.
func (s *Server) Run(ctx context.Context) error {
	if !s.beginServing() {
		return nil
	}
	failed := make(chan error, len(s.hertz))
	var serving sync.WaitGroup
	for _, h := range s.hertz {
		serving.Go(func() { failed <- runServer(h) })
	}
	go func() { serving.Wait(); close(s.serveDone) }()
	go s.migrateGenerations(ctx)
	go s.watchPauses(ctx)
	for range s.hertz {
		if err := <-failed; err != nil && ctx.Err() == nil && !s.draining.Load() {
			return merry.Prepend(err, "serve callers")
		}
	}
	return nil
}

// beginServing reports whether the server may start serving; it may not after Close.
func (s *Server) beginServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.serveDone = make(chan struct{})
	return true
}

// ErrListener means that a listener failed.
var ErrListener = merry.Sentinel("listener failed")

// runServer serves on one listener. It recovers the panic of the library for a listener that can't
// be served, which would otherwise end the process in the middle of other requests.
func runServer(h *server.Hertz) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = merry.Wrap(ErrListener, merry.AppendMessagef("%v", r))
		}
	}()
	return h.Run()
}

// Ready reports whether the instance accepts requests of callers.
func (s *Server) Ready() bool { return s.opts.State.Known() && !s.draining.Load() }

// Drain fails the readiness check and closes callers' connections with their next responses.
func (s *Server) Drain(now time.Time) {
	s.drainedAt.Store(now.UnixNano())
	s.draining.Store(true)
	for _, l := range s.listeners() {
		l.Drain()
	}
}

func (s *Server) listeners() []*callerconn.Listener {
	return []*callerconn.Listener{s.callers, s.ready, s.directory}
}

// StopAccepting refuses further connections of callers. Those that wait to be accepted are served.
func (s *Server) StopAccepting() {
	s.refusesConnections.Store(true)
	s.callers.StopAccepting()
}

// CloseIdle closes the connections without a request, once no caller's request is awaited, read or
// answered, and returns the number of connections that are still open. Those to the readiness check and
// the directory are refused and closed after those of callers.
func (s *Server) CloseIdle(now time.Time) int {
	if n := s.callers.CloseIdle(now); n > 0 {
		return n
	}
	n := 0
	for _, l := range []*callerconn.Listener{s.ready, s.directory} {
		l.StopAccepting()
		n += l.CloseIdle(now)
	}
	return n
}

// Draining reports whether the server is leaving.
func (s *Server) Draining() bool { return s.draining.Load() }

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Close closes the listeners and aborts the requests in progress.
//
// The library doesn't close a server that is still starting, so closing is repeated until serving
// has ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	served := s.serveDone
	s.mu.Unlock()
	for s.closeAll(); served != nil; s.closeAll() {
		select {
		case <-served:
			served = nil
		case <-time.After(closeRetryInterval):
		}
	}
	s.workers.Release()
	s.crashes.workers.Release()
	s.upstream.Close()
}

func (s *Server) closeAll() {
	for _, h := range s.hertz {
		_ = h.Close()
	}
	var closing sync.WaitGroup
	for _, l := range s.listeners() {
		closing.Go(func() { _ = l.Close() })
	}
	closing.Wait()
}

func (s *Server) rng() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *Server) serveReady(_ context.Context, c *app.RequestContext) {
	status := http.StatusOK
	if !s.Ready() {
		status = http.StatusServiceUnavailable
	}
	c.SetStatusCode(status)
}

func (s *Server) serveDirectory(_ context.Context, c *app.RequestContext) {
	addresses := s.opts.Addresses(c.Query(s.opts.Dialect.DirectoryZone))
	c.Data(http.StatusOK, "application/json", s.opts.Dialect.EncodeDirectory(addresses, directoryTTL))
}

// handle serves one request of a caller.
func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	b, err := s.readBody(c)
	if err != nil {
		s.writeFailure(c, nil, err)
		return
	}
	defer s.memory.Release(b.reserved)
	s.running.Add(1)
	defer s.running.Add(-1)
	callerconn.Watch(ctx)
	now := s.opts.Now()
	s.awaitConfiguration(ctx, now)
	r, err := s.matchRequest(now, c, b)
	if err == nil {
		ctx, span := s.opts.Tracer.Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
		err = s.serve(ctx, c, r)
		span.End()
	}
	if err != nil && !errors.Is(err, errResponseAborted) {
		s.writeFailure(c, r, err)
	}
}

// recoverPanic ends the request of a handler that panics, instead of the process, which serves many others.
func (s *Server) recoverPanic(ctx context.Context, c *app.RequestContext) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		s.opts.Scope.Counter("panics").Inc(1)
		s.log.Error().Bytes("request", c.GetHeader(s.fields.RequestID)).Interface("panic", r).Bytes("stack", debug.Stack()).Msg("handler panicked")
		if w, ok := c.Response.GetHijackWriter().(*abortableWriter); ok {
			w.aborted = true
			c.SetConnectionClose()
			return
		}
		// The head may be that of a server's response.
		c.Response.Header.ResetSkipNormalize()
		c.SetConnectionClose()
		s.writeFailure(c, nil, &answer.Failure{Status: http.StatusBadGateway, Code: answer.CodeInternal, Outcome: answer.OutcomeUnknown, Message: "internal failure"})
	}()
	c.Next(ctx)
}

// writeFailure responds with a failure of this instance.
func (s *Server) writeFailure(c *app.RequestContext, r *request, err error) {
	f := answer.FromError(err)
	s.opts.Scope.Tagged(map[string]string{"code": string(f.Code)}).Counter("failures").Inc(1)
	line := s.log.Info().Int("status", f.Status).Str("code", string(f.Code)).Str("outcome", string(f.Outcome)).Dur("retryAfter", f.RetryAfter).
		Bytes("request", c.GetHeader(s.fields.RequestID))
	if r != nil {
		line = line.Str("service", r.serviceName()).Dur("took", s.opts.Now().Sub(r.start))
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
