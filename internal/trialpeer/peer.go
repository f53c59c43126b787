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
//		p.End(part, requestID, crashed)
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
	endProcedure   = "/pollenspindle.trial.v1.Trial/End"
	callTimeout    = 150 * time.Millisecond
	// keeperCount is the number of instances that are tried as the keeper of a part.
	keeperCount = 2
	// maxCalls limits the concurrent calls that end trials. A trial that isn't ended ends by itself.
	maxCalls = 32
)

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
	Log     zerolog.Logger
	Now     func() time.Time
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
	// Crashed says that the server of the trial has crashed.
	Crashed bool `json:"crashed,omitempty"`
}

// EndResponse confirms an [EndRequest].
type EndResponse struct{}

// Peer begins and ends the trials of one instance, and keeps those of parts that it is the keeper of. It is
// safe for concurrent use.
type Peer struct {
	opts   Options
	client *instancerpc.Client
	calls  *ants.Pool

	mu     sync.Mutex
	trials *crashsuspect.Trials
}

// New returns a peer.
func New(opts Options) (*Peer, error) {
	calls, err := ants.NewPool(maxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of calls")
	}
	return &Peer{opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, callTimeout), calls: calls, trials: crashsuspect.NewTrials()}, nil
}

// Close ends the connections to other instances.
func (p *Peer) Close() {
	p.calls.Release()
	p.client.CloseIdleConnections()
}

// Begin reports whether the holder may try a part now.
func (p *Peer) Begin(ctx context.Context, part uint64, holder string) bool {
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

// End ends a trial in the background; crashed says that its server has crashed.
func (p *Peer) End(part uint64, holder string, crashed bool) {
	req := EndRequest{Part: part, Holder: p.opts.Self + "/" + holder, Crashed: crashed}
	for _, keeper := range p.opts.Table.Holders(part, keeperCount) {
		if keeper.ID == p.opts.Self {
			p.end(p.opts.Now(), req)
			continue
		}
		_ = p.calls.Submit(func() { p.callEnd(keeper, req) })
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
	if !p.opts.Refused(now, req.Part) {
		p.mu.Lock()
		granted = p.trials.Begin(now, req.Part, req.Holder)
		p.mu.Unlock()
	}
	return BeginResponse{Granted: granted, Entry: p.entry(req.Part)}
}

func (p *Peer) end(now time.Time, req EndRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.End(now, req.Part, req.Holder, req.Crashed)
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

func (p *Peer) callEnd(keeper membership.Record, req EndRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := connect.NewClient[EndRequest, EndResponse](p.client.HTTP, "http://"+keeper.Peer+endProcedure, instancerpc.ClientOptions()...)
	signed := connect.NewRequest(&req)
	p.client.Sign(p.opts.Now(), signed.Header(), endProcedure)
	if _, err := client.CallUnary(ctx, signed); err != nil {
		p.opts.Log.Debug().Str("instance", keeper.ID).Err(err).Msg("end of a trial not told")
	}
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
	options := instancerpc.HandlerOptions()
	return map[string]http.Handler{
		beginProcedure: connect.NewUnaryHandler(beginProcedure, begin, options...),
		endProcedure:   connect.NewUnaryHandler(endProcedure, end, options...),
	}
}
