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

// TestKeysExchanged: callers go on with their streams through the other
// instance while the keys are exchanged, one instance after the other: the new
// ones are accepted, then used, then the old ones are dropped. At each step an
// instance with the change meets one without it; were a key not accepted there,
// the two would not answer each other, and neither would know the other's ids.
// At the end an id made with the old key is unknown.
func TestKeysExchanged(t *testing.T) {
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
	first := begin(t, c, s.Instances[0])
	for _, step := range steps {
		for i, in := range s.Instances {
			other := s.Instances[1-i]
			s.ChangeSettings(t, in, step)
			s.WaitReady(t)
			goOn(t, c, begin(t, c, other), in)
			goOn(t, c, begin(t, c, in), other)
		}
	}
	gone, err := c.Resume(context.Background(), t, s.Instances[0].Caller, first.ID, 1)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, gone.Status)
}

// begin starts a generation through an instance and leaves it in the middle.
func begin(t *testing.T, c *system.Caller, in *system.Instance) *system.Stream {
	t.Helper()
	st, err := c.Generate(context.Background(), t, in.Caller, "flight-briefing", "briefing for gliders", 60)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st.Status, "%v", st.Failure)
	require.NoError(t, st.Read(3))
	st.Close()
	return st
}

// goOn resumes a generation through an instance and reads it to its end.
func goOn(t *testing.T, c *system.Caller, st *system.Stream, in *system.Instance) {
	t.Helper()
	rest, err := c.Resume(context.Background(), t, in.Caller, st.ID, st.Tokens[len(st.Tokens)-1].Position)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, rest.Status, "%v", rest.Failure)
	require.NoError(t, rest.Read(0))
	require.Nil(t, rest.Failure)
	system.RequireCompleteStream(t, append(st.Tokens, rest.Tokens...))
}
