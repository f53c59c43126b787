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

// The caller sees its stream stand still and, some ten seconds later, an error
// event with the position reached. All links to the engine went silent, the
// open one and each new one, so that probes are accepted and not answered. The
// engine works on; when the links are back, the caller resumes after that
// position and has the whole answer of the one generation.
func engineSilent(t *testing.T, s *system.System) {
	const prompt = 130
	c := s.Caller("kigali-flyers")
	st := begin(t, c, s.Instances[0], prompt, 10)
	server, _ := place(t, s, prompt)
	proxy := s.Servers[server].Proxy
	proxy.SetMode(faultproxy.Silent)
	proxy.SilenceOpen()
	require.NoError(t, st.Read(0))
	proxy.SetMode(faultproxy.Pass)
	requirePrefix(t, st.Tokens)
	require.NotNil(t, st.Failure)
	require.Equal(t, answer.CodeBackendLost, st.Failure.Code)
	require.Equal(t, answer.OutcomeRan, st.Failure.Outcome)
	require.Equal(t, int64(len(st.Tokens)), st.Failure.Position)

	rest, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, st.Failure.Position)
	require.NoError(t, err)
	defer rest.Close()
	require.Equal(t, http.StatusOK, rest.Status, "%v", rest.Failure)
	require.NoError(t, rest.Read(0))
	require.Nil(t, rest.Failure)
	system.RequireCompleteStream(t, append(append([]system.Token(nil), st.Tokens...), rest.Tokens...))
	place(t, s, prompt)
}
