package ingress

import (
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/retry"
)

// slackRetries returns a retry budget that has saved a number of retries and gets no others.
func slackRetries(saved int) func(*Options) {
	return func(o *Options) {
		now := o.Now()
		o.Retries = retry.NewSharedBudgets(now.Add(-time.Minute), retry.SharedOptions{
			Limits: retry.SharedLimits{Window: 10 * time.Hour, Slack: float64(2 * saved)}, Rand: rand.New(rand.NewPCG(1, 2)),
			Part: func(time.Time, string) retry.SharedPart { return retry.SharedPart{Instances: 1, Known: true} },
		})
		o.Retries.Observe(now.Add(-10 * time.Hour))
	}
}

// loseRequest closes the connection of a request without an answer.
func loseRequest(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Each case guards against a restart that reaches a second server more often than the retry budget allows: its
// copy is refused or lost, and the request is sent once more without it; or against a copy that costs a retry
// although its server goes on.
func TestRestartDrawsOnRetryBudget(t *testing.T) {
	for name, tt := range map[string]struct {
		// copy fails requests that go on from a copy; nil if the server goes on.
		copy  http.HandlerFunc
		saved int
		// arrivals is the number of requests for the rest, left what is left of the budget.
		arrivals int
		left     float64
		complete bool
	}{
		"refused, enough":  {copy: refuseRequest, saved: 3, arrivals: 2, left: 1, complete: true},
		"refused, for one": {copy: refuseRequest, saved: 1, arrivals: 1, left: 0},
		"refused, none":    {copy: refuseRequest, saved: 0, arrivals: 0, left: 0},
		"lost, enough":     {copy: loseRequest, saved: 3, arrivals: 2, left: 1, complete: true},
		"lost, for one":    {copy: loseRequest, saved: 1, arrivals: 1, left: 0},
		"goes on, for one": {saved: 1, arrivals: 1, left: 1, complete: true},
		"goes on, none":    {saved: 0, arrivals: 0, left: 0},
	} {
		t.Run(name, func(t *testing.T) {
			arrivals := 0
			e := &losingEngines{stop: []func(http.ResponseWriter){func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"Handle":"h1","Events":3}`) }}}
			engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					e.mu.Lock()
					arrivals++
					e.mu.Unlock()
				}
				if tt.copy != nil && r.Header.Get("T-From") != "" {
					tt.copy(w, r)
					return
				}
				e.ServeHTTP(w, r)
			})
			f := startFixture(t, map[string]http.Handler{"llm-1": engine, "llm-2": engine, "llm-3": engine}, slackRetries(tt.saved))
			_, err := io.ReadAll(f.send("POST", "/check/1", "{}", "T-Tokens", "3000,400").Body)
			require.Equal(t, tt.complete, err == nil)
			e.mu.Lock()
			defer e.mu.Unlock()
			require.Equal(t, tt.arrivals, arrivals)
			require.InDelta(t, tt.left, f.opts.Retries.Remaining(f.clock.now(), "llm"), 0.1)
		})
	}
}
