package failure_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestEngineReclaimed kills an engine that runs three requests: a stream that has delivered tokens,
// a stream before its first token, and an unstreamed request. The engine exits after a shutdown
// notice, exits without one, or restarts at once. The first stream must end with an error event at
// its position, because another generation would continue with different text. The second must be
// restarted on another engine and complete. The third gets a complete answer or a failure.
// Afterwards no request is counted as running, and the restarted engine gets requests.
func TestEngineReclaimed(t *testing.T) {
	s := start(t, system.Options{
		TimeScale: 2, EngineArgs: []string{"--crash", "restart", "--cold-millis", "0"},
		Config: func(c *pollenspindle.Config) {
			for i := range c.Services {
				// Engines at a standstill keep getting requests with this target.
				c.Services[i].TokenIntervalTargetMillis = 60000
				c.Services[i].QueueSeconds = 60
			}
			for i := range c.Servers {
				// One engine has capacity for all requests of the test.
				c.Servers[i].ColdLimit = 8
			}
		},
	})
	prompt := 300
	tests := map[string]func(t *testing.T, n *system.Node){
		"after notice": func(t *testing.T, n *system.Node) {
			s.Control(t, n.Address, http.MethodPost, "/control/leave", map[string]any{"noticeMillis": 1000})
			require.Eventually(t, n.Process.Exited, waitTimeout, pollInterval)
		},
		"without notice": func(_ *testing.T, n *system.Node) { n.Process.Kill() },
		"crash and immediate restart": func(t *testing.T, n *system.Node) {
			s.Control(t, n.Address, http.MethodPost, "/control/crash", nil)
		},
	}
	for name, kill := range tests {
		t.Run(name, func(t *testing.T) {
			r := startRequests(t, s, &prompt)
			kill(t, s.Servers[r.server])
			for other, node := range s.Servers {
				if node.Process.Exited() || other == r.server || !strings.HasPrefix(other, "briefing") {
					continue
				}
				s.Control(t, node.Address, http.MethodPost, "/control/slow", map[string]float64{"factor": 1})
			}
			r.requireEndings(t, s)
			// Requests on a dead engine count as running until the engine reports what it runs.
			s.Restart(t, s.Servers[r.server])
			s.WaitIdle(t)
			r.requireGenerationLost(t, s)
			restartedAt := time.Now()
			// A few single requests could all go to another engine.
			l := startLoad(t, s, deployments["inyange"], 12, s.Instances, generate(deployments["inyange"], 20))
			require.Eventually(t, func() bool { return countArrivals(t, s, []string{r.server}, restartedAt) > 0 },
				waitTimeout, pollInterval, "no requests for the restarted engine")
			requireCompleteStreams(t, l.Stop())
		})
	}
}

// engineRequests are the requests on an engine that is about to be killed.
type engineRequests struct {
	server string
	// streaming has received tokens, beforeFirstToken none; unstreamed is not a stream.
	streaming        *system.Stream
	beforeFirstToken chan *system.Stream
	unstreamed       chan system.Reply
	// The prompts of beforeFirstToken and unstreamed.
	beforeFirstTokenPrompt, unstreamedPrompt int
}

