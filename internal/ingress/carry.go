package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/observed"
)

const (
	// carryEvery is how often runs are looked through beside each change of
	// the servers: for those that began in between.
	carryEvery = 150 * time.Millisecond
	// copyTimeout bounds one copy. It is longer than engines stay after their
	// notice: a copy given up goes on there all the same, and stands in the way
	// of the next.
	copyTimeout = 4 * time.Second
	// streamSilent is how long a stream may stand still. Engines make an event
	// in some 30 ms and are back from a preemption in half a second; callers
	// leave after some seconds.
	streamSilent = 900 * time.Millisecond
	// streamLost is how long a stream may stand still whose engine doesn't run it
	// any more: its last events may be on their way on a link that loses packets.
	streamLost = 2500 * time.Millisecond
	// platformSilent is how long the platform may say nothing, beyond the usual
	// time between two answers, before engines are asked themselves.
	platformSilent = 200 * time.Millisecond
	// askEvery and askTimeout space and bound these calls: engines leave 1.5 s
	// after their notice, and a copy takes half of that.
	askEvery   = 300 * time.Millisecond
	askTimeout = 500 * time.Millisecond
	// freeTimeout bounds giving back memory at another engine.
	freeTimeout = 500 * time.Millisecond
	// tokenTime is what one token takes on an engine at work.
	tokenTime = 9 * time.Millisecond
)

var errMoveLost = merry.Sentinel("move of a generation was lost")

// carry moves generations away from engines that leave, until ctx ends.
func (s *Server) carry(ctx context.Context) {
	ticker := time.NewTicker(carryEvery)
	defer ticker.Stop()
	asked := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.State.Changed():
		case <-ticker.C:
		}
		s.ask(ctx, asked)
		for _, one := range s.runs.list() {
			switch {
			case s.leaves(one):
				s.start(one, func(now time.Time) { s.move(ctx, one, now) })
			case s.stalled(one):
				s.start(one, func(time.Time) { s.rescue(ctx, one) })
			}
		}
	}
}

// start has a run carried, unless it is already. With all carriers at work it
// is tried again at the next look.
func (s *Server) start(one *run, carry func(now time.Time)) {
	if !one.claim() {
		return
	}
	now := s.opts.Now()
	if s.carriers.Submit(func() { defer one.release(); carry(now) }) != nil {
		one.release()
	}
}

// stalled reports whether the stream of a run has stood still for too long.
func (s *Server) stalled(one *run) bool {
	e := one.request.service.Engine
	return e != nil && e.Moves && one.stalledFor(s.opts.Now()) > streamSilent
}

// rescue has a run whose stream stands still go on at another engine.
//
// A half-open connection delivers no events and no error. The engine stops the
// run when it is asked to move it, so that it can't go on twice; one that doesn't
// know the run leaves nothing to wait for.
func (s *Server) rescue(ctx context.Context, one *run) {
	source := one.server()
	m := &mover{s: s, one: one, source: source, excluded: map[string]bool{source.ID: true}}
	if !m.choose() || !one.stop(source.ID) {
		m.unplace()
		return
	}
	status, moved, err := s.order(ctx, one.request.id, source.Address, m.to.Server.Address, true)
	s.log.Warn().Str("request", one.request.id).Str("server", source.ID).Int("status", status).Err(err).Msg("stream stands still, generation moved")
	if err != nil {
		m.unplace()
		one.goOn()
		if status == http.StatusNotFound && one.stalledFor(s.opts.Now()) >= streamLost {
			one.leaveStream()
		}
		return
	}
	one.handed <- handover{to: m.to, source: source.Address, handle: moved.Handle}
	one.leaveStream()
	if one.finished() {
		one.unclaimed(s.opts.Balancer.Release)
	}
}

// ask reads the reports of the engines that carry runs of this instance while
// the platform tells nothing.
//
// Only engines with runs are asked, so that the number of calls follows the runs
// and not the size of the deployment.
func (s *Server) ask(ctx context.Context, asked map[string]time.Time) {
	now := s.opts.Now()
	if s.opts.State.Age(now, observed.Servers) < observed.ServersEvery+platformSilent {
		clear(asked)
		return
	}
	for _, one := range s.runs.list() {
		server := one.server()
		if one.request.service.Engine == nil || now.Sub(asked[server.ID]) < askEvery {
			continue
		}
		asked[server.ID] = now
		_ = s.carriers.Submit(func() { s.askOne(ctx, server) })
	}
}

func (s *Server) askOne(ctx context.Context, server observed.Server) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, body, err := s.upstream.Order(ctx, server.Address, http.MethodGet, s.opts.Dialect.Paths.Report, nil)
	if err != nil {
		s.log.Debug().Str("server", server.ID).Err(err).Msg("engine doesn't report")
		return
	}
	report, err := s.opts.Dialect.Report(body)
	if err != nil || !report.Leaving {
		return
	}
	s.log.Info().Str("server", server.ID).Dur("leavesIn", report.LeavesIn).Msg("engine reports that it leaves")
	s.opts.State.MarkLeaving(server.ID)
}

// leaves reports whether the engine of a run is about to leave, or its version is
// taken out of service.
func (s *Server) leaves(one *run) bool {
	e := one.request.service.Engine
	if e == nil || !e.Moves || one.position() == 0 {
		return false
	}
	server, listed := s.opts.State.Server(one.server().ID)
	return !listed || server.Leaving || s.opts.State.Vacated(server.ID)
}
