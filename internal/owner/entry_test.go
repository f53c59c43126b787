package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/admission"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// A server is taken out of service and returns, or another instance owns it for a
// while. Its waiting requests are refused, and its limit is the cold limit again,
// because its state is unknown. Guards against overload of a returned cold server.
func TestReturningServerIsCold(t *testing.T) {
	now := time.Unix(5000, 0)
	owner := permit.Authority{Role: permit.RoleOwner, Epoch: 1}
	tests := map[string]permit.Authority{
		"out of service":            owner,
		"owned by another instance": {},
	}
	for name, meanwhile := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := admission.Config{Name: "desk-1", ColdLimit: 2, WarmLimit: 8, PermitLifetime: time.Second, QueueTimeout: time.Second}
			e := &entry{
				cfg: cfg, state: admission.New(cfg, admission.Predicted{}, outputlength.NewEstimator(outputlength.DefaultParams)),
				waiters: map[string]chan admission.Decision{},
			}
			e.applyAuthority(now, owner, true)
			e.state.ApplyReport(now, admission.Report{Incarnation: "a", MeasuredAt: now})
			acquire := func(id string) admission.Decision {
				return e.state.Acquire(now, admission.AcquireRequest{PermitID: id, MayQueue: true, Request: permit.Request{ID: id, Deadline: now.Add(time.Minute)}})
			}
			for i := 0; e.state.Limit() < cfg.WarmLimit; i++ {
				for j := range e.state.Limit() {
					require.IsType(t, admission.Granted{}, acquire(fmt.Sprint(i, j)))
				}
				for j := range e.state.Running() {
					e.state.Release(now, fmt.Sprint(i, j), permit.Outcome{Ending: permit.EndingFinished})
				}
			}
			for j := range cfg.WarmLimit {
				acquire(fmt.Sprint("last", j))
			}
			require.IsType(t, admission.Queued{}, acquire("waits"))
			waiter := make(chan admission.Decision, 1)
			e.waiters["waits"] = waiter
			e.applyAuthority(now, meanwhile, false)
			require.IsType(t, admission.Unavailable{}, <-waiter)
			require.IsType(t, admission.Unavailable{}, acquire("later"))
			e.applyAuthority(now, owner, true)
			require.Equal(t, cfg.ColdLimit, e.state.Limit())
		})
	}
}
