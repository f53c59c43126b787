package failure_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// waitTimeout and pollInterval are for states that are normally reached within seconds.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	// stallFactor slows engines down so far that the next token is seconds away.
	stallFactor = 400
	// maxOutputTokens limits the output of a test's generations.
	maxOutputTokens = 300
)

// shortStallTimeout makes instances probe silent streams soon, to keep tests fast.
func shortStallTimeout(s *settings.Settings) { s.Timing.StallMillis = 400 }

// startStream starts a stream and reads its first n tokens.
func startStream(t *testing.T, c *system.Caller, in *system.Instance, prompt, n int) *system.Stream {
	t.Helper()
	st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", system.Prompt(prompt), maxOutputTokens)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st.Status, "%v", st.Failure)
	t.Cleanup(st.Close)
	require.NoError(t, st.Read(n))
	return st
}

// requireSingleRun checks that the prompt ran once, on one server, and returns the server and its
// ledger entry.
func requireSingleRun(t *testing.T, s *system.System, prompt int) (string, engine.Entry) {
	t.Helper()
	ran := s.GenerationsByServer(t, prompt)
	require.Len(t, ran, 1)
	for server, entries := range ran {
		require.Len(t, entries, 1)
		return server, entries[0]
	}
	return "", engine.Entry{}
}

// requirePrefix checks that the tokens are the first tokens of one generation.
func requirePrefix(t *testing.T, tokens []system.Token) {
	t.Helper()
	end := system.Token{Position: int64(len(tokens) + 1), Finish: "stop"}
	system.RequireCompleteStream(t, append(append([]system.Token(nil), tokens...), end))
}

func TestStreams(t *testing.T) {
	s := start(t, system.Options{TimeScale: 2, Settings: shortStallTimeout})
	t.Run("engine killed before the first token", func(t *testing.T) { testEngineKilledBeforeFirstToken(t, s) })
	t.Run("engine replaced after some tokens", func(t *testing.T) { testEngineReplaced(t, s) })
	t.Run("engine paused", func(t *testing.T) { testEnginePaused(t, s) })
	t.Run("instance paused with two readers", func(t *testing.T) { testInstancePaused(t, s) })
	t.Run("link faults", func(t *testing.T) { testLinkFaults(t, s) })
	t.Run("all links to the engine silent", func(t *testing.T) { testEngineSilent(t, s) })
	t.Run("cancelled through another instance", func(t *testing.T) { testCancelledElsewhere(t, s) })
	s.WaitIdle(t)
}

// testEngineKilledBeforeFirstToken kills the engine that accepted a request before its first token.
// The caller has received nothing yet, so the request must be restarted on another engine and
// complete.
func testEngineKilledBeforeFirstToken(t *testing.T, s *system.System) {
	const prompt = 101
	s.SlowEngines(t, stallFactor)
	type opened struct {
		st  *system.Stream
		err error
	}
	done := make(chan opened, 1)
	c := s.Caller("kigali-flyers")
	go func() {
		st, err := c.Generate(context.Background(), t, s.Instances[0].Caller, "flight-briefing", system.Prompt(prompt), maxOutputTokens)
		done <- opened{st, err}
	}()
	require.Eventually(t, func() bool { return len(s.GenerationsByServer(t, prompt)) == 1 }, waitTimeout, pollInterval)
	server, entry := requireSingleRun(t, s, prompt)
	require.Zero(t, entry.OutputTokens)
	s.Servers[server].Process.Kill()
	s.SlowEngines(t, 1)

	o := <-done
	require.NoError(t, o.err)
	defer o.st.Close()
	require.Equal(t, http.StatusOK, o.st.Status, "%v", o.st.Failure)
	require.NoError(t, o.st.Read(0))
	require.Nil(t, o.st.Failure)
	system.RequireCompleteStream(t, o.st.Tokens)
	other, _ := requireSingleRun(t, s, prompt)
	require.NotEqual(t, server, other)
	s.Restart(t, s.Servers[server])
}

// testEngineReplaced restarts an engine at the same address in the middle of a stream, and runs
// another generation there under the same request ID, as can happen on an engine that accepts
// callers' IDs. Continuing with it would splice two generations, so the stream must end with an
// error at its position, and neither it nor a resume may return tokens of the other generation.
func testEngineReplaced(t *testing.T, s *system.System) {
	const prompt = 102
	c := s.Caller("kigali-flyers")
	st := startStream(t, c, s.Instances[0], prompt, 10)
	server, entry := requireSingleRun(t, s, prompt)
	node := s.Servers[server]
	node.Proxy.SetMode(faultproxy.Refuse)
	s.Restart(t, node)
	startForeignGeneration(t, node.Address, entry.RequestID)
	node.Proxy.SetMode(faultproxy.Pass)

	require.NoError(t, st.Read(0))
	requirePrefix(t, st.Tokens)
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.CodeGenerationLost, st.Failure.Code)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)

	resumed, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, st.Failure.Position)
	require.NoError(t, err)
	defer resumed.Close()
	require.Equal(t, http.StatusBadGateway, resumed.Status)
	require.NotNil(t, resumed.Failure)
	require.Equal(t, answer.CodeGenerationLost, resumed.Failure.Code)
	require.Equal(t, answer.OutcomeRan, resumed.Failure.Outcome)
}

