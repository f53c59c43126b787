package ingress

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// minTimeGained is how much earlier a generation must be expected to end on an engine of average
	// speed to be migrated for pace: a migration pauses it once and occupies two links.
	minTimeGained = 2 * time.Second
	// paceRequestInterval is the minimum time between two requests of this instance for a migration
	// for pace. The planner grants one per group in this time.
	paceRequestInterval = 500 * time.Millisecond
)

// expectedEvents returns the expected number of events of a generation's output.
func (r *request) expectedEvents() int {
	if r.service.Engine == nil {
		return 0
	}
	return r.expectedOutput / max(1, r.service.Engine.TokensPerEvent)
}

// remainingEvents returns the expected number of events until a generation ends; 0 if unknown.
func (s *Server) remainingEvents(st *activeStream) int {
	return max(0, s.expectedTotal(st)-st.generatedTokens()) / max(1, st.request.service.Engine.TokensPerEvent)
}

// recordPace records the interval between the events of a window.
func (s *Server) recordPace(now time.Time, server platformstate.Server, interval time.Duration) {
	if s.opts.Pace != nil {
		s.opts.Pace.Record(now, server.ID, server.StartedAtMillis, interval)
	}
}

// timeGained returns how much earlier a generation is expected to end on an engine of average speed;
// 0 if it mustn't migrate for pace.
func (s *Server) timeGained(now time.Time, st *activeStream) time.Duration {
	e := st.request.service.Engine
	if e == nil || !e.SupportsMigration || st.wasMovedForPace() || s.mustMigrate(st) || s.isStalled(st) {
		return 0
	}
	server := st.server()
	ratio, slow := s.opts.Planner.SlowRatio(now, &server)
	if !slow {
		return 0
	}
	return time.Duration(float64(s.remainingEvents(st)) * float64(st.eventInterval()) * (1 - 1/ratio))
}

// startPaceMigration migrates the generation that gains most, if one gains enough.
func (s *Server) startPaceMigration(ctx context.Context) {
	now := s.opts.Now()
	if s.opts.Pace == nil || s.opts.Planner == nil || now.Sub(s.lastPaceRequest) < paceRequestInterval {
		return
	}
	var best *activeStream
	most := minTimeGained
	for _, st := range s.streams.list() {
		if gained := s.timeGained(now, st); gained >= most {
			best, most = st, gained
		}
	}
	if best == nil {
		return
	}
	s.lastPaceRequest = now
	s.startMigration(best, func(time.Time) { s.migrateForPace(ctx, best, most) })
}

// migrateForPace migrates a generation from a slow engine to the engine that the planner names.
func (s *Server) migrateForPace(ctx context.Context, st *activeStream, gained time.Duration) {
	source := st.server()
	m := &migrator{s: s, stream: st, source: source, excluded: map[string]bool{source.ID: true}}
	if !m.reservePaceTarget(ctx) {
		return
	}
	st.markMovedForPace()
	s.opts.Scope.Counter("pace_moves_started").Inc(1)
	if _, err := m.copyKVCache(ctx); err != nil {
		s.log.Info().Str("request", st.request.id).Str("from", source.ID).Err(err).Msg("migration for pace failed")
		m.abandon(ctx)
		return
	}
	if !st.runsOn(source.ID) || !s.canReceive(st.request, m.target.Server.ID) {
		m.abandon(ctx)
		return
	}
	if m.dropPausedTarget(ctx) {
		return
	}
	// A source that began to leave meanwhile is no reason to give up a complete copy.
	s.log.Info().Str("request", st.request.id).Str("from", source.ID).Str("to", m.target.Server.ID).Dur("gained", gained).Msg("migration for pace")
	m.cutOver(ctx)
}

// reservePaceTarget requests a target from the planner and reserves the load on it.
func (m *migrator) reservePaceTarget(ctx context.Context) bool {
	r := m.stream.request
	res, err := m.s.opts.Planner.RequestTransfer(ctx, planner.TransferRequest{
		GenerationID: r.id, Service: r.service.Name, Engine: m.source.ID, Zone: m.source.Zone,
		Tokens: r.promptTokens + m.stream.generatedTokens(), RequiredTokens: m.requiredTokens(), Reason: planner.ReasonPace, Version: m.s.requiredVersion(r),
	})
	if err != nil {
		m.s.log.Debug().Str("request", r.id).Str("server", m.source.ID).Err(err).Msg("migration for pace not granted")
		return false
	}
	// An older planner ignores the reason and assigns a slot as for an engine that leaves.
	target, ok := m.s.assigned(m.s.opts.Now(), r, res.Target)
	if res.Reason != planner.ReasonPace || !ok || m.s.mustMigrate(m.stream) || !m.stream.runsOn(m.source.ID) {
		m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Str("to", res.Target).Str("reason", res.Reason).Msg("migration for pace not begun")
		return false
	}
	m.target, m.reserved = balancer.Placement{Server: target, Tokens: m.requiredTokens()}, true
	m.s.opts.Balancer.Reserve(m.s.opts.Now(), m.target)
	return true
}

// canReceive reports whether this instance knows no reason against migrating a generation to an engine.
func (s *Server) canReceive(r *request, id string) bool {
	_, ok := s.assigned(s.opts.Now(), r, id)
	return ok
}

func (a *activeStream) wasMovedForPace() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.movedForPace
}

func (a *activeStream) markMovedForPace() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.movedForPace = true
}
