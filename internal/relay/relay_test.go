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

// received is what a caller has received after the last message.
type received struct {
	positions []int64
	requests  map[string]bool
	started   int
	failure   *answer.Failure
	finished  bool
}

func receive(g *Generation) received {
	got := received{requests: map[string]bool{}}
	for m := range g.Messages() {
		switch m := m.(type) {
		case Started:
			// Discard the earlier tokens, as the collector does.
			got.started++
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

// The engine's connections break, go silent, and repeat or skip events. The caller must still
// receive each token once, in order and from one generation, or a failure with the position
// reached. A started stream is only resumed on its own engine; before the first token the request
// is retried elsewhere.
func TestGenerate(t *testing.T) {
	const tokens = 6
	disconnect, silent := behaviour{disconnectAt: 4}, behaviour{silentAt: 4}
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
		// broken counts the reported broken connections by server.
		broken map[string]int
	}{
		"delivered on one connection": {
			starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"a disconnected stream is resumed": {
			behaviours: []behaviour{disconnect}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"a silent stream is resumed on a new connection": {
			behaviours: []behaviour{silent, silent}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"repeated positions are dropped": {
			behaviours: []behaviour{disconnect, {repeat: 3}}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"skipped positions are requested again": {
			behaviours: []behaviour{{skipAt: 3}}, starts: 1, endings: []permit.Ending{permit.EndingFinished},
		},
		"positions that stay missing fail the generation": {
			behaviours: []behaviour{{skipAt: 3}, {skipAt: 3}, {skipAt: 3}}, starts: 1,
			endings: []permit.Ending{permit.EndingCancelled},
			code:    answer.CodeGenerationGap, outcome: answer.OutcomeRan, delivered: 2,
		},
		"a started stream that the engine lost isn't restarted": {
			behaviours: []behaviour{disconnect, unknown}, starts: 1, endings: []permit.Ending{permit.EndingCrashed},
			code: answer.CodeGenerationLost, outcome: answer.OutcomeRan, delivered: 3,
		},
		"a started stream isn't resumed on another incarnation": {
			behaviours: []behaviour{disconnect, {incarnation: "two"}}, starts: 1,
			endings: []permit.Ending{permit.EndingCrashed},
			code:    answer.CodeGenerationLost, outcome: answer.OutcomeRan, delivered: 3,
		},
		"an engine that drops the generation after the last event": {
			behaviours: []behaviour{{disconnectAt: tokens + 2}, unknown}, starts: 1,
			endings: []permit.Ending{permit.EndingFinished},
		},
		"a request that was not sent is retried on another server": {
			behaviours: []behaviour{{err: ErrNotSent}}, starts: 2,
			endings: []permit.Ending{permit.EndingNotSent, permit.EndingFinished},
		},
		"a request refused by a cold server is retried elsewhere": {
			behaviours: []behaviour{{err: &RefusedError{Status: 503}}}, starts: 2,
			endings: []permit.Ending{permit.EndingRefused, permit.EndingFinished},
		},
		"overload is not retried": {
			behaviours: []behaviour{{err: &RefusedError{Status: 429, Overload: true}}}, starts: 1,
			endings: []permit.Ending{permit.EndingRefused},
			code:    answer.CodeBackendRefused, outcome: answer.OutcomeNotRun,
		},
		"lost before the first token, retried elsewhere": {
			behaviours: []behaviour{{err: ErrConnectionLost}, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingFinished},
			broken:  map[string]int{"server-1": 2},
		},
		"lost, then refused elsewhere, so it may have run": {
			behaviours: []behaviour{{err: ErrConnectionLost}, unknown, {err: &RefusedError{Status: 429, Overload: true}}},
			starts:     2, endings: []permit.Ending{permit.EndingCrashed, permit.EndingRefused},
			code: answer.CodeBackendRefused, outcome: answer.OutcomeUnknown,
		},
		"lost on two servers, not retried on a third": {
			behaviours: []behaviour{{err: ErrConnectionLost}, unknown, {err: ErrConnectionLost}, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingCrashed},
			code:    answer.CodeGenerationLost, outcome: answer.OutcomeUnknown,
		},
		"disconnected before the first token, then resumed": {
			behaviours: []behaviour{{err: ErrConnectionLost}}, starts: 1,
			endings: []permit.Ending{permit.EndingFinished},
		},
		"a collected answer is restarted after the engine lost it": {
			collected: true, behaviours: []behaviour{disconnect, unknown}, starts: 2,
			endings: []permit.Ending{permit.EndingCrashed, permit.EndingFinished},
		},
		"an expired permit is replaced before anything is sent": {
			expired: 1, starts: 1, endings: []permit.Ending{permit.EndingNotSent, permit.EndingFinished},
		},
		"permits that always expire cause a refusal": {
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
	require.NotEqual(t, p.requests[0].ID, p.requests[1].ID, "a delayed start and the retry must have different IDs")
}

// A caller disconnects in the middle of an answer. If it doesn't reconnect, the engine's memory
// must be freed. If it resumes the stream through another instance within the grace period, the
// generation must not be cancelled.
func TestCallerGone(t *testing.T) {
	tests := map[string]struct {
		collected bool
		grace     time.Duration
		takenOver bool
		ending    permit.Ending
		cancels   int
	}{
		"a stream is cancelled after the grace period": {grace: time.Millisecond, ending: permit.EndingCancelled, cancels: 1},
		"a stream taken over is read until it ends":    {grace: time.Millisecond, takenOver: true, ending: permit.EndingFinished},
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
			require.False(t, r.TakeOver(p.requests[0].ID), "the generation is still registered")
		})
	}
}

// gatedEngine blocks every connection before one position until release is closed.
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
	if s.position+1 == s.engine.gateAt {
		select {
		case <-s.engine.release:
		case <-s.ctx.Done():
			return Event{}, ErrConnectionLost
		}
	}
	return s.fakeStream.Next()
}

// The process shuts down during a stream. The caller gets its position and is asked to resume
// through another instance; the engine continues, so the resumed stream is complete.
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
	g, err = other.Attach(t.Context(), Attachment{Incarnation: "one", RequestID: p.requests[0].ID, AfterPosition: 2})
	require.NoError(t, err)
	got = receive(g)
	require.True(t, got.finished)
	require.Equal(t, []int64{3, 4, 5, 6, 7}, got.positions)

	// If the engine was replaced since, the outcome must say that the generation did run.
	g, err = other.Attach(t.Context(), Attachment{Incarnation: "before", RequestID: p.requests[0].ID, AfterPosition: 2})
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

// BenchmarkToken measures the time that the relay adds to each token.
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

// Guards against a pause that an engine asks for and that only the refused generation hears of.
func TestPauseIsReportedWithThePermit(t *testing.T) {
	e := &fakeEngine{tokens: 2, behaviours: []behaviour{{err: &RefusedError{Status: 503, RetryAfter: 3 * time.Second}}}}
	p := &fakePermits{}
	r := newTestRelay(t, e, p, time.Hour)
	g, err := r.Generate(t.Context(), Job{Streamed: true})
	require.NoError(t, err)
	for range g.Messages() {
	}
	require.Eventually(t, func() bool { return len(p.endings()) == 2 }, time.Minute, time.Millisecond)
	require.Equal(t, 3*time.Second, p.outcomes[0].Pause)
	require.Zero(t, p.outcomes[1].Pause)
}
