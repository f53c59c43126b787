package system_test

import (
	"context"
	"encoding/base64"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestKeyRotation rotates the peer and generation keys one instance at a time while callers
// resume streams through the other instance: the new keys are accepted, then used, then the old
// ones are removed. In each step an instance with the change talks to one without it; if either
// rejected the other's key, peer calls and generation IDs would fail. Finally, an ID made with
// the old key is unknown.
func TestKeyRotation(t *testing.T) {
	s := system.Start(t, system.Options{Instances: 2})
	before, err := settings.Load(s.Instances[0].SettingsFile)
	require.NoError(t, err)
	next := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("n", 32)))
	steps := []func(s *settings.Settings){
		func(s *settings.Settings) {
			s.Accepted.PeerKeys, s.Accepted.GenerationKeys = []string{next}, []string{next}
		},
		func(s *settings.Settings) {
			s.PeerKey, s.GenerationKey = next, next
			s.Accepted.PeerKeys, s.Accepted.GenerationKeys = []string{before.PeerKey}, []string{before.GenerationKey}
		},
		func(s *settings.Settings) { s.Accepted = settings.Accepted{} },
	}
	c := s.Caller("kigali-flyers")
	first := startAndDisconnect(t, c, s.Instances[0])
	for _, step := range steps {
		for i, in := range s.Instances {
			other := s.Instances[1-i]
			s.ChangeSettings(t, in, step)
			s.WaitReady(t)
			resumeToEnd(t, c, startAndDisconnect(t, c, other), in)
			resumeToEnd(t, c, startAndDisconnect(t, c, in), other)
		}
	}
	gone, err := c.Resume(context.Background(), t, s.Instances[0].Caller, first.ID, 1)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, gone.Status)
}

// startAndDisconnect starts a generation through an instance and disconnects after a few tokens.
func startAndDisconnect(t *testing.T, c *system.Caller, in *system.Instance) *system.Stream {
	t.Helper()
	st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", "briefing for gliders", 60)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st.Status, "%v", st.Failure)
	require.NoError(t, st.Read(3))
	st.Close()
	return st
}

// resumeToEnd resumes a generation through an instance and reads it to its end.
func resumeToEnd(t *testing.T, c *system.Caller, st *system.Stream, in *system.Instance) {
	t.Helper()
	resumed, err := c.Resume(context.Background(), t, in.Caller, st.ID, st.Tokens[len(st.Tokens)-1].Position)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resumed.Status, "%v", resumed.Failure)
	require.NoError(t, resumed.Read(0))
	require.Nil(t, resumed.Failure)
	system.RequireCompleteStream(t, append(st.Tokens, resumed.Tokens...))
}
