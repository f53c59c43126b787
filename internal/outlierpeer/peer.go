// Package outlierpeer lets the instances of an availability zone detect outlier
// servers together: each reports the answers that it saw to one of them, the
// aggregator, which is chosen by hashing, and gets back the ejected servers. An
// instance that gets no response keeps the last ejections until they expire.
//
// # Usage
//
//	p := outlierpeer.New(outlierpeer.Options{...})
//	go p.Run(ctx)
//	p.RecordAnswer(server, "bookings", failed, took)
//	if p.ShouldAvoid(now, id, repeatable) {
//		...
//	}
package outlierpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/outlier"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	reportProcedure = "/pollenspindle.outlier.v1.Outlier/Report"
	callTimeout     = 250 * time.Millisecond
	// checkInterval is how often a peer checks whether a report is due:
	// failureReportInterval after the last one if answers have failed, otherwise
	// reportInterval plus reportIntervalPerInstance for each instance.
	checkInterval             = 100 * time.Millisecond
	failureReportInterval     = 300 * time.Millisecond
	reportInterval            = 800 * time.Millisecond
	reportIntervalPerInstance = 4 * time.Millisecond
	// aggregatorKey is the key whose owner is the aggregator.
	aggregatorKey = "outliers"
)

// Options configures a [Peer].
type Options struct {
	Self  string
	Table *membership.Table
	Key   peer.Key
	Log   zerolog.Logger
	Scope tally.Scope
	Now   func() time.Time
}

// Report holds the answers that an instance saw since its last report.
type Report struct {
	Answers []outlier.Answers `json:"answers,omitempty"`
}

// ReportResponse holds the ejected servers.
type ReportResponse struct {
	Ejected []outlier.Ejection `json:"ejected,omitempty"`
}

type answerKey struct{ service, server, route string }

type ejection struct{ until, trialUntil time.Time }

// Peer reports the answers of one instance and applies ejections. It is safe for
// concurrent use.
type Peer struct {
	opts   Options
	client *instancerpc.Client

	mu          sync.Mutex
	detector    *outlier.Detector
	answers     map[answerKey]*outlier.Answers
	hasFailures bool
	lastReport  time.Time
	ejected     map[string]ejection
}

// New returns a peer; [Peer.Run] sends its reports.
func New(opts Options) *Peer {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Peer{
		opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, callTimeout), detector: outlier.NewDetector(),
		answers: map[answerKey]*outlier.Answers{}, ejected: map[string]ejection{},
	}
}

// RecordAnswer records an answer of a server and the time that it took; 0 if that isn't to be
// compared with other servers.
func (p *Peer) RecordAnswer(server platformstate.Server, route string, failed bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := answerKey{server.Service, server.ID, route}
	a, ok := p.answers[k]
	if !ok {
		a = &outlier.Answers{Service: server.Service, Server: server.ID, Route: route}
		p.answers[k] = a
	}
	a.Total++
	switch {
	case failed:
		a.Failed++
		p.hasFailures = true
	case took > 0:
		// Rounded up, so that the times of fast answers aren't lost.
		a.Millis += (took + time.Millisecond - 1).Milliseconds()
	}
}

// ShouldAvoid reports whether a request must not be sent to a server.
func (p *Peer) ShouldAvoid(now time.Time, id string, repeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.ejected[id]
	return ok && (now.Before(a.until) || !repeatable && now.Before(a.trialUntil))
}

// Run sends reports until ctx is done.
func (p *Peer) Run(ctx context.Context) {
	for objectapi.Sleep(ctx, checkInterval) == nil {
		now := p.opts.Now()
		if answers, due := p.dueReport(now); due {
			p.report(ctx, now, Report{Answers: answers})
		}
	}
	p.client.CloseIdleConnections()
}

// dueReport returns the answers to report if a report is due, and clears them.
func (p *Peer) dueReport(now time.Time) ([]outlier.Answers, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := reportInterval + time.Duration(p.opts.Table.Count(now))*reportIntervalPerInstance
	if p.hasFailures {
		interval = failureReportInterval
	}
	if len(p.answers) == 0 || now.Sub(p.lastReport) < interval {
		return nil, false
	}
	out := make([]outlier.Answers, 0, len(p.answers))
	for _, a := range p.answers {
		out = append(out, *a)
	}
	clear(p.answers)
	p.hasFailures, p.lastReport = false, now
	return out, true
}

// report sends a report to the aggregator and applies its response. A report that
// fails is dropped: the next answers serve as well.
func (p *Peer) report(ctx context.Context, now time.Time, r Report) {
	aggregator, ok := p.opts.Table.OwnerIn(p.opts.Table.Self().Zone, aggregatorKey)
	if !ok {
		return
	}
	if aggregator.ID == p.opts.Self {
		p.applyEjections(now, p.aggregate(now, r))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[Report, ReportResponse](p.client.HTTP, "http://"+aggregator.Peer+reportProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.client.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		p.opts.Log.Debug().Str("instance", aggregator.ID).Err(err).Msg("outlier report failed")
		return
	}
	p.applyEjections(now, *res.Msg)
}

// applyEjections applies the ejections of the aggregator.
func (p *Peer) applyEjections(now time.Time, v ReportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range v.Ejected {
		until := now.Add(time.Duration(e.ForMillis) * time.Millisecond)
		if known, ok := p.ejected[e.Server]; !ok || until.Sub(known.until) > time.Second {
			p.opts.Log.Info().Str("server", e.Server).Int64("forMs", e.ForMillis).Msg("server left alone")
		}
		p.ejected[e.Server] = ejection{until: until, trialUntil: until.Add(time.Duration(e.TrialMillis) * time.Millisecond)}
	}
	for id, a := range p.ejected {
		if !now.Before(a.trialUntil) {
			delete(p.ejected, id)
		}
	}
}

// aggregate adds a report to the detector and returns the ejected servers.
func (p *Peer) aggregate(now time.Time, r Report) ReportResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range r.Answers {
		if !a.Plausible() {
			p.opts.Scope.Counter("reports_invalid").Inc(1)
			p.opts.Log.Debug().Str("server", a.Server).Int("answers", a.Total).Int("failed", a.Failed).Int64("millis", a.Millis).Msg("implausible times of answers ignored")
		}
	}
	for _, f := range p.detector.Apply(now, r.Answers) {
		if f.Slow {
			p.opts.Log.Info().Str("service", f.Service).Str("server", f.Server).Str("route", f.Route).Dur("mean", f.Mean).Dur("others", f.Others).
				Dur("for", f.For).Msg("slow server ejected")
			p.opts.Scope.Counter("servers_slow").Inc(1)
			continue
		}
		p.opts.Log.Info().Str("service", f.Service).Str("server", f.Server).Float64("ratio", f.Ratio).Float64("answers", f.Total).
			Float64("failed", f.Failed).Dur("for", f.For).Msg("server ejected")
		p.opts.Scope.Counter("ejections").Inc(1)
	}
	return ReportResponse{Ejected: p.detector.Ejected(now)}
}

// Handlers returns the HTTP handlers for calls from other instances, by path.
func (p *Peer) Handlers() map[string]http.Handler {
	report := func(_ context.Context, req *connect.Request[Report]) (*connect.Response[ReportResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		v := p.aggregate(now, *req.Msg)
		return connect.NewResponse(&v), nil
	}
	return map[string]http.Handler{
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, instancerpc.HandlerOptions()...),
	}
}
