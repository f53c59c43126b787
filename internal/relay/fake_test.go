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

// behaviour describes one connection; the zero value delivers all events.
type behaviour struct {
	err          error
	incarnation  string
	disconnectAt int64
	silentAt     int64
	skipAt       int64
	// repeat is how many positions before the requested one are sent again.
	repeat int64
}

// fakeEngine replaces all engines. Each connection uses the next behaviour.
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
	ctx            context.Context
	behaviour      behaviour
	position, last int64
	request        string
}

func newFakeStream(ctx context.Context, b behaviour, after, tokens int64, request string) (Stream, error) {
	if b.err != nil {
		return nil, b.err
	}
	return &fakeStream{ctx: ctx, behaviour: b, position: max(0, after-b.repeat), last: tokens + 1, request: request}, nil
}

func (s *fakeStream) Next() (Event, error) {
	s.position++
	if s.position == s.behaviour.silentAt {
		<-s.ctx.Done()
	}
	if s.position == s.behaviour.silentAt || s.position == s.behaviour.disconnectAt {
		return Event{}, ErrConnectionLost
	}
	if s.position == s.behaviour.skipAt {
		s.position++
	}
	if s.position > s.last {
		return Event{}, io.EOF
	}
	e := Event{Position: s.position, Data: fmt.Sprintf("%s/%d", s.request, s.position)}
	if s.position == s.last {
		e.FinishReason = "stop"
	}
	return e, nil
}

func (s *fakeStream) Incarnation() string { return "one" + s.behaviour.incarnation }
func (s *fakeStream) Close()              {}

// fakePermits issues permits for server-1, server-2, ... and records outcomes.
type fakePermits struct {
	mu       sync.Mutex
	requests []permit.Request
	outcomes []permit.Outcome
	refusal  *permit.Refusal
	expired  int
	// broken counts the reported broken connections by server.
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

func (p *fakePermits) MaySend(now time.Time, granted permit.Permit) bool { return granted.Valid(now) }

func (p *fakePermits) ReportBroken(_ time.Time, granted permit.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = map[string]int{}
	}
	p.broken[granted.Server]++
}

func (p *fakePermits) ReleaseLost(_ context.Context, held permit.Permit, o permit.Outcome) {
	p.Release(held, o)
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
		StallTimeout: 20 * time.Millisecond, GracePeriod: grace, MaxGenerations: 8,
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}
