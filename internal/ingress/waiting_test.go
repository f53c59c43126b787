package ingress

import (
	"context"
	"encoding/base64"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/planner"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

func testLengthKey(service, route, workspace string, _ int) outputlength.Key {
	return outputlength.Key{Service: service + "/" + route, Workspace: workspace}
}

func waitingRequest(start time.Time) *request {
	return &request{
		id: "r", workspace: "club", priority: 2, start: start, startDeadline: start.Add(10 * time.Second), promptTokens: 3000, expectedOutput: 700, maxOutput: 4096,
		route:   &routes.Route{Name: "drafts", TargetLatency: 1800 * time.Millisecond},
		service: &routes.Service{Name: "llm", Engine: &routes.Engine{TokensPerEvent: 4}},
	}
}

// Guards against requests that wait longer than their target or their deadline, against resuming
// streams that wait, and against any change while the queue is off.
func TestRequestsStateTheirSlack(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		off        bool
		age        time.Duration
		change     func(r *request, t *attempts)
		slack, got int64
	}{
		"off":                   {off: true},
		"new request":           {slack: 1800},
		"second attempt":        {age: 500 * time.Millisecond, slack: 1300, got: 500},
		"target missed":         {age: 2 * time.Second, got: 2000},
		"deadline before it":    {change: func(r *request, _ *attempts) { r.startDeadline = start.Add(time.Second) }, slack: 1000},
		"no target":             {change: func(r *request, _ *attempts) { r.route = &routes.Route{Name: "drafts"} }},
		"stream that resumes":   {change: func(_ *request, t *attempts) { t.resuming = true }},
		"clock was turned back": {age: -time.Second, slack: 1800},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, r, a := &Server{opts: Options{LengthKey: testLengthKey}}, waitingRequest(start), &attempts{}
			if tt.off {
				s.opts.LengthKey = nil
			}
			if tt.change != nil {
				tt.change(r, a)
			}
			var req planner.PlacementRequest
			s.addWait(start.Add(tt.age), &req, r, a)
			if tt.off {
				require.Equal(t, planner.PlacementRequest{}, req)
				return
			}
			require.Equal(t, tt.slack, req.SlackMillis)
			require.Equal(t, tt.got, req.AgeMillis)
			require.Equal(t, planner.LengthKey{Service: "llm/drafts", Workspace: "club"}, *req.LengthKey)
			require.Equal(t, []any{"club", 2, 4096}, []any{req.Workspace, req.Priority, req.MaxTokens})
		})
	}
}

// Guards against a refusal that hides when the planner expects capacity.
func TestRetryAfterIsThePlanners(t *testing.T) {
	tests := map[string]struct {
		err      error
		min, max time.Duration
	}{
		"planner knows when":  {&planner.Refusal{Reason: "forecast", RetryAfter: 2300 * time.Millisecond}, 2300 * time.Millisecond, 2300 * time.Millisecond},
		"planner can't tell":  {&planner.Refusal{Reason: "heldCalls"}, fullRetryAfter, fullRetryAfter + fullRetryJitter},
		"no queue at planner": {planner.ErrFull, fullRetryAfter, fullRetryAfter + fullRetryJitter},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := (&Server{}).refusalFailure(tt.err)
			require.Equal(t, 503, f.Status)
			require.GreaterOrEqual(t, f.RetryAfter, tt.min)
			require.LessOrEqual(t, f.RetryAfter, tt.max)
		})
	}
}

// Guards against reporting generations that have ended, or under the wrong engine.
func TestSequencesAreThoseOfRunningStreams(t *testing.T) {
	s := &Server{opts: Options{LengthKey: testLengthKey}, streams: newActiveStreams()}
	place := balancer.Placement{Server: platformstate.Server{}}
	place.Server.ID = "e1"
	running, ended := s.streams.add(waitingRequest(time.Now()), place), s.streams.add(waitingRequest(time.Now()), place)
	running.recordEvent(time.Now(), 1)
	ended.finish()
	require.Equal(t, []planner.RunningSequence{{
		Engine: "e1", Prompt: 3000, Generated: 4, Limit: 4096, Key: outputlength.Key{Service: "llm/drafts", Workspace: "club"},
	}}, s.Sequences())
}

