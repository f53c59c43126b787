package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/forecast"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
)

const (
	// marginStep is added to the memory margin for each report with a preemption:
	// the present output lengths vary less independently than assumed.
	marginStep = 0.25
	// marginDecay is the factor by which the added margin decays with each report:
	// half of it is left after some twenty. At 0.99 one burst of preemptions
	// would keep a server half empty for minutes.
	marginDecay = 0.97
	// maxExtraMargin limits the added margin: above it most memory would be unused.
	maxExtraMargin = 1.5
	// sharedWeight is the weight of one report in the average number of shared tokens
	// of a sequence. maxSharedFraction and maxWastedFraction limit that number
	// relative to the counted tokens: sequences share at most half of their tokens,
	// and the block allocation of an engine wastes little.
	sharedWeight      = 0.1
	maxSharedFraction = 0.5
	maxWastedFraction = 0.25
	// endedRetention is how long ended requests are remembered, far longer than
	// reports lag.
	endedRetention = time.Minute
)

// ApplyReport applies a load report. If it shows a restart, ApplyReport returns the
// requests that were running before it; otherwise nil.
func (s *Server) ApplyReport(now time.Time, r Report) *Restart {
	if s.reported && r.Incarnation == s.report.Incarnation && r.MeasuredAt.Before(s.report.MeasuredAt) {
		// Reports can arrive out of order; older ones are ignored.
		return nil
	}
	var restart *Restart
	old := s.report.Incarnation
	if s.limit.RecordIncarnation(r.Incarnation) {
		restart = s.endIncarnation(now, old)
	}
	s.limit.SetReportedCold(r.Cold)
	s.rate.set(now, r.MaxPerSecond)
	s.adjustMargin(r, restart != nil)
	if r.TokenInterval > 0 {
		s.interval.Observe(r.Batch, float64(r.TokenInterval)/float64(time.Millisecond))
	}
	s.reachable = true
	s.exited = ""
	s.report = r
	if !r.MeasuredAt.Before(s.reportAfter) {
		s.reported = true
	}
	s.matchReport(r)
	s.adjustShared(r)
	s.forgetEnded(now)
	s.rebuildMemory(now)
	return restart
}

// LastReport returns the last load report, if there is one.
func (s *Server) LastReport() (Report, bool) {
	return s.report, !s.report.MeasuredAt.IsZero()
}

// endIncarnation removes the grants of the previous incarnation and returns their
// requests.
//
// A poison request mostly crashes its server before its first token and while its
// permit is valid. A lost connection shows that it was sent, so it must be included
// here or it would never be detected.
func (s *Server) endIncarnation(now time.Time, old string) *Restart {
	restart := &Restart{OldIncarnation: old}
	for _, g := range s.grants {
		if g.expiresAt.After(now) && g.output == 0 && g.endedAt.IsZero() {
			// The request may not have been sent yet. Its permit, for the old
			// incarnation, counts until it is released or expires.
			continue
		}
		restart.Running = append(restart.Running, g.request.Request)
		s.remove(now, g)
	}
	s.interval = forecast.NewInterval()
	return restart
}

func (s *Server) adjustMargin(r Report, restarted bool) {
	added := s.margin - forecast.DefaultMargin
	if s.reported && !restarted && r.Preemptions > s.report.Preemptions {
		added = min(maxExtraMargin, added+marginStep)
	} else {
		added *= marginDecay
	}
	s.margin = forecast.DefaultMargin + added
}

