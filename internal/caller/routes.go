package caller

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/callerconn"
	"pollenspindle.example/pollenspindle/internal/generation"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// shutdownRetryAfter is the Retry-After of an instance that shuts down. It is short, since other
// instances can serve the request immediately.
const shutdownRetryAfter = 100 * time.Millisecond

func newHertz(listener *callerconn.Listener) *server.Hertz {
	h := server.New(append(listener.ServerOptions(),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithDisablePreParseMultipartForm(true),
		// Handlers read the body themselves, so that they can reject one that is too large with
		// the usual failure and without reading the rest.
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(2*maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(endMargin),
	)...)
	h.Use(listener.Handle)
	return h
}

// handler serves one request. If it returns an error, it has written nothing.
type handler func(ctx context.Context, c *app.RequestContext) error

func (s *Server) routes() {
	h := s.hertz
	h.GET("/healthz", s.wrapOpen("healthz", s.healthz))
	h.GET("/readyz", s.wrapOpen("readyz", s.readyz))
	h.GET("/v1/instances", s.wrapOpen("instances", s.instances))
	h.GET("/v1/models", s.wrap("models", s.models))
	h.POST("/v1/chat/completions", s.wrap("chat", s.chat))
	h.POST("/v1/completions", s.wrap("completions", s.completions))
	h.GET("/v1/generations/:id", s.wrap("resume", s.resume))
	h.DELETE("/v1/generations/:id", s.wrap("cancel", s.cancel))
	// Served during a shutdown too, since the instance may hold the generation until its end.
	h.POST("/v1/generations/:id/takeover", s.wrapOpen("takeover", s.serveResumeNotice))
	h.Any("/v1/services/:service", s.wrap("service", s.service))
	h.Any("/v1/services/:service/*path", s.wrap("service", s.service))
	h.NoRoute(s.wrapOpen("none", noRoute))
}

func noRoute(context.Context, *app.RequestContext) error {
	return answer.NotRun(http.StatusNotFound, answer.CodeNotFound, "path: unknown")
}

// wrapOpen returns a hertz handler for requests that bypass the gate and are served during a
// shutdown too, such as probes and the list of instances.
func (s *Server) wrapOpen(name string, h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		defer s.recover(c, name, nil)
		if err := h(ctx, c); err != nil {
			s.fail(c, name, err)
		}
	}
}

// wrap returns a hertz handler for requests that pass the gate and are traced.
func (s *Server) wrap(name string, h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		// A full or stopping instance refuses immediately: the caller reaches another instance
		// sooner than it would leave a queue here.
		switch s.gate.Enter() {
		case gateStopped:
			s.fail(c, name, &permit.Refusal{Reason: permit.ReasonShuttingDown, RetryAfter: shutdownRetryAfter})
			return
		case gateFull:
			f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeTooManyStreams, "this entry instance serves its maximum number of requests")
			f.RetryAfter = time.Second
			s.fail(c, name, f)
			return
		case admitted:
		}
		defer s.gate.Leave()
		entry := s.beginEntry(c, name)
		defer s.recover(c, name, entry)
		ctx, span := s.startSpan(ctx, time.Now(), c, name)
		defer span.End()
		span.SetAttributes(attribute.String("request.id", string(c.Response.Header.Peek(headerRequest))))
		if err := h(journal.NewContext(ctx, entry), c); err != nil {
			entry.End(time.Now(), endState(err), string(answer.FromError(err).Code))
			span.SetAttributes(attribute.String("error.code", string(answer.FromError(err).Code)))
			s.fail(c, name, err)
		}
	}
}

// beginEntry assigns the request ID and starts the request's journal entry. Every caller gets the
// ID, so that an operator can look up refused requests too.
func (s *Server) beginEntry(c *app.RequestContext, name string) *journal.Entry {
	id, err := s.codec.FormatRequest(generation.RequestID{Entry: s.opts.Address, Unique: uuid.NewString()})
	if err != nil {
		return nil
	}
	c.Response.Header.Set(headerRequest, id)
	return s.opts.Journal.Begin(time.Now(), id, name)
}

func endState(err error) journal.State {
	if answer.FromError(err).Outcome == answer.OutcomeNotRun {
		return journal.Refused
	}
	return journal.Failed
}

// startSpan starts the span of this hop as a child of the caller's span.
//
// A rate limit applies to requests that their callers mark as sampled, since any caller, even one
// without a token, could mark all its requests: recording and exporting spans of every hop would
// slow down the streams of other callers. Above the limit a request keeps its trace ID and is
// served without spans.
func (s *Server) startSpan(ctx context.Context, now time.Time, c *app.RequestContext, name string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{
		"traceparent": string(c.GetHeader("traceparent")),
		"tracestate":  string(c.GetHeader("tracestate")),
	}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	if parent := trace.SpanContextFromContext(ctx); parent.IsSampled() && !s.traceLimiter.AllowN(now, 1) {
		ctx = trace.ContextWithRemoteSpanContext(ctx, parent.WithTraceFlags(parent.TraceFlags().WithSampled(false)))
	}
	return s.tracer.Start(ctx, "caller."+name, trace.WithSpanKind(trace.SpanKindServer))
}

// recover turns a panic into a failure, so that one bad request doesn't end the process, which
// serves many others. The outcome of the request is unknown.
func (s *Server) recover(c *app.RequestContext, name string, entry *journal.Entry) {
	r := recover()
	if r == nil {
		return
	}
	entry.End(time.Now(), journal.Failed, string(answer.CodeInternal))
	s.scope.Counter("panics").Inc(1)
	s.log.Error().Str("route", name).Interface("panic", r).Bytes("stack", debug.Stack()).Msg("handler panicked")
	if c.Response.GetHijackWriter() == nil {
		s.fail(c, name, &answer.Failure{
			Status: http.StatusInternalServerError, Code: answer.CodeInternal,
			Message: "internal failure", Outcome: answer.OutcomeUnknown,
		})
		return
	}
	c.SetConnectionClose()
}

// fail writes the failure response for err.
func (s *Server) fail(c *app.RequestContext, name string, err error) {
	f := answer.FromError(err)
	s.scope.Tagged(map[string]string{"code": string(f.Code)}).Counter("failures").Inc(1)
	s.log.Debug().Str("route", name).Str("code", string(f.Code)).Str("outcome", string(f.Outcome)).Err(err).Msg("request failed")
	if f.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.FormatInt(f.RetryAfterSeconds(), 10))
	}
	if f.Status == http.StatusUnauthorized {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	if c.Request.IsBodyStream() && !isBodyRead(c) {
		// The unread rest of the body would be parsed as the next request.
		c.SetConnectionClose()
	}
	c.Data(f.Status, "application/json", f.JSON())
}

func bearerToken(c *app.RequestContext) (string, bool) {
	scheme, token, ok := strings.Cut(string(c.GetHeader("Authorization")), " ")
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}
