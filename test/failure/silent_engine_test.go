package failure_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/test/faultproxy"
	"pollenspindle.example/pollenspindle/test/system"
)

// testEngineSilent silences all links to the engine, existing and new ones, so that probes are
// accepted and not answered. About ten seconds later the stream must end with an error event at its
// position. The engine keeps running; once the links work, the caller resumes after that position
// and gets the complete answer of the one generation.
func testEngineSilent(t *testing.T, s *system.System) {
	const prompt = 130
	c := s.Caller("kigali-flyers")
	st := startStream(t, c, s.Instances[0], prompt, 10)
	server, _ := requireSingleRun(t, s, prompt)
	proxy := s.Servers[server].Proxy
	proxy.SetMode(faultproxy.Silent)
	proxy.SilenceOpenConnections()
	require.NoError(t, st.Read(0))
	proxy.SetMode(faultproxy.Pass)
	requirePrefix(t, st.Tokens)
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.CodeBackendLost, st.Failure.Code)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)

	resumed, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, st.Failure.Position)
	require.NoError(t, err)
	defer resumed.Close()
	require.Equal(t, http.StatusOK, resumed.Status, "%v", resumed.Failure)
	require.NoError(t, resumed.Read(0))
	require.Nil(t, resumed.Failure)
	system.RequireCompleteStream(t, append(append([]system.Token(nil), st.Tokens...), resumed.Tokens...))
	requireSingleRun(t, s, prompt)
}
