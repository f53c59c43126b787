package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/length"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// grant is a permit that was given and whose request may run.
type grant struct {
	ask       Ask
	curve     *length.Curve
	expiresAt time.Time
	// incarnation is the start of the server that the permit was given for.
	incarnation string
	// runningAt is how many requests ran when the permit was given.
	runningAt int
	// output is the number of tokens in the last report that named it.
	output int
	// proven is set when the first token was seen.
	proven bool
	// endedAt is set when the request ended but a report must confirm it:
	// its connection was lost and the server may run it on.
	endedAt time.Time
}

func (s *Server) granted(now time.Time, g *grant) Decision {
	return Granted{
		RequestID:         g.ask.Request.ID,
		PermitID:          g.ask.PermitID,
		ServerIncarnation: s.report.Incarnation,
		ExpiresAt:         g.expiresAt,
		LoadPermille:      s.LoadPermille(now),
	}
}

// grant gives a permit. Its life counts from when the asker asked, by the
// owner's clock, which is after the asker's own reading: the asker stops using
// it before the owner may give the place to another.
func (s *Server) grant(now time.Time, a Ask, asked time.Time) Decision {
	g := &grant{
		ask:         a,
		curve:       s.lengths.Curve(lengthKey(&a.Request)),
		expiresAt:   asked.Add(s.cfg.PermitFor),
		incarnation: s.report.Incarnation,
		runningAt:   s.Running(),
	}
	if s.slow() {
		s.lastProbe = now
	}
	s.grants[a.Request.ID] = g
	s.permits[a.PermitID] = g
	s.running[a.Request.Workspace]++
	if a.Suspect {
		s.suspects++
	}
	s.memory.Add(s.sequence(g))
	return s.granted(now, g)
}

// remove ends a grant at its owner.
func (s *Server) remove(now time.Time, g *grant) {
	req := &g.ask.Request
	delete(s.grants, req.ID)
	delete(s.permits, g.ask.PermitID)
	if s.running[req.Workspace]--; s.running[req.Workspace] == 0 {
		delete(s.running, req.Workspace)
	}
	if g.ask.Suspect {
		s.suspects--
	}
	s.ended[req.ID] = now
	s.rebuildMemory(now)
}

// Release takes back a permit. It returns the restart that ended the request,
// when one did that was reported before.
func (s *Server) Release(now time.Time, permitID string, o permit.Outcome) *Restart {
	g, ok := s.permits[permitID]
	if !ok {
		return nil
	}
	switch o.Ending {
	case permit.EndingLost, permit.EndingCrashed:
		if g.incarnation != s.report.Incarnation || (s.gone != "" && g.incarnation == s.gone) {
			s.remove(now, g)
			return &Restart{OldIncarnation: g.incarnation, Running: []permit.Request{g.ask.Request}}
		}
		// The server may run it on. It keeps its place until a report
		// measured after now no longer names it.
		g.endedAt = now
		s.doubt(now)
		return nil
	case permit.EndingRefused:
		s.limit.Refused()
	case permit.EndingFinished, permit.EndingCancelled:
		s.learn(g, o)
	}
	s.remove(now, g)
	return nil
}

// Broken tells that the connection of a request under a permit broke. The
// request keeps its place.
func (s *Server) Broken(now time.Time, permitID string) {
	if g, ok := s.permits[permitID]; ok && g.incarnation == s.report.Incarnation {
		s.doubt(now)
	}
}

// doubt stops grants until a report measured after now.
//
// A broken connection is the first sign of a restart, and the next report names the
// new start, or the same one when only the connection was lost. Until then the
// server would be taken for warm. Later signs of the same restart don't renew the
// wait.
func (s *Server) doubt(now time.Time) {
	if !s.doubtful() {
		s.doubted = now
	}
}

func (s *Server) doubtful() bool {
	return s.report.MeasuredAt.Before(s.doubted)
}

// learn takes in the length of an output and what it shows about the server.
func (s *Server) learn(g *grant, o permit.Outcome) {
	req := &g.ask.Request
	capped := req.MaxTokens > 0 && o.OutputTokens >= req.MaxTokens
	if s.cfg.MemoryTokens > 0 && o.OutputTokens > 0 {
		s.lengths.Observe(lengthKey(req), o.OutputTokens, capped || o.Ending != permit.EndingFinished)
	}
	if o.Ending == permit.EndingFinished || o.OutputTokens > 0 {
		running := g.runningAt
		if g.proven {
			running = 0
		}
		g.proven = true
		s.limit.Succeeded(running, o.FirstToken)
	}
	expected := s.expectedTokens(req)
	s.queue.Charge(req.Workspace, float64(req.PromptTokens+o.OutputTokens)-expected, g.ask.Weight)
}

func lengthKey(req *permit.Request) length.Key {
	return length.Key{Service: req.Service, Model: req.Model, Workspace: req.Workspace}
}

// forgetUnused takes back permits that can no longer be used and of which a
// later report knows nothing: the asker died or never sent.
func (s *Server) forgetUnused(now time.Time) {
	for _, g := range s.grants {
		last := g.expiresAt
		if !g.endedAt.IsZero() && g.endedAt.After(last) {
			last = g.endedAt
		}
		if !s.reported || !s.report.MeasuredAt.After(last) || !now.After(last) {
			continue
		}
		if s.report.Sequences == nil && g.endedAt.IsZero() {
			// A server that only counts cannot say which requests run; the
			// asker's release ends the grant, or the restart of the server.
			continue
		}
		if !s.reportNames(g.ask.Request.ID) {
			s.remove(now, g)
		}
	}
}

func (s *Server) reportNames(id string) bool {
	for i := range s.report.Sequences {
		if s.report.Sequences[i].ID == id {
			return true
		}
	}
	return false
}
