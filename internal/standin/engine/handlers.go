package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"pollenspindle.example/pollenspindle/internal/standin/httpserver"
)

// Run runs an engine until ctx is done, which isn't an error, or until a simulated
// crash, which returns [ErrCrashed].
func Run(ctx context.Context, opts Options) error {
	if err := opts.validate(); err != nil {
		return err
	}
	ctx, terminate := context.WithCancelCause(ctx)
	defer terminate(nil)
	s := newServer(opts, time.Now(), terminate)
	// Open streams would wait forever once the step loop has ended, so stop closes them.
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	stepsDone := make(chan struct{})
	go func() {
		defer close(stepsDone)
		s.runSteps(ctx)
	}()
	reportsDone := make(chan struct{})
	go func() {
		defer close(reportsDone)
		s.reportLoop(ctx)
	}()
	err := httpserver.Run(ctx, opts.Address, opts.Ready, s.register)
	terminate(err)
	<-stepsDone
	<-reportsDone
	if cause := context.Cause(ctx); errors.Is(cause, ErrCrashed) {
		return ErrCrashed
	}
	return err
}

func (s *Server) register(h *server.Hertz) {
	h.POST("/v1/chat/completions", func(ctx context.Context, c *app.RequestContext) { s.handleStart(ctx, c, true) })
	h.POST("/v1/completions", func(ctx context.Context, c *app.RequestContext) { s.handleStart(ctx, c, false) })
	h.GET("/v1/streams/:id", s.handleResume)
	h.DELETE("/v1/streams/:id", s.handleCancel)
	h.GET("/v1/load", s.handleLoad)
	h.GET("/v1/cache/events", s.handleCacheEvents)
	h.POST("/v1/orders", s.handleCommand)
	h.GET("/v1/state", s.handleState)
	s.registerControlEndpoints(h)
}

func (s *Server) handleStart(ctx context.Context, c *app.RequestContext, chat bool) {
	var req completionRequest
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil || !req.Stream || req.prompt() == "" {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badRequest"})
		return
	}
	g, refused := s.accept(string(c.GetHeader("X-Request-Id")), req, chat, time.Now())
	if refused != nil {
		writeRefusal(c, refused)
		return
	}
	if g == nil {
		httpserver.CloseConnection(c)
		return
	}
	s.stream(ctx, c, s.selectStream(g), 0)
}

func (s *Server) handleResume(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil || after < 0 {
		writeRefusal(c, &refusal{status: http.StatusBadRequest, code: "badPosition"})
		return
	}
	g := s.findResumable(c.Param("id"))
	if g == nil {
		writeRefusal(c, &refusal{status: http.StatusNotFound, code: "unknownStream"})
		return
	}
	s.stream(ctx, c, g, after)
}

func (s *Server) handleCancel(_ context.Context, c *app.RequestContext) {
	s.cancel(c.Param("id"), time.Now())
	c.SetStatusCode(http.StatusNoContent)
}

// stream writes the events after a position until the generation ends, the caller
// disconnects, or the engine crashes.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, g *generation, after int64) {
	r := s.addReader(g)
	defer func() { s.removeReader(g, r, time.Now()) }()
	c.Header("X-Engine-Incarnation", g.entry.Incarnation)
	c.Header("X-Request-Id", g.entry.RequestID)
	c.Header("Cache-Control", "no-cache")
	c.SetContentType("text/event-stream; charset=utf-8")
	w := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(w)
	// An empty write sends the headers at once, so that the caller knows that its
	// request was accepted before the first token is ready.
	if _, err := w.Write(nil); err != nil || w.Flush() != nil {
		return
	}
	var buf []byte
	position := after
	for {
		state := s.streamState(g)
		buf = buf[:0]
		for position < state.visibleTokens {
			position++
			buf = g.appendEvent(buf, position, false)
		}
		switch state.status {
		case StatusRunning:
		case StatusFinished:
			buf = s.appendStreamEnd(buf, g, position)
		default:
			httpserver.CloseConnection(c)
			return
		}
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			if err := w.Flush(); err != nil {
				return
			}
		}
		if state.status == StatusFinished {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
	}
}

func (s *Server) appendStreamEnd(buf []byte, g *generation, position int64) []byte {
	// A caller that already has the last event gets only the end marker.
	if position == s.streamState(g).visibleTokens {
		buf = g.appendEvent(buf, position+1, true)
	}
	return append(buf, "data: [DONE]\n\n"...)
}

func writeRefusal(c *app.RequestContext, r *refusal) {
	if r.notRun {
		c.Header("X-Not-Run", "true")
	}
	if r.retryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(r.retryAfter))
	}
	c.JSON(r.status, map[string]map[string]string{"error": {"code": r.code}})
}
