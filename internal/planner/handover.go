package planner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/handover"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// overflowMemoryShare is the limit on the expected memory demand of an engine for a copy that
	// would otherwise be late: a preempted generation is recomputed, a cut one is lost.
	overflowMemoryShare = 1.3
	// maxTokens is the largest number of tokens that a request may state.
	maxTokens = 1 << 24
	// maxPlannersKnown limits the planners whose last notice is kept.
	maxPlannersKnown = 1024
)

// Handover configures handovers with a deadline.
type Handover struct {
	// Watch observes the notices of engines on this instance.
	Watch *handover.Watch
	Scope tally.Scope
}

// bounds is the state of handovers with a deadline. A nil bounds means that they are off.
type bounds struct {
	Handover
	notices *handover.Notices
	// sent holds the number of the last notice sent to each planner. Only Run uses it.
	sent map[string]uint64
}

func newBounds(h *Handover) *bounds {
	if h == nil {
		return nil
	}
	return &bounds{Handover: *h, notices: handover.NewNotices(), sent: map[string]uint64{}}
}

// ask returns a transfer request as a request to the schedule. Values that can't be true are
// replaced by what is assumed of an older instance, which doesn't send them.
//
// An engine that isn't known to leave, whose version is taken out of service, has the longest notice.
func (b *bounds) ask(now time.Time, e routes.Engine, leaving bool, l TransferRequest) Ask {
	implausible := false
	limit := func(v *int) {
		if *v < 0 || *v > maxTokens {
			*v, implausible = 0, true
		}
	}
	limit(&l.Tokens)
	limit(&l.RequiredTokens)
	limit(&l.AnswerTokens)
	if l.NoticeAgeMillis < 0 || l.NoticeAgeMillis > handover.LongestNotice.Milliseconds() {
		l.NoticeAgeMillis, implausible = 0, true
	}
	if implausible {
		b.Scope.Counter("handover_rejected").Inc(1)
	}
	rest := time.Duration(l.RestMillis) * time.Millisecond
	if l.RestMillis <= 0 || l.RestMillis > handover.MaxNotice.Milliseconds() {
		rest = -1
	}
	answer := l.AnswerTokens
	if answer == 0 {
		answer = max(1, l.RequiredTokens-l.Tokens)
	}
	notice := b.notices.Notice(now, l.Service)
	b.Scope.Tagged(map[string]string{"service": l.Service}).Gauge("notice_ms").Update(float64(notice.Milliseconds()))
	if !leaving && l.NoticeAgeMillis == 0 {
		notice = handover.LongestNotice
	}
	noticed := now.Add(-time.Duration(l.NoticeAgeMillis) * time.Millisecond)
	return Ask{
		Copy:         Copy{GenerationID: l.GenerationID, Instance: l.Instance, Source: l.Engine, Tokens: l.Tokens, Version: l.Version},
		AnswerTokens: answer, Rest: rest, Duration: migration.TransferTime(e, l.Tokens, false),
		Noticed: noticed, Notice: notice, Resumable: l.Resumable, MayAskAgain: l.MayAskAgain,
	}
}

// scheduleInTime waits until a copy's place in the order of its link can be decided, and returns its
// transfer slot, or when to ask again.
func (p *Planner) scheduleInTime(ctx context.Context, service *routes.Service, l TransferRequest) (TransferResponse, error) {
	now := p.opts.Now()
	decideAt := p.schedule.Join(now, p.bounds.ask(now, *service.Engine, p.isLeaving(l.Engine), l))
	if wait := decideAt.Sub(now); wait > 0 && objectapi.Sleep(ctx, wait) != nil {
		return TransferResponse{}, ErrUnavailable
	}
	return p.answerTransfer(p.opts.Now(), service, l)
}

// isLeaving reports whether an engine leaves, as far as this instance knows.
func (p *Planner) isLeaving(engine string) bool {
	server, listed := p.opts.State.Server(engine)
	return !listed || server.Leaving
}

// answerTransfer decides on a copy that has joined the schedule.
func (p *Planner) answerTransfer(now time.Time, service *routes.Service, l TransferRequest) (TransferResponse, error) {
	d := p.schedule.Decide(now, l.Engine, l.GenerationID, &targetFinder{p: p, now: now, service: service, request: l})
	p.recordDecision(now, l, d)
	switch {
	case d.TooLate:
		return TransferResponse{TooLate: true, Lost: d.Lost}, nil
	case d.AskAgainIn > 0:
		return TransferResponse{AskAgainMillis: max(1, d.AskAgainIn.Milliseconds()), StartMillis: d.StartIn.Milliseconds(), Lost: d.Lost}, nil
	case !d.Assigned:
		return TransferResponse{}, ErrUnavailable
	}
	wait := max(0, d.Slot.Start.Sub(now))
	return TransferResponse{WaitMillis: wait.Milliseconds(), Target: d.Slot.Target, InTime: d.InTime, Lost: d.Lost}, nil
}

