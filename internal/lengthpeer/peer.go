// Package lengthpeer lets the instances of an availability zone learn the output lengths of
// generations together. It is for generations whose length is unknown and whose caller's hint is far
// off.
//
// Each instance counts the lengths of the streams that it relayed and reports them to one of them, the
// aggregator, which is chosen by hashing. The response has the aggregator's counts if they are newer.
// An instance estimates with the last counts that it received plus its own observations since. Without
// an aggregator it learns from its own observations; a new aggregator starts from the counts that it
// holds, or asks a member that holds newer ones.
//
// # Usage
//
//	p := lengthpeer.New(lengthpeer.Options{...})
//	go p.Run(ctx)
//	key := lengthpeer.Key("llm", "transcribe", "club", 512)
//	p.Observe(now, key, 748, false)
//	if rest, known := p.Expected(key, 64, 1768); known {
//		...
//	}
package lengthpeer

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/peer"
)

const (
	reportProcedure = "/pollenspindle.lengths.v1.Lengths/Report"
	callTimeout     = 250 * time.Millisecond
	reportInterval  = 2 * time.Second
	// unsupportedBackoff is how long an aggregator without the procedure, an older version or one with
	// the setting off, isn't asked.
	unsupportedBackoff = 10 * time.Second
	// maxMessageBytes limits a received message: the counts, and observations that all have keys of
	// their own with long names.
	maxMessageBytes = 256 << 10
	// aggregatorKey is the key whose owner is the aggregator.
	aggregatorKey = "lengths"
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

// Peer learns output lengths. It is safe for concurrent use.
type Peer struct {
	opts   Options
	client *instancerpc.Client

	mu      sync.Mutex
	learner *learner
	// counted are the numbers of the learner that the metrics show already.
	counted metrics
	// unsupported is the aggregator that lacks the procedure, not asked until retryAt.
	unsupported string
	retryAt     time.Time
	// failing is set while reports fail.
	failing bool
}

// metrics are numbers of observations since the start.
type metrics struct{ observed, rejected, dropped int64 }

// New returns a peer; [Peer.Run] sends its reports.
func New(opts Options) *Peer {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Peer{
		opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, callTimeout),
		learner: newLearner(opts.Self, opts.Table.Self().StartedAt),
	}
}

// Observe adds an output of the given number of tokens. Censored means that it was cut off there: the
// stream was cut, the caller left, or the output reached the caller's limit. Numbers of tokens below 0
// or above [outputlength.MaxTokens] are ignored and counted.
func (p *Peer) Observe(now time.Time, key outputlength.Key, tokens int, censored bool) {
	p.ObserveFrom(now, key, 0, tokens, censored)
}

// ObserveFrom is [Peer.Observe] for an output whose first tokens, up to from, were added by
// [Peer.ObserveRunning].
func (p *Peer) ObserveFrom(_ time.Time, key outputlength.Key, from, tokens int, cut bool) {
	end := ended
	if cut {
		end = censored
	}
	p.observe(observation{key, from, tokens, end})
}

// ObserveRunning adds the part of an output that is still being generated from one number of tokens to
// another. It prevents that the first outputs that end after a start, which are short ones, pass for
// typical.
func (p *Peer) ObserveRunning(_ time.Time, key outputlength.Key, from, tokens int) {
	p.observe(observation{key, from, tokens, running})
}

func (p *Peer) observe(o observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learner.observe(o)
}

// Curve returns the curve of a key, or that of the next coarser key with observations. It is never nil;
// without any observations it is the prior.
func (p *Peer) Curve(key outputlength.Key) *outputlength.Curve {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learner.curve(key)
}

// Expected returns the mean number of further tokens of an output that has generated tokens. Limit is
// the caller's limit on the whole output in tokens, 0 for none. Known is false with fewer than 20
// observations of the key and of its route.
func (p *Peer) Expected(key outputlength.Key, generated, limit int) (tokens int, known bool) {
	curve, known := p.knownCurve(key)
	if !known {
		return 0, false
	}
	return int(math.Ceil(curve.MeanRemaining(max(0, generated), furthest(generated, limit)))), true
}

// Remaining returns the number of further tokens within which the given share of the outputs that have
// generated tokens end; limit and known are as for [Peer.Expected].
func (p *Peer) Remaining(key outputlength.Key, generated, limit int, share float64) (tokens int, known bool) {
	curve, known := p.knownCurve(key)
	if !known {
		return 0, false
	}
	return min(curve.Remaining(max(0, generated), share), furthest(generated, limit)), true
}

