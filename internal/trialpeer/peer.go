// Package trialpeer lets the instances of a deployment try a suspected part of prompts in one request at a
// time. Each part has a keeper, which is found by hashing: it says who may try the part, and passes on what
// it knows of it.
//
// An instance that reaches no keeper must not try the part.
//
// # Usage
//
//	p := trialpeer.New(trialpeer.Options{...})
//	if p.Begin(ctx, part, requestID) {
//		...
//		p.End(part, requestID, outcome)
//	}
package trialpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
)

const (
	beginProcedure = "/pollenspindle.trial.v1.Trial/Begin"
	renewProcedure = "/pollenspindle.trial.v1.Trial/Renew"
	endProcedure   = "/pollenspindle.trial.v1.Trial/End"
	callTimeout    = 150 * time.Millisecond
	// keeperCount is the number of instances that are tried as the keeper of a part.
	keeperCount = 2
	// maxCalls limits the concurrent calls that renew and end trials. A trial that isn't ended ends by itself.
	maxCalls = 32
	// renewInterval is the time between two renewals of a trial in progress, maxRenewals limits them: a run that
	// has shown nothing by then may have a caller that doesn't read, and keeps others from being tried.
	renewInterval = time.Second
	maxRenewals   = 8
)

// SettleTime is how long an instance that starts should grant no trial: longer than it takes until the trials in
// progress are renewed.
const SettleTime = 1500 * time.Millisecond

// Options configures a [Peer].
type Options struct {
	Self  string
	Table *membership.Table
	Key   peer.Key
	// Entry returns what this instance knows of a part, Merge adds what another one knows.
	Entry func(part uint64) (crashsuspect.Entry, bool)
	Merge func(now time.Time, entries []crashsuspect.Entry)
	// Refused reports whether this instance knows that a part must not be tried.
	Refused func(now time.Time, part uint64) bool
	// Settle is how long after its start the instance grants no trial; see [SettleTime].
	Settle time.Duration
	Log    zerolog.Logger
	Now    func() time.Time
}

// BeginRequest asks the keeper of a part for a trial.
type BeginRequest struct {
	Part   uint64 `json:"part"`
	Holder string `json:"holder"`
	// Entry is what the requester knows of the part.
	Entry *crashsuspect.Entry `json:"entry,omitempty"`
}

// BeginResponse says whether the trial may begin.
type BeginResponse struct {
	Granted bool `json:"granted"`
	// Entry is what the keeper knows of the part.
	Entry *crashsuspect.Entry `json:"entry,omitempty"`
}

// EndRequest ends a trial.
type EndRequest struct {
	Part   uint64 `json:"part"`
	Holder string `json:"holder"`
	// Outcome is what the trial has shown.
	Outcome crashsuspect.TrialOutcome `json:"outcome,omitempty"`
}

// EndResponse confirms an [EndRequest].
type EndResponse struct{}

// RenewRequest tells a keeper that a trial is in progress.
type RenewRequest struct {
	Part   uint64 `json:"part"`
	Holder string `json:"holder"`
}

// RenewResponse confirms a [RenewRequest].
type RenewResponse struct{}

// heldTrial is a trial of this instance.
type heldTrial struct {
	part   uint64
	holder string
}

// renewal is the next renewal of a trial; n counts those before.
type renewal struct {
	timer *time.Timer
	n     int
}

// Peer begins and ends the trials of one instance, and keeps those of parts that it is the keeper of. It is
// safe for concurrent use.
type Peer struct {
	opts      Options
	client    *instancerpc.Client
	calls     *ants.Pool
	startedAt time.Time

	mu     sync.Mutex
	trials *crashsuspect.Trials
	// held has the next renewals of the trials of this instance.
	held map[heldTrial]renewal
}

// New returns a peer.
func New(opts Options) (*Peer, error) {
	calls, err := ants.NewPool(maxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of calls")
	}
	return &Peer{
		opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, callTimeout), calls: calls, startedAt: opts.Now(),
		trials: crashsuspect.NewTrials(), held: map[heldTrial]renewal{},
	}, nil
}

