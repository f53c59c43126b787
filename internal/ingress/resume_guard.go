package ingress

import (
	"context"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	// pauseTickInterval is how often an instance notes that it runs, maxPauseGap the longest time between two
	// notes that is no pause: news of crashes that are sent meanwhile are repeated by probes as late.
	pauseTickInterval = 200 * time.Millisecond
	maxPauseGap       = time.Second
	// maxNewsWait is how long requests wait for news at most, newsPollInterval how often they look.
	maxNewsWait      = 400 * time.Millisecond
	newsPollInterval = 10 * time.Millisecond
	// maxRefreshTime limits the calls for news.
	maxRefreshTime = 2 * time.Second
)

// resumeGuard holds requests back whose parts may crash servers while an instance doesn't know what others
// have seen: after it was paused, and after its start. It is safe for concurrent use.
type resumeGuard struct {
	mu       sync.Mutex
	lastTick time.Time
	// behindUntil is until when requests wait; zero while the instance knows what others know.
	behindUntil time.Time
}

// gap returns the time since the last tick, also if the steady clock stood still meanwhile.
func (g *resumeGuard) gap(now time.Time) time.Duration {
	if g.lastTick.IsZero() {
		return 0
	}
	return max(now.Sub(g.lastTick), now.Round(0).Sub(g.lastTick.Round(0)))
}

// tick notes that the process runs, and reports whether it was paused before.
func (g *resumeGuard) tick(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	paused := g.gap(now) > maxPauseGap
	if paused {
		g.behindUntil = now.Add(maxNewsWait)
	}
	g.lastTick = now
	return paused
}

// wait makes requests wait from now on.
func (g *resumeGuard) wait(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behindUntil = now.Add(maxNewsWait)
}

// informed ends the wait for news.
func (g *resumeGuard) informed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behindUntil = time.Time{}
}

// behind reports whether requests have to wait for news.
func (g *resumeGuard) behind(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gap(now) > maxPauseGap || now.Before(g.behindUntil)
}

// watchPauses asks for news after each pause of the process, until ctx ends.
func (s *Server) watchPauses(ctx context.Context) {
	if s.opts.Refresh == nil {
		return
	}
	s.resumed.wait(s.opts.Now())
	go s.refreshNews(ctx)
	for objectapi.Sleep(ctx, pauseTickInterval) == nil {
		if s.resumed.tick(s.opts.Now()) {
			s.log.Info().Msg("process was paused, asks for news of crashes")
			go s.refreshNews(ctx)
		}
	}
}

// refreshNews ends the wait for news once there are some. Without any it ends by itself.
func (s *Server) refreshNews(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxRefreshTime)
	defer cancel()
	if s.opts.Refresh(ctx) {
		s.resumed.informed()
	}
}

// awaitNews lets a request wait while this instance doesn't know what others have seen.
func (s *Server) awaitNews(ctx context.Context, r *request) {
	if s.opts.Refresh == nil || len(r.parts) == 0 {
		return
	}
	for until := s.opts.Now().Add(maxNewsWait); s.resumed.behind(s.opts.Now()) && s.opts.Now().Before(until); {
		if objectapi.Sleep(ctx, newsPollInterval) != nil {
			return
		}
	}
}
