package rolloutpeer

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

const (
	reportProcedure = "/pollenspindle.rollout.v1.Rollout/Report"
	// callTimeout bounds a report, writeTimeout a call to the platform.
	callTimeout  = 300 * time.Millisecond
	writeTimeout = time.Second
)

// errNotDecider means that this instance doesn't decide, as far as it knows.
var errNotDecider = merry.Sentinel("this instance doesn't decide on roll-outs")

// report tells the instance that decides what was seen here, and takes over its
// lease.
func (p *Peer) report(ctx context.Context, now time.Time, r *dialect.Rollout, one *part, decider membership.Record, here bool) {
	left := p.left(r.Service)
	p.mu.Lock()
	one.reported = now
	p.sequence++
	report := one.Report(now, p.opts.Self, p.opts.Table.Self().Started, p.sequence, left)
	p.mu.Unlock()
	if here {
		if lease, err := p.takeReport(now, report); err == nil {
			one.Hold(now, lease)
		}
		return
	}
	if decider.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[rollout.Report, rollout.Lease](p.caller.HTTP, "http://"+decider.Peer+reportProcedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(&report)
	p.caller.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		p.opts.Log.Info().Str("service", r.Service).Str("decider", decider.ID).Err(err).Msg("report of a roll-out not answered")
		return
	}
	// The lease counts from when it was asked for: the answer may have been late.
	one.Hold(now, *res.Msg)
}

// Handlers answer other instances, by path.
func (p *Peer) Handlers() map[string]http.Handler {
	report := func(_ context.Context, req *connect.Request[rollout.Report]) (*connect.Response[rollout.Lease], error) {
		now := p.opts.Now()
		if err := peerrpc.Check(p.opts.Key, now, req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		lease, err := p.takeReport(now, *req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&lease), nil
	}
	return map[string]http.Handler{
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, peerrpc.HandlerOptions()...),
	}
}

// takeReport takes over a report where this instance decides.
func (p *Peer) takeReport(now time.Time, r rollout.Report) (rollout.Lease, error) {
	if _, here := p.decider(); !here {
		return rollout.Lease{}, errNotDecider
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.parts[r.Order]
	if !ok || one.Stage().Ended() || !one.Joined(now) {
		return rollout.Lease{}, errNotDecider
	}
	return p.controller(now, one).Take(now, r), nil
}

func (p *Peer) controller(now time.Time, one *part) *rollout.Controller {
	c, ok := p.controllers[one.Order.ID]
	if !ok {
		c = rollout.NewController(now.Add(-one.Age(now)), one.Order, p.opts.Limits)
		p.controllers[one.Order.ID] = c
		p.opts.Log.Info().Str("service", one.Order.Service).Str("to", one.Order.To).Stringer("stage", one.Stage()).Msg("this instance decides on the roll-out")
	}
	c.Advance(one.Stage())
	return c
}

// decide has the roll-out go on, and tells the platform.
func (p *Peer) decide(ctx context.Context, now time.Time, r *dialect.Rollout, one *part) {
	p.mu.Lock()
	if now.Sub(one.stepped) < stepGap || !one.Joined(now) {
		p.mu.Unlock()
		return
	}
	one.stepped = now
	c := p.controller(now, one)
	before := c.Stage()
	action := c.Step(now, p.view(r))
	one.Advance(c.Stage())
	if c.Stage() != before {
		p.logVerdict(r, c)
	}
	p.mu.Unlock()
	switch action := action.(type) {
	case rollout.Write:
		p.write(ctx, r, one, action)
	case rollout.Wait:
		if action.Why != one.wait {
			one.wait = action.Why
			p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Str("for", action.Why).Msg("roll-out waits")
		}
		if r.ReportedStage == rollout.StageNone {
			p.write(ctx, r, one, rollout.Write{Stage: rollout.StageCanary, Reason: "begun"})
		}
	}
}

// view is what is known of the service's servers and of the instances.
func (p *Peer) view(r *dialect.Rollout) rollout.View {
	var v rollout.View
	for _, m := range p.opts.Table.Running() {
		v.Live = append(v.Live, m.ID)
	}
	v.New, v.Old = p.opts.State.OfVersion(r.Service, r.TargetVersion)
	return v
}

func (p *Peer) logVerdict(r *dialect.Rollout, c *rollout.Controller) {
	counts := c.Counts()
	number, failed := counts.Total(rollout.Canary)
	oldNumber, oldFailed := counts.Total(rollout.Stable)
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", c.Stage()).Str("reason", c.Reason).
		Int("answers", number).Int("failed", failed).Int("oldAnswers", oldNumber).Int("oldFailed", oldFailed).
		Float64("ratio", c.Evidence.Ratio).Msg("roll-out decided")
	p.opts.Scope.Tagged(map[string]string{"stage": c.Stage().String()}).Counter("verdicts").Inc(1)
}

// write tells the platform a state, on the condition that nobody has told it since.
// A write whose answer is lost is made again; the condition then fails, and what
// the platform has is read.
func (p *Peer) write(ctx context.Context, r *dialect.Rollout, one *part, w rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	kind := p.opts.Dialect.Kinds.Rollouts
	_, err := p.opts.Objects.UpdateStatus(ctx, kind, r.Name, r.Revision, p.opts.Dialect.EncodeRolloutStatus(r.TargetVersion, w.Stage))
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", w.Stage).Str("reason", w.Reason).
		Int64("revision", r.Revision).Err(err).Msg("platform told of a roll-out")
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		p.opts.State.Doubt(p.opts.Now())
		return
	}
	if err == nil && w.Stage.Ended() {
		one.Advance(w.Stage)
	}
}

// Shown is a roll-out as operators see it.
type Shown struct {
	Service  string  `json:"service"`
	To       string  `json:"to"`
	Stage    string  `json:"stage"`
	Told     string  `json:"told"`
	Share    float64 `json:"share"`
	AgeMs    int64   `json:"ageMs"`
	Deciding bool    `json:"deciding"`
	// Answers and Failed count those of the new version and of the old one: of all
	// instances where this one decides, of its own otherwise.
	Answers    int    `json:"answers"`
	Failed     int    `json:"failed"`
	OldAnswers int    `json:"oldAnswers"`
	OldFailed  int    `json:"oldFailed"`
	Left       int    `json:"left"`
	Reason     string `json:"reason,omitempty"`
	Waits      string `json:"waits,omitempty"`
}

// Show returns the roll-outs, by service.
func (p *Peer) Show() []Shown {
	now := p.opts.Now()
	rollouts := p.opts.State.Rollouts()
	out := make([]Shown, 0, len(rollouts))
	for i := range rollouts {
		r := &rollouts[i]
		shown := Shown{Service: r.Service, To: r.TargetVersion, Stage: r.Stage.String(), Told: r.ReportedStage.String(), Left: p.left(r.Service)}
		p.mu.Lock()
		if one, ok := p.parts[r.ID]; ok {
			counts := rollout.NewCounts()
			counts.Add(one.Report(now, "", 0, 0, 0).Cells)
			if c, ok := p.controllers[r.ID]; ok {
				counts, shown.Deciding, shown.Reason = c.Counts(), true, c.Reason
			}
			shown.AgeMs, shown.Share, shown.Waits = one.Age(now).Milliseconds(), one.Share(now), one.wait
			shown.Answers, shown.Failed = counts.Total(rollout.Canary)
			shown.OldAnswers, shown.OldFailed = counts.Total(rollout.Stable)
		}
		p.mu.Unlock()
		out = append(out, shown)
	}
	slices.SortFunc(out, func(a, b Shown) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
