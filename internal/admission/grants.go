package admission

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// grant is a permit that was granted and whose request may be running.
type grant struct {
	request   AcquireRequest
	curve     *outputlength.Curve
	expiresAt time.Time
	// incarnation is the server incarnation that the permit is for.
	incarnation string
	// runningAt is how many requests were running when the permit was granted.
	runningAt int
	// output is the number of tokens in the last report that lists the request.
	output int
	// firstTokenSeen is set once the request has got its first token.
	firstTokenSeen bool
	// unclaimed is set while no sender has been told of the permit.
	unclaimed bool
	// endedAt is set when the connection was lost: the server may still be
	// running the request, so a report must confirm that it ended.
	endedAt time.Time
}

func (s *Server) grantedDecision(now time.Time, g *grant) Decision {
	return Granted{
		RequestID:         g.request.Request.ID,
		PermitID:          g.request.PermitID,
		ServerIncarnation: s.report.Incarnation,
		ExpiresAt:         g.expiresAt,
		LoadPermille:      s.LoadPermille(now),
	}
}

// grant grants a permit. Its lifetime starts when the owner received the request,
// which is after the sender read its own clock: the sender stops using the permit
// before the owner may reuse the slot.
func (s *Server) grant(now time.Time, a AcquireRequest, requestedAt time.Time) Decision {
	g := &grant{
		request:     a,
		curve:       s.lengths.Curve(lengthKey(&a.Request)),
		expiresAt:   requestedAt.Add(s.cfg.PermitLifetime),
		incarnation: s.report.Incarnation,
		runningAt:   s.Running(),
	}
	s.rate.take(now, s.rateShare())
	if s.isSlow() {
		s.lastProbe = now
	}
	s.grants[a.Request.ID] = g
	s.permits[a.PermitID] = g
	s.running[a.Request.Workspace]++
	if a.Suspect {
		s.suspects++
	}
	s.memory.Add(s.sequence(g))
	return s.grantedDecision(now, g)
}

// remove deletes a grant and frees its slot.
func (s *Server) remove(now time.Time, g *grant) {
	req := &g.request.Request
	delete(s.grants, req.ID)
	delete(s.permits, g.request.PermitID)
	if s.running[req.Workspace]--; s.running[req.Workspace] == 0 {
		delete(s.running, req.Workspace)
	}
	if g.request.Suspect {
		s.suspects--
	}
	s.ended[req.ID] = now
	s.rebuildMemory(now)
}

// Release ends a permit. If a restart that was already reported ended the request,
// Release returns it.
func (s *Server) Release(now time.Time, permitID string, o permit.Outcome) *Restart {
	g, ok := s.permits[permitID]
	if !ok {
		return nil
	}
	switch o.Ending {
	case permit.EndingLost, permit.EndingCrashed:
		if g.incarnation != s.report.Incarnation || (s.exited != "" && g.incarnation == s.exited) {
			s.remove(now, g)
			return &Restart{OldIncarnation: g.incarnation, Running: []permit.Request{g.request.Request}}
		}
		// The server may still be running the request. It keeps its slot until a
		// report measured after now no longer lists it.
		g.endedAt = now
		s.suspendGrants(now)
		return nil
	case permit.EndingRefused:
		s.limit.RecordRefusal()
	case permit.EndingFinished, permit.EndingCancelled:
		s.recordOutcome(g, o)
	}
	s.remove(now, g)
	return nil
}

// Holds reports whether a permit is granted and its request hasn't ended.
func (s *Server) Holds(permitID string) bool {
	_, ok := s.permits[permitID]
	return ok
}

// Claim records that the sender of a queued request has been told of its permit.
func (s *Server) Claim(requestID string) {
	if g, ok := s.grants[requestID]; ok {
		g.unclaimed = false
	}
}

// MarkBroken records that the connection of a request under a permit broke. The
// request keeps its slot.
func (s *Server) MarkBroken(now time.Time, permitID string) {
	if g, ok := s.permits[permitID]; ok && g.incarnation == s.report.Incarnation {
		s.suspendGrants(now)
	}
}

// suspendGrants suspends grants until a report measured after now.
//
// A broken connection is the first sign of a restart. The next report shows the new
// incarnation, or the same one if only the connection was lost. Until then a
// restarted server would be considered warm. Further signs of the same restart
// don't extend the suspension.
func (s *Server) suspendGrants(now time.Time) {
	if !s.grantsSuspended() {
		s.suspectedRestartAt = now
	}
}

func (s *Server) grantsSuspended() bool {
	return s.report.MeasuredAt.Before(s.suspectedRestartAt)
}

// recordOutcome updates the output lengths, the limit and the workspace's usage from the
// outcome of a request.
func (s *Server) recordOutcome(g *grant, o permit.Outcome) {
	req := &g.request.Request
	capped := req.MaxTokens > 0 && o.OutputTokens >= req.MaxTokens
	if s.cfg.MemoryTokens > 0 && o.OutputTokens > 0 {
		s.lengths.Observe(lengthKey(req), o.OutputTokens, capped || o.Ending != permit.EndingFinished)
	}
	if o.Ending == permit.EndingFinished || o.OutputTokens > 0 {
		running := g.runningAt
		if g.firstTokenSeen {
			running = 0
		}
		g.firstTokenSeen = true
		s.limit.RecordSuccess(running, o.FirstToken)
	}
	expected := s.expectedTokens(req)
	s.queue.Charge(req.Workspace, float64(req.PromptTokens+o.OutputTokens)-expected, g.request.Weight)
}

func lengthKey(req *permit.Request) outputlength.Key {
	return outputlength.Key{Service: req.Service, Model: req.Model, Workspace: req.Workspace}
}

// removeUnused removes expired permits whose request isn't in a later report: the
// sender crashed or never sent it. Permits that no sender was told of need no report.
func (s *Server) removeUnused(now time.Time) {
	for _, g := range s.grants {
		if g.unclaimed && now.After(g.expiresAt) {
			s.remove(now, g)
			continue
		}
		last := g.expiresAt
		if !g.endedAt.IsZero() && g.endedAt.After(last) {
			last = g.endedAt
		}
		if !s.reported || !s.report.MeasuredAt.After(last) || !now.After(last) {
			continue
		}
		if s.report.Sequences == nil && g.endedAt.IsZero() {
			// A server that only counts its requests can't tell which ones run;
			// the sender's release or a restart of the server ends the grant.
			continue
		}
		if !s.reportLists(g.request.Request.ID) {
			s.remove(now, g)
		}
	}
}

func (s *Server) reportLists(id string) bool {
	for i := range s.report.Sequences {
		if s.report.Sequences[i].ID == id {
			return true
		}
	}
	return false
}
