package ingress

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/migration"
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
	// platformSilent is how long the platform may say nothing before engines
	// are asked themselves: a little more than a watch waits.
	platformSilent = 1300 * time.Millisecond
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
			case s.silent(one):
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

// silent reports whether the stream of a run has stood still for too long.
func (s *Server) silent(one *run) bool {
	e := one.request.service.Engine
	return e != nil && e.Moves && one.silentFor(s.opts.Now()) > streamSilent
}

// rescue has a run whose stream stands still go on at another engine.
//
// The failure: something between this instance and the engine has lost track of
// the connection. The engine goes on, new connections to it work, and the
// caller waits for an event that never comes. The engine stops the run when it
// is asked to move it, so that it can't go on twice; one that doesn't know the
// run, or can't be reached, leaves everything as it is.
func (s *Server) rescue(ctx context.Context, one *run) {
	source := one.server()
	m := &mover{s: s, one: one, source: source.Address, excluded: map[string]bool{source.ID: true}}
	if !m.choose() || !one.stop() {
		m.unplace()
		return
	}
	status, moved, err := m.order(ctx, true)
	s.log.Warn().Str("request", one.request.id).Str("server", source.ID).Int("status", status).Err(err).Msg("stream stands still, generation moved")
	if err != nil {
		m.unplace()
		one.goOn()
		return
	}
	one.handed <- handover{to: m.to, source: m.source, handle: moved.Handle}
	one.leaveStream()
	if one.finished() {
		one.unclaimed(s.opts.Balancer.Done)
	}
}

// ask reads the reports of the engines that carry runs of this instance while
// the platform tells nothing.
//
// The failure: the platform is down while engines are reclaimed. Nobody hears
// of it, and every generation there is cut, although the engines themselves
// know when they leave. Only engines with runs are asked, so that the number of
// calls follows the runs and not the size of the deployment.
func (s *Server) ask(ctx context.Context, asked map[string]time.Time) {
	now := s.opts.Now()
	if s.opts.State.Age(now, observed.Servers) < platformSilent {
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

// leaves reports whether the engine of a run is about to leave.
func (s *Server) leaves(one *run) bool {
	e := one.request.service.Engine
	if e == nil || !e.Moves || one.position() == 0 {
		return false
	}
	server, listed := s.opts.State.Server(one.server().ID)
	return !listed || server.Leaving
}

// move carries one run to another engine.
func (s *Server) move(ctx context.Context, one *run, noticed time.Time) {
	source := one.server()
	p := migration.Progress{Noticed: noticed, Rest: rest(one)}
	m := &mover{s: s, one: one, source: source.Address, excluded: map[string]bool{source.ID: true}}
	for ctx.Err() == nil && !one.finished() {
		switch migration.Next(s.opts.Now(), p).(type) {
		case migration.Stay:
			s.log.Info().Str("request", one.request.id).Str("server", source.ID).Int("refused", p.Refused).Dur("rest", p.Rest).Msg("generation stays")
			m.drop(ctx)
			return
		case migration.Copy:
			took, err := m.copy(ctx)
			if err != nil {
				p.Refused++
				continue
			}
			p.Copies++
			p.LastTook = took
		case migration.Stop:
			m.stop(ctx)
			return
		}
	}
	m.drop(ctx)
}

// rest is how long a run is expected to go on, or negative if unknown.
func rest(one *run) time.Duration {
	made := int(one.position()) * max(1, one.request.service.Engine.TokensPerEvent)
	left := one.request.output - made
	if left <= 0 {
		return -1
	}
	return time.Duration(left) * tokenTime
}

// mover is the move of one run.
type mover struct {
	s        *Server
	one      *run
	source   string
	excluded map[string]bool
	// to is where the copy is, with its load counted; placed says so.
	to     balancer.Place
	placed bool
	handle string
}

// copy copies to the engine chosen, or chooses one.
func (m *mover) copy(ctx context.Context) (time.Duration, error) {
	if !m.placed && !m.choose() {
		return 0, errRefused
	}
	start := m.s.opts.Now()
	status, moved, err := m.order(ctx, false)
	took := m.s.opts.Now().Sub(start)
	m.s.log.Info().Str("request", m.one.request.id).Str("from", m.source).Str("to", m.to.Server.ID).
		Int("status", status).Dur("took", took).Err(err).Msg("generation copied")
	if err != nil {
		m.excluded[m.to.Server.ID] = true
		m.unplace()
		return took, err
	}
	m.handle = moved.Handle
	return took, nil
}

func (m *mover) choose() bool {
	r := m.one.request
	made := int(m.one.position()) * max(1, r.service.Engine.TokensPerEvent)
	choice := m.s.opts.Balancer.Pick(m.s.opts.Now(), balancer.Request{
		Service: r.service, Zone: m.one.server().Zone, Tokens: r.prompt + max(r.output, made), Excluded: m.excluded, Instances: m.s.opts.Instances(),
		Spread: xxhash.Sum64String(r.id),
	}, m.s.opts.State.Servers(r.service.Name))
	picked, ok := choice.(balancer.Picked)
	m.to, m.placed = picked.Place, ok
	return ok
}

func (m *mover) unplace() {
	if m.placed {
		m.s.opts.Balancer.Done(m.to)
		m.placed = false
	}
}

// stop stops the run and hands it over to its handler.
func (m *mover) stop(ctx context.Context) {
	if !m.one.stop() {
		m.drop(ctx)
		return
	}
	start := m.s.opts.Now()
	status, moved, err := m.order(ctx, true)
	h := handover{to: m.to, source: m.source, handle: moved.Handle, err: err}
	if err != nil && moved.Handle != "" {
		// The engine has stopped and keeps the memory; it goes on there.
		h.to, h.err = balancer.Place{Server: m.one.server(), Tokens: m.to.Tokens}, nil
		m.s.opts.Balancer.Reserve(m.s.opts.Now(), h.to)
		m.unplace()
	}
	m.s.log.Info().Str("request", m.one.request.id).Str("from", m.source).Str("to", h.to.Server.ID).Int("status", status).
		Int("events", moved.Events).Dur("took", m.s.opts.Now().Sub(start)).Err(err).Msg("generation stopped to be moved")
	if h.err != nil {
		m.unplace()
	}
	m.one.handed <- h
	if m.one.finished() {
		m.one.unclaimed(m.s.opts.Balancer.Done)
	}
}

// drop gives back what was taken at another engine.
func (m *mover) drop(ctx context.Context) {
	m.unplace()
	if m.handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	path := m.s.opts.Dialect.Paths.Handle + "/" + m.handle
	if _, _, err := m.s.upstream.Order(ctx, m.source, http.MethodDelete, path, nil); err != nil {
		m.s.log.Debug().Str("request", m.one.request.id).Err(err).Msg("copy not freed, it lapses")
	}
}

// order calls the engine that runs the generation.
func (m *mover) order(ctx context.Context, last bool) (int, dialect.Moved, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	d := m.s.opts.Dialect
	body := d.Move(dialect.Move{RequestID: m.one.request.id, To: m.to.Server.Address, Last: last})
	status, data, err := m.s.upstream.Order(ctx, m.source, http.MethodPost, d.Paths.Move, body)
	if err != nil {
		moved := dialect.Moved{}
		if json.Valid(data) {
			moved, _ = d.Moved(data)
		}
		return status, moved, err
	}
	moved, err := d.Moved(data)
	return status, moved, err
}
