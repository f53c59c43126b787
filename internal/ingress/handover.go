package ingress

import (
	"context"
	"errors"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/handover"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/retry"
	"pollenspindle.example/pollenspindle/internal/upstream"
)

const (
	// maxTransferAsks limits the requests for one transfer slot. Engines exit within some seconds
	// of their notice, and the planner names waits of 15 to 250 ms, most of them above 100 ms.
	maxTransferAsks = 100
	// maxTransferWait limits the wait that a planner names.
	maxTransferWait = 10 * time.Second
	// maxUnplannedWait limits the wait for the expected start of a copy whose planner can't be
	// reached any more: the time of three copies, after which others have probably ended too.
	maxUnplannedWait = 600 * time.Millisecond
)

// watchLeaving records which engines of this instance's streams have given notice. Engines that are no
// longer listed may have crashed without one.
func (s *Server) watchLeaving(now time.Time) {
	if s.opts.Handover == nil {
		return
	}
	for _, st := range s.streams.list() {
		if st.request.service.Engine == nil {
			continue
		}
		server := st.server()
		if known, listed := s.opts.State.Server(server.ID); listed && known.Leaving {
			s.opts.Handover.Leaving(now, server.ID, server.StartedAtMillis)
		}
	}
}

// recordBreak records that a stream broke on its engine: if the engine was leaving, it has exited.
func (s *Server) recordBreak(now time.Time, st *activeStream) {
	if s.opts.Handover == nil || st.request.service.Engine == nil {
		return
	}
	server := st.server()
	if notice, ok := s.opts.Handover.Broke(now, st.request.service.Name, server.ID, server.StartedAtMillis); ok {
		s.log.Info().Str("server", server.ID).Dur("notice", notice).Msg("leaving engine has exited")
	}
	if st.takePromise() {
		s.opts.Scope.Counter("handover_missed").Inc(1)
		s.log.Warn().Str("request", st.request.id).Str("server", server.ID).Msg("engine exited before the promised copy ended")
	}
}

// firstEvent wakes the search for streams to migrate if the engine of a stream that has just begun
// leaves: the time until its exit is short.
func (s *Server) firstEvent(st *activeStream) {
	if s.opts.Handover == nil || st.eventCount() != 1 || !s.mustMigrate(st) {
		return
	}
	select {
	case s.streamBegan <- struct{}{}:
	default:
	}
}

// handoverTokens returns how many tokens of a new generation have to be copied if its engine leaves.
func (s *Server) handoverTokens(r *request) int {
	if s.opts.Handover == nil || !r.isGeneration() {
		return 0
	}
	return handover.TokensToCopy(r.promptTokens, r.expectedOutput, handover.DefaultNotice)
}

// hasNotice reports whether the handover has to end by the exit of the engine. An engine without a
// notice runs on, for instance while its version is taken out of service, or has crashed.
func (m *migrator) hasNotice() bool {
	if m.s.opts.Handover == nil {
		return false
	}
	_, ok := m.s.opts.Handover.Since(m.s.opts.Now(), m.source.ID, m.source.StartedAtMillis)
	return ok
}

// awaitSlotInTime requests the generation's transfer slot until the planner gives it one, and waits
// for its start. It returns false if the planner can't be reached or the stream has ended or was
// given up on its engine.
func (m *migrator) awaitSlotInTime(ctx context.Context) bool {
	r := m.stream.request
	var startAt time.Time
	late := false
	for asks := 1; asks <= maxTransferAsks && m.stream.runsOn(m.source.ID); asks++ {
		t := m.transferRequest(m.s.opts.Now())
		t.Repeated = asks > 1 && !late
		slot, err := m.s.opts.Planner.RequestTransfer(ctx, t)
		if late = errors.Is(err, planner.ErrLate); late {
			m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Int("asks", asks).Err(err).Msg("transfer slot asked for again")
			continue
		}
		if err != nil {
			m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Int("asks", asks).Err(err).Msg("migration without a transfer slot")
			// The copies that the planner expects before this one have been told their slots.
			if wait := startAt.Sub(m.s.opts.Now()); asks > 1 && wait > 0 {
				_ = objectapi.Sleep(ctx, min(wait, maxUnplannedWait))
			}
			return false
		}
		if slot.TooLate {
			if !m.stream.mayRunAnew() || m.continueElsewhere(ctx) {
				return false
			}
			// The copy comes last on the link.
			m.stream.excludeNewRun()
			continue
		}
		wait := time.Duration(max(0, slot.WaitMillis+slot.AskAgainMillis)) * time.Millisecond
		startAt = m.s.opts.Now().Add(time.Duration(slot.StartMillis) * time.Millisecond)
		if wait > maxTransferWait || objectapi.Sleep(ctx, wait) != nil {
			m.s.log.Info().Str("request", r.id).Str("server", m.source.ID).Dur("wait", wait).Msg("wait for a transfer slot ended")
			return false
		}
		if slot.AskAgainMillis > 0 {
			continue
		}
		m.s.log.Info().Str("request", r.id).Str("from", m.source.ID).Str("to", slot.Target).Int("asks", asks).Bool("inTime", slot.InTime).Int("lost", slot.Lost).Msg("transfer slot")
		m.stream.promise(slot.InTime)
		m.reserveTarget(slot.Target)
		return true
	}
	return false
}

