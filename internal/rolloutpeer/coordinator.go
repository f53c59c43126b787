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
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

const (
	reportProcedure = "/pollenspindle.rollout.v1.Rollout/Report"
	// callTimeout limits a report, writeTimeout a write to the platform.
	callTimeout  = 300 * time.Millisecond
	writeTimeout = time.Second
)

// errNotCoordinator is returned when this instance isn't the coordinator of a rollout, as
// far as it knows.
var errNotCoordinator = merry.Sentinel("this instance isn't the coordinator of the rollout")

// report sends this instance's report to the coordinator and applies the lease in the
// answer.
func (p *Peer) report(ctx context.Context, now time.Time, r *dialect.Rollout, lr *localRollout, coordinator membership.Record, isCoordinator bool) {
	remaining := p.remaining(r.Service)
	p.mu.Lock()
	lr.reportedAt = now
	p.sequence++
	report := lr.Report(now, p.opts.Self, p.opts.Table.Self().StartedAt, p.sequence, remaining)
	p.mu.Unlock()
	if isCoordinator {
		if lease, err := p.applyReport(now, report); err == nil {
			lr.ApplyLease(now, lease)
		}
		return
	}
	if coordinator.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[rollout.Report, rollout.Lease](p.client.HTTP, "http://"+coordinator.Peer+reportProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&report)
	p.client.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		p.opts.Log.Info().Str("service", r.Service).Str("decider", coordinator.ID).Err(err).Msg("report of a roll-out not answered")
		return
	}
	// The lease is valid from the time of the request: the answer may have been late.
	lr.ApplyLease(now, *res.Msg)
}

// Handlers returns the handlers for other instances by path.
func (p *Peer) Handlers() map[string]http.Handler {
	report := func(_ context.Context, req *connect.Request[rollout.Report]) (*connect.Response[rollout.Lease], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		lease, err := p.applyReport(now, *req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&lease), nil
	}
	return map[string]http.Handler{
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, instancerpc.HandlerOptions()...),
	}
}

