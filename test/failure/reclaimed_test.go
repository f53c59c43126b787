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

// TestEngineReclaimed: an engine dies under three requests: one whose caller
// has tokens, one before its first token, and one whose answer is collected.
// It dies some time after it said that it leaves, without a word, or is back at
// once. The first caller gets an error event that names its position, because
// another generation would go on with other words. The second gets one whole
// answer of another engine. The third gets a whole answer or a failure. Their
// places are free afterwards, and the engine gets work when it is back.
func TestEngineReclaimed(t *testing.T) {
	s := start(t, system.Options{
		TimeScale: 2, EngineArgs: []string{"--crash", "restart", "--cold-millis", "0"},
		Config: func(c *pollenspindle.Config) {
			for i := range c.Services {
				// Engines that stand still get requests all the same.
				c.Services[i].TokenIntervalTargetMillis = 60000
				c.Services[i].QueueSeconds = 60
			}
			for i := range c.Servers {
				// One engine has room for all that the test sends.
				c.Servers[i].ColdLimit = 8
			}
		},
	})
	prompt := 300
	tests := map[string]func(t *testing.T, n *system.Node){
		"after notice": func(t *testing.T, n *system.Node) {
			s.Control(t, n.Address, http.MethodPost, "/control/leave", map[string]any{"noticeMillis": 1000})
			require.Eventually(t, n.Process.Exited, patience, pollEach)
		},
		"without notice": func(_ *testing.T, n *system.Node) { n.Process.Kill() },
		"and back at once": func(t *testing.T, n *system.Node) {
			s.Control(t, n.Address, http.MethodPost, "/control/crash", nil)
		},
	}
	for name, die := range tests {
		t.Run(name, func(t *testing.T) {
			r := occupy(t, s, &prompt)
			die(t, s.Servers[r.server])
			for other, node := range s.Servers {
				if node.Process.Exited() || other == r.server || !strings.HasPrefix(other, "briefing") {
					continue
				}
				s.Control(t, node.Address, http.MethodPost, "/control/slow", map[string]float64{"factor": 1})
			}
			r.requireEndings(t, s)
			// Places on a dead engine are held until it says what runs there.
			s.Restart(t, s.Servers[r.server])
			s.WaitIdle(t)
			r.requireLost(t, s)
			back := time.Now()
			// Single requests may all go to another engine.
			l := startLoad(t, s, deployments["inyange"], 12, s.Instances, generate(deployments["inyange"], 20))
			require.Eventually(t, func() bool { return arrivals(t, s, []string{r.server}, back) > 0 },
				patience, pollEach, "no work for the engine that is back")
			requireSound(t, l.Stop())
		})
	}
}

// doomed are the requests on an engine that is about to die.
type doomed struct {
	server string
	// begun has tokens, early none, collected is not streamed.
	begun     *system.Stream
	early     chan *system.Stream
	collected chan system.Reply
	// prompts of early and collected.
	earlyPrompt, collectedPrompt int
}

// occupy brings one request of each kind onto the same engine, with all
// engines slowed so far that none of them gets another token.
func occupy(t *testing.T, s *system.System, prompt *int) doomed {
	t.Helper()
	r := doomed{early: make(chan *system.Stream, 1), collected: make(chan system.Reply, 1)}
	*prompt++
	r.collectedPrompt = *prompt
	go func() { r.collected <- collect(t, s, r.collectedPrompt) }()
	require.Eventually(t, func() bool {
		for name, entries := range s.GenerationsByServer(t, r.collectedPrompt) {
			r.server = name
			return entries[0].OutputTokens > 0
		}
		return false
	}, patience, pollEach)
	for r.begun == nil {
		*prompt++
		st := begin(t, s.Caller("kigali-flyers"), s.Instances[0], *prompt, 3)
		if on, _ := place(t, s, *prompt); on == r.server {
			r.begun = st
		}
	}
	s.SlowEngines(t, standstill)
	_, collected := place(t, s, r.collectedPrompt)
	require.Equal(t, engine.StatusRunning, collected.Status)
	for {
		*prompt++
		r.earlyPrompt = *prompt
		opened := make(chan *system.Stream, 1)
		go func() {
			st, err := s.Caller("huye-gliders").Generate(context.Background(), t, s.Instances[1].Caller, "flight-briefing", system.Prompt(r.earlyPrompt), longest)
			if err != nil {
				st = nil
			}
			opened <- st
		}()
		require.Eventually(t, func() bool { return len(s.GenerationsByServer(t, r.earlyPrompt)) == 1 }, patience, pollEach)
		if on, entry := place(t, s, r.earlyPrompt); on == r.server {
			require.Zero(t, entry.OutputTokens)
			r.early = opened
			return r
		}
		go func() {
			if st := <-opened; st != nil {
				st.Close()
			}
		}()
	}
}

// collect asks for an answer that isn't streamed.
func collect(t *testing.T, s *system.System, prompt int) system.Reply {
	body, err := json.Marshal(map[string]any{
		"model": "flight-briefing", "max_tokens": longest,
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

// requireEndings checks what each caller saw.
func (r *doomed) requireEndings(t *testing.T, s *system.System) {
	t.Helper()
	require.NoError(t, r.begun.Read(0))
	requirePrefix(t, r.begun.Tokens)
	require.NotNil(t, r.begun.Failure)
	require.Contains(t, []answer.Code{answer.CodeGenerationLost, answer.CodeBackendLost}, r.begun.Failure.Code)
	require.Equal(t, answer.OutcomeRan, r.begun.Failure.Outcome)
	require.Equal(t, int64(len(r.begun.Tokens)), r.begun.Failure.Position)

	early := <-r.early
	require.NotNil(t, early)
	defer early.Close()
	require.Nil(t, early.Failure)
	require.NoError(t, early.Read(0))
	require.Nil(t, early.Failure)
	system.RequireCompleteStream(t, early.Tokens)
	var text strings.Builder
	for _, tok := range early.Tokens {
		text.WriteString(tok.Text)
	}
	requireOwn(t, s, r.earlyPrompt, text.String(), len(early.Tokens)-1)

	reply := <-r.collected
	t.Logf("collected: %d", reply.Status)
	if reply.Status != http.StatusOK {
		require.NotEqual(t, answer.OutcomeNotRun, reply.Failure(t).Outcome)
		return
	}
	var w whole
	require.NoError(t, json.Unmarshal(reply.Body, &w))
	requireOwn(t, s, r.collectedPrompt, w.Choices[0].Message.Content, w.Usage.CompletionTokens)
}

// requireLost checks that the new start of the engine gives nothing under the
// old generation's id.
func (r *doomed) requireLost(t *testing.T, s *system.System) {
	t.Helper()
	rest, err := s.Caller("kigali-flyers").Resume(context.Background(), t, s.Instances[1].Caller, r.begun.ID, r.begun.Failure.Position)
	require.NoError(t, err)
	defer rest.Close()
	require.NotNil(t, rest.Failure)
	require.Equal(t, answer.CodeGenerationLost, rest.Failure.Code)
}
