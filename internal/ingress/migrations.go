package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// scanInterval is how often the active streams are checked, in addition to every change of the
	// servers, for streams that started in between.
	scanInterval = 150 * time.Millisecond
	// copyTimeout limits one copy. It is longer than engines run after their notice: the engine
	// continues a copy whose call was given up, which blocks the next one.
	copyTimeout = 4 * time.Second
	// streamStallTimeout is how long a stream may be without events. Engines send an event about
	// every 30 ms and resume within half a second after a preemption; callers disconnect after some
	// seconds.
	streamStallTimeout = 900 * time.Millisecond
	// streamLostTimeout is how long a stream may be without events after its engine has ended the
	// generation: its last events may still be in transit on a link that loses packets.
	streamLostTimeout = 2500 * time.Millisecond
	// platformSilenceMargin is how long the platform may be silent, beyond the usual time between
	// two of its answers, before the engines themselves are polled.
	platformSilenceMargin = 200 * time.Millisecond
	// reportInterval and reportTimeout are the interval and the timeout of these polls: engines
	// leave 1.5 s after their notice, and a copy takes half of that.
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// freeTimeout limits the call that frees a copy on another engine.
	freeTimeout = 500 * time.Millisecond
	// timePerToken is what one token takes on a loaded engine.
	timePerToken = 9 * time.Millisecond
)

var errCutoverTimeout = merry.Sentinel("cutover of a generation timed out")

// migrateGenerations migrates generations away from leaving engines and those with stalled streams,
// until ctx ends.
func (s *Server) migrateGenerations(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	lastPolled := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.State.Changed():
		case <-s.streamBegan:
		case <-ticker.C:
		case <-s.silence.probeEnded():
		}
		s.runs.resumed(s.opts.Now())
		s.watchLeaving(s.opts.Now())
		s.pollReports(ctx, lastPolled)
		all := s.streams.list()
		s.silence.scan(ctx, s.opts.Now(), all)
		for _, st := range all {
			switch {
			case s.mustMigrate(st):
				s.startMigration(st, func(now time.Time) { s.migrate(ctx, st, now) })
			case s.isStalled(st):
				s.startMigration(st, func(time.Time) { s.migrateStalled(ctx, st) })
			}
		}
		s.startPaceMigration(ctx)
	}
}

// startMigration migrates a stream in the background, unless a migration is in progress. If all
// workers are busy, the next scan tries again.
func (s *Server) startMigration(st *activeStream, migrate func(now time.Time)) {
	if !st.claimMigration() {
		return
	}
	now := s.opts.Now()
	if s.workers.Submit(func() { defer st.releaseMigration(); migrate(now) }) != nil {
		st.releaseMigration()
	}
}

// isStalled reports whether a stream has been without events for too long.
func (s *Server) isStalled(st *activeStream) bool {
	e := st.request.service.Engine
	return s.silence == nil && e != nil && e.SupportsMigration && st.stalledFor(s.opts.Now(), s.runs.resumed(s.opts.Now())) > streamStallTimeout
}

// migrateStalled migrates the generation of a stalled stream to another engine.
//
// A half-open connection delivers neither events nor an error. The engine stops the generation when
// it gets the request to migrate it, so the generation can't run twice; if the engine doesn't know the
// generation, there is nothing to wait for.
func (s *Server) migrateStalled(ctx context.Context, st *activeStream) {
	source := st.server()
	m := &migrator{s: s, stream: st, source: source, excluded: map[string]bool{source.ID: true}}
	if !m.chooseTarget() || !st.beginCutover(source.ID) {
		m.releaseReservation()
		return
	}
	status, migrated, err := s.sendMigration(ctx, st.request.id, source.Address, m.target.Server.Address, true)
	s.log.Warn().Str("request", st.request.id).Str("server", source.ID).Int("status", status).Err(err).Msg("stream stalled, generation migrated")
	if err != nil {
		m.releaseReservation()
		st.cancelCutover()
		if status == http.StatusNotFound && st.stalledFor(s.opts.Now(), s.runs.resumed(s.opts.Now())) >= streamLostTimeout {
			st.abortRead()
		}
		return
	}
	st.cutover <- resumePoint{target: m.target, sourceAddress: source.Address, handle: migrated.Handle}
	st.abortRead()
	if st.finished() {
		st.releaseUnclaimed(s.opts.Balancer.Release)
	}
}

// pollReports reads the load reports of the engines that serve streams of this instance while the
// platform is silent.
//
// Only engines with streams are polled, so the number of calls depends on the streams and not on
// the size of the deployment.
func (s *Server) pollReports(ctx context.Context, lastPolled map[string]time.Time) {
	now := s.opts.Now()
	if !s.serversOutdated(now) {
		clear(lastPolled)
		return
	}
	for _, st := range s.streams.list() {
		server := st.server()
		if st.request.service.Engine == nil || now.Sub(lastPolled[server.ID]) < reportInterval {
			continue
		}
		lastPolled[server.ID] = now
		_ = s.workers.Submit(func() { s.pollReport(ctx, server) })
	}
}

// serversOutdated reports whether the platform has been silent for so long that the list of servers may be
// outdated.
func (s *Server) serversOutdated(now time.Time) bool {
	return s.opts.State.Age(now, platformstate.Servers) >= platformstate.ServersInterval+platformSilenceMargin
}

func (s *Server) pollReport(ctx context.Context, server platformstate.Server) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, body, err := s.upstream.Call(ctx, server.Address, http.MethodGet, s.opts.Dialect.Paths.Report, nil)
	if err != nil {
		s.log.Debug().Str("server", server.ID).Err(err).Msg("engine's load report not read")
		return
	}
	report, err := s.opts.Dialect.DecodeReport(body)
	if err != nil || !report.Leaving {
		return
	}
	s.log.Info().Str("server", server.ID).Dur("leavesIn", report.LeavesIn).Msg("engine reports that it is leaving")
	s.opts.State.MarkLeaving(server)
}

// mustMigrate reports whether the engine of a stream is about to leave. A stream whose version is being
// taken out of service ends there: no other version can go on with it.
func (s *Server) mustMigrate(st *activeStream) bool {
	e := st.request.service.Engine
	if e == nil || !e.SupportsMigration || st.eventCount() == 0 {
		return false
	}
	server, listed := s.opts.State.Server(st.server().ID)
	return !listed || server.Leaving
}
