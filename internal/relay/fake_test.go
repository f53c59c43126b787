package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/retry"
)

// behaviour is what one connection does; the zero value delivers everything.
type behaviour struct {
	err         error
	incarnation string
	cutAt       int64
	silentAt    int64
	skipAt      int64
	// back repeats positions before the one asked for.
	back int64
}

// fakeEngine stands for all engines. Connections take behaviours in order.
type fakeEngine struct {
	mu         sync.Mutex
	tokens     int64
	behaviours []behaviour
	starts     []string
	cancelled  []string
	cancelErr  error
}

func (e *fakeEngine) next() behaviour {
	if len(e.behaviours) == 0 {
		return behaviour{}
	}
	b := e.behaviours[0]
	e.behaviours = e.behaviours[1:]
	return b
}

func (e *fakeEngine) Start(ctx context.Context, address string, req EngineRequest) (Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.next()
	e.starts = append(e.starts, address)
	return newFakeStream(ctx, b, 0, e.tokens, req.ID)
}

func (e *fakeEngine) Resume(ctx context.Context, _, requestID string, after int64) (Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return newFakeStream(ctx, e.next(), after, e.tokens, requestID)
}

func (e *fakeEngine) Cancel(_ context.Context, _, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, requestID)
	return e.cancelErr
}

func (e *fakeEngine) cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cancelled)
}

type fakeStream struct {
	ctx     context.Context
	b       behaviour
	at, end int64
	request string
}

func newFakeStream(ctx context.Context, b behaviour, after, tokens int64, request string) (Stream, error) {
	if b.err != nil {
		return nil, b.err
	}
	return &fakeStream{ctx: ctx, b: b, at: max(0, after-b.back), end: tokens + 1, request: request}, nil
}

func (s *fakeStream) Next() (Event, error) {
	s.at++
	if s.at == s.b.silentAt {
		<-s.ctx.Done()
	}
	if s.at == s.b.silentAt || s.at == s.b.cutAt {
		return Event{}, ErrLost
	}
	if s.at == s.b.skipAt {
		s.at++
	}
	if s.at > s.end {
		return Event{}, io.EOF
	}
	e := Event{Position: s.at, Data: fmt.Sprintf("%s/%d", s.request, s.at)}
	if s.at == s.end {
		e.FinishReason = "stop"
	}
	return e, nil
}

func (s *fakeStream) Incarnation() string { return "one" + s.b.incarnation }
func (s *fakeStream) Close()              {}

// fakePermits gives a permit on server-1, server-2, ... and keeps outcomes.
type fakePermits struct {
	mu       sync.Mutex
	requests []permit.Request
	outcomes []permit.Outcome
	refusal  *permit.Refusal
	expired  int
	// broken counts the servers whose connections broke.
	broken map[string]int
}

func (p *fakePermits) Acquire(_ context.Context, now time.Time, req permit.Request) (permit.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal != nil {
		return permit.Permit{}, p.refusal
	}
	p.requests = append(p.requests, req)
	n := len(p.requests)
	expires := now.Add(time.Hour)
	if n <= p.expired {
		expires = now.Add(-time.Hour)
	}
	return permit.Permit{
		Server: fmt.Sprintf("server-%d", n), Address: fmt.Sprintf("address-%d", n),
		Zone: fmt.Sprintf("zone-%d", n), ExpiresAt: expires,
	}, nil
}

func (p *fakePermits) MaySend(now time.Time, given permit.Permit) bool { return given.Valid(now) }

func (p *fakePermits) ReportBroken(_ time.Time, given permit.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = map[string]int{}
	}
	p.broken[given.Server]++
}

func (p *fakePermits) Release(_ permit.Permit, o permit.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *fakePermits) endings() []permit.Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	endings := []permit.Ending{}
	for _, o := range p.outcomes {
		endings = append(endings, o.Ending)
	}
	return endings
}

func newTestRelay(t testing.TB, e Engine, p *fakePermits, grace time.Duration) *Relay {
	r, err := New(Options{
		Engine: e, Permits: p, Retries: retry.NewBudgets(rand.New(rand.NewPCG(1, 2))),
		Stall: 20 * time.Millisecond, Grace: grace, MaxGenerations: 8,
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}
