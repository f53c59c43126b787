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
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// migrate moves the generation of a stream to another engine.
func (s *Server) migrate(ctx context.Context, st *activeStream, noticed time.Time) {
	source := st.server()
	p := migration.Progress{NoticedAt: noticed, Remaining: s.expectedRemaining(st)}
	m := &migrator{s: s, stream: st, source: source, excluded: map[string]bool{source.ID: true}}
	if _, stay := migration.Next(noticed, p).(migration.Stay); !stay || m.hasNotice() {
		p.HasTransferSlot = m.awaitTransferSlot(ctx)
		p.Remaining = s.expectedRemaining(st)
	}
	if p.HasTransferSlot && m.hasNotice() {
		// The planner has weighed the expected rest, which is often exceeded.
		p.Remaining = -1
	}
	for ctx.Err() == nil && st.runsOn(source.ID) {
		switch migration.Next(s.opts.Now(), p).(type) {
		case migration.Stay:
			s.log.Info().Str("request", st.request.id).Str("server", source.ID).Int("refused", p.Refusals).Dur("rest", p.Remaining).
				Func(s.logExpected(st.request)).Func(s.logRemaining(st)).Msg("generation stays")
			m.abandon(ctx)
			return
		case migration.Copy:
			elapsed, err := m.copyKVCache(ctx)
			if err != nil && st.hasCopy() {
				m.cutOver(ctx)
				return
			}
			if err != nil {
				p.Refusals++
				continue
			}
			p.Copies++
			p.LastCopyTime = elapsed
		case migration.Cutover:
			if m.dropPausedTarget(ctx) {
				p.Copies, p.LastCopyTime = 0, 0
				p.Refusals++
				continue
			}
			m.cutOver(ctx)
			return
		}
	}
	m.abandon(ctx)
}

// awaitTransferSlot waits for the generation's transfer slot and reports whether the planner gave
// it one. Without a slot the generation is migrated all the same.
func (m *migrator) awaitTransferSlot(ctx context.Context) bool {
	if m.s.opts.Planner == nil {
		return false
	}
	if m.hasNotice() {
		return m.awaitSlotInTime(ctx)
	}
	r := m.stream.request
	slot, err := m.s.opts.Planner.RequestTransfer(ctx, planner.TransferRequest{
		GenerationID: r.id, Service: r.service.Name, Engine: m.source.ID, Zone: m.source.Zone, Tokens: r.promptTokens + m.stream.generatedTokens(), RequiredTokens: m.requiredTokens(),
		Version: m.s.requiredVersion(r),
	})
	if err != nil {
		m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Err(err).Msg("migration without a transfer slot")
		return false
	}
	if objectapi.Sleep(ctx, slot.Wait()) != nil {
		return false
	}
	now := m.s.opts.Now()
	if server, ok := m.s.assigned(now, r, slot.Target); ok && !m.stream.finished() {
		m.target, m.reserved = balancer.Placement{Server: server, Tokens: m.requiredTokens()}, true
		m.s.opts.Balancer.Reserve(now, m.target)
	}
	return true
}

// hintedRemaining returns how long a generation runs on according to its hint; negative if unknown.
func hintedRemaining(st *activeStream) time.Duration {
	tokens := st.request.expectedOutput - st.generatedTokens()
	if tokens <= 0 {
		return -1
	}
	return time.Duration(tokens) * timePerToken
}

// minUnreachableTime is the minimum time after which an engine reports that another one can't be
// reached; a reachable engine without capacity refuses within milliseconds.
//
// During a platform outage, engines that have exited stay listed; the failure that one generation
// finds counts for all.
const minUnreachableTime = 200 * time.Millisecond

// migrator migrates the generation of one stream.
type migrator struct {
	s        *Server
	stream   *activeStream
	source   platformstate.Server
	excluded map[string]bool
	// target is the engine that the KV cache is copied to. Its reserved load belongs to the
	// migrator while reserved is set, and to the stream's copy afterwards.
	target   balancer.Placement
	reserved bool
}

// copyKVCache copies the KV cache to the target, which it chooses if there is none.
func (m *migrator) copyKVCache(ctx context.Context) (time.Duration, error) {
	if !m.reserved && !m.stream.hasCopy() && !m.chooseTarget() {
		return 0, errRefused
	}
	start := m.s.opts.Now()
	status, migrated, err := m.s.sendMigration(ctx, m.stream.request.id, m.source.Address, m.target.Server.Address, false)
	elapsed := m.s.opts.Now().Sub(start)
	m.s.log.Info().Str("request", m.stream.request.id).Str("from", m.source.ID).Str("to", m.target.Server.ID).
		Int("status", status).Dur("took", elapsed).Err(err).Msg("generation copied")
	if err != nil {
		m.excluded[m.target.Server.ID] = true
		if status == http.StatusServiceUnavailable && elapsed >= minUnreachableTime {
			m.s.opts.Balancer.RecordFailure(m.s.opts.Now(), m.target.Server.ID)
		}
		m.releaseReservation()
		return elapsed, err
	}
	if m.reserved && m.stream.setCopy(resumePoint{target: m.target, sourceAddress: m.source.Address, handle: migrated.Handle}) {
		m.reserved = false
	}
	return elapsed, nil
}

