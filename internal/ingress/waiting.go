package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/outputlength"
	"pollenspindle.example/pollenspindle/internal/planner"
)

// LengthKey returns the key of the outputs from which the length of a generation is estimated; hint
// is the caller's estimate in tokens, 0 if there is none.
type LengthKey func(service, route, workspace string, hint int) outputlength.Key

// lengthKey returns the key of the outputs like that of a request.
func (s *Server) lengthKey(r *request) outputlength.Key {
	return s.opts.LengthKey(r.service.Name, r.route.Name, r.workspace, s.lengthHint(r))
}

// lengthHint returns the caller's estimate of the output in tokens, 0 if there is none. It isn't
// the expected output, which may be learned.
func (s *Server) lengthHint(r *request) int {
	for _, h := range r.header {
		if strings.EqualFold(h.Name, s.fields.LengthHint) {
			if hint, err := strconv.ParseFloat(h.Value, 64); err == nil && hint > 0 && hint <= outputlength.MaxTokens {
				return int(hint)
			}
		}
	}
	return 0
}

// addWait adds what the planner needs to let a request wait for an engine. A stream that resumes
// doesn't wait: its caller is reading already.
func (s *Server) addWait(now time.Time, req *planner.PlacementRequest, r *request, t *attempts) {
	if s.opts.LengthKey == nil {
		return
	}
	key := planner.LengthKey(s.lengthKey(r))
	req.LengthKey, req.MaxTokens, req.Workspace, req.Priority = &key, r.maxOutput, r.workspace, r.priority
	if t.resuming || r.route.TargetLatency <= 0 {
		return
	}
	age := max(0, now.Sub(r.start))
	slack := min(r.route.TargetLatency-age, r.startDeadline.Sub(now))
	req.SlackMillis, req.AgeMillis = max(0, slack.Milliseconds()), age.Milliseconds()
}

// Sequences returns the running generations, for the planners of their engines.
func (s *Server) Sequences() []planner.RunningSequence {
	if s.opts.LengthKey == nil {
		return nil
	}
	var out []planner.RunningSequence
	for _, st := range s.streams.list() {
		r := st.request
		if !r.isGeneration() || st.finished() {
			continue
		}
		out = append(out, planner.RunningSequence{
			Engine: st.server().ID, Prompt: r.promptTokens, Generated: st.generatedTokens(), Limit: r.maxOutput, Key: s.lengthKey(r),
		})
	}
	return out
}

// refusalFailure returns the failure of a request for which no engine has capacity. Its Retry-After
// is the planner's, if the planner knows when capacity is expected.
func (s *Server) refusalFailure(err error) *answer.Failure {
	f := s.fullFailure()
	var refusal *planner.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		f.Message, f.RetryAfter = "no engine is expected to be free in time", refusal.RetryAfter
	}
	return f
}

// callerGoneFailure is the failure of a request whose caller left while it waited.
func callerGoneFailure() *answer.Failure {
	return answer.NotRun(http.StatusServiceUnavailable, answer.CodeSlowCaller, "the caller has disconnected")
}
