package ingress

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/planner"
)

// move carries one run to another engine.
func (s *Server) move(ctx context.Context, one *run, noticed time.Time) {
	source := one.server()
	p := migration.Progress{Noticed: noticed, Rest: remaining(one)}
	m := &mover{s: s, one: one, source: source, excluded: map[string]bool{source.ID: true}}
	if _, stays := migration.Next(noticed, p).(migration.Stay); !stays {
		p.Turn = m.awaitTurn(ctx)
		p.Rest = remaining(one)
	}
	for ctx.Err() == nil && one.isAt(source.ID) {
		switch migration.Next(s.opts.Now(), p).(type) {
		case migration.Stay:
			s.log.Info().Str("request", one.request.id).Str("server", source.ID).Int("refused", p.Refused).Dur("rest", p.Rest).Msg("generation stays")
			m.abandon(ctx)
			return
		case migration.Copy:
			took, err := m.copy(ctx)
			if err != nil && one.copied() {
				m.stop(ctx)
				return
			}
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
	m.abandon(ctx)
}

// awaitTurn waits until the link of the engine is this generation's, and reports
// whether it was given to it. Without a turn it is moved all the same.
func (m *mover) awaitTurn(ctx context.Context) bool {
	if m.s.opts.Planner == nil {
		return false
	}
	r := m.one.request
	turn, err := m.s.opts.Planner.Ask(ctx, planner.Leaving{
		Run: r.id, Service: r.service.Name, Engine: m.source.ID, Zone: m.source.Zone, Tokens: r.prompt + m.one.tokens(), Need: m.need(),
	})
	if err != nil {
		m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Err(err).Msg("moved without a turn")
		return false
	}
	if objectapi.Sleep(ctx, turn.Wait()) != nil {
		return false
	}
	server, ok := m.s.opts.State.Server(turn.To)
	now := m.s.opts.Now()
	if ok && !server.Leaving && !m.one.finished() && m.s.opts.Balancer.Failures(now, turn.To) < distrust {
		m.to, m.placed = balancer.Place{Server: server, Tokens: m.need()}, true
		m.s.opts.Balancer.Reserve(now, m.to)
	}
	return true
}

// remaining is how long a run is expected to go on, or negative if unknown.
func remaining(one *run) time.Duration {
	left := one.request.output - one.tokens()
	if left <= 0 {
		return -1
	}
	return time.Duration(left) * tokenTime
}

// unreachable is how long an engine takes at least to find that another one
// can't be reached; one that is there and has no room refuses in milliseconds.
//
// While the platform is away engines that are gone stay listed; what one
// generation finds out counts as a failure for all.
const unreachable = 200 * time.Millisecond

// mover is the move of one run.
type mover struct {
	s        *Server
	one      *run
	source   observed.Server
	excluded map[string]bool
	// to is where it is copied. Its load is counted for the mover while placed
	// is set, and for the run's copy afterwards.
	to     balancer.Place
	placed bool
}

// copy copies to the engine chosen, or chooses one.
func (m *mover) copy(ctx context.Context) (time.Duration, error) {
	if !m.placed && !m.one.copied() && !m.choose() {
		return 0, errRefused
	}
	start := m.s.opts.Now()
	status, moved, err := m.s.order(ctx, m.one.request.id, m.source.Address, m.to.Server.Address, false)
	took := m.s.opts.Now().Sub(start)
	m.s.log.Info().Str("request", m.one.request.id).Str("from", m.source.ID).Str("to", m.to.Server.ID).
		Int("status", status).Dur("took", took).Err(err).Msg("generation copied")
	if err != nil {
		m.excluded[m.to.Server.ID] = true
		if status == http.StatusServiceUnavailable && took >= unreachable {
			m.s.opts.Balancer.Failed(m.s.opts.Now(), m.to.Server.ID)
		}
		m.unplace()
		return took, err
	}
	if m.placed && m.one.keep(handover{to: m.to, source: m.source.Address, handle: moved.Handle}) {
		m.placed = false
	}
	return took, nil
}

func (m *mover) choose() bool {
	r := m.one.request
	choice := m.s.opts.Balancer.Pick(m.s.opts.Now(), balancer.Request{
		Service: r.service, Zone: m.source.Zone, Tokens: m.need(), Excluded: m.excluded, Instances: m.s.opts.Instances(),
		Spread: xxhash.Sum64String(r.id),
	}, m.s.opts.State.Servers(r.service.Name))
	picked, ok := choice.(balancer.Picked)
	m.to, m.placed = picked.Place, ok
	return ok
}

// need is the memory that the run is expected to need.
func (m *mover) need() int {
	r := m.one.request
	return r.prompt + max(r.output, m.one.tokens())
}

func (m *mover) unplace() {
	if m.placed {
		m.s.opts.Balancer.Done(m.to)
		m.placed = false
	}
}

// stop stops the run and hands it over to its handler. Where the engine can't
// be reached any more, the run goes on from what was copied.
func (m *mover) stop(ctx context.Context) {
	if !m.one.stop(m.source.ID) {
		m.abandon(ctx)
		return
	}
	start := m.s.opts.Now()
	status, moved, err := m.s.order(ctx, m.one.request.id, m.source.Address, m.to.Server.Address, true)
	m.s.log.Info().Str("request", m.one.request.id).Str("from", m.source.ID).Str("to", m.to.Server.ID).Int("status", status).
		Int("events", moved.Events).Dur("took", m.s.opts.Now().Sub(start)).Err(err).Msg("generation stopped to be moved")
	if status >= http.StatusMultipleChoices && moved.Handle == "" {
		// The engine has answered: it hasn't stopped the run, which goes on there
		// or has ended by itself. Only a run that isn't there may need its copy.
		m.one.goOn()
		if status != http.StatusNotFound {
			m.abandon(ctx)
		}
		return
	}
	h, copied := m.one.takeCopy()
	switch {
	case err != nil && moved.Handle != "":
		// The engine has stopped and keeps the memory; it goes on there.
		if copied {
			m.s.opts.Balancer.Done(h.to)
		}
		h = handover{to: balancer.Place{Server: m.source, Tokens: m.need()}, source: m.source.Address, handle: moved.Handle}
		m.s.opts.Balancer.Reserve(m.s.opts.Now(), h.to)
	case err != nil && !copied:
		h = handover{err: err}
	case err != nil:
		h.unsure = true
	case err == nil:
		h.handle = moved.Handle
	}
	m.one.handed <- h
	if m.one.finished() {
		m.one.unclaimed(m.s.opts.Balancer.Done)
	}
}

// abandon gives back what was taken at another engine for a run that has ended.
func (m *mover) abandon(ctx context.Context) {
	m.unplace()
	h, ok := m.one.takeCopy()
	if !ok {
		return
	}
	m.s.opts.Balancer.Done(h.to)
	m.s.free(ctx, h)
}

// discard has a copy freed without its caller waiting for it. With all carriers
// at work it lapses by itself.
func (s *Server) discard(h handover) {
	_ = s.carriers.Submit(func() { s.free(context.Background(), h) })
}

// free gives back the memory of a copy that nobody goes on from. The engine
// that was copied from frees both ends; when it is gone the other one is asked.
func (s *Server) free(ctx context.Context, h handover) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	path := s.opts.Dialect.Paths.Handle + "/" + h.handle
	for _, address := range []string{h.source, h.to.Server.Address} {
		_, _, err := s.upstream.Order(ctx, address, http.MethodDelete, path, nil)
		if err == nil {
			return
		}
		s.log.Debug().Str("address", address).Err(err).Msg("copy not freed")
	}
}

// order tells an engine to copy a run to another one, with last to stop it.
func (s *Server) order(ctx context.Context, id, source, to string, last bool) (int, dialect.Moved, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	d := s.opts.Dialect
	status, data, err := s.upstream.Order(ctx, source, http.MethodPost, d.Paths.Move, d.Move(dialect.Move{RequestID: id, To: to, Last: last}))
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
