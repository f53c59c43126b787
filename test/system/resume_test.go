package system_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// TestResumeAfterKill kills the instance that relays a stream; the generation continues on the
// engine. The caller resumes through another instance, which locates the generation by its ID
// alone. Every token must arrive once, in order, from one generation.
func TestResumeAfterKill(t *testing.T) {
	s := system.Start(t, system.Options{})
	c := s.Caller("kigali-flyers")
	st, err := c.Generate(context.Background(), t, s.Instances[0].Caller, "flight-briefing", "briefing for gliders", 300)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st.Status, "%v", st.Failure)
	require.NoError(t, st.Read(10))
	s.Instances[0].Process.Kill()
	for err == nil {
		_, err = st.Next()
	}
	require.ErrorIs(t, err, system.ErrStreamInterrupted)
	last := st.Tokens[len(st.Tokens)-1].Position

	resumed, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, last)
	require.NoError(t, err)
	require.NoError(t, resumed.Read(0))
	require.Nil(t, resumed.Failure)
	system.RequireCompleteStream(t, append(st.Tokens, resumed.Tokens...))
}
