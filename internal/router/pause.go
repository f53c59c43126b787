package router

import (
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// recordPause records that a backend server wants no request from this instance for some time. The
// server's owner doesn't learn of it, since the pause is meant for this instance.
func (r *Router) recordPause(now time.Time, server string, pause time.Duration) {
	if r.pauses.Record(now, server, pause) {
		r.opts.Metrics.Counter("server_pauses").Inc(1)
		r.opts.Log.Info().Str("server", server).Dur("pause", pause).Msg("backend server asks for a pause")
	}
}

// accepts returns a function that reports whether a server may get requests of this instance.
func (r *Router) accepts(now time.Time, snap *config.Snapshot) func(s *pollenspindle.Server) bool {
	return func(s *pollenspindle.Server) bool {
		return snap.AcceptsRequests(s) && r.pauses.Remaining(now, s.Name) == 0
	}
}

// noCandidates returns the refusal of a request for which there is no server. If all servers that
// could take it pause, its Retry-After is the end of the first pause.
func (r *Router) noCandidates(now time.Time, req *permit.Request) *permit.Refusal {
	refusal := &permit.Refusal{Reason: permit.ReasonNoServer, RetryAfter: defaultRetryAfter}
	snap := r.opts.Config()
	key := poolKey{service: req.Service, model: req.Model}
	var shortest time.Duration
	for i := range snap.Config.Servers {
		server := &snap.Config.Servers[i]
		if !snap.AcceptsRequests(server) || !slices.Contains(poolKeys(server), key) {
			continue
		}
		pause := r.pauses.Remaining(now, server.Name)
		if pause == 0 {
			return refusal
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	if shortest > 0 {
		refusal.RetryAfter = shortest
	}
	return refusal
}
