package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
)

const (
	// maxRecentFailures is the number of recent failures, as seen here, from which on an engine
	// chosen by another instance isn't used: it may have exited without the other instance knowing.
	maxRecentFailures = 0.5
)

// chooseServer chooses a backend server for an attempt and reserves its load.
func (s *Server) chooseServer(ctx context.Context, now time.Time, r *request, t *attempts) (balancer.Placement, *answer.Failure) {
	if place, ok := s.placeOnCanary(now, r, t); ok {
		return place, nil
	}
	place, err := s.placeByPlanner(ctx, r, t)
	switch {
	case err == nil:
		return place, nil
	case errors.Is(err, planner.ErrFull):
		return balancer.Placement{}, s.refusalFailure(err)
	case errors.Is(err, planner.ErrCallerGone):
		return balancer.Placement{}, callerGoneFailure()
	}
	choice := s.pickServer(now, r, t)
	for {
		if _, full := choice.(balancer.Full); !full || !s.awaitRoom(ctx, r, t) {
			break
		}
		now = s.opts.Now()
		choice = s.pickServer(now, r, t)
	}
	switch choice := choice.(type) {
	case balancer.Picked:
		s.log.Info().Str("request", r.id).Str("server", choice.Placement.Server.ID).Str("version", choice.Placement.Server.Version).Str("zone", choice.Placement.Server.Zone).
			Float64("load", choice.Score).Int("attempt", t.sends+1).Int("tokens", choice.Placement.Tokens).
			Func(s.logExpected(r)).Msg("request placed")
		return choice.Placement, nil
	case balancer.Full:
		return balancer.Placement{}, s.fullFailure()
	case balancer.Limited:
		return balancer.Placement{}, s.limitedFailure(now, r)
	case balancer.Paused:
		return balancer.Placement{}, s.pausedFailure(now, r, choice.Until)
	}
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server is available")
	f.RetryAfter = noServerRetryAfter
	return balancer.Placement{}, f
}

func (s *Server) pickServer(now time.Time, r *request, t *attempts) balancer.Choice {
	return s.opts.Balancer.Pick(now, balancer.Request{
		Service: r.service, Zone: s.opts.Zone, Tokens: r.promptTokens + r.expectedOutput, PromptTokens: r.promptTokens, Excluded: t.excluded, Instances: s.opts.Instances(),
		Retryable: r.route.Repeatable(), ExpectedEvents: r.expectedEvents(), Target: r.route.TargetLatency, HandoverTokens: s.handoverTokens(r),
	}, s.candidates(r))
}

// placeOnCanary chooses a canary server for the first attempt of a request that is sampled for the
// rollout. A second attempt goes to the version that is known to be good.
func (s *Server) placeOnCanary(now time.Time, r *request, t *attempts) (balancer.Placement, bool) {
	if s.opts.Rollouts == nil || t.sends+t.failedDials > 0 || t.resuming {
		return balancer.Placement{}, false
	}
	servers, ok := s.opts.Rollouts.Canary(now, r.service.Name, s.rng().Float64())
	if !ok {
		return balancer.Placement{}, false
	}
	picked, ok := s.opts.Balancer.Pick(now, balancer.Request{
		Service: r.service, Zone: s.opts.Zone, Tokens: r.promptTokens + r.expectedOutput, PromptTokens: r.promptTokens, Instances: s.opts.Instances(), CompareAll: true,
	}, servers).(balancer.Picked)
	if ok {
		s.log.Info().Str("request", r.id).Str("server", picked.Placement.Server.ID).Str("version", picked.Placement.Server.Version).Msg("request placed on a canary")
	}
	return picked.Placement, ok
}

// recordOutcome counts the outcome of a request for outlier detection and for a rollout of the
// server's service.
func (s *Server) recordOutcome(server platformstate.Server, r *request, aspect rollout.Metric, failed bool, latency time.Duration) {
	if s.opts.Outliers != nil && aspect == rollout.MetricAnswer {
		s.opts.Outliers.RecordAnswer(server, r.route.Name, failed, s.comparedTime(r, latency))
	}
	if s.opts.Rollouts != nil {
		s.opts.Rollouts.Record(s.opts.Now(), server, rolloutpeer.Observation{Route: r.route.Name, Metric: aspect, Failed: failed, Latency: latency})
	}
}

func (s *Server) fullFailure() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "all backend servers are full")
	f.RetryAfter = fullRetryAfter + time.Duration(s.rng().Int64N(int64(fullRetryJitter)))
	return f
}

// placeByPlanner lets the planner choose an engine. The choice is used only if this instance knows
// no reason against it.
func (s *Server) placeByPlanner(ctx context.Context, r *request, t *attempts) (balancer.Placement, error) {
	if s.opts.Planner == nil || !r.isGeneration() {
		return balancer.Placement{}, planner.ErrUnavailable
	}
	req := planner.PlacementRequest{
		RequestID: r.id, Service: r.service.Name, Zone: s.opts.Zone, PromptTokens: r.promptTokens, RequiredTokens: r.promptTokens + r.expectedOutput,
		Excluded: s.withheldServers(t), Version: s.requiredVersion(r), MaxPrefillWaitMillis: r.route.TargetLatency.Milliseconds(),
	}
	s.addWait(s.opts.Now(), &req, r, t)
	id, err := s.opts.Planner.Place(ctx, req)
	if err != nil {
		return balancer.Placement{}, err
	}
	server, ok := s.assigned(s.opts.Now(), r, id)
	if !ok || t.excluded[id] {
		return balancer.Placement{}, planner.ErrUnavailable
	}
	place := balancer.Placement{Server: server, Tokens: req.RequiredTokens, PromptTokens: r.promptTokens, HandoverTokens: s.handoverTokens(r)}
	s.opts.Balancer.Reserve(s.opts.Now(), place)
	s.log.Info().Str("request", r.id).Str("server", id).Str("version", server.Version).Str("zone", server.Zone).Int("attempt", t.sends+1).
		Int("tokens", place.Tokens).Func(s.logExpected(r)).Msg("request placed by the planner")
	return place, nil
}
