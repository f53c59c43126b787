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
	// patience and pollEach bound waiting for a state that comes within
	// seconds.
	patience = 60 * time.Second
	pollEach = 20 * time.Millisecond
	// standstill slows engines so far that the next token is seconds away.
	standstill = 400
	// longest bounds a test's outputs, in tokens.
	longest = 300
)

// quickStall has silent streams probed soon, so that tests are quick.
func quickStall(s *settings.Settings) { s.Timing.StallMillis = 400 }

// begin starts a stream and reads its first n tokens.
func begin(t *testing.T, c *system.Caller, in *system.Instance, prompt, n int) *system.Stream {
	t.Helper()
	st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", system.Prompt(prompt), longest)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st.Status, "%v", st.Failure)
	t.Cleanup(st.Close)
	require.NoError(t, st.Read(n))
	return st
}

// place returns the server that alone has run the prompt, and its entry.
func place(t *testing.T, s *system.System, prompt int) (string, engine.Entry) {
	t.Helper()
	ran := s.GenerationsByServer(t, prompt)
	require.Len(t, ran, 1)
	for server, entries := range ran {
		require.Len(t, entries, 1)
		return server, entries[0]
	}
	return "", engine.Entry{}
}

// requirePrefix checks that the tokens are the first ones of one generation.
func requirePrefix(t *testing.T, tokens []system.Token) {
	t.Helper()
	end := system.Token{Position: int64(len(tokens) + 1), Finish: "stop"}
	system.RequireCompleteStream(t, append(append([]system.Token(nil), tokens...), end))
}

func TestStreams(t *testing.T) {
	s := start(t, system.Options{TimeScale: 2, Settings: quickStall})
	t.Run("engine killed before the first token", func(t *testing.T) { engineKilledBefore(t, s) })
	t.Run("engine replaced after some tokens", func(t *testing.T) { engineReplaced(t, s) })
	t.Run("engine paused", func(t *testing.T) { enginePaused(t, s) })
	t.Run("instance paused and two readers", func(t *testing.T) { instancePaused(t, s) })
	t.Run("link to the engine", func(t *testing.T) { linkFaults(t, s) })
	t.Run("all links to the engine silent", func(t *testing.T) { engineSilent(t, s) })
	t.Run("cancelled through another instance", func(t *testing.T) { cancelledElsewhere(t, s) })
	s.WaitIdle(t)
}

// The caller sees one whole answer, a little late. The engine that accepted the
// request is killed before its first token; nothing has reached the caller,
// so the request is started again on another engine.
func engineKilledBefore(t *testing.T, s *system.System) {
	const prompt = 101
	s.SlowEngines(t, standstill)
	type opened struct {
		st  *system.Stream
		err error
	}
	done := make(chan opened, 1)
	c := s.Caller("kigali-flyers")
	go func() {
		st, err := c.Generate(context.Background(), t, s.Instances[0].Caller, "flight-briefing", system.Prompt(prompt), longest)
		done <- opened{st, err}
	}()
	require.Eventually(t, func() bool { return len(s.GenerationsByServer(t, prompt)) == 1 }, patience, pollEach)
	server, entry := place(t, s, prompt)
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
	other, _ := place(t, s, prompt)
	require.NotEqual(t, server, other)
	s.Restart(t, s.Servers[server])
}

// The caller sees its stream end with an error that says how far it came. The
// engine is killed while tokens flow, and a new start at the same address runs
// another generation under the same request id, as an engine that takes its
// callers' ids may. Going on with that one would splice two generations, so
// neither the open stream nor a resume by the old id may give a token of it.
func engineReplaced(t *testing.T, s *system.System) {
	const prompt = 102
	c := s.Caller("kigali-flyers")
	st := begin(t, c, s.Instances[0], prompt, 10)
	server, entry := place(t, s, prompt)
	node := s.Servers[server]
	node.Proxy.SetMode(faultproxy.Refuse)
	s.Restart(t, node)
	plant(t, node.Address, entry.RequestID)
	node.Proxy.SetMode(faultproxy.Pass)

	require.NoError(t, st.Read(0))
	requirePrefix(t, st.Tokens)
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.CodeGenerationLost, st.Failure.Code)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)

	rest, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, st.Failure.Position)
	require.NoError(t, err)
	defer rest.Close()
	require.Equal(t, http.StatusBadGateway, rest.Status)
	require.NotNil(t, rest.Failure)
	require.Equal(t, answer.CodeGenerationLost, rest.Failure.Code)
	require.Equal(t, answer.OutcomeRan, rest.Failure.Outcome)
}