// adjustShared estimates how many tokens of a sequence are shared with others in the
// engine's memory. Prompts of one workspace often have a common prefix, which an
// engine with a prefix cache stores once; counting it for each sequence would leave a
// tenth of the memory idle under full load. The estimate also corrects errors in the
// estimated prompt lengths.
//
// It is a number of tokens rather than a fraction of the memory: a fraction would
// also discount the predicted growth of outputs, which share nothing, so that the
// growth is underestimated the more prefixes are shared.
func (s *Server) adjustShared(r Report) {
	counted := 0
	for _, seq := range r.Sequences {
		prompt := seq.Prompt
		if g, ok := s.grants[seq.ID]; ok {
			prompt = g.request.Request.PromptTokens
		}
		counted += prompt + seq.Output
	}
	if counted == 0 || r.UsedTokens <= 0 {
		return
	}
	shared := float64(counted - r.UsedTokens)
	shared = min(maxSharedFraction*float64(counted), max(-maxWastedFraction*float64(counted), shared))
	s.sharedTokens += sharedWeight * (shared/float64(len(r.Sequences)) - s.sharedTokens)
}

// memoryHeld returns the memory in tokens that the engine uses for n sequences with the
// given total of tokens.
func (s *Server) memoryHeld(tokens float64, n int) float64 {
	return tokens - min(maxSharedFraction*tokens, s.sharedTokens*float64(n))
}

// matchReport assigns the requests of the report: those with a permit of this owner are
// counted by their permit, those that have ended since aren't counted, and the rest
// are foreign.
func (s *Server) matchReport(r Report) {
	s.foreign = s.foreign[:0]
	if r.Sequences == nil {
		s.foreignCount = max(0, r.Running-s.grantedBefore(r.MeasuredAt))
		return
	}
	for _, seq := range r.Sequences {
		if g, ok := s.grants[seq.ID]; ok {
			g.output = seq.Output
			if seq.Output > 0 && !g.firstTokenSeen {
				g.firstTokenSeen = true
				s.limit.RecordSuccess(g.runningAt, 0)
			}
			continue
		}
		if endedAt, ok := s.ended[seq.ID]; ok && r.MeasuredAt.Before(endedAt) {
			continue
		}
		s.foreign = append(s.foreign, seq)
	}
	s.foreignCount = len(s.foreign)
}

// grantedBefore returns the number of permits granted before t, whose requests a
// report measured at t may include.
func (s *Server) grantedBefore(t time.Time) int {
	n := 0
	for _, g := range s.grants {
		if g.expiresAt.Add(-s.cfg.PermitLifetime).Before(t) {
			n++
		}
	}
	// Requests that ended after t were still running at t.
	for _, endedAt := range s.ended {
		if t.Before(endedAt) {
			n++
		}
	}
	return n
}

func (s *Server) forgetEnded(now time.Time) {
	for id, at := range s.ended {
		if now.Sub(at) > endedRetention {
			delete(s.ended, id)
		}
	}
}

// rebuildMemory recomputes the memory prediction from the running requests. Since
// the last report each sequence has grown by one token per token interval.
func (s *Server) rebuildMemory(now time.Time) {
	s.memory = forecast.Memory{}
	if s.cfg.MemoryTokens == 0 {
		return
	}
	grown := s.grownSince(now)
	for _, g := range s.grants {
		seq := s.sequence(g)
		if g.output > 0 {
			seq.Generated += grown
		}
		s.memory.Add(seq)
	}
	curve := s.lengths.Curve(outputlength.Key{})
	for _, f := range s.foreign {
		s.memory.Add(forecast.Sequence{Prompt: f.Prompt, Generated: f.Output + grown, Curve: curve})
	}
}

// grownSince returns how many tokens a sequence has grown by since the last report.
func (s *Server) grownSince(now time.Time) int {
	if s.report.TokenInterval <= 0 {
		return 0
	}
	return int(max(0, now.Sub(s.report.MeasuredAt)) / s.report.TokenInterval)
}

func (s *Server) sequence(g *grant) forecast.Sequence {
	req := &g.request.Request
	return forecast.Sequence{Prompt: req.PromptTokens, Generated: g.output, MaxTokens: req.MaxTokens, Curve: g.curve}
}

func (s *Server) expectedTokens(req *permit.Request) float64 {
	if s.cfg.MemoryTokens == 0 {
		return 1
	}
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = outputlength.MaxTokens
	}
	return float64(req.PromptTokens) + s.lengths.Curve(lengthKey(req)).MeanRemaining(0, maxTokens)
}