// applyReport applies a report if this instance is the coordinator.
func (p *Peer) applyReport(now time.Time, r rollout.Report) (rollout.Lease, error) {
	if _, isCoordinator := p.coordinator(); !isCoordinator {
		return rollout.Lease{}, errNotCoordinator
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lr, ok := p.rollouts[r.RolloutID]
	if !ok || lr.Stage().Ended() || !lr.Joined(now) {
		return rollout.Lease{}, errNotCoordinator
	}
	return p.controller(now, lr).Apply(now, r), nil
}

func (p *Peer) controller(now time.Time, lr *localRollout) *rollout.Controller {
	c, ok := p.controllers[lr.Spec.ID]
	if !ok {
		c = rollout.NewController(now.Add(-lr.Age(now)), lr.Spec, p.opts.Limits)
		p.controllers[lr.Spec.ID] = c
		p.opts.Log.Info().Str("service", lr.Spec.Service).Str("to", lr.Spec.To).Stringer("stage", lr.Stage()).Msg("this instance decides on the roll-out")
	}
	c.Advance(lr.Stage())
	return c
}

// decide takes the next step of a rollout as its coordinator and writes the result to the
// platform.
func (p *Peer) decide(ctx context.Context, now time.Time, r *dialect.Rollout, lr *localRollout) {
	p.mu.Lock()
	if now.Sub(lr.steppedAt) < stepInterval || !lr.Joined(now) {
		p.mu.Unlock()
		return
	}
	lr.steppedAt = now
	c := p.controller(now, lr)
	before := c.Stage()
	action := c.Step(now, p.view(r))
	lr.Advance(c.Stage())
	if c.Stage() != before {
		p.logDecision(r, c)
	}
	p.mu.Unlock()
	switch action := action.(type) {
	case rollout.Write:
		p.write(ctx, r, lr, action)
	case rollout.Wait:
		if action.Reason != lr.waitReason {
			lr.waitReason = action.Reason
			p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Str("for", action.Reason).Msg("roll-out waits")
		}
		if r.ReportedStage == rollout.StageNone {
			p.write(ctx, r, lr, rollout.Write{Stage: rollout.StageCanary, Reason: "begun"})
		}
	}
}

// view returns the state of the service's servers and of the instances.
func (p *Peer) view(r *dialect.Rollout) rollout.View {
	var v rollout.View
	for _, m := range p.opts.Table.Running() {
		v.Live = append(v.Live, m.ID)
	}
	v.NewServers, v.OldServers = p.opts.State.CountByVersion(r.Service, r.TargetVersion)
	return v
}

func (p *Peer) logDecision(r *dialect.Rollout, c *rollout.Controller) {
	counts := c.Counts()
	number, failed := counts.Total(rollout.Canary)
	oldNumber, oldFailed := counts.Total(rollout.Stable)
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", c.Stage()).Str("reason", c.Reason).
		Int("answers", number).Int("failed", failed).Int("oldAnswers", oldNumber).Int("oldFailed", oldFailed).
		Float64("ratio", c.Evidence.Ratio).Msg("roll-out decided")
	p.opts.Scope.Tagged(map[string]string{"stage": c.Stage().String()}).Counter("verdicts").Inc(1)
}

// write writes the rollout's status to the platform, on the condition that its object
// hasn't changed. If the answer is lost, the write is repeated; the condition then fails,
// and the object is read again.
func (p *Peer) write(ctx context.Context, r *dialect.Rollout, lr *localRollout, w rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	kind := p.opts.Dialect.Kinds.Rollouts
	_, err := p.opts.Objects.UpdateStatus(ctx, kind, r.Name, r.Revision, p.opts.Dialect.EncodeRolloutStatus(r.TargetVersion, w.Stage))
	p.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Stringer("stage", w.Stage).Str("reason", w.Reason).
		Int64("revision", r.Revision).Err(err).Msg("platform told of a roll-out")
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		p.opts.State.MarkDiverged(p.opts.Now())
		return
	}
	if err == nil && w.Stage.Ended() {
		lr.Advance(w.Stage)
	}
}

// Status describes a rollout for operators.
type Status struct {
	Service       string  `json:"service"`
	To            string  `json:"to"`
	Stage         string  `json:"stage"`
	PlatformStage string  `json:"told"`
	Share         float64 `json:"share"`
	AgeMs         int64   `json:"ageMs"`
	Coordinator   bool    `json:"deciding"`
	// Answers and Failed count those of the new version, OldAnswers and OldFailed those of the
	// old one: of all instances if this one is the coordinator, otherwise its own.
	Answers    int    `json:"answers"`
	Failed     int    `json:"failed"`
	OldAnswers int    `json:"oldAnswers"`
	OldFailed  int    `json:"oldFailed"`
	Remaining  int    `json:"left"`
	Reason     string `json:"reason,omitempty"`
	WaitReason string `json:"waits,omitempty"`
}

// Statuses returns the rollouts in order of their services.
func (p *Peer) Statuses() []Status {
	now := p.opts.Now()
	rollouts := p.opts.State.Rollouts()
	out := make([]Status, 0, len(rollouts))
	for i := range rollouts {
		r := &rollouts[i]
		status := Status{Service: r.Service, To: r.TargetVersion, Stage: r.Stage.String(), PlatformStage: r.ReportedStage.String(), Remaining: p.remaining(r.Service)}
		p.mu.Lock()
		if lr, ok := p.rollouts[r.ID]; ok {
			counts := rollout.NewCounts()
			counts.Add(lr.Report(now, "", 0, 0, 0).Cells)
			if c, ok := p.controllers[r.ID]; ok {
				counts, status.Coordinator, status.Reason = c.Counts(), true, c.Reason
			}
			status.AgeMs, status.Share, status.WaitReason = lr.Age(now).Milliseconds(), lr.Share(now), lr.waitReason
			status.Answers, status.Failed = counts.Total(rollout.Canary)
			status.OldAnswers, status.OldFailed = counts.Total(rollout.Stable)
		}
		p.mu.Unlock()
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
