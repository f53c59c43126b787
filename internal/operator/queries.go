package operator

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
)

// health responds with 200 while the process runs.
func (s *Server) health(_ context.Context, c *app.RequestContext) {
	c.String(consts.StatusOK, "ok\n")
}

// readiness responds with 200 if the instance accepts new requests, otherwise with 503 and the
// reason.
func (s *Server) readiness(_ context.Context, c *app.RequestContext) {
	if s.opts.Ready == nil {
		c.String(consts.StatusOK, "ready\n")
		return
	}
	if err := s.opts.Ready(); err != nil {
		c.String(consts.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	c.String(consts.StatusOK, "ready\n")
}

func (s *Server) showConfig(ctx context.Context, c *app.RequestContext) {
	current, err := s.opts.Config.Current(ctx)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, current)
}

func (s *Server) showHistory(ctx context.Context, c *app.RequestContext) {
	limit := defaultHistory
	if text := c.Query("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			s.respondInvalidField(c, "limit", "must be from 1 to "+strconv.Itoa(maxHistory))
			return
		}
		limit = n
	}
	changes, err := s.opts.Config.History(ctx, limit)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, operatorapi.History{Changes: changes})
}

func (s *Server) showInForce(ctx context.Context, c *app.RequestContext) {
	version, err := strconv.ParseInt(c.Query("version"), 10, 64)
	if err != nil || version < 0 {
		s.respondInvalidField(c, "version", "must be a version")
		return
	}
	inForce, total, err := s.opts.Config.InForce(ctx, version)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, operatorapi.InForce{Version: version, InForce: inForce, Total: total})
}

func (s *Server) listServers(ctx context.Context, c *app.RequestContext) {
	current, err := s.opts.Config.Current(ctx)
	if err != nil {
		s.respondError(c, err)
		return
	}
	var statuses map[string]operatorapi.ServerStatus
	if s.opts.Servers != nil {
		statuses = s.opts.Servers.Statuses(ctx)
	}
	list := operatorapi.Servers{Servers: make([]operatorapi.Server, 0, len(current.Config.Servers))}
	for _, declared := range current.Config.Servers {
		list.Servers = append(list.Servers, operatorapi.Server{Server: declared, Status: statuses[declared.Name]})
	}
	c.JSON(consts.StatusOK, list)
}

func (s *Server) listInstances(ctx context.Context, c *app.RequestContext) {
	if s.opts.Instances == nil {
		s.respondUnsupported(c)
		return
	}
	list, err := s.opts.Instances.List(ctx)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, operatorapi.Instances{Instances: list})
}

func (s *Server) showGeneration(ctx context.Context, c *app.RequestContext) {
	if s.opts.Generations == nil {
		s.respondUnsupported(c)
		return
	}
	generation, err := s.opts.Generations.Get(ctx, c.Param("name"))
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(consts.StatusOK, generation)
}

func (s *Server) showLogLevel(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, operatorapi.LogLevel{Level: zerolog.GlobalLevel().String()})
}
