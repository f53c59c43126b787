package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// received is what a caller has after the last message.
type received struct {
	positions []int64
	requests  map[string]bool
	begun     int
	failure   *answer.Failure
	finished  bool
}

func receive(g *Generation) received {
	got := received{requests: map[string]bool{}}
	for m := range g.Messages() {
		switch m := m.(type) {
		case Begun:
			// As the collector does: what came before is void.
			got.begun++
			got.positions, got.requests = nil, map[string]bool{}
		case Token:
			got.positions = append(got.positions, m.Event.Position)
			var request string
			var n int64
			_, _ = fmt.Sscanf(m.Event.Data, "%36s/%d", &request, &n)
			got.requests[request] = true
		case Finished:
			got.finished = true
		case Failed:
			got.failure = m.Failure
		}
	}
	return got
}

// The caller sees every token once, in order, from one generation, or a
// failure that says how far it got. The engine's connections break, fall
// silent, repeat and skip. A begun stream is only ever resumed on the engine
// that began it; what the caller has nothing of is started again elsewhere.
func TestGenerate(t *testing.T) {
	const tokens = 6
	cut, silent := behaviour{cutAt: 4}, behaviour{silentAt: 4}
	unknown := behaviour{err: ErrUnknownStream}
	tests := map[string]struct {
		collected  bool
		behaviours []behaviour
		cancelErr  error
		expired    int
		starts     int
		endings    []permit.Ending
		code       answer.Code
		outcome    answer.Outcome
		delivered  int
		// broken counts the broken connections that were told, by server.
		broken map[string]int
	}{
		"all at once": {
			starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"a cut stream is resumed": {
			behaviours: []behaviour{cut}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"a silent stream is resumed on a new connection": {
			behaviours: []behaviour{silent, silent}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"repeated positions are dropped": {
			behaviours: []behaviour{cut, {back: 3}}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"skipped positions are asked for again": {
			behaviours: []behaviour{{skipAt: 3}}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"positions that stay missing are a fault": {
			behaviours: []behaviour{{skipAt: 3}, {skipAt: 3}, {skipAt: 3}}, starts: 1,
			endings: []permit.Ending{permit.EndingCancelled},
			code:    answer.CodeGenerationGap, outcome: answer.OutcomeRan, delivered: 2,
		},
		"a begun stream that the engine lost isn't spliced": {
			behaviours: []behaviour{cut, unknown}, starts: 1, endings: []permit.Ending{permit.EndingCrashed},
			code: answer.CodeGenerationLost, outcome: answer.OutcomeRan, delivered: 3,
		},
		"a begun stream isn't taken from another start of the engine": {
			behaviours: []behaviour{cut, {incarnation: "two"}}, starts: 1,
			endings: []permit.Ending{permit.EndingCrashed},
			code:    answer.CodeGenerationLost, outcome: answer.OutcomeRan, delivered: 3,
		},
		"an engine that forgets after its last event lost nothing": {
			behaviours: []behaviour{{cutAt: tokens + 2}, unknown}, starts: 1,
			endings: []permit.Ending{permit.EndingFinished},
		},
		"not sent goes to another server": {
			behaviours: []behaviour{{err: ErrNotSent}}, starts: 2,
			endings: []permit.Ending{permit.EndingNotSent, permit.EndingFinished},
		},
		"a cold server's refusal goes to another server": {
			behaviours: []behaviour{{err: &RefusedError{Status: 503}}}, starts: 2,
			endings: []permit.Ending{permit.EndingRefused, permit.EndingFinished},
		},
		"overload is not retried": {
			behaviours: []behaviour{{err: &RefusedError{Status: 429, Overload: true}}}, starts: 1,
			endings: []permit.Ending{permit.EndingRefused},
			code:    answer.CodeBackendRefused, outcome: answer.OutcomeNotRun,
		},
		"lost before the first token starts elsewhere": {
			behaviours: []behaviour{{err: ErrLost}, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingFinished},
			broken:  map[string]int{"server-1": 2},
		},
		"lost, then refused elsewhere, may have run": {
			behaviours: []behaviour{{err: ErrLost}, unknown, {err: &RefusedError{Status: 429, Overload: true}}},
			starts:     2, endings: []permit.Ending{permit.EndingCrashed, permit.EndingRefused},
			code: answer.CodeBackendRefused, outcome: answer.OutcomeUnknown,
		},
		"lost on two servers isn't tried on a third": {
			behaviours: []behaviour{{err: ErrLost}, unknown, {err: ErrLost}, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingCrashed},
			code:    answer.CodeGenerationLost, outcome: answer.OutcomeUnknown,
		},
		"lost before the first token is found again": {
			behaviours: []behaviour{{err: ErrLost}}, starts: 1,
			endings: []permit.Ending{permit.EndingFinished},
		},
		"a collected answer starts again when the engine lost it": {
			collected: true, behaviours: []behaviour{cut, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingFinished},
		},
		"a lapsed permit is replaced before anything is sent": {
			expired: 1, starts: 1, endings: []permit.Ending{permit.EndingNotSent, permit.EndingFinished},
		},
		"permits that always lapse are a refusal": {
			expired: 100, starts: 0,
			endings: []permit.Ending{
				permit.EndingNotSent, permit.EndingNotSent, permit.EndingNotSent, permit.EndingNotSent,
			},
			code: answer.Code(permit.ReasonOverloaded), outcome: answer.OutcomeNotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fakeEngine{tokens: tokens, behaviours: tt.behaviours, cancelErr: tt.cancelErr}
			p := &fakePermits{expired: tt.expired}
			r := newTestRelay(t, e, p, time.Hour)
			defer func() {
				if tt.broken != nil {
					require.Equal(t, tt.broken, p.broken)
				}
			}()
			g, err := r.Generate(t.Context(), Job{Streamed: !tt.collected})
			require.NoError(t, err)
			got := receive(g)

			want := []int64(nil)
			for i := int64(1); i <= tokens+1 && (tt.code == "" || i <= int64(tt.delivered)); i++ {
				want = append(want, i)
			}
			require.Equal(t, want, got.positions)
			require.LessOrEqual(t, len(got.requests), 1, "tokens of two generations")
			require.Len(t, e.starts, tt.starts)
			require.Eventually(t, func() bool { return len(p.endings()) == len(tt.endings) }, time.Minute, time.Millisecond)
			require.Equal(t, tt.endings, p.endings())
			require.Equal(t, tt.code == "", got.finished)
			if tt.code != "" {
				require.Equal(t, tt.code, got.failure.Code)
				require.Equal(t, tt.outcome, got.failure.Outcome)
				require.Equal(t, int64(tt.delivered), got.failure.Position)
			}
		})
	}
}

func TestRetryAvoidsServerAndZone(t *testing.T) {
	e := &fakeEngine{tokens: 1, behaviours: []behaviour{{err: ErrNotSent}}}
	p := &fakePermits{}
	g, err := newTestRelay(t, e, p, time.Hour).Generate(t.Context(), Job{Streamed: true})
	require.NoError(t, err)
	require.True(t, receive(g).finished)
	require.Equal(t, []string{"server-1"}, p.requests[1].ExcludeServers)
	require.Equal(t, []string{"zone-1"}, p.requests[1].AvoidZones)
	require.NotEqual(t, p.requests[0].ID, p.requests[1].ID, "a late start must not meet the second under one id")
}

// A caller's connection ends in the middle of an answer. Nobody may ever ask
// for the rest; then the engine's memory is freed. A streaming caller may come
// back through another instance within the grace period; cancelling then
// would cut off the answer that it reads there.
func TestCallerGone(t *testing.T) {
	tests := map[string]struct {
		collected bool
		grace     time.Duration
		takenOver bool
		ending    permit.Ending
		cancels   int
	}{
		"a stream is cancelled after the grace period": {grace: time.Millisecond, ending: permit.EndingCancelled, cancels: 1},
		"a stream taken over is read to its end":       {grace: time.Millisecond, takenOver: true, ending: permit.EndingFinished},
		"a collected answer is cancelled at once":      {collected: true, grace: time.Hour, ending: permit.EndingCancelled, cancels: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			e := &gatedEngine{fakeEngine: fakeEngine{tokens: 6}, gateAt: 3, release: release}
			p := &fakePermits{}
			r := newTestRelay(t, e, p, tt.grace)
			ctx, cancel := context.WithCancel(t.Context())
			g, err := r.Generate(ctx, Job{Streamed: !tt.collected})
			require.NoError(t, err)
			for m := range g.Messages() {
				if token, ok := m.(Token); ok && token.Event.Position == 2 {
					break
				}
			}
			if tt.takenOver {
				require.True(t, r.TakeOver(p.requests[0].ID))
			}
			cancel()
			for range g.Messages() {
			}
			if tt.takenOver {
				close(release)
			}
			require.Eventually(t, func() bool { return len(p.endings()) == 1 }, time.Minute, time.Millisecond)
			require.Equal(t, tt.ending, p.endings()[0])
			require.Equal(t, tt.cancels, e.cancels())
			require.False(t, r.TakeOver(p.requests[0].ID), "no longer held")
		})
	}
}

// gatedEngine holds every connection before one position until released.
type gatedEngine struct {
	fakeEngine
	gateAt  int64
	release chan struct{}
}

func (e *gatedEngine) Start(ctx context.Context, address string, req EngineRequest) (Stream, error) {
	s, err := e.fakeEngine.Start(ctx, address, req)
	return &gatedStream{s.(*fakeStream), e}, err
}

func (e *gatedEngine) Resume(ctx context.Context, address, id string, after int64) (Stream, error) {
	s, err := e.fakeEngine.Resume(ctx, address, id, after)
	return &gatedStream{s.(*fakeStream), e}, err
}

type gatedStream struct {
	*fakeStream
	engine *gatedEngine
}

func (s *gatedStream) Next() (Event, error) {
	if s.at+1 == s.engine.gateAt {
		select {
		case <-s.engine.release:
		case <-s.ctx.Done():
			return Event{}, ErrLost
		}
	}
	return s.fakeStream.Next()
}

// The process stops while a stream runs. The caller is told its position and
// to resume elsewhere; the engine goes on, so the resumed stream is whole.
func TestEvict(t *testing.T) {
	release := make(chan struct{})
	e := &gatedEngine{fakeEngine: fakeEngine{tokens: 6}, gateAt: 3, release: release}
	p := &fakePermits{}
	r := newTestRelay(t, e, p, time.Hour)
	g, err := r.Generate(t.Context(), Job{Streamed: true})
	require.NoError(t, err)
	for m := range g.Messages() {
		if token, ok := m.(Token); ok && token.Event.Position == 2 {
			break
		}
	}
	r.Evict()
	got := receive(g)
	require.Equal(t, answer.CodeResumeElsewhere, got.failure.Code)
	require.Equal(t, int64(2), got.failure.Position)
	require.Zero(t, e.cancels())

	close(release)
	other := newTestRelay(t, e, &fakePermits{}, time.Hour)
	g, err = other.Attach(t.Context(), Attachment{Incarnation: "one", Request: p.requests[0].ID, After: 2})
	require.NoError(t, err)
	got = receive(g)
	require.True(t, got.finished)
	require.Equal(t, []int64{3, 4, 5, 6, 7}, got.positions)

	// The engine was replaced since: what the caller has of it did run.
	g, err = other.Attach(t.Context(), Attachment{Incarnation: "before", Request: p.requests[0].ID, After: 2})
	require.NoError(t, err)
	got = receive(g)
	require.Equal(t, answer.CodeGenerationLost, got.failure.Code)
	require.Equal(t, answer.OutcomeRan, got.failure.Outcome)
	require.Empty(t, got.positions)
}

func TestFullRelayRefusesAtOnce(t *testing.T) {
	e := &gatedEngine{fakeEngine: fakeEngine{tokens: 6}, gateAt: 1, release: make(chan struct{})}
	r := newTestRelay(t, e, &fakePermits{}, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 8 {
		_, err := r.Generate(ctx, Job{Streamed: true})
		require.NoError(t, err)
	}
	_, err := r.Generate(ctx, Job{Streamed: true})
	f := answer.FromError(err)
	require.Equal(t, answer.CodeTooManyStreams, f.Code)
	require.Equal(t, answer.OutcomeNotRun, f.Outcome)
}

// BenchmarkToken gives the time that the relay adds for each token.
func BenchmarkToken(b *testing.B) {
	e := &fakeEngine{tokens: int64(b.N)}
	r := newTestRelay(b, e, &fakePermits{}, time.Hour)
	b.ReportAllocs()
	b.ResetTimer()
	g, err := r.Generate(b.Context(), Job{Streamed: true})
	require.NoError(b, err)
	for range g.Messages() {
	}
}
