package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/silence"
)

const (
	// probeTimeout limits the load report of an engine with a suspected stream, silentStopTimeout the
	// call that stops its generation: callers see a pause for both. An engine that answered its
	// report gets the time of the copy in addition.
	probeTimeout      = 300 * time.Millisecond
	silentStopTimeout = 400 * time.Millisecond
	// cutoverSilence is how long a stream may be without events while its engine is asked to stop it.
	// Engines end the stream when they stop the generation, some 45 ms after they are asked.
	cutoverSilence = 500 * time.Millisecond
	// heardMargin is how much later than a silent stream's last event that of another stream must be
	// to show that something still arrives. When an engine or a link stops, the last events of its
	// streams differ by up to an interval, 20 to 95 ms.
	heardMargin = 150 * time.Millisecond
	// Callers leave without an event for the longest of minCallerPatience, callerLatencyShare times
	// the target latency and callerGapShare times the target gap of their route.
	minCallerPatience  = 2 * time.Second
	callerLatencyShare = 4
	callerGapShare     = 8
)

// silenceDetector finds streams whose engine sends nothing. Its probes are bounded by the number of
// engines with suspected streams: one at a time for each.
type silenceDetector struct {
	s     *Server
	watch silence.Watch
	// wake signals that a probe has ended.
	wake chan struct{}

	mu     sync.Mutex
	probes map[incarnation]*engineProbe
}

type incarnation struct {
	server    string
	startedAt int64
}

func incarnationOf(server platformstate.Server) incarnation {
	return incarnation{server.ID, server.StartedAtMillis}
}

// engineProbe is the last load report of an engine.
type engineProbe struct {
	running  bool
	at       time.Time
	answered bool
	report   dialect.LoadReport
}

func newSilenceDetector(s *Server) *silenceDetector {
	return &silenceDetector{s: s, wake: make(chan struct{}, 1), probes: map[incarnation]*engineProbe{}}
}

// probeEnded returns a channel that signals that a probe has ended; nil if detection is off.
func (d *silenceDetector) probeEnded() <-chan struct{} {
	if d == nil {
		return nil
	}
	return d.wake
}

// scan takes the next step for each stream.
func (d *silenceDetector) scan(ctx context.Context, now time.Time, all []*activeStream) {
	if d == nil {
		return
	}
	resumed, continued := d.watch.Observe(now)
	if continued {
		d.s.log.Warn().Msg("this instance didn't run for some time, streams get another interval")
	}
	heard := lastHeard(all)
	suspected := map[incarnation]bool{}
	for _, st := range all {
		e := st.request.service.Engine
		if e == nil {
			continue
		}
		if st.breakOverdueCutover(now) {
			d.s.log.Warn().Str("request", st.request.id).Str("server", st.server().ID).Msg("stream is silent during its cutover, broken off")
			continue
		}
		server := st.server()
		p := st.silenceProgress(resumed)
		if !p.Suspected(now) {
			continue
		}
		if st.suspect() {
			d.s.opts.Scope.Counter("streams_suspected").Inc(1)
			d.s.log.Info().Str("request", st.request.id).Str("server", server.ID).Dur("silent", now.Sub(p.Since)).Dur("interval", p.Interval).Msg("stream suspected")
		}
		suspected[incarnationOf(server)] = true
		d.complete(now, st, server, heard, &p)
		switch step := silence.Next(now, p).(type) {
		case silence.Avoid:
			if st.avoidEngine(server.ID) {
				d.s.opts.Balancer.RecordFailure(now, server.ID)
			}
		case silence.Probe:
			d.probe(ctx, server)
		case silence.Move:
			d.move(ctx, st, server, step)
		case silence.GiveUp:
			if st.breakOff(server.ID) {
				d.s.log.Warn().Str("request", st.request.id).Str("server", server.ID).Dur("silent", now.Sub(p.Since)).Msg("silent stream given up")
			}
		}
	}
	d.forget(suspected)
}

// lastHeard returns when the last event of each engine arrived.
func lastHeard(all []*activeStream) map[string]time.Time {
	heard := map[string]time.Time{}
	for _, st := range all {
		server, at := st.server().ID, st.silenceProgress(time.Time{}).Since
		if at.After(heard[server]) {
			heard[server] = at
		}
	}
	return heard
}

