package failure_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// crashMarker is a prompt that crashes the engines, crashTokens its size.
	crashMarker = "fatal-prompt"
	crashTokens = 5
)

// TestCrashingRequest: one caller's request crashes each engine that runs it,
// and the caller sends it again each second, through one instance after
// another. It may cost two engines and is then refused everywhere; a neighbour that ran beside
// it loses its generation once, is sent again and finishes, and other work
// goes on. Without the refusal the one request empties the deployment.
func TestCrashingRequest(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--crash", "restart", "--cold-millis", "0"},
	})
	const neighbourPrompt = 120
	begin(t, s.Caller("huye-gliders"), s.Instances[0], neighbourPrompt, 1)

	c := s.Caller("kigali-flyers")
	refusals := 0
	// The caller's own pace: owners read of a crash and tell each other within
	// a heartbeat, half a second.
	pace := time.NewTicker(time.Second)
	defer pace.Stop()
	for i := 0; refusals < len(s.Instances); i++ {
		require.Less(t, i, 60, "the request isn't refused")
		in := s.Instances[i%len(s.Instances)]
		st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", crashMarker, longest)
		require.NoError(t, err)
		require.NotNil(t, st.Failure, "a crashing request has no answer")
		if st.Failure.Code != answer.Code(permit.ReasonSuspect) {
			refusals = 0
			<-pace.C
			continue
		}
		refusals++
		require.Equal(t, http.StatusUnprocessableEntity, st.Status)
	}
	require.Equal(t, 2, crashesOf(t, s), "engines lost to one request")

	for _, in := range s.Instances {
		again, err := s.Caller("huye-gliders").Generate(context.Background(), t, in.Caller, "flight-briefing", system.Prompt(neighbourPrompt), 20)
		require.NoError(t, err)
		require.NoError(t, again.Read(0), "%v", again.Failure)
		system.RequireCompleteStream(t, again.Tokens)
		again.Close()
	}
	s.WaitIdle(t)
}

// crashesOf counts the engines that ran the crashing request.
func crashesOf(t *testing.T, s *system.System) int {
	t.Helper()
	n := 0
	for _, entries := range s.GenerationsByServer(t, crashTokens) {
		n += len(entries)
	}
	return n
}

// TestCrashingRequestWithDeadEngines: the same request, but the engines that it
// crashes stay dead. They report no new start, so nothing but the refused
// connection tells that they have crashed. The caller sends its request again
// each second; two engines are lost and the third goes on for all others.
func TestCrashingRequestWithDeadEngines(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--crash", "exit", "--cold-millis", "0"},
	})
	// A proxy accepts for a dead process; instances must see the engines'
	// own addresses.
	direct := *s.Config
	direct.Servers = slices.Clone(direct.Servers)
	var engines []*system.Node
	for i := range direct.Servers {
		n := s.Servers[direct.Servers[i].Name]
		direct.Servers[i].Address = n.Address
		if len(direct.Servers[i].Models) > 0 {
			engines = append(engines, n)
		}
	}
	s.Apply(t, direct)
	s.WaitReady(t)

	c := s.Caller("kigali-flyers")
	refusals := 0
	pace := time.NewTicker(time.Second)
	defer pace.Stop()
	for i := 0; refusals < len(s.Instances); i++ {
		require.Less(t, i, 30, "the request isn't refused")
		st, err := c.Generate(context.Background(), t, s.Instances[i%len(s.Instances)].Caller, "flight-briefing", crashMarker, longest)
		require.NoError(t, err)
		require.NotNil(t, st.Failure, "a crashing request has no answer")
		if st.Failure.Code == answer.Code(permit.ReasonSuspect) {
			refusals++
		} else {
			refusals = 0
			<-pace.C
		}
	}
	dead := 0
	for _, n := range engines {
		if n.Process.Exited() {
			dead++
		}
	}
	require.Equal(t, 2, dead, "engines lost to one request")
	again, err := s.Caller("huye-gliders").Generate(context.Background(), t, s.Instances[0].Caller, "flight-briefing", system.Prompt(120), 20)
	require.NoError(t, err)
	require.NoError(t, again.Read(0), "%v", again.Failure)
	system.RequireCompleteStream(t, again.Tokens)
	again.Close()
}
