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
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// crashMarker is a prompt that crashes the engines; crashTokens is its size.
	crashMarker = "fatal-prompt"
	crashTokens = 5
)

// TestCrashingRequest repeats a request that crashes each engine on which it runs, once per second
// through one instance after another. Without a refusal this one request takes down all engines.
// After two crashes it must be refused everywhere. A request that ran on a crashed engine loses
// its generation once and completes when repeated.
func TestCrashingRequest(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--crash", "restart", "--cold-millis", "0"},
	})
	const neighbourPrompt = 120
	startStream(t, s.Caller("huye-gliders"), s.Instances[0], neighbourPrompt, 1)

	c := s.Caller("kigali-flyers")
	refusals := 0
	// One request per second: owners learn of a crash and exchange it within a heartbeat, 0.5 s.
	pace := time.NewTicker(time.Second)
	defer pace.Stop()
	for i := 0; refusals < len(s.Instances); i++ {
		require.Less(t, i, 60, "the request isn't refused")
		in := s.Instances[i%len(s.Instances)]
		st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", crashMarker, maxOutputTokens)
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
	require.Equal(t, 2, countCrashes(t, s), "engines crashed by one request")

	for _, in := range s.Instances {
		again, err := s.Caller("huye-gliders").Generate(context.Background(), t, in.Caller, "flight-briefing", system.Prompt(neighbourPrompt), 20)
		require.NoError(t, err)
		require.NoError(t, again.Read(0), "%v", again.Failure)
		system.RequireCompleteStream(t, again.Tokens)
		again.Close()
	}
	s.WaitIdle(t)
}

// Guards against a request that crashes engines in the middle of its answer, and is sent on or repeated without a
// bound because it has begun.
func TestCrashingRequestAmidItsAnswer(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--poison-millis", "700", "--crash", "restart", "--cold-millis", "0"},
	})
	c := s.Caller("kigali-flyers")
	refusals, begun := 0, 0
	for i := 0; refusals < len(s.Instances); i++ {
		require.Less(t, i, 20, "the request isn't refused")
		st, err := c.Generate(context.Background(), t, s.Instances[i%len(s.Instances)].Caller, "flight-briefing", crashMarker, maxOutputTokens)
		require.NoError(t, err)
		if st.Failure == nil {
			_ = st.Read(0)
			st.Close()
		}
		if len(st.Tokens) > 0 {
			begun++
		}
		if st.Failure == nil || st.Failure.Code != answer.Code(permit.ReasonSuspect) {
			refusals = 0
			continue
		}
		refusals++
	}
	require.Positive(t, begun)
	require.Equal(t, 2, countCrashes(t, s), "engines crashed by one request")
}

// Guards against owners that grant a crashing request an engine because its caller repeats it before
// they hear of the crash.
func TestCrashingRequestRepeatedAtOnce(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--crash", "restart", "--cold-millis", "0"},
		Settings: func(s *settings.Settings) {
			s.Timing.HeartbeatMillis, s.Timing.ConfirmMillis = 4000, 10000
		},
	})
	c := s.Caller("kigali-flyers")
	refusals := 0
	deadline := time.Now().Add(system.WaitTimeout)
	for i := 0; refusals < len(s.Instances); i++ {
		require.True(t, time.Now().Before(deadline), "the request isn't refused")
		st, err := c.Generate(context.Background(), t, s.Instances[i%len(s.Instances)].Caller, "flight-briefing", crashMarker, maxOutputTokens)
		require.NoError(t, err)
		require.NotNil(t, st.Failure, "a crashing request has no answer")
		refusals++
		if st.Failure.Code != answer.Code(permit.ReasonSuspect) {
			t.Logf("attempt %d at %s: %s", i, s.Instances[i%len(s.Instances)].ID, st.Failure.Code)
			refusals = 0
		}
	}
	require.Equal(t, 2, countCrashes(t, s), "engines crashed by one request")
}

// countCrashes returns the number of engines on which the crashing request ran.
func countCrashes(t *testing.T, s *system.System) int {
	t.Helper()
	n := 0
	for _, entries := range s.GenerationsByServer(t, crashTokens) {
		n += len(entries)
	}
	return n
}

// TestCrashingRequestWithDeadEngines repeats the crashing request while crashed engines stay down.
// They report no new incarnation, so only refused connections reveal the crash. Two engines are
// lost; the third keeps serving all other requests.
func TestCrashingRequestWithDeadEngines(t *testing.T) {
	s := start(t, system.Options{
		TimeScale:  2,
		EngineArgs: []string{"--poison-marker", crashMarker, "--crash", "exit", "--cold-millis", "0"},
	})
	// A proxy accepts connections for a dead process, so the instances use the engines' own
	// addresses.
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
		st, err := c.Generate(context.Background(), t, s.Instances[i%len(s.Instances)].Caller, "flight-briefing", crashMarker, maxOutputTokens)
		require.NoError(t, err)
		require.NotNil(t, st.Failure, "a crashing request has no answer")
		if st.Failure.Code == answer.Code(permit.ReasonSuspect) {
			refusals++
		} else {
			refusals = 0
			<-pace.C
		}
	}
	exited := 0
	for _, n := range engines {
		if n.Process.Exited() {
			exited++
		}
	}
	require.Equal(t, 2, exited, "engines crashed by one request")
	again, err := s.Caller("huye-gliders").Generate(context.Background(), t, s.Instances[0].Caller, "flight-briefing", system.Prompt(120), 20)
	require.NoError(t, err)
	require.NoError(t, again.Read(0), "%v", again.Failure)
	system.RequireCompleteStream(t, again.Tokens)
	again.Close()
}