// furthest returns the maximum number of further tokens.
func furthest(generated, limit int) int {
	if limit <= 0 {
		limit = outputlength.MaxTokens
	}
	return max(0, min(limit, outputlength.MaxTokens)-max(0, generated))
}

// knownCurve is [Peer.Curve] for a key with enough observations to be used instead of a hint.
func (p *Peer) knownCurve(key outputlength.Key) (curve *outputlength.Curve, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learner.curve(key), p.learner.isKnown(key)
}

// Run sends reports until ctx is done. The first one comes after a random part of the interval, so that
// instances that start together don't report together.
func (p *Peer) Run(ctx context.Context) {
	for wait := rand.N(reportInterval); objectapi.Sleep(ctx, wait) == nil; wait = reportInterval {
		p.reportOnce(ctx, p.opts.Now())
	}
	p.client.CloseIdleConnections()
}

// reportOnce sends a report if there is something to report. The observations of a report that fails
// are sent again with the next one.
func (p *Peer) reportOnce(ctx context.Context, now time.Time) {
	defer p.updateMetrics()
	aggregator, ok := p.opts.Table.OwnerIn(p.opts.Table.Self().Zone, aggregatorKey)
	if !ok {
		return
	}
	r, due := p.dueReport(now, aggregator.ID)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	options := append(instancerpc.ClientOptions(), connect.WithReadMaxBytes(maxMessageBytes))
	client := connect.NewClient[Report, ReportResponse](p.client.HTTP, "http://"+aggregator.Peer+reportProcedure, options...)
	req := connect.NewRequest(&r)
	p.client.Sign(now, req.Header(), reportProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		p.recordFailure(now, aggregator.ID, r, err)
		return
	}
	p.apply(now, aggregator.ID, r, *res.Msg)
}

// dueReport returns the report to send to an aggregator, if any is due. The aggregator itself counts
// its observations at once.
func (p *Peer) dueReport(now time.Time, aggregator string) (Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if aggregator == p.opts.Self {
		p.learner.countOwn()
		return Report{}, false
	}
	if !p.learner.reportDue() || aggregator == p.unsupported && now.Before(p.retryAt) {
		return Report{}, false
	}
	return p.learner.report(now), true
}

// recordFailure keeps what a failed report asked for. Only the first of several failures is logged.
func (p *Peer) recordFailure(now time.Time, aggregator string, r Report, err error) {
	p.opts.Scope.Counter("reports_failed").Inc(1)
	p.client.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learner.asked = true
	p.learner.sendCounts = r.Counts != nil
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		p.unsupported, p.retryAt = aggregator, now.Add(unsupportedBackoff)
	}
	if !p.failing {
		p.opts.Log.Info().Str("instance", aggregator).Int("observations", len(r.Observations)).Err(err).Msg("length report failed")
	}
	p.failing = true
}

func (p *Peer) apply(now time.Time, aggregator string, r Report, v ReportResponse) {
	p.mu.Lock()
	before, failing := p.learner.version, p.failing
	p.learner.apply(now, r, v)
	after := p.learner.version
	p.failing = false
	p.mu.Unlock()
	if failing {
		p.opts.Log.Info().Str("instance", aggregator).Int("observations", len(r.Observations)).Msg("length reports succeed again")
	}
	if after != before {
		level := zerolog.DebugLevel
		if before == 0 {
			level = zerolog.InfoLevel
		}
		p.opts.Log.WithLevel(level).Str("instance", aggregator).Int64("version", after).Int("keys", len(v.Counts.Keys)).Msg("learned lengths received")
	}
}

// updateMetrics adds what was observed since the last report to the metrics. The version shows whether
// the instances of a zone hold the same counts.
func (p *Peer) updateMetrics() {
	p.mu.Lock()
	now := metrics{p.learner.observed, p.learner.rejected, p.learner.dropped}
	before, version := p.counted, p.learner.version
	p.counted = now
	p.mu.Unlock()
	p.opts.Scope.Gauge("version").Update(float64(version))
	p.opts.Scope.Counter("observed").Inc(now.observed - before.observed)
	p.opts.Scope.Counter("rejected").Inc(now.rejected - before.rejected)
	p.opts.Scope.Counter("dropped").Inc(now.dropped - before.dropped)
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
		reportProcedure: connect.NewUnaryHandler(reportProcedure, report, append(instancerpc.HandlerOptions(), connect.WithReadMaxBytes(maxMessageBytes))...),
	}
}

func (p *Peer) aggregate(now time.Time, r Report) ReportResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learner.aggregate(now, r)
}