// recordDecision logs and counts a decision.
func (p *Planner) recordDecision(now time.Time, l TransferRequest, d Decision) {
	log, scope := p.opts.Log, p.bounds.Scope
	if d.Repeated {
		log.Info().Str("request", l.GenerationID).Str("from", l.Engine).Str("to", d.Slot.Target).Msg("turn told again")
		return
	}
	if d.First {
		log.Info().Str("from", l.Engine).Int("generations", d.Waiting).Int("tooLate", d.Lost).Dur("exitsIn", d.Deadline.Sub(now)).
			Msg("engine hands over its generations")
		scope.Counter("handover_lost_at_notice").Inc(int64(d.Lost))
	}
	switch {
	case d.TooLate:
		scope.Counter("handover_too_late").Inc(1)
		log.Info().Str("request", l.GenerationID).Str("from", l.Engine).Dur("exitsIn", d.Deadline.Sub(now)).Msg("copy would end too late")
	case d.Assigned:
		if d.InTime {
			scope.Counter("handover_promised").Inc(1)
		} else {
			scope.Counter("handover_too_late").Inc(1)
		}
		log.Info().Str("request", l.GenerationID).Str("from", l.Engine).Str("to", d.Slot.Target).Int("tokens", l.Tokens).
			Dur("wait", max(0, d.Slot.Start.Sub(now))).Dur("takes", d.Slot.Duration).Bool("inTime", d.InTime).Int("waiting", d.Waiting).Msg("turn given")
	}
}

// Overflow returns further engines for a copy that would be late on those of [targetFinder.InGroup]:
// engines of the group up to a higher share of their memory, and those of other groups.
func (r *targetFinder) Overflow(c Copy) []Target {
	group := r.p.groupEngines(r.service.Name, r.request.Zone, r.request.Engine)
	inGroup := make(map[string]bool, len(group))
	for _, e := range group {
		inGroup[e.ID] = true
	}
	var others []*platformstate.Server
	for _, e := range r.p.opts.State.Servers(r.service.Name) {
		if !inGroup[e.ID] {
			others = append(others, e)
		}
	}
	return append(r.targets(c, r.freeUpTo(c, group, overflowMemoryShare)), r.targets(c, r.freeUpTo(c, others, 0))...)
}

// InGroup returns the engines of the group with free capacity, best first.
func (r *targetFinder) InGroup(c Copy) []Target {
	return r.targets(c, r.freeUpTo(c, r.p.groupEngines(r.service.Name, r.request.Zone, r.request.Engine), 0))
}

// handoverTokens returns how many tokens of a new generation have to be copied if its engine leaves.
func (p *Planner) handoverTokens(now time.Time, r PlacementRequest) int {
	if p.bounds == nil {
		return 0
	}
	return handover.TokensToCopy(r.PromptTokens, r.RequiredTokens-r.PromptTokens, p.bounds.notices.Notice(now, r.Service))
}

// handoverTokens returns how many tokens of a generation have to be copied if the engine that it is
// copied to leaves.
func (r *targetFinder) handoverTokens(c Copy) int {
	if r.p.bounds == nil {
		return 0
	}
	return handover.TokensToCopy(c.Tokens, r.requiredTokens(c)-c.Tokens, r.p.bounds.notices.Notice(r.now, r.service.Name))
}

// loadOf returns the load of one generation.
func loadOf(tokens, handoverTokens int) balancer.Load {
	load := balancer.Load{Running: 1, Tokens: tokens}
	if handoverTokens > 0 {
		load.HandoverCount, load.HandoverTokens = 1, handoverTokens
	}
	return load
}

// noticesFor returns the notices that this instance has observed since its last report to a planner,
// and the number of the last one.
func (p *Planner) noticesFor(now time.Time, address string) ([]handover.Notice, uint64) {
	if p.bounds == nil {
		return nil, 0
	}
	return p.bounds.Watch.After(now, p.bounds.sent[address])
}

// noticesSent records that a planner has received the notices up to the one with the given number.
func (p *Planner) noticesSent(address string, sequence uint64) {
	if p.bounds == nil {
		return
	}
	if len(p.bounds.sent) >= maxPlannersKnown {
		// Notices that were sent already may be sent once more.
		clear(p.bounds.sent)
	}
	p.bounds.sent[address] = sequence
}

// addNotices adds the notices that an instance reports.
func (p *Planner) addNotices(now time.Time, notices []handover.Notice) {
	if p.bounds == nil || len(notices) == 0 {
		return
	}
	known := notices[:0:0]
	for _, n := range notices {
		if _, err := p.engines(n.Service); err == nil {
			known = append(known, n)
		}
	}
	ignored := p.bounds.notices.Add(now, known) + len(notices) - len(known)
	if ignored > 0 {
		p.bounds.Scope.Counter("notices_rejected").Inc(int64(ignored))
	}
}
