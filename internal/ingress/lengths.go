package ingress

import (
	"time"

	"github.com/rs/zerolog"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/lengthpeer"
)

const (
	// lengthEvents is the number of events of a stream after which its expected length is estimated
	// again.
	lengthEvents = 16
	// minLoadChange is the smallest change of a stream's load, in tokens, that is counted. Each change
	// is reported to the planner; a thousandth of an engine's memory changes no placement.
	minLoadChange = 32
	// stayShare is the share of outputs that must end in the remaining time for a generation to be left
	// on its leaving engine. A generation that doesn't end in time is cut, whereas one that is
	// migrated needlessly costs a copy.
	stayShare = 0.8
)

// learnsLength reports whether the output length of a request is estimated and observed. Where a stream
// that its caller resumes begins isn't known, as event IDs may have gaps, and its first part was
// observed already.
func (s *Server) learnsLength(r *request) bool {
	return s.opts.Lengths != nil && r.isGeneration() && r.lastEventID == 0
}

// learnExpectedOutput replaces the expected output of a new request by the learned one, if it is known.
func (s *Server) learnExpectedOutput(r *request) {
	if !s.learnsLength(r) {
		return
	}
	r.lengthKey = lengthpeer.Key(r.service.Name, r.route.Name, r.workspace, r.hint)
	if tokens, known := s.opts.Lengths.Expected(r.lengthKey, 0, r.maxOutput); known {
		r.expectedOutput, r.learned = max(1, tokens), true
	}
}

// expectedTotal returns the expected length of a generation's whole output, in tokens.
func (s *Server) expectedTotal(st *activeStream) int {
	r, generated := st.request, st.generatedTokens()
	if s.learnsLength(r) {
		if rest, known := s.opts.Lengths.Expected(r.lengthKey, generated, r.maxOutput); known {
			return generated + rest
		}
	}
	return max(r.expectedOutput, generated)
}

// expectedRemaining returns how long a generation is expected to run on; negative if unknown. With a
// learned length it is the time within which stayShare of such generations end, at the stream's pace.
func (s *Server) expectedRemaining(st *activeStream) time.Duration {
	r := st.request
	if s.learnsLength(r) {
		if tokens, known := s.opts.Lengths.Remaining(r.lengthKey, st.generatedTokens(), r.maxOutput, stayShare); known {
			return time.Duration(tokens) * st.tokenTime()
		}
	}
	return hintedRemaining(st)
}

// tokenTime returns the time that the stream's engine takes for one token.
func (a *activeStream) tokenTime() time.Duration {
	if interval := a.eventInterval(); interval > 0 {
		return interval / time.Duration(max(1, a.request.service.Engine.TokensPerEvent))
	}
	return timePerToken
}

// trackLength observes a running stream and adjusts its load, every lengthEvents events.
func (cs *callerStream) trackLength() {
	if !cs.s.learnsLength(cs.r) {
		return
	}
	if tokens := cs.stream.generatedTokens(); tokens >= lengthpeer.NextObservation(cs.observedTokens) {
		cs.s.opts.Lengths.ObserveRunning(cs.s.opts.Now(), cs.r.lengthKey, cs.observedTokens, tokens)
		cs.observedTokens = tokens
	}
	cs.updateLoad()
}

// updateLoad adjusts the load of the stream on its engine to its expected length.
func (cs *callerStream) updateLoad() {
	if !cs.s.learnsLength(cs.r) {
		return
	}
	tokens := cs.r.promptTokens + cs.s.expectedTotal(cs.stream)
	cs.stream.adjustPlacement(func(place balancer.Placement) balancer.Placement {
		if change := tokens - place.Tokens; change > -minLoadChange && change < minLoadChange {
			return place
		}
		return cs.s.opts.Balancer.Adjust(place, tokens)
	})
}

// adjustPlacement replaces the placement of a stream that hasn't ended, while no migration can change
// it. The load of the new one must be counted already.
func (a *activeStream) adjustPlacement(adjust func(balancer.Placement) balancer.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done {
		a.placement = adjust(a.placement)
	}
}

// observeLength records the length of a stream that has ended; cut means before its end.
func (cs *callerStream) observeLength(cut bool) {
	if !cs.s.learnsLength(cs.r) || cs.stream.eventCount() == 0 {
		return
	}
	tokens := cs.stream.generatedTokens()
	limited := cs.r.outputLimit > 0 && tokens >= cs.r.outputLimit
	if limited {
		tokens = cs.r.outputLimit
	}
	cs.s.opts.Lengths.ObserveFrom(cs.s.opts.Now(), cs.r.lengthKey, cs.observedTokens, tokens, cut || limited)
	if !cut && cs.r.learned && cs.r.hint > 0 {
		count := func(name string, n int) { cs.s.opts.Scope.Counter(name).Inc(int64(max(n, -n))) }
		count("learned_output_tokens", tokens)
		count("learned_error_tokens", cs.r.expectedOutput-tokens)
		count("learned_hint_error_tokens", min(cs.r.hint, cs.r.maxOutput)-tokens)
	}
}

// logRemaining adds to a log line what the expected remaining time of a stream follows from: the tokens
// generated so far and the time per token.
func (s *Server) logRemaining(st *activeStream) func(*zerolog.Event) {
	return func(line *zerolog.Event) {
		if s.learnsLength(st.request) {
			line.Int("generated", st.generatedTokens()).Dur("tokenTime", st.tokenTime())
		}
	}
}

// logExpected adds the expected output to a log line, in tokens, and whether it is learned.
func (s *Server) logExpected(r *request) func(*zerolog.Event) {
	return func(line *zerolog.Event) {
		if s.opts.Lengths != nil && r.isGeneration() {
			line.Int("hint", r.hint).Int("expected", r.expectedOutput).Bool("learned", r.learned)
		}
	}
}
