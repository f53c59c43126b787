package owner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/control"
	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/service"
	"pollenspindle.example/pollenspindle/internal/suspect"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Loads reads load reports. The moment of measurement is counted from asked,
// when the call was sent: the report can't be older than it then says.
type Loads interface {
	Load(ctx context.Context, asked time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error)
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

// Load implements [Loads]. It fails with [ErrGone] when nothing listens at the
// address.
func (c Clients) Load(ctx context.Context, asked time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error) {
	report, err := c.load(ctx, asked, kind, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return report, merry.Wrap(ErrGone, merry.WithCause(err))
	}
	return report, err
}

func (c Clients) load(ctx context.Context, asked time.Time, kind pollenspindle.ServiceKind, address string) (admission.Report, error) {
	if kind == pollenspindle.ServicePlain {
		r, err := c.Service.Load(ctx, address)
		return admission.Report{
			Incarnation: r.Incarnation,
			MeasuredAt:  asked.Add(-millis(r.MeasuredMillisAgo)),
			Cold:        r.State == service.LoadCold,
			Leaving:     r.State == service.LoadLeaving,
			Running:     r.Running,
		}, err
	}
	r, err := c.Engine.Load(ctx, address)
	report := admission.Report{
		Incarnation:   r.Incarnation,
		MeasuredAt:    asked.Add(-millis(r.MeasuredMillisAgo)),
		Cold:          r.State == engine.LoadCold,
		Leaving:       r.State == engine.LoadLeaving,
		Running:       len(r.Running) + r.Waiting,
		Sequences:     make([]admission.Sequence, 0, len(r.Running)),
		UsedTokens:    r.UsedTokens,
		Batch:         len(r.Running),
		TokenInterval: time.Duration(r.TokenIntervalMillis * float64(time.Millisecond)),
		Preemptions:   int(r.Preemptions),
	}
	for _, s := range r.Running {
		report.Sequences = append(report.Sequences, admission.Sequence{ID: s.ID, Prompt: s.PromptTokens, Output: s.OutputTokens})
	}
	return report, err
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// poll asks server for its load if it is time and no poll of it runs. When all
// workers are busy the poll is left to the next tick: reports get older, and
// nothing is granted on a report older than the right asks for.
func (o *Owner) poll(ctx context.Context, now time.Time, snap *config.Snapshot, server pollenspindle.Server, e *entry) {
	e.mu.Lock()
	due := !e.polling && now.Sub(e.polledAt) >= e.pollEvery(now, o.opts.PollEvery)
	if due {
		e.polling, e.polledAt, e.sincePoll = true, now, 0
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
	o.opts.Costs.Of(control.RoleLoadPolls).Run(func() { o.polled(time.Now(), server, e, report, err) })
}

// polled takes in a load report, or that there was none.
func (o *Owner) polled(now time.Time, server pollenspindle.Server, e *entry, report admission.Report, err error) {
	var restart *admission.Restart
	o.with(e, func() {
		defer func() { o.crashed(e.lastSeen(now, restart), e, restart) }()
		e.polling = false
		before, _ := e.state.LastReport()
		e.reported(now, err, before, report)
		if reached := err == nil; reached != e.reached {
			e.reached = reached
			o.opts.Log.Info().Str("server", server.Name).Bool("reached", reached).Msg("load report")
		}
		if err != nil {
			o.opts.Metrics.Counter("load_polls_failed").Inc(1)
			if errors.Is(err, ErrGone) {
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

// crashed notes what was running when a start of a server ended, at the moment
// at which it was last seen.
func (o *Owner) crashed(at time.Time, e *entry, restart *admission.Restart) {
	if restart == nil {
		return
	}
	crash := suspect.CrashName(e.zone, e.cfg.Name, restart.OldIncarnation)
	for _, r := range restart.Running {
		o.opts.Suspects.crash(at, crash, r.Fingerprint)
	}
}
