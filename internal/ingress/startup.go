package ingress

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// startupPeriod is the time after its start in which an instance expects to receive the
	// platform state, startupWait how long a request waits for it, startupPollInterval how often it
	// checks.
	startupPeriod       = time.Second
	startupWait         = 400 * time.Millisecond
	startupPollInterval = 15 * time.Millisecond
)

// awaitConfiguration lets requests that arrive during startup wait instead of being refused: after
// a restart of all instances, all callers return together, and many of them retry only once. It
// doesn't wait during a platform outage.
func (s *Server) awaitConfiguration(ctx context.Context, now time.Time) {
	if now.Sub(s.startedAt) > startupPeriod {
		return
	}
	for deadline := now.Add(startupWait); !s.opts.State.Known() && !s.opts.State.Outage() && s.opts.Now().Before(deadline); {
		if objectapi.Sleep(ctx, startupPollInterval) != nil {
			return
		}
	}
}
