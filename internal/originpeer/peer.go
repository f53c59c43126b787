// Package originpeer lets instances tell each other which server wrote the first event of a stream, so
// that a caller can resume the stream at any of them: only servers of the same version can go on with it,
// and nothing that the caller sends tells the version.
//
// The instance that relays the first event tells a few holders, which are found by hashing, before its
// caller gets the event. The instance at which the caller resumes the stream asks them. An instance that
// finds no holder that knows must refuse: a guess would join the outputs of two versions.
//
// # Usage
//
//	p, err := originpeer.New(originpeer.Options{...})
//	p.Record(ctx, key, streamorigin.Of(now, &server), ttl)
//	origin, err := p.Find(ctx, key)
//	switch {
//	case errors.Is(err, originpeer.ErrUnreachable): // another instance may know
//	case errors.Is(err, originpeer.ErrUnknown):
//	}
package originpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/instancerpc"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/streamorigin"
)

const (
	recordProcedure = "/pollenspindle.origin.v1.Origin/Record"
	findProcedure   = "/pollenspindle.origin.v1.Origin/Find"
	// holderCount is the number of instances that hold an origin, beside the one that recorded it: one
	// in each of three availability zones.
	holderCount = 3
	// holderBackoff is how long a holder that didn't answer isn't waited for.
	holderBackoff = time.Second
	// maxCalls limits the concurrent calls; holders that would exceed it aren't called.
	maxCalls = 128
)

// Timeouts limits what a [Peer] waits for.
type Timeouts struct {
	// FirstHolder limits how long a first event waits for the first holder. Without one in that time,
	// the caller gets its event all the same, and other instances may have to refuse to resume.
	FirstHolder time.Duration
	// Record limits a call to a holder, which goes on after FirstHolder.
	Record time.Duration
	// Find limits the search for an origin, whose caller waits for a server or a refusal.
	Find time.Duration
}

// DefaultTimeouts are those of instances that serve.
var DefaultTimeouts = Timeouts{FirstHolder: 30 * time.Millisecond, Record: 400 * time.Millisecond, Find: 300 * time.Millisecond}

// ErrUnknown means that no holder knows the origin of a stream.
var ErrUnknown = merry.Sentinel("the origin of the stream isn't known")

// ErrUnreachable means that holders couldn't be asked for the origin of a stream, or aren't known yet.
var ErrUnreachable = merry.Sentinel("holders of the origin of the stream can't be reached")

// Options configures a [Peer].
type Options struct {
	Self  string
	Table *membership.Table
	// Joined reports whether this instance knows the others, among whom it looks for holders; nil if it
	// always does.
	Joined func(now time.Time) bool
	Key    peer.Key
	Log    zerolog.Logger
	Scope  tally.Scope
	Now    func() time.Time
	// Timeouts are [DefaultTimeouts] if they are zero.
	Timeouts Timeouts
}

// RecordRequest records origins at a holder.
type RecordRequest struct {
	Entries []streamorigin.Entry `json:"entries"`
}

// RecordResponse confirms a [RecordRequest].
type RecordResponse struct{}

// FindRequest asks a holder for the origin of a stream.
type FindRequest struct {
	Key uint64 `json:"key"`
}

// FindResponse holds the origin of a stream; nil if the holder doesn't know it.
type FindResponse struct {
	Entry *streamorigin.Entry `json:"entry,omitempty"`
}

// Peer records and finds the origins of streams for one instance, and holds those of others. It is safe
// for concurrent use.
type Peer struct {
	opts   Options
	client *instancerpc.Client
	calls  *ants.Pool

	mu      sync.Mutex
	table   *streamorigin.Table
	backoff map[string]time.Time
}

// New returns a peer.
func New(opts Options) (*Peer, error) {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Timeouts == (Timeouts{}) {
		opts.Timeouts = DefaultTimeouts
	}
	calls, err := ants.NewPool(maxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, merry.Prepend(err, "make pool of calls")
	}
	return &Peer{
		opts: opts, client: instancerpc.NewClient(opts.Key, opts.Self, opts.Timeouts.Record), calls: calls,
		table: streamorigin.NewTable(), backoff: map[string]time.Time{},
	}, nil
}

// Close ends the connections to other instances.
func (p *Peer) Close() {
	p.calls.Release()
	p.client.CloseIdleConnections()
}

// Record records the origin of a stream here and at its holders, and returns once one of them knows it.
// It reports whether one does, or whether there are none.
func (p *Peer) Record(ctx context.Context, key uint64, o streamorigin.Origin, ttl time.Duration) bool {
	now := p.opts.Now()
	p.put(now, key, o, ttl)
	entries := []streamorigin.Entry{{Key: key, Origin: o, TTLMillis: ttl.Milliseconds()}}
	known, called := make(chan struct{}, holderCount), 0
	holders := p.holders(now, key)
	for _, h := range holders {
		err := p.calls.Submit(func() {
			if p.send(context.WithoutCancel(ctx), h, entries) == nil {
				known <- struct{}{}
			}
		})
		if err != nil {
			p.opts.Scope.Counter("calls_skipped").Inc(1)
			continue
		}
		called++
	}
	if called == 0 {
		return len(holders) == 0
	}
	timer := time.NewTimer(p.opts.Timeouts.FirstHolder)
	defer timer.Stop()
	select {
	case <-known:
		p.opts.Scope.Timer("record_wait").Record(p.opts.Now().Sub(now))
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.opts.Scope.Counter("record_unconfirmed").Inc(1)
	return false
}

// holders returns the other instances that hold a key, without those that haven't answered recently.
func (p *Peer) holders(now time.Time, key uint64) []membership.Record {
	out := make([]membership.Record, 0, holderCount)
	all := p.opts.Table.Holders(key, membership.MaxHolders)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range all {
		if len(out) == holderCount {
			break
		}
		if all[i].ID != p.opts.Self && !now.Before(p.backoff[all[i].Peer]) {
			out = append(out, all[i])
		}
	}
	return out
}

// send sends origins to a holder.
func (p *Peer) send(ctx context.Context, h membership.Record, entries []streamorigin.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeouts.Record)
	defer cancel()
	client := connect.NewClient[RecordRequest, RecordResponse](p.client.HTTP, "http://"+h.Peer+recordProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&RecordRequest{Entries: entries})
	p.client.Sign(p.opts.Now(), req.Header(), recordProcedure)
	if _, err := client.CallUnary(ctx, req); err != nil {
		p.recordFailure(h, err)
		return err
	}
	return nil
}