// complete adds what other streams and the engine say.
func (d *silenceDetector) complete(now time.Time, st *activeStream, server platformstate.Server, heard map[string]time.Time, p *silence.Progress) {
	others, otherHeard, later := 0, false, p.Since.Add(heardMargin)
	for id, at := range heard {
		if id == server.ID {
			p.EngineHeard = at.After(later)
			continue
		}
		others++
		otherHeard = otherHeard || at.After(later)
	}
	platformSilent := d.s.serversOutdated(now)
	p.Deaf = platformSilent && others > 0 && !otherHeard && !p.EngineHeard
	if known, ok := d.s.opts.State.Server(server.ID); ok && known.StartedAtMillis != server.StartedAtMillis {
		// The engine has restarted, so its report would be that of another process.
		p.ProbedAt, p.Report = now, silence.Report{Answered: true}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	probe, ok := d.probes[incarnationOf(server)]
	if !ok || probe.at.IsZero() {
		return
	}
	p.ProbedAt, p.Report = probe.at, silence.Report{Answered: probe.answered, Unlisted: probe.report.Waiting + max(0, probe.report.Running-len(probe.report.Sequences))}
	for _, sequence := range probe.report.Sequences {
		if sequence.ID == st.request.id {
			p.Report.Listed, p.Report.Tokens, p.Report.Events = true, sequence.Tokens, sequence.Events
		}
	}
	if !p.Report.Plausible() {
		d.s.opts.Scope.Counter("silence_reports_invalid").Inc(1)
		p.Report = silence.Report{Answered: true, Listed: true, Tokens: 1}
	}
}

// probe reads the load report of an engine, unless that is in progress. If all workers are busy, the
// next scan tries again.
func (d *silenceDetector) probe(ctx context.Context, server platformstate.Server) {
	key := incarnationOf(server)
	d.mu.Lock()
	defer d.mu.Unlock()
	probe, ok := d.probes[key]
	if !ok {
		probe = &engineProbe{}
		d.probes[key] = probe
	}
	if probe.running {
		return
	}
	probe.running = d.s.workers.Submit(func() { d.readReport(ctx, server, probe) }) == nil
}

func (d *silenceDetector) readReport(ctx context.Context, server platformstate.Server, probe *engineProbe) {
	start := d.s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, body, err := d.s.upstream.Call(ctx, server.Address, http.MethodGet, d.s.opts.Dialect.Paths.Report, nil)
	var report dialect.LoadReport
	if err == nil {
		if report, err = d.s.opts.Dialect.DecodeReport(body); err != nil {
			d.s.opts.Scope.Counter("silence_reports_invalid").Inc(1)
		}
	}
	now := d.s.opts.Now()
	d.s.log.Info().Str("server", server.ID).Int("running", report.Running).Int("queued", report.Waiting).Dur("took", now.Sub(start)).Err(err).
		Msg("engine of a suspected stream probed")
	if err == nil && report.Leaving {
		d.s.opts.State.MarkLeaving(server)
	}
	d.mu.Lock()
	probe.running, probe.at, probe.answered, probe.report = false, now, err == nil, report
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// forget deletes the reports of engines without suspected streams.
func (d *silenceDetector) forget(suspected map[incarnation]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, probe := range d.probes {
		if !suspected[key] && !probe.running {
			delete(d.probes, key)
		}
	}
}

// move continues a stream on another engine. While a migration of the stream is in progress, it
// only breaks off the read, if the stream continues from there.
func (d *silenceDetector) move(ctx context.Context, st *activeStream, server platformstate.Server, step silence.Move) {
	now := d.s.opts.Now()
	if st.confirmSilence(server.ID) {
		d.s.log.Warn().Str("request", st.request.id).Str("server", server.ID).Str("reason", string(step.Reason)).Bool("failing", step.Failing).Msg("engine sends nothing")
		if step.Failing {
			d.s.opts.Balancer.RecordFailure(now, server.ID)
			d.s.recordOutcome(server, st.request, rollout.MetricAnswer, true, 0)
		}
	}
	if !st.claimMigration() {
		if !step.Stop {
			d.breakOff(st, server)
		}
		return
	}
	if d.s.workers.Submit(func() { defer st.releaseMigration(); d.stopAndMove(ctx, st, server, step) }) != nil {
		st.releaseMigration()
	}
}

// stopAndMove asks the engine to stop the generation, if the step says so, and interrupts the read of
// the stream if the stream continues elsewhere.
func (d *silenceDetector) stopAndMove(ctx context.Context, st *activeStream, source platformstate.Server, step silence.Move) {
	s := d.s
	m := &migrator{s: s, stream: st, source: source, excluded: map[string]bool{source.ID: true}}
	if (step.Stop || !st.hasCopy()) && !m.chooseTarget() {
		st.recordStop(s.opts.Now(), source.ID, silence.StopNoTarget)
		s.log.Warn().Str("request", st.request.id).Str("server", source.ID).Msg("no engine has capacity for a silent stream")
		return
	}
	switch {
	case !step.Stop:
		// A new run reserves its own place.
		m.releaseReservation()
	case !st.beginCutover(source.ID):
		m.releaseReservation()
		return
	default:
		outcome := d.stop(ctx, m, step)
		if outcome == silence.StopNotAsked {
			return
		}
		st.recordStop(s.opts.Now(), source.ID, outcome)
	}
	if st.request.route.Resumable || st.hasCopy() {
		d.breakOff(st, source)
	}
}

// stop asks the engine to stop the generation and passes the result to the handler of the stream. It
// returns StopNotAsked if the stream was moved.
func (d *silenceDetector) stop(ctx context.Context, m *migrator, step silence.Move) silence.Stop {
	s, st := d.s, m.stream
	limit := silentStopTimeout
	if step.Reason != silence.ReasonNoAnswer {
		tokens := st.request.promptTokens + st.generatedTokens()
		limit = min(cutoverTimeout, limit+migration.TransferTime(*st.request.service.Engine, tokens, m.target.Server.Zone != m.source.Zone))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := s.opts.Now()
	status, migrated, err := s.sendMigration(ctx, st.request.id, m.source.Address, m.target.Server.Address, true)
	s.log.Warn().Str("request", st.request.id).Str("from", m.source.ID).Str("to", m.target.Server.ID).Int("status", status).
		Dur("took", s.opts.Now().Sub(start)).Err(err).Msg("engine of a silent stream told to stop it")
	point := resumePoint{target: m.target, sourceAddress: m.source.Address, handle: migrated.Handle}
	switch {
	case err == nil:
	case migrated.Handle != "":
		// The engine has stopped the generation and keeps its KV cache; it resumes there.
		m.releaseReservation()
		point.target = balancer.Placement{Server: m.source, Tokens: m.requiredTokens()}
		s.opts.Balancer.Reserve(s.opts.Now(), point.target)
	default:
		m.releaseReservation()
		st.cancelCutover()
		switch {
		case status == http.StatusNotFound:
			return silence.StopUnknown
		case status >= http.StatusMultipleChoices:
			return silence.StopRefused
		}
		return silence.StopNoAnswer
	}
	// Later, the handler may have asked the next engine already.
	st.breakOff(m.source.ID)
	st.cutover <- point
	if st.finished() {
		st.releaseUnclaimed(s.opts.Balancer.Release)
	}
	return silence.StopNotAsked
}

// breakOff interrupts the read of a stream that continues from a copy or by a new run. The handler
// closes the connection, and with it the run, before it asks another engine.
func (d *silenceDetector) breakOff(st *activeStream, server platformstate.Server) {
	if st.breakOff(server.ID) {
		d.s.log.Warn().Str("request", st.request.id).Str("server", server.ID).Msg("silent stream broken off to continue elsewhere")
	}
}

// limitCutover limits the call that stops a generation to the time for which its stream waits: a
// later result would be taken for that of the next cutover.
func (s *Server) limitCutover(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.silence == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, cutoverTimeout)
}

// comparedTime returns the time of an answer that is compared with other servers: that of plain
// services. The first event of an engine depends on the prompt and on what else runs there.
func (s *Server) comparedTime(r *request, latency time.Duration) time.Duration {
	if s.silence == nil || r.isGeneration() {
		return 0
	}
	return latency
}

// patienceOf returns the time without an event after which the caller of a request leaves.
func patienceOf(r *request) time.Duration {
	return max(minCallerPatience, callerLatencyShare*r.route.TargetLatency, callerGapShare*r.route.TargetGap)
}