// plant starts a long generation on an engine itself and leaves it running.
func plant(t *testing.T, address, requestID string) {
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

// The caller sees a pause and then the rest. The engine stands still in the
// middle of a stream, the entry instance probes it on new connections, which
// it accepts without answering, and it goes on where it was.
func enginePaused(t *testing.T, s *system.System) {
	const prompt = 103
	st := begin(t, s.Caller("kigali-flyers"), s.Instances[0], prompt, 10)
	server, _ := place(t, s, prompt)
	probes := s.Metric(t, s.Instances[0], "probes")
	s.Servers[server].Process.Signal(t, syscall.SIGSTOP)
	require.Eventually(t, func() bool { return s.Metric(t, s.Instances[0], "probes") >= probes+2 }, patience, pollEach)
	s.Servers[server].Process.Signal(t, syscall.SIGCONT)
	require.NoError(t, st.Read(0))
	require.Nil(t, st.Failure)
	system.RequireCompleteStream(t, st.Tokens)
	place(t, s, prompt)
}

// The caller sees its stream stand still, resumes it through another instance
// and gets the rest there. The first instance was only paused: it goes on
// afterwards, and whoever still reads from it gets the rest too. Two readers
// of one generation each get every token once.
func instancePaused(t *testing.T, s *system.System) {
	const prompt = 104
	c := s.Caller("kigali-flyers")
	st := begin(t, c, s.Instances[0], prompt, 10)
	early, err := c.Resume(context.Background(), t, s.Instances[2].Caller, st.ID, 0)
	require.NoError(t, err)
	defer early.Close()
	s.Instances[0].Process.Signal(t, syscall.SIGSTOP)
	rest, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, 10)
	require.NoError(t, err)
	defer rest.Close()
	require.NoError(t, rest.Read(0))
	require.Nil(t, rest.Failure)
	system.RequireCompleteStream(t, append(append([]system.Token(nil), st.Tokens...), rest.Tokens...))
	s.Instances[0].Process.Signal(t, syscall.SIGCONT)
	for _, reader := range []*system.Stream{st, early} {
		require.NoError(t, reader.Read(0))
		require.Nil(t, reader.Failure)
		system.RequireCompleteStream(t, reader.Tokens)
	}
	place(t, s, prompt)
	s.WaitReady(t)
}

// The caller sees a pause at most. The connection that carries the stream
// breaks, goes silent for good while new ones work, or the link is down or
// slow for a while; the entry instance goes on after the last position on a
// new connection, and drops what comes twice.
func linkFaults(t *testing.T, s *system.System) {
	prompt := 110
	faults := map[string]func(t *testing.T, p *faultproxy.Proxy){
		"cut":     func(_ *testing.T, p *faultproxy.Proxy) { p.CutOpen() },
		"silent":  func(_ *testing.T, p *faultproxy.Proxy) { p.SilenceOpen() },
		"delayed": func(_ *testing.T, p *faultproxy.Proxy) { p.SetDelay(30 * time.Millisecond) },
		"down and up again": func(t *testing.T, p *faultproxy.Proxy) {
			probes := s.Metric(t, s.Instances[0], "probes")
			p.SetMode(faultproxy.Silent)
			p.SilenceOpen()
			require.Eventually(t, func() bool { return s.Metric(t, s.Instances[0], "probes") >= probes+2 }, patience, pollEach)
			p.SetMode(faultproxy.Refuse)
			p.SetMode(faultproxy.Pass)
		},
	}
	for name, fault := range faults {
		prompt++
		t.Run(name, func(t *testing.T) {
			st := begin(t, s.Caller("kigali-flyers"), s.Instances[0], prompt, 10)
			server, entry := place(t, s, prompt)
			proxy := s.Servers[server].Proxy
			require.Equal(t, engine.StatusRunning, entry.Status)
			fault(t, proxy)
			require.NoError(t, st.Read(5))
			proxy.SetDelay(0)
			require.NoError(t, st.Read(0))
			require.Nil(t, st.Failure)
			system.RequireCompleteStream(t, st.Tokens)
			_, entry = place(t, s, prompt)
			require.Equal(t, engine.StatusFinished, entry.Status)
		})
	}
}

// The caller sees its stream end with an error that says it was cancelled. It
// asked another instance than the one that relays; that one ends the
// generation on its engine, whose memory is free at once.
func cancelledElsewhere(t *testing.T, s *system.System) {
	const prompt = 105
	c := s.Caller("kigali-flyers")
	st := begin(t, c, s.Instances[0], prompt, 5)
	reply, err := c.Call(t.Context(), t, http.MethodDelete, s.Instances[1].Caller, "/v1/generations/"+st.ID, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, reply.Status, "%s", reply.Body)
	require.NoError(t, st.Read(0))
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)
	requirePrefix(t, st.Tokens)
	_, entry := place(t, s, prompt)
	require.Equal(t, engine.StatusCancelled, entry.Status)

	stranger, err := s.Caller("huye-gliders").Call(t.Context(), t, http.MethodDelete, s.Instances[1].Caller, "/v1/generations/"+st.ID, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, stranger.Status)
}