func (p *Peer) recordFailure(h membership.Record, err error) {
	p.mu.Lock()
	p.backoff[h.Peer] = p.opts.Now().Add(holderBackoff)
	p.mu.Unlock()
	p.opts.Scope.Counter("calls_failed").Inc(1)
	p.opts.Log.Info().Str("instance", h.ID).Err(err).Msg("holder of the origins of streams doesn't answer")
}

func (p *Peer) put(now time.Time, key uint64, o streamorigin.Origin, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Put(now, key, o, now.Add(ttl))
}

func (p *Peer) get(now time.Time, key uint64) (streamorigin.Origin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Get(now, key)
}

// answer is the answer of one holder.
type answer struct {
	entry *streamorigin.Entry
	err   error
}

// Find returns the origin of a stream, as this instance or one of the holders knows it. The error is
// [ErrUnknown] or [ErrUnreachable].
func (p *Peer) Find(ctx context.Context, key uint64) (streamorigin.Origin, error) {
	now := p.opts.Now()
	if o, ok := p.get(now, key); ok {
		return o, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeouts.Find)
	defer cancel()
	answers, asked, unreachable := make(chan answer, membership.MaxHolders), 0, false
	for _, h := range p.opts.Table.Holders(key, membership.MaxHolders) {
		if h.ID == p.opts.Self {
			continue
		}
		if p.calls.Submit(func() { answers <- p.ask(ctx, h, key) }) != nil {
			unreachable = true
			continue
		}
		asked++
	}
	for range asked {
		a := <-answers
		if a.entry != nil {
			p.put(now, key, a.entry.Origin, time.Duration(a.entry.TTLMillis)*time.Millisecond)
			return a.entry.Origin, nil
		}
		unreachable = unreachable || a.err != nil
	}
	if unreachable || asked == 0 || p.opts.Joined != nil && !p.opts.Joined(now) {
		return streamorigin.Origin{}, ErrUnreachable
	}
	return streamorigin.Origin{}, ErrUnknown
}

// ask asks a holder for the origin of a stream. It ends with ctx.
func (p *Peer) ask(ctx context.Context, h membership.Record, key uint64) answer {
	client := connect.NewClient[FindRequest, FindResponse](p.client.HTTP, "http://"+h.Peer+findProcedure, instancerpc.ClientOptions()...)
	req := connect.NewRequest(&FindRequest{Key: key})
	p.client.Sign(p.opts.Now(), req.Header(), findProcedure)
	res, err := client.CallUnary(ctx, req)
	if err != nil {
		return answer{err: err}
	}
	return answer{entry: res.Msg.Entry}
}

// HandOver sends the origins held here to their holders beside this instance, which leaves.
func (p *Peer) HandOver(ctx context.Context) {
	now := p.opts.Now()
	p.mu.Lock()
	entries := p.table.Entries(now)
	p.mu.Unlock()
	byHolder := map[string][]streamorigin.Entry{}
	records := map[string]membership.Record{}
	for _, e := range entries {
		for _, h := range p.holders(now, e.Key) {
			byHolder[h.ID] = append(byHolder[h.ID], e)
			records[h.ID] = h
		}
	}
	for id, part := range byHolder {
		_ = p.calls.Submit(func() { _ = p.send(ctx, records[id], part) })
	}
}

// Handlers returns the HTTP handlers for calls from other instances, by path.
func (p *Peer) Handlers() map[string]http.Handler {
	record := func(_ context.Context, req *connect.Request[RecordRequest]) (*connect.Response[RecordResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), recordProcedure); err != nil {
			return nil, err
		}
		for _, e := range req.Msg.Entries {
			p.put(now, e.Key, e.Origin, time.Duration(e.TTLMillis)*time.Millisecond)
		}
		return connect.NewResponse(&RecordResponse{}), nil
	}
	find := func(_ context.Context, req *connect.Request[FindRequest]) (*connect.Response[FindResponse], error) {
		now := p.opts.Now()
		if err := instancerpc.Verify(p.opts.Key, now, req.Header(), findProcedure); err != nil {
			return nil, err
		}
		return connect.NewResponse(&FindResponse{Entry: p.entry(now, req.Msg.Key)}), nil
	}
	options := instancerpc.HandlerOptions()
	return map[string]http.Handler{
		recordProcedure: connect.NewUnaryHandler(recordProcedure, record, options...),
		findProcedure:   connect.NewUnaryHandler(findProcedure, find, options...),
	}
}

// entry returns the entry of a key; nil if this instance doesn't know it.
func (p *Peer) entry(now time.Time, key uint64) *streamorigin.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.table.Entry(now, key)
	if !ok {
		return nil
	}
	return &e
}