// Guards against a full engine whose callers are refused although they could wait, against a
// generation that runs although its caller or this instance left while it waited, and against running a refused one.
func TestGenerationWaitsForMemory(t *testing.T) {
	tests := map[string]struct {
		// generated is how far the generations that fill the engine are; they end at 600 to 800.
		generated      int
		freed, leaves  bool
		drains         bool
		status, ran    int
		minRetrySecond float64
	}{
		"memory is freed":       {generated: 720, freed: true, status: 200, ran: 1},
		"caller leaves":         {generated: 720, leaves: true},
		"instance leaves":       {generated: 720, freed: true, drains: true, status: 503},
		"no memory in the time": {generated: 10, status: 503, minRetrySecond: 1.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &backend{handle: sendEvents(1, 3, true)}
			f, free := startWaitingFixture(t, b, tt.generated)
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/plan/1", nil)
			require.NoError(t, err)
			req.Host = "api.example"
			for name, value := range map[string]string{"T-Id": "r", "T-Key": "secret", "T-Deadline": "20000", "T-Tokens": "3000, 900"} {
				req.Header.Set(name, value)
			}
			time.AfterFunc(300*time.Millisecond, func() {
				if tt.drains {
					f.Drain(f.clock.now())
				}
				if tt.freed {
					free()
				}
				if tt.leaves {
					cancel()
				}
			})
			resp, err := http.DefaultTransport.RoundTrip(req)
			if tt.leaves {
				require.Error(t, err)
				require.Eventually(t, func() bool { return f.Running() == 0 }, time.Second, time.Millisecond)
				free()
				require.Never(t, func() bool { return b.runCount() > 0 }, 500*time.Millisecond, 50*time.Millisecond)
				return
			}
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.ran, b.runCount())
			if tt.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, tt.minRetrySecond)
			}
			cancel()
		})
	}
}

// startWaitingFixture starts a server whose planner queues. Its engine is full until free is called.
func startWaitingFixture(t *testing.T, b *backend, generated int) (f *fixture, free func()) {
	t.Helper()
	lengths := outputlength.NewEstimator(outputlength.DefaultParams)
	for i := range 1000 {
		lengths.Observe(outputlength.Key{Service: "llm/plan"}, 600+i%200, false)
	}
	curve := lengths.Curve(outputlength.Key{Service: "llm/plan"})
	var freed atomic.Bool
	changed := make(chan struct{}, 1)
	var p *planner.Planner
	f = startFixture(t, map[string]http.Handler{"llm-1": b}, func(o *Options) {
		key, err := peer.NewKey(base64.StdEncoding.EncodeToString(make([]byte, 32)))
		require.NoError(t, err)
		p = planner.New(planner.Options{
			Self: "a", Key: key, State: o.State, Table: membership.NewTable(membership.Record{ID: "a", StartedAt: 1, Status: membership.Status{Ready: true}}),
			LoadChanged: changed, Failures: func(time.Time, string) float64 { return 0 }, Log: o.Log, Now: o.Now,
			OwnLoads: func() map[string]balancer.Load {
				if freed.Load() {
					return nil
				}
				return map[string]balancer.Load{"llm-1": {Running: 5, Tokens: 5 * 8000}}
			},
			Queue: &planner.QueueOptions{
				Curve: func(outputlength.Key) *outputlength.Curve { return curve },
				Sequences: func() []planner.RunningSequence {
					return slices.Repeat([]planner.RunningSequence{{Engine: "llm-1", Prompt: 6000, Generated: generated, Limit: 900}}, 5)
				},
			},
		})
		o.Planner, o.LengthKey = p, testLengthKey
	})
	cfg := configuration()
	cfg.Version = 2
	for i := range cfg.Routes {
		cfg.Routes[i].TargetLatency = 3 * time.Second
	}
	f.state.Configure(f.clock.now(), cfg, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	changed <- struct{}{}
	require.Eventually(t, func() bool { return len(changed) == 0 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	return f, func() { freed.Store(true); changed <- struct{}{} }
}