// startRequests starts one request of each kind on the same engine and slows down all engines so
// far that none of the requests gets another token.
func startRequests(t *testing.T, s *system.System, prompt *int) engineRequests {
	t.Helper()
	r := engineRequests{beforeFirstToken: make(chan *system.Stream, 1), unstreamed: make(chan system.Reply, 1)}
	*prompt++
	r.unstreamedPrompt = *prompt
	go func() { r.unstreamed <- requestUnstreamed(t, s, r.unstreamedPrompt) }()
	require.Eventually(t, func() bool {
		for name, entries := range s.GenerationsByServer(t, r.unstreamedPrompt) {
			r.server = name
			return entries[0].OutputTokens > 0
		}
		return false
	}, waitTimeout, pollInterval)
	for r.streaming == nil {
		*prompt++
		st := startStream(t, s.Caller("kigali-flyers"), s.Instances[0], *prompt, 3)
		if ranOn, _ := requireSingleRun(t, s, *prompt); ranOn == r.server {
			r.streaming = st
		}
	}
	s.SlowEngines(t, stallFactor)
	_, collected := requireSingleRun(t, s, r.unstreamedPrompt)
	require.Equal(t, engine.StatusRunning, collected.Status)
	for {
		*prompt++
		r.beforeFirstTokenPrompt = *prompt
		opened := make(chan *system.Stream, 1)
		go func() {
			st, err := s.Caller("huye-gliders").Generate(context.Background(), t, s.Instances[1].Caller, "flight-briefing", system.Prompt(r.beforeFirstTokenPrompt), maxOutputTokens)
			if err != nil {
				st = nil
			}
			opened <- st
		}()
		require.Eventually(t, func() bool { return len(s.GenerationsByServer(t, r.beforeFirstTokenPrompt)) == 1 }, waitTimeout, pollInterval)
		if ranOn, entry := requireSingleRun(t, s, r.beforeFirstTokenPrompt); ranOn == r.server {
			require.Zero(t, entry.OutputTokens)
			r.beforeFirstToken = opened
			return r
		}
		go func() {
			if st := <-opened; st != nil {
				st.Close()
			}
		}()
	}
}

// requestUnstreamed sends a request for an unstreamed answer.
func requestUnstreamed(t *testing.T, s *system.System, prompt int) system.Reply {
	body, err := json.Marshal(map[string]any{
		"model": "flight-briefing", "max_tokens": maxOutputTokens,
		"messages": []map[string]string{{"role": "user", "content": system.Prompt(prompt)}},
	})
	if err != nil {
		return system.Reply{}
	}
	r, err := s.Caller("musanze-aero").Call(context.Background(), t, http.MethodPost, s.Instances[2].Caller, "/v1/chat/completions", body)
	if err != nil {
		return system.Reply{}
	}
	return r
}

// requireEndings checks the result of each request.
func (r *engineRequests) requireEndings(t *testing.T, s *system.System) {
	t.Helper()
	require.NoError(t, r.streaming.Read(0))
	requirePrefix(t, r.streaming.Tokens)
	require.NotNil(t, r.streaming.Failure)
	require.Contains(t, []answer.Code{answer.CodeGenerationLost, answer.CodeBackendLost}, r.streaming.Failure.Code)
	require.Equal(t, answer.OutcomeRan, r.streaming.Failure.Outcome)
	require.Equal(t, int64(len(r.streaming.Tokens)), r.streaming.Failure.Position)

	restarted := <-r.beforeFirstToken
	require.NotNil(t, restarted)
	defer restarted.Close()
	require.Nil(t, restarted.Failure)
	require.NoError(t, restarted.Read(0))
	require.Nil(t, restarted.Failure)
	system.RequireCompleteStream(t, restarted.Tokens)
	var text strings.Builder
	for _, tok := range restarted.Tokens {
		text.WriteString(tok.Text)
	}
	requireOwnOutput(t, s, r.beforeFirstTokenPrompt, text.String(), len(restarted.Tokens)-1)

	reply := <-r.unstreamed
	t.Logf("unstreamed request: status %d", reply.Status)
	if reply.Status != http.StatusOK {
		require.NotEqual(t, answer.OutcomeNotRun, reply.Failure(t).Outcome)
		return
	}
	var w chatCompletion
	require.NoError(t, json.Unmarshal(reply.Body, &w))
	requireOwnOutput(t, s, r.unstreamedPrompt, w.Choices[0].Message.Content, w.Usage.CompletionTokens)
}

// requireGenerationLost checks that the new incarnation of the engine doesn't resume the old
// generation's ID.
func (r *engineRequests) requireGenerationLost(t *testing.T, s *system.System) {
	t.Helper()
	resumed, err := s.Caller("kigali-flyers").Resume(context.Background(), t, s.Instances[1].Caller, r.streaming.ID, r.streaming.Failure.Position)
	require.NoError(t, err)
	defer resumed.Close()
	require.NotNil(t, resumed.Failure)
	require.Equal(t, answer.CodeGenerationLost, resumed.Failure.Code)
}