// Close ends the connections to other instances.
func (p *Peer) Close() {
	p.mu.Lock()
	for trial, next := range p.held {
		next.timer.Stop()
		delete(p.held, trial)
	}
	p.mu.Unlock()
	p.calls.Release()
	p.client.CloseIdleConnections()
}

// Begin reports whether the holder may try a part now. The trial is renewed until End is called, maxRenewals times
// at most.
func (p *Peer) Begin(ctx context.Context, part uint64, holder string) bool {
	granted := p.askKeepers(ctx, part, holder)
	if granted {
		p.mu.Lock()
		p.renewLater(heldTrial{part, holder}, 0)
		p.mu.Unlock()
	}
	return granted
}

// renewLater renews a trial after renewInterval, and again until it has ended; n counts the renewals before.
// p.mu must be held.
func (p *Peer) renewLater(trial heldTrial, n int) {
	p.held[trial] = renewal{n: n, timer: time.AfterFunc(renewInterval, func() {
		if p.countRenewal(trial) {
			p.renew(trial)
		}
	})}
}

// countRenewal reports whether a trial is still in progress and to be renewed.
func (p *Peer) countRenewal(trial heldTrial) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, held := p.held[trial]
	if !held {
		return false
	}
	next.timer.Stop()
	if next.n >= maxRenewals {
		delete(p.held, trial)
		return false
	}
	p.renewLater(trial, next.n+1)
	return true
}

// renew tells the keepers of a part that its trial is in progress.
func (p *Peer) renew(trial heldTrial) {
	req := RenewRequest{Part: trial.part, Holder: p.opts.Self + "/" + trial.holder}
	for _, keeper := range p.opts.Table.Holders(trial.part, keeperCount) {
		if keeper.ID == p.opts.Self {
			p.renewOwn(p.opts.Now(), req)
			continue
		}
		p.submit(keeper, func() error { return p.callRenew(keeper, req) })
	}
}

func (p *Peer) renewOwn(now time.Time, req RenewRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.Renew(now, req.Part, req.Holder)
}

// submit makes a call in the background.
func (p *Peer) submit(keeper membership.Record, call func() error) {
	err := p.calls.Submit(func() {
		if err := call(); err != nil {
			p.opts.Log.Debug().Str("instance", keeper.ID).Err(err).Msg("keeper of a suspected part not told of a trial")
		}
	})
	if err != nil {
		p.opts.Log.Warn().Str("instance", keeper.ID).Err(err).Msg("too many calls, keeper of a suspected part not told of a trial")
	}
}

func (p *Peer) askKeepers(ctx context.Context, part uint64, holder string) bool {
	req := BeginRequest{Part: part, Holder: p.opts.Self + "/" + holder, Entry: p.entry(part)}
	for _, keeper := range p.opts.Table.Holders(part, keeperCount) {
		if keeper.ID == p.opts.Self {
			return p.begin(p.opts.Now(), req).Granted
		}
		res, err := p.callBegin(ctx, keeper, req)
		if err != nil {
			p.opts.Log.Info().Str("instance", keeper.ID).Err(err).Msg("keeper of a suspected part doesn't answer")
			continue
		}
		if res.Entry != nil {
			p.opts.Merge(p.opts.Now(), []crashsuspect.Entry{*res.Entry})
		}
		return res.Granted
	}
	return false
}

// End ends a trial in the background.
func (p *Peer) End(part uint64, holder string, outcome crashsuspect.TrialOutcome) {
	p.mu.Lock()
	if next, ok := p.held[heldTrial{part, holder}]; ok {
		next.timer.Stop()
		delete(p.held, heldTrial{part, holder})
	}
	p.mu.Unlock()
	req := EndRequest{Part: part, Holder: p.opts.Self + "/" + holder, Outcome: outcome}
	for _, keeper := range p.opts.Table.Holders(part, keeperCount) {
		if keeper.ID == p.opts.Self {
			p.end(p.opts.Now(), req)
			continue
		}
		p.submit(keeper, func() error { return p.callEnd(keeper, req) })
	}
}

