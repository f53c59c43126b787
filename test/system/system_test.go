package system_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// TestResumeAfterKill: the caller sees its stream break off and goes on
// through another instance. The instance that relayed the stream is killed
// with -9; the generation runs on in the engine, and the id alone tells any
// other instance where. Every token arrives once, in order, from one
// generation.
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

	rest, err := c.Resume(context.Background(), t, s.Instances[1].Caller, st.ID, last)
	require.NoError(t, err)
	require.NoError(t, rest.Read(0))
	require.Nil(t, rest.Failure)
	system.RequireCompleteStream(t, append(st.Tokens, rest.Tokens...))
}
