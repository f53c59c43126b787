package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/queue"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// patientMemoryShare is the share of the memory that patient work may use. The
	// rest stays free for interactive work, so that a burst of it starts
	// immediately and doesn't preempt running patient work.
	patientMemoryShare = 0.85
	// slowFactor is the ratio of the time between tokens at a batch of one to
	// the target above which a server counts as slow. One and a half times is
	// beyond the noise of reports.
	slowFactor = 1.5
	// minSlowReports is the minimum number of reports before a server counts as slow.
	minSlowReports = 20
	// probeInterval is how often a slow server gets one request to test whether it
	// has recovered. One caller per interval gets a slow stream; a recovered
	// server takes full load again after a few probes.
	probeInterval = 5 * time.Second
	// probeBatch is the batch size at which slowness is evaluated, so that it
	// doesn't depend on the present load.
	probeBatch = 1
)

// newQueueItem converts a permit request to a queue item.
func (s *Server) newQueueItem(now time.Time, a AcquireRequest) *queue.Item {
	req := a.Request
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now
	}
	return &queue.Item{
		ID:         req.ID,
		Workspace:  req.Workspace,
		Class:      req.Class,
		Weight:     max(1, a.Weight),
		MaxQueued:  a.MaxQueued,
		Tokens:     s.expectedTokens(&req),
		Deadline:   deadline,
		Request:    req,
		Suspect:    a.Suspect,
		MaxRunning: a.MaxRunning,
	}
}

// fits reports whether a request may start now.
func (s *Server) fits(now time.Time, it *queue.Item) bool {
	if it.Suspect && s.suspects > 0 {
		// Two suspects that run together would both be blamed for a crash that
		// one of them causes.
		return false
	}
	if it.MaxRunning > 0 && s.running[it.Workspace] >= it.MaxRunning {
		return false
	}
	if !s.rate.admits(now) {
		return false
	}
	switch p := s.policy.(type) {
	case Unlimited:
		return true
	case FixedLimit:
		limit := p.Limit
		if limit == 0 {
			limit = s.cfg.WarmLimit
		}
		return s.Running() < limit
	case Predicted:
		return s.fitsPredicted(now, it)
	}
	return false
}

// fitsPredicted admits a request while the number of requests is within the
// present limit of the server, the batch meets the target time between tokens, and
// the predicted peak fits into the memory. An idle server takes any request: one
// that doesn't fit alone fits nowhere.
func (s *Server) fitsPredicted(now time.Time, it *queue.Item) bool {
	running := s.Running()
	if running >= s.limit.Value()-s.reserve {
		return false
	}
	if s.share > 0 && (len(s.grants) >= s.share || running >= s.cfg.ColdLimit) {
		// This instance is a deputy: the owner may be alive and sending as well,
		// so that both together stay within the cold limit.
		return false
	}
	if s.cfg.MemoryTokens == 0 || running == 0 {
		return !s.isSlow() || now.Sub(s.lastProbe) >= probeInterval
	}
	if s.isSlow() || running >= s.maxBatch() {
		return false
	}
	capacity := float64(s.cfg.MemoryTokens)
	if it.Class == pollenspindle.ClassPatient {
		capacity *= patientMemoryShare
	}
	req := &it.Request
	seq := forecast.Sequence{
		Prompt:    req.PromptTokens,
		MaxTokens: req.MaxTokens,
		Curve:     s.lengths.Curve(lengthKey(req)),
	}
	return s.memoryHeld(s.memory.PeakWith(seq, s.margin), running+1) <= capacity
}

// isSlow reports whether the server misses the target even at low load. Such a
// server doesn't fail, but slows every stream on it, and a policy that counts
// requests would keep sending to it.
func (s *Server) isSlow() bool {
	return s.cfg.TokenInterval > 0 && s.interval.Reports >= minSlowReports &&
		s.interval.Expected(probeBatch) > slowFactor*s.targetMillis()
}

func (s *Server) targetMillis() float64 {
	return float64(s.cfg.TokenInterval) / float64(time.Millisecond)
}

func (s *Server) maxBatch() int {
	if s.cfg.TokenInterval <= 0 {
		return s.cfg.WarmLimit
	}
	return s.interval.MaxBatch(s.targetMillis(), s.cfg.WarmLimit)
}

// LoadPermille returns the utilization of the server in permille, by whichever of
// its limits is nearest, including queued requests.
func (s *Server) LoadPermille(now time.Time) int {
	limit := max(1, min(s.limit.Value(), s.maxBatch())-s.reserve)
	load := (s.Running() + s.queue.Len()) * 1000 / limit
	if s.cfg.MemoryTokens > 0 {
		load = max(load, int(s.memoryHeld(s.memory.Peak(s.margin), s.Running())*1000)/s.cfg.MemoryTokens)
	}
	if !s.ready() || (s.isSlow() && now.Sub(s.lastProbe) < probeInterval) {
		load = max(load, 2000)
	}
	return load
}