func (p *Peer) entry(part uint64) *crashsuspect.Entry {
	if e, ok := p.opts.Entry(part); ok {
		return &e
	}
	return nil
}

func (p *Peer) begin(now time.Time, req BeginRequest) BeginResponse {
	if req.Entry != nil {
		p.opts.Merge(now, []crashsuspect.Entry{*req.Entry})
	}
	granted := false
	entry, failed := p.entry(req.Part), 0
	if entry != nil {
		failed = entry.FailedTrials()
	}
	if !p.opts.Refused(now, req.Part) && now.Sub(p.startedAt) >= p.opts.Settle {
		p.mu.Lock()
		granted = p.trials.Begin(now, req.Part, req.Holder, failed)
		p.mu.Unlock()
	}
	return BeginResponse{Granted: granted, Entry: entry}
}

func (p *Peer) end(now time.Time, req EndRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.End(now, req.Part, req.Holder, req.Outcome)
}

func (p *Peer) callBegin(ctx context.Context, keeper membership.Record, req BeginRequest) (BeginResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[BeginRequest, BeginResponse](p.client.HTTP, "http://"+keeper.Peer+beginProcedure, instancerpc.ClientOptions()...)
	signed := connect.NewRequest(&req)
	p.client.Sign(p.opts.Now(), signed.Header(), beginProcedure)
	res, err := client.CallUnary(ctx, signed)
	if err != nil {
		return BeginResponse{}, err
	}
	return *res.Msg, nil
}

func (p *Peer) callEnd(keeper membership.Record, req EndRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := connect.NewClient[EndRequest, EndResponse](p.client.HTTP, "http://"+keeper.Peer+endProcedure, instancerpc.ClientOptions()...)
	signed := connect.NewRequest(&req)
	p.client.Sign(p.opts.Now(), signed.Header(), endProcedure)
	_, err := client.CallUnary(ctx, signed)
	return err
}

func (p *Peer) callRenew(keeper membership.Record, req RenewRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := connect.NewClient[RenewRequest, RenewResponse](p.client.HTTP, "http://"+keeper.Peer+renewProcedure, instancerpc.ClientOptions()...)
	signed := connect.NewRequest(&req)
	p.client.Sign(p.opts.Now(), signed.Header(), renewProcedure)
	_, err := client.CallUnary(ctx, signed)
	return err
}

// Handlers returns the HTTP handlers for calls from other instances, by path.
func (p *Peer) Handlers() map[string]http.Handler {
	begin := func(_ context.Context, req *connect.Request[BeginRequest]) (*connect.Response[BeginResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), beginProcedure); err != nil {
			return nil, err
		}
		res := p.begin(now, *req.Msg)
		return connect.NewResponse(&res), nil
	}
	end := func(_ context.Context, req *connect.Request[EndRequest]) (*connect.Response[EndResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), endProcedure); err != nil {
			return nil, err
		}
		p.end(now, *req.Msg)
		return connect.NewResponse(&EndResponse{}), nil
	}
	renew := func(_ context.Context, req *connect.Request[RenewRequest]) (*connect.Response[RenewResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), renewProcedure); err != nil {
			return nil, err
		}
		p.renewOwn(now, *req.Msg)
		return connect.NewResponse(&RenewResponse{}), nil
	}
	options := instancerpc.HandlerOptions()
	return map[string]http.Handler{
		beginProcedure: connect.NewUnaryHandler(beginProcedure, begin, options...),
		endProcedure:   connect.NewUnaryHandler(endProcedure, end, options...),
		renewProcedure: connect.NewUnaryHandler(renewProcedure, renew, options...),
	}
}
