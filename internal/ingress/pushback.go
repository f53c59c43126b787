package ingress

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

// forward sends a request to the placed server and records what the server asks for in its
// response. Every request of a caller goes through it.
func (s *Server) forward(ctx context.Context, r *request, place balancer.Placement, kind repeatKind, extra []service.Header, stream bool) (*upstream.Response, error) {
	if !s.mayRunOn(r, &place.Server) {
		return nil, merry.Wrap(errOtherVersion)
	}
	hasCopy := slices.ContainsFunc(extra, func(h service.Header) bool { return h.Name == s.fields.ResumeFrom })
	if err := s.confirmIncarnation(ctx, r, place.Server, hasCopy); err != nil {
		return nil, err
	}
	sentAt := s.opts.Now()
	arrival := arrival{kind: kind, server: place.Server.ID}
	req := s.upstreamRequest(sentAt, r, place, extra)
	req.BeforeSend = func() error { return s.admit(r, &arrival) }
	response, err := s.upstream.Do(ctx, place.Server.Address, req, stream)
	if !errors.Is(err, httpclient.ErrNotSent) {
		s.endArrival(r, arrival, s.sendOutcome(r, response, err))
	}
	if err == nil && s.isFrom(place.Server, r, response) {
		s.recordLimit(sentAt, place.Server, response)
		s.recordPause(place.Server, response)
		s.recordBrittleness(place.Server, response)
		s.recordLeaving(place.Server, response)
		s.recordServerLoad(place.Server, response)
	}
	return response, err
}

// isFrom reports whether a response was made by the server that the request was meant for, and not
// by another server at its address.
func (s *Server) isFrom(server platformstate.Server, r *request, response *upstream.Response) bool {
	if id := response.Get(s.fields.Instance); id != "" && id != server.ID {
		return false
	}
	return response.Status != http.StatusMisdirectedRequest && response.Get(s.fields.RequestID) == r.id
}

// recordLimit records the request rate that a server names in its response, or that it names none.
// Only a response with a seal shows that it names none.
func (s *Server) recordLimit(sentAt time.Time, server platformstate.Server, response *upstream.Response) {
	value := response.Get(s.fields.RateLimit)
	limit, ok := pushback.ParseLimit(value)
	switch {
	case value != "" && !ok:
		s.log.Warn().Str("server", server.ID).Str("value", value).Msg("backend server names an invalid limit")
		return
	case value == "" && response.Get(s.fields.Seal) == "":
		return
	}
	if s.opts.Limits.Observe(s.opts.Now(), sentAt, server.ID, limit) {
		s.opts.Scope.Counter("server_limits_changed").Inc(1)
		s.log.Info().Str("server", server.ID).Float64("perSecond", limit.PerSecond).Bool("named", limit.Named).Msg("limit of a backend server")
	}
}

// recordPause records that a server wants no request from this instance for some time.
func (s *Server) recordPause(server platformstate.Server, response *upstream.Response) {
	if response.Status != http.StatusServiceUnavailable {
		return
	}
	pause, ok := pushback.ParseRetryAfter(response.Get("Retry-After"))
	if !ok {
		return
	}
	s.opts.Scope.Counter("server_pauses").Inc(1)
	if s.opts.Pauses.Record(s.opts.Now(), server.ID, pause) {
		s.log.Info().Str("server", server.ID).Dur("pause", pause).Msg("backend server asks for a pause")
	}
}

// recordLeaving records that a server says in its response that it is leaving.
func (s *Server) recordLeaving(server platformstate.Server, response *upstream.Response) {
	if value := response.Get(s.fields.Leaving); value == "" || value == "0" {
		return
	}
	if s.opts.State.MarkLeaving(server) {
		s.opts.Scope.Counter("servers_announced_leaving").Inc(1)
		s.log.Info().Str("server", server.ID).Msg("backend server says that it is leaving")
	}
}

// recordServerLoad records what a server says of its load.
func (s *Server) recordServerLoad(server platformstate.Server, response *upstream.Response) {
	value := response.Get(s.fields.ServerLoad)
	if value == "" {
		return
	}
	load, ok := s.opts.Dialect.DecodeServerLoad(value)
	if !ok {
		s.opts.Scope.Counter("server_loads_invalid").Inc(1)
		s.invalidLoads.Warn().Str("server", server.ID).Str("value", value[:min(len(value), maxLoggedValue)]).Msg("backend server states an invalid load")
		return
	}
	if load.Slowness > 0 {
		s.opts.Balancer.RecordSlowness(s.opts.Now(), server.ID, load.Slowness)
	}
}

// maxLoggedValue limits the length of an invalid value in the log.
const maxLoggedValue = 64

// callerPatience is the share of the remaining time for which callers wait as told.
const callerPatience = 1.0 / 3

// withheldServers returns the servers that must not get the request: those excluded by earlier
// attempts, those that take no request of this instance now, and those that have said that they
// leave, which another instance may not know.
func (s *Server) withheldServers(t *attempts) []string {
	now := s.opts.Now()
	ids := slices.Collect(maps.Keys(t.excluded))
	return slices.Concat(ids, s.opts.Limits.Limited(now), s.opts.Pauses.Paused(now), s.opts.State.Departed())
}

// patience returns how long the caller of a request waits as told.
func (r *request) patience(now time.Time) time.Duration {
	return time.Duration(float64(r.callerDeadline.Sub(now)) * callerPatience)
}

// pausedFailure refuses a request because all servers have asked this instance for a pause. Others
// may not have been asked, so that a caller that can't wait for the end may come back before.
func (s *Server) pausedFailure(now time.Time, r *request, until time.Time) *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "the backend servers have asked for a pause")
	wait := until.Sub(now) + time.Duration(s.rng().Int64N(int64(fullRetryJitter)))
	f.RetryAfter = max(fullRetryAfter, min(wait, r.patience(now)))
	return f
}

// limitedFailure refuses a request because the limits of all servers are used up.
func (s *Server) limitedFailure(now time.Time, r *request) *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "the limits of the backend servers are used up")
	f.RetryAfter = s.opts.Limits.RetryAfter(now, r.service.Name, s.serverIDs(r), r.patience(now))
	return f
}

func (s *Server) serverIDs(r *request) []string {
	servers := s.candidates(r)
	ids := make([]string, len(servers))
	for i := range servers {
		ids[i] = servers[i].ID
	}
	return ids
}