// startForeignGeneration starts a long generation directly on an engine and leaves it running.
func startForeignGeneration(t *testing.T, address, requestID string) {
	t.Helper()
	body := `{"model":"flight-briefing","stream":true,"prompt":"plan of another caller"}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("X-Request-Id", requestID)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// testEnginePaused freezes the engine in the middle of a stream. The entry instance probes it on new
// connections, which are accepted and not answered. When the engine continues, the stream must
// continue where it stopped.
func testEnginePaused(t *testing.T, s *system.System) {
	const prompt = 103
	st := startStream(t, s.Caller("kigali-flyers"), s.Instances[0], prompt, 10)
	server, _ := requireSingleRun(t, s, prompt)
	probes := s.Metric(t, s.Instances[0], "probes")
	s.Servers[server].Process.Signal(t, syscall.SIGSTOP)
	require.Eventually(t, func() bool { return s.Metric(t, s.Instances[0], "probes") >= probes+2 }, waitTimeout, pollInterval)
	s.Servers[server].Process.Signal(t, syscall.SIGCONT)
	require.NoError(t, st.Read(0))
	require.Nil(t, st.Failure)
	system.RequireCompleteStream(t, st.Tokens)
	requireSingleRun(t, s, prompt)
}

// testInstancePaused freezes the instance that relays a stream. The caller resumes through another
// instance and gets the remaining tokens there. When the first instance continues, it must also
// deliver them to its own readers. Each reader of the generation gets every token once.
func testInstancePaused(t *testing.T, s *system.System) {
	const prompt = 104
	c := s.Caller("kigali-flyers")
	st := startStream(t, c, s.Instances[0], prompt, 10)
	secondReader, err := c.Resume(context.Background(), t, s.Instances[2].Caller, st.ID, 0)
	require.NoError(t, err)
	defer secondReader.Close()
	s.Instances[0].Process.Signal(t, syscall.SIGSTOP)
	resumed, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, 10)
	require.NoError(t, err)
	defer resumed.Close()
	require.NoError(t, resumed.Read(0))
	require.Nil(t, resumed.Failure)
	system.RequireCompleteStream(t, append(append([]system.Token(nil), st.Tokens...), resumed.Tokens...))
	s.Instances[0].Process.Signal(t, syscall.SIGCONT)
	for _, reader := range []*system.Stream{st, secondReader} {
		require.NoError(t, reader.Read(0))
		require.Nil(t, reader.Failure)
		system.RequireCompleteStream(t, reader.Tokens)
	}
	requireSingleRun(t, s, prompt)
	s.WaitReady(t)
}

// testLinkFaults cuts or silences the connection of a stream, or makes the link slow or unavailable
// for a while. The entry instance must reconnect, continue after the last position and drop
// duplicates, so that the caller sees at most a pause.
func testLinkFaults(t *testing.T, s *system.System) {
	prompt := 110
	faults := map[string]func(t *testing.T, p *faultproxy.Proxy){
		"cut":     func(_ *testing.T, p *faultproxy.Proxy) { p.CloseOpenConnections() },
		"silent":  func(_ *testing.T, p *faultproxy.Proxy) { p.SilenceOpenConnections() },
		"delayed": func(_ *testing.T, p *faultproxy.Proxy) { p.SetDelay(30 * time.Millisecond) },
		"down for a while": func(t *testing.T, p *faultproxy.Proxy) {
			probes := s.Metric(t, s.Instances[0], "probes")
			p.SetMode(faultproxy.Silent)
			p.SilenceOpenConnections()
			require.Eventually(t, func() bool { return s.Metric(t, s.Instances[0], "probes") >= probes+2 }, waitTimeout, pollInterval)
			p.SetMode(faultproxy.Refuse)
			p.SetMode(faultproxy.Pass)
		},
	}
	for name, fault := range faults {
		prompt++
		t.Run(name, func(t *testing.T) {
			st := startStream(t, s.Caller("kigali-flyers"), s.Instances[0], prompt, 10)
			server, entry := requireSingleRun(t, s, prompt)
			proxy := s.Servers[server].Proxy
			require.Equal(t, engine.StatusRunning, entry.Status)
			fault(t, proxy)
			require.NoError(t, st.Read(5))
			proxy.SetDelay(0)
			require.NoError(t, st.Read(0))
			require.Nil(t, st.Failure)
			system.RequireCompleteStream(t, st.Tokens)
			_, entry = requireSingleRun(t, s, prompt)
			require.Equal(t, engine.StatusFinished, entry.Status)
		})
	}
}

// testCancelledElsewhere cancels a generation through another instance than the one that relays it.
// The generation must end on its engine, which frees its memory at once, and the stream must end
// with an error that says that it was cancelled.
func testCancelledElsewhere(t *testing.T, s *system.System) {
	const prompt = 105
	c := s.Caller("kigali-flyers")
	st := startStream(t, c, s.Instances[0], prompt, 5)
	reply, err := c.Call(t.Context(), t, http.MethodDelete, s.Instances[1].Caller, "/v1/generations/"+st.ID, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, reply.Status, "%s", reply.Body)
	require.NoError(t, st.Read(0))
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)
	requirePrefix(t, st.Tokens)
	_, entry := requireSingleRun(t, s, prompt)
	require.Equal(t, engine.StatusCancelled, entry.Status)

	stranger, err := s.Caller("huye-gliders").Call(t.Context(), t, http.MethodDelete, s.Instances[1].Caller, "/v1/generations/"+st.ID, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, stranger.Status)
}
