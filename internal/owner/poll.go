package owner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Loads reads load reports. MeasuredAt is computed from sentAt, the time at which the
// call is sent, so a report can't be older than it says.
type Loads interface {
	Load(ctx context.Context, sentAt time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error)
}

// Clients reads load reports from engines and plain services.
type Clients struct {
	Engine interface {
		Load(ctx context.Context, address string) (engine.LoadReport, error)
	}
	Service interface {
		Load(ctx context.Context, address string) (service.LoadReport, error)
	}
}

// Load implements [Loads]. It fails with [ErrNotListening] when nothing listens at the
// address.
func (c Clients) Load(ctx context.Context, sentAt time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error) {
	report, err := c.load(ctx, sentAt, kind, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return report, merry.Wrap(ErrNotListening, merry.WithCause(err))
	}
	return report, err
}

func (c Clients) load(ctx context.Context, sentAt time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error) {
	if kind == pollenspindle.ServicePlain {
		r, err := c.Service.Load(ctx, address)
		return admission.Report{
			Incarnation: r.Incarnation,
			MeasuredAt:  sentAt.Add(-millis(r.MeasuredMillisAgo)),
			Cold:        r.State == service.LoadCold,
			Leaving:     r.State == service.LoadLeaving,
			Running:     r.Running, MaxPerSecond: max(0, r.MaxPerSecond),
		}, err
	}
	r, err := c.Engine.Load(ctx, address)
	report := admission.Report{
		Incarnation:   r.Incarnation,
		MeasuredAt:    sentAt.Add(-millis(r.MeasuredMillisAgo)),
		Cold:          r.State == engine.LoadCold,
		Leaving:       r.State == engine.LoadLeaving,
		Running:       len(r.Running) + r.Waiting,
		Sequences:     make([]admission.Sequence, 0, len(r.Running)),
		UsedTokens:    r.UsedTokens,
		Batch:         len(r.Running),
		TokenInterval: time.Duration(r.TokenIntervalMillis * float64(time.Millisecond)),
		Preemptions:   int(r.Preemptions),
		MaxPerSecond:  max(0, r.MaxPerSecond),
	}
	for _, s := range r.Running {
		report.Sequences = append(report.Sequences, admission.Sequence{ID: s.ID, Prompt: s.PromptTokens, Output: s.OutputTokens})
	}
	return report, err
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// poll starts a load poll of server if one is due and none runs. When all workers are
// busy the poll is left to the next tick: reports get older, and nothing is granted on
// a report older than the right requires.
func (o *Owner) poll(ctx context.Context, now time.Time, snap *config.Snapshot, server pollenspindle.Server, e *entry) {
	e.mu.Lock()
	due := !e.polling && now.Sub(e.polledAt) >= e.pollInterval(now, o.opts.PollInterval)
	if due {
		e.polling, e.polledAt, e.pollStartedAt, e.grantsSincePoll = true, now, now, 0
	}
	e.mu.Unlock()
	if !due {
		return
	}
	kind := pollenspindle.ServiceGeneration
	if s, ok := snap.Services[server.Service]; ok {
		kind = s.Kind
	}
	if err := o.workers.Submit(func() { o.pollOnce(ctx, server, kind, e) }); err != nil {
		o.opts.Metrics.Counter("load_polls_put_off").Inc(1)
		e.mu.Lock()
		e.polling = false
		e.mu.Unlock()
	}
}

func (o *Owner) pollOnce(ctx context.Context, server pollenspindle.Server, kind pollenspindle.ServiceKind, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := o.opts.Loads.Load(ctx, time.Now(), kind, server.Address)
	o.opts.Costs.Meter(controlcost.RoleLoadPolls).Run(func() { o.handlePoll(time.Now(), server, e, report, err) })
}

// handlePoll applies a load report, or the error of a failed poll.
func (o *Owner) handlePoll(now time.Time, server pollenspindle.Server, e *entry, report admission.Report, err error) {
	var restart *admission.Restart
	o.withLock(e, func() {
		defer func() { o.recordCrash(now, e, restart) }()
		e.polling = false
		before, _ := e.state.LastReport()
		e.recordPoll(now, err, before, report)
		if reachable := err == nil; reachable != e.reachable {
			e.reachable = reachable
			o.opts.Log.Info().Str("server", server.Name).Bool("reached", reachable).Msg("load report")
		}
		if err != nil {
			o.opts.Metrics.Counter("load_polls_failed").Inc(1)
			if errors.Is(err, ErrNotListening) {
				restart = e.state.MarkExited(now)
			} else {
				e.state.MarkUnreachable()
			}
			return
		}
		o.countPreemptions(server.Zone, before, report)
		restart = e.state.ApplyReport(now, report)
		e.deliver(e.state.Tick(now))
	})
	if restart != nil && err == nil {
		o.opts.Log.Warn().Str("server", server.Name).Str("incarnation", report.Incarnation).
			Int("running", len(restart.Running)).Msg("backend server restarted")
	}
}

// recordCrash records which requests ran when a server crashed, at the time when the
// server was last seen running.
func (o *Owner) recordCrash(now time.Time, e *entry, restart *admission.Restart) {
	if restart == nil || len(restart.Running) == 0 {
		return
	}
	at := e.lastSeen(now, restart)
	crash := crashsuspect.CrashName(e.zone, e.cfg.Name, restart.OldIncarnation)
	e.crashAnnounced = o.opts.Suspects.recordCrash(now, at, crash, restart.Running)
}