func (m *migrator) chooseTarget() bool {
	r := m.stream.request
	choice := m.s.opts.Balancer.Pick(m.s.opts.Now(), balancer.Request{
		Service: r.service, Zone: m.source.Zone, Tokens: m.requiredTokens(), Excluded: m.excluded, Instances: m.s.opts.Instances(),
		SpreadKey: xxhash.Sum64String(r.id), ExpectedEvents: m.s.remainingEvents(m.stream), HandoverTokens: m.handoverTokens(),
	}, m.s.candidates(r))
	picked, ok := choice.(balancer.Picked)
	m.target, m.reserved = picked.Placement, ok
	return ok
}

// requiredTokens is the expected memory demand of the generation, in tokens.
func (m *migrator) requiredTokens() int {
	return m.stream.request.promptTokens + m.s.expectedTotal(m.stream)
}

func (m *migrator) releaseReservation() {
	if m.reserved {
		m.s.opts.Balancer.Release(m.target)
		m.reserved = false
	}
}

// dropPausedTarget gives up a copy whose target has asked for a pause since it was chosen, and
// reports whether there was one.
func (m *migrator) dropPausedTarget(ctx context.Context) bool {
	id := m.target.Server.ID
	if m.s.opts.Pauses.Remaining(m.s.opts.Now(), id) == 0 {
		return false
	}
	m.excluded[id] = true
	m.abandon(ctx)
	return true
}

// cutOver stops the generation and passes the result to the handler of the stream. If the engine
// can't be reached any more, the generation resumes from its copy.
//
// The generation runs on until there is a retry for the request to its copy: once it has stopped, it can't go on
// without one.
func (m *migrator) cutOver(ctx context.Context) {
	limit := maxRetryWait
	if m.hasNotice() {
		limit = maxTransferWait
	}
	until := m.s.opts.Now().Add(limit)
	err := m.s.awaitRetry(ctx, m.stream.request, func(now time.Time) bool { return now.Before(until) && m.stream.runsOn(m.source.ID) })
	if err != nil || !m.stream.beginCutover(m.source.ID) {
		m.s.releaseRetry(m.stream.request)
		m.abandon(ctx)
		return
	}
	start := m.s.opts.Now()
	ctx, cancel := m.s.limitCutover(ctx)
	defer cancel()
	status, migrated, err := m.s.sendMigration(ctx, m.stream.request.id, m.source.Address, m.target.Server.Address, true)
	m.s.log.Info().Str("request", m.stream.request.id).Str("from", m.source.ID).Str("to", m.target.Server.ID).Int("status", status).
		Int("events", migrated.Events).Dur("took", m.s.opts.Now().Sub(start)).Err(err).Msg("generation stopped to be moved")
	if status >= http.StatusMultipleChoices && migrated.Handle == "" {
		// The engine has answered that it hasn't stopped the generation, which continues there or
		// has ended. Only a generation that the engine doesn't know may need its copy.
		m.stream.cancelCutover()
		m.s.releaseRetry(m.stream.request)
		if status != http.StatusNotFound {
			m.abandon(ctx)
		}
		return
	}
	point, copied := m.stream.takeCopy()
	switch {
	case err != nil && migrated.Handle != "":
		// The engine has stopped the generation and keeps its KV cache; it resumes there.
		if copied {
			m.s.opts.Balancer.Release(point.target)
		}
		point = resumePoint{target: balancer.Placement{Server: m.source, Tokens: m.requiredTokens()}, sourceAddress: m.source.Address, handle: migrated.Handle}
		m.s.opts.Balancer.Reserve(m.s.opts.Now(), point.target)
	case err != nil && !copied:
		point = resumePoint{err: err}
	case err != nil:
		point.unconfirmed = true
	case err == nil:
		point.handle = migrated.Handle
	}
	m.stream.cutoverEnded(point)
	m.stream.cutover <- point
	if m.stream.finished() {
		m.stream.releaseUnclaimed(m.s.opts.Balancer.Release)
	}
}

// abandon releases what was reserved and copied for a migration that isn't completed.
func (m *migrator) abandon(ctx context.Context) {
	m.releaseReservation()
	point, ok := m.stream.takeCopy()
	if !ok {
		return
	}
	m.s.opts.Balancer.Release(point.target)
	m.s.freeCopy(ctx, point)
}

// discardCopy frees a copy in the background. If all workers are busy, the copy expires on its
// engine.
func (s *Server) discardCopy(point resumePoint) {
	_ = s.workers.Submit(func() { s.freeCopy(context.Background(), point) })
}

// freeCopy frees the memory of an unused copy. The source engine frees both ends; if it is gone,
// the target engine is called.
func (s *Server) freeCopy(ctx context.Context, point resumePoint) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	path := s.opts.Dialect.Paths.Handle + "/" + point.handle
	for _, address := range []string{point.sourceAddress, point.target.Server.Address} {
		_, _, err := s.upstream.Call(ctx, address, http.MethodDelete, path, nil)
		if err == nil {
			return
		}
		s.log.Debug().Str("address", address).Err(err).Msg("copy of a KV cache not freed")
	}
}

// sendMigration tells an engine to copy a generation to another one and, if stop is set, to stop it
// first.
func (s *Server) sendMigration(ctx context.Context, id, source, target string, stop bool) (int, dialect.MigrationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	d := s.opts.Dialect
	status, data, err := s.upstream.Call(ctx, source, http.MethodPost, d.Paths.Migrate, d.EncodeMigration(dialect.MigrationRequest{RequestID: id, Target: target, Stop: stop}))
	if err != nil {
		migrated := dialect.MigrationResponse{}
		if json.Valid(data) {
			migrated, _ = d.DecodeMigration(data)
		}
		return status, migrated, err
	}
	migrated, err := d.DecodeMigration(data)
	return status, migrated, err
}
