package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/length"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// TestReturningServerIsCold: operators take a server out and bring it back, or
// it becomes another instance's for a while. What waits for it is sent away,
// and its limit is the cold one again, because nobody knows what it went
// through.
func TestReturningServerIsCold(t *testing.T) {
	now := time.Unix(5000, 0)
	owns := permit.Authority{Role: permit.RoleOwner, Epoch: 1}
	tests := map[string]permit.Authority{
		"taken out":           owns,
		"of another instance": {},
	}
	for name, meanwhile := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := admission.Config{Name: "desk-1", ColdLimit: 2, WarmLimit: 8, PermitLifetime: time.Second, QueueTimeout: time.Second}
			e := &entry{
				cfg: cfg, state: admission.New(cfg, admission.Predicted{}, length.NewEstimator(length.DefaultParams)),
				waiters: map[string]chan admission.Decision{},
			}
			e.follow(now, owns, true)
			e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now})
			ask := func(id string) admission.Decision {
				return e.state.Acquire(now, admission.AcquireRequest{PermitID: id, MayQueue: true, Request: permit.Request{ID: id, Deadline: now.Add(time.Minute)}})
			}
			for i := 0; e.state.Limit() < cfg.WarmLimit; i++ {
				for j := range e.state.Limit() {
					require.IsType(t, admission.Granted{}, ask(fmt.Sprint(i, j)))
				}
				for j := range e.state.Running() {
					e.state.Release(now, fmt.Sprint(i, j), permit.Outcome{Ending: permit.EndingFinished})
				}
			}
			for j := range cfg.WarmLimit {
				ask(fmt.Sprint("last", j))
			}
			require.IsType(t, admission.Queued{}, ask("waits"))
			waiter := make(chan admission.Decision, 1)
			e.waiters["waits"] = waiter
			e.follow(now, meanwhile, false)
			require.IsType(t, admission.Unavailable{}, <-waiter)
			require.IsType(t, admission.Unavailable{}, ask("later"))
			e.follow(now, owns, true)
			require.Equal(t, cfg.ColdLimit, e.state.Limit())
		})
	}
}