// continueElsewhere ends the stream's run on an engine that exits before the generation can be
// copied, and reports whether it did: the stream is then continued by a new run on another engine,
// which is reserved first.
func (m *migrator) continueElsewhere(ctx context.Context) bool {
	s, r := m.s, m.stream.request
	now := s.opts.Now()
	if _, ok := s.repeat(now, r, repeatNewRun, retry.Attempt{Number: 1, Cause: retry.CauseLost}); !ok {
		s.log.Info().Str("request", r.id).Str("server", m.source.ID).Msg("no new run for a stream that can't be copied in time: the retry budget is exhausted")
		return false
	}
	place, refusal := s.chooseServer(ctx, now, r, &attempts{excluded: map[string]bool{m.source.ID: true}, resuming: true})
	if refusal != nil {
		s.releaseRetry(r)
		s.log.Info().Str("request", r.id).Str("server", m.source.ID).Err(refusal).Msg("no new run for a stream that can't be copied in time")
		return false
	}
	if !m.stream.giveUp(m.source.ID, place) {
		s.releaseRetry(r)
		s.opts.Balancer.Release(place)
		return true
	}
	s.opts.Scope.Counter("handover_given_up").Inc(1)
	s.log.Info().Str("request", r.id).Str("from", m.source.ID).Str("to", place.Server.ID).Msg("stream that can't be copied in time goes on by a new run")
	return true
}

// transferRequest returns the request for the generation's transfer slot.
func (m *migrator) transferRequest(now time.Time) planner.TransferRequest {
	r, generated := m.stream.request, m.stream.generatedTokens()
	t := planner.TransferRequest{
		GenerationID: r.id, Service: r.service.Name, Engine: m.source.ID, Zone: m.source.Zone, Tokens: r.promptTokens + generated, RequiredTokens: m.requiredTokens(),
		AnswerTokens: m.requiredTokens() - r.promptTokens, Resumable: r.route.Resumable && m.stream.mayRunAnew(), MayAskAgain: true,
		Version: m.s.requiredVersion(r),
	}
	if rest := m.s.expectedRemaining(m.stream); rest > 0 {
		t.RestMillis = rest.Milliseconds()
	}
	age, _ := m.s.opts.Handover.Since(now, m.source.ID, m.source.StartedAtMillis)
	t.NoticeAgeMillis = max(1, age.Milliseconds())
	return t
}

// reserveTarget reserves the target of a transfer slot if this instance knows no reason against it.
func (m *migrator) reserveTarget(id string) {
	s, now := m.s, m.s.opts.Now()
	server, ok := s.assigned(now, m.stream.request, id)
	if !ok || m.stream.finished() {
		return
	}
	m.target, m.reserved = balancer.Placement{Server: server, Tokens: m.requiredTokens(), HandoverTokens: m.handoverTokens()}, true
	s.opts.Balancer.Reserve(now, m.target)
}

// handoverTokens returns how many tokens have to be copied if the engine that the generation is
// migrated to leaves.
func (m *migrator) handoverTokens() int {
	if m.s.opts.Handover == nil {
		return 0
	}
	r, generated := m.stream.request, m.stream.generatedTokens()
	return handover.TokensToCopy(r.promptTokens+generated, r.expectedOutput-generated, handover.DefaultNotice)
}

// mayRunAnew reports whether a place for a new run of the stream may be sought.
func (a *activeStream) mayRunAnew() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.noNewRun
}

// excludeNewRun records that there is no place for a new run: one search and one retry of the budget
// for each stream and server are enough.
func (a *activeStream) excludeNewRun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noNewRun = true
}

// promise records that the planner expects a copy to end before the engine exits.
func (a *activeStream) promise(inTime bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.promised = inTime
}

// takePromise reports whether a copy was promised on the present engine, and removes the promise.
func (a *activeStream) takePromise() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	promised := a.promised
	a.promised = false
	return promised
}

// giveUp ends the run on a server, so that the stream continues at another place, whose load is
// reserved; false means that it isn't running there any more.
func (a *activeStream) giveUp(server string, place balancer.Placement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.cuttingOver || a.placement.Server.ID != server || a.abort == nil || a.nextRun != nil {
		return false
	}
	a.nextRun = &place
	a.abort()
	return true
}

// nextPlace returns the place of the next run if there is one.
func (a *activeStream) nextPlace() (balancer.Placement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.nextRun == nil {
		return balancer.Placement{}, false
	}
	return *a.nextRun, true
}

// hasNextRun reports whether the run was ended by giveUp.
func (a *activeStream) hasNextRun() bool {
	_, ok := a.nextPlace()
	return ok
}

// resumeNextRun continues a stream whose run was ended by giveUp.
func (cs *callerStream) resumeNextRun(ctx context.Context, place balancer.Placement) (*upstream.Response, error) {
	cs.switchTo(place)
	return cs.send(ctx, place, repeatNewRun)
}
