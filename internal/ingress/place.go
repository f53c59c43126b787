package ingress

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/rolloutpeer"
)

const (
	// distrust is at how many recent failures here an engine that another
	// instance chose isn't used: it may be gone, and the other not know it yet.
	distrust = 0.5
)

// place chooses a backend server.
func (s *Server) place(ctx context.Context, now time.Time, r *request, t *attempts) (balancer.Place, *answer.Failure) {
	if place, ok := s.canary(now, r, t); ok {
		return place, nil
	}
	place, err := s.planned(ctx, r, t)
	switch {
	case err == nil:
		return place, nil
	case errors.Is(err, planner.ErrFull):
		return balancer.Place{}, s.full()
	}
	choice := s.opts.Balancer.Pick(now, balancer.Request{
		Service: r.service, Zone: s.opts.Zone, Tokens: r.prompt + r.output, Prompt: r.prompt, Excluded: t.excluded, Instances: s.opts.Instances(),
		Repeatable: r.route.Repeatable(),
	}, s.opts.State.Servers(r.service.Name))
	switch choice := choice.(type) {
	case balancer.Picked:
		s.log.Info().Str("request", r.id).Str("server", choice.Place.Server.ID).Str("zone", choice.Place.Server.Zone).
			Float64("load", choice.Score).Int("attempt", t.number+1).Int("tokens", choice.Place.Tokens).Msg("request placed")
		return choice.Place, nil
	case balancer.Full:
		return balancer.Place{}, s.full()
	}
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendLost, "no backend server is there")
	f.RetryAfter = noneRetryAfter
	return balancer.Place{}, f
}

// canary chooses a server of a version whose roll-out is a canary, for the first
// attempt of a request that is drawn for it. A second attempt goes to the version
// that is known to be good.
func (s *Server) canary(now time.Time, r *request, t *attempts) (balancer.Place, bool) {
	if s.opts.Rollouts == nil || t.number+t.dials > 0 || t.resumes {
		return balancer.Place{}, false
	}
	servers, ok := s.opts.Rollouts.Canary(now, r.service.Name, s.rng().Float64())
	if !ok {
		return balancer.Place{}, false
	}
	picked, ok := s.opts.Balancer.Pick(now, balancer.Request{
		Service: r.service, Zone: s.opts.Zone, Tokens: r.prompt + r.output, Prompt: r.prompt, Instances: s.opts.Instances(), Whole: true,
	}, servers).(balancer.Picked)
	if ok {
		s.log.Info().Str("request", r.id).Str("server", picked.Place.Server.ID).Str("version", picked.Place.Server.Version).Msg("request placed on a canary")
	}
	return picked.Place, ok
}

// note counts an answer, beside those of other servers and for a roll-out of the
// server's service.
func (s *Server) note(server observed.Server, r *request, aspect rollout.Metric, failed bool, took time.Duration) {
	if s.opts.Outliers != nil && aspect == rollout.MetricAnswer {
		s.opts.Outliers.RecordAnswer(server, r.route.Name, failed)
	}
	if s.opts.Rollouts != nil {
		s.opts.Rollouts.Record(s.opts.Now(), server, rolloutpeer.Observation{Route: r.route.Name, Metric: aspect, Failed: failed, Latency: took})
	}
}

func (s *Server) full() *answer.Failure {
	f := answer.NotRun(http.StatusServiceUnavailable, answer.CodeBackendRefused, "all backend servers are full")
	f.RetryAfter = fullRetryAfter + time.Duration(s.rng().Int64N(int64(fullSpread)))
	return f
}

// planned has the instance that plans for the engines choose one. What it chose
// counts only while this instance knows no reason against it.
func (s *Server) planned(ctx context.Context, r *request, t *attempts) (balancer.Place, error) {
	if s.opts.Planner == nil || !r.generation() {
		return balancer.Place{}, planner.ErrUnavailable
	}
	ask := planner.Placing{
		Request: r.id, Service: r.service.Name, Zone: s.opts.Zone, Prompt: r.prompt, Need: r.prompt + r.output,
		Excluded: slices.Collect(maps.Keys(t.excluded)), Within: r.route.TargetLatency.Milliseconds(),
	}
	id, err := s.opts.Planner.Place(ctx, ask)
	if err != nil {
		return balancer.Place{}, err
	}
	if t.excluded[id] || s.opts.Balancer.Failures(s.opts.Now(), id) >= distrust {
		return balancer.Place{}, planner.ErrUnavailable
	}
	for _, server := range s.opts.State.Servers(r.service.Name) {
		if server.ID == id {
			place := balancer.Place{Server: server, Tokens: ask.Need, Prompt: r.prompt}
			s.opts.Balancer.Reserve(s.opts.Now(), place)
			s.log.Info().Str("request", r.id).Str("server", id).Str("zone", server.Zone).Int("attempt", t.number+1).
				Int("tokens", place.Tokens).Msg("request placed by plan")
			return place, nil
		}
	}
	return balancer.Place{}, planner.ErrUnavailable
}
