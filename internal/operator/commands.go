package operator

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
)

// leaveInstance compares the name in the path with that of this instance: if the address was reused
// in the meantime, another instance must not be shut down.
func (s *Server) leaveInstance(ctx context.Context, c *app.RequestContext) {
	if s.opts.Instances == nil {
		s.respondUnsupported(c)
		return
	}
	if name := c.Param("name"); name != s.opts.Instance {
		s.respondError(c, merry.Appendf(ErrRefused, "this is instance %q, not %q", s.opts.Instance, name))
		return
	}
	if err := s.opts.Instances.Leave(ctx); err != nil {
		s.respondError(c, err)
		return
	}
	c.Status(consts.StatusNoContent)
}

func (s *Server) cancelGeneration(ctx context.Context, c *app.RequestContext) {
	if s.opts.Generations == nil {
		s.respondUnsupported(c)
		return
	}
	if err := s.opts.Generations.Cancel(ctx, c.Param("name")); err != nil {
		s.respondError(c, err)
		return
	}
	c.Status(consts.StatusNoContent)
}

func (s *Server) loadModel(ctx context.Context, c *app.RequestContext) {
	if s.opts.Models == nil {
		s.respondUnsupported(c)
		return
	}
	var command operatorapi.EngineCommand
	if !s.decode(c, &command) {
		return
	}
	if command.Server == "" {
		s.respondInvalidField(c, "server", "is missing")
		return
	}
	outcome, err := s.opts.Models.Load(ctx, s.opts.Now(), c.Param("name"), command)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, outcome)
}

func (s *Server) setLogLevel(_ context.Context, c *app.RequestContext) {
	var req operatorapi.LogLevel
	if !s.decode(c, &req) {
		return
	}
	level, err := zerolog.ParseLevel(req.Level)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		s.respondInvalidField(c, "level", "must be one of debug, info, warn, error")
		return
	}
	zerolog.SetGlobalLevel(level)
	s.opts.Log.WithLevel(zerolog.InfoLevel).Str("level", req.Level).Msg("Log level changed.")
	c.Status(consts.StatusNoContent)
}
