// Package outlierpeer has the instances of an availability zone find the servers
// that fail requests which others answer: each reports the answers that it saw to
// one of them, found by hashing, and is told in return which servers to leave
// alone. An instance that isn't answered goes by what it was told last, which ends
// by itself.
//
// # Usage
//
//	p := outlierpeer.New(outlierpeer.Options{...})
//	go p.Run(ctx)
//	p.Note(server, "bookings", failed)
//	if p.Avoid(now, id, repeatable) {
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

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/outlier"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peerrpc"
)

const (
	reportProcedure = "/pollenspindle.outlier.v1.Outlier/Report"
	callTimeout     = 250 * time.Millisecond
	// tick is how often it is looked whether a report is due: after failGap where
	// answers have failed, else after reportGap, which grows by reportEach with
	// each instance.
	tick       = 100 * time.Millisecond
	failGap    = 300 * time.Millisecond
	reportGap  = 800 * time.Millisecond
	reportEach = 4 * time.Millisecond
	// ownerKey finds the instance that adds up.
	ownerKey = "outliers"
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

// Report is the answers that an instance saw since its last report.
type Report struct {
	Answers []outlier.Answers `json:"answers,omitempty"`
}

// Verdict is the servers that are to be left alone.
type Verdict struct {
	Ejected []outlier.Ejection `json:"ejected,omitempty"`
}

type answerKey struct{ service, server, route string }

type ejection struct{ until, trial time.Time }

// Peer is one instance's part. It is safe for concurrent use.
type Peer struct {
	opts   Options
	caller *peerrpc.Caller

	mu       sync.Mutex
	detector *outlier.Detector
	answers  map[answerKey]*outlier.Answers
	failed   bool
	reported time.Time
	avoid    map[string]ejection
}

// New returns a peer that is ready to run.
func New(opts Options) *Peer {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Peer{
		opts: opts, caller: peerrpc.NewCaller(opts.Key, opts.Self, callTimeout), detector: outlier.NewDetector(),
		answers: map[answerKey]*outlier.Answers{}, avoid: map[string]ejection{},
	}
}

// Note counts an answer.
func (p *Peer) Note(server observed.Server, route string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := answerKey{server.Service, server.ID, route}
	a, ok := p.answers[k]
	if !ok {
		a = &outlier.Answers{Service: server.Service, Server: server.ID, Route: route}
		p.answers[k] = a
	}
	a.Number++
	if failed {
		a.Failed++
		p.failed = true
	}
}

// Avoid reports whether a server is to be left alone by a request.
func (p *Peer) Avoid(now time.Time, id string, repeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.avoid[id]
	return ok && (now.Before(a.until) || !repeatable && now.Before(a.trial))
}

// Run reports until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for objectapi.Pause(ctx, tick) == nil {
		now := p.opts.Now()
		if answers, due := p.dueReport(now); due {
			p.report(ctx, now, Report{Answers: answers})
		}
	}
	p.caller.Drop()
}

// dueReport returns the answers to be reported, if any are due.
func (p *Peer) dueReport(now time.Time) ([]outlier.Answers, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := reportGap + time.Duration(p.opts.Table.Count(now))*reportEach
	if p.failed {
		gap = failGap
	}
	if len(p.answers) == 0 || now.Sub(p.reported) < gap {
		return nil, false
	}
	out := make([]outlier.Answers, 0, len(p.answers))
	for _, a := range p.answers {
		out = append(out, *a)
	}
	clear(p.answers)
	p.failed, p.reported = false, now
	return out, true
}

// report tells the instance that adds up, and takes over its verdict. What it
// isn't told is lost: the next answers tell as much.
func (p *Peer) report(ctx context.Context, now time.Time, r Report) {
	owner, ok := p.opts.Table.OwnerIn(p.opts.Table.Self().Zone, ownerKey)
	if !ok {
		return
	}
	if owner.ID == p.opts.Self {
		p.applyVerdict(now, p.aggregate(now, r))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[Report, Verdict](p.caller.HTTP, "http://"+owner.Peer+reportProcedure, peerrpc.ClientOptions()...)
	req := connect.NewRequest(&r)
	p.caller.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		p.opts.Log.Debug().Str("instance", owner.ID).Err(err).Msg("report of answers not taken")
		return
	}
	p.applyVerdict(now, *res.Msg)
}

// applyVerdict takes over a verdict.
func (p *Peer) applyVerdict(now time.Time, v Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range v.Ejected {
		until := now.Add(time.Duration(e.ForMillis) * time.Millisecond)
		if known, ok := p.avoid[e.Server]; !ok || until.Sub(known.until) > time.Second {
			p.opts.Log.Info().Str("server", e.Server).Int64("forMs", e.ForMillis).Msg("server left alone")
		}
		p.avoid[e.Server] = ejection{until: until, trial: until.Add(time.Duration(e.TrialMillis) * time.Millisecond)}
	}
	for id, a := range p.avoid {
		if !now.Before(a.trial) {
			delete(p.avoid, id)
		}
	}
}

// aggregate adds a report up.
func (p *Peer) aggregate(now time.Time, r Report) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.detector.Take(now, r.Answers) {
		p.opts.Log.Info().Str("service", f.Service).Str("server", f.Server).Float64("ratio", f.Ratio).Float64("answers", f.Number).
			Float64("failed", f.Failed).Dur("for", f.For).Msg("server ejected")
		p.opts.Scope.Counter("ejections").Inc(1)
	}
	return Verdict{Ejected: p.detector.Ejected(now)}
}

// Handlers answer other instances, by path.
func (p *Peer) Handlers() map[string]http.Handler {
	report := func(_ context.Context, req *connect.Request[Report]) (*connect.Response[Verdict], error) {
		now := p.opts.Now()
		if err := peerrpc.Check(p.opts.Key, now, req.Header(), reportProcedure); err != nil {
			return nil, err
		}
		v := p.aggregate(now, *req.Msg)
		return connect.NewResponse(&v), nil
	}
	return map[string]http.Handler{
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, peerrpc.HandlerOptions()...),
	}
}
