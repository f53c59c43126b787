package ingress

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// startingFor is for how long after its start an instance may be told what is in
	// force at any moment, and startingWait how long a request waits for that.
	startingFor  = time.Second
	startingWait = 400 * time.Millisecond
	startingLook = 15 * time.Millisecond
)

// awaitStart has a request that comes in the first moments wait to be served, in
// place of being refused: all callers return together after a restart of all, and
// many may ask a second time only. While the platform is away nothing is waited for.
func (s *Server) awaitStart(ctx context.Context, now time.Time) {
	if now.Sub(s.started) > startingFor {
		return
	}
	for until := now.Add(startingWait); !s.opts.State.Known() && !s.opts.State.Outage() && s.opts.Now().Before(until); {
		if objectapi.Sleep(ctx, startingLook) != nil {
			return
		}
	}
}
