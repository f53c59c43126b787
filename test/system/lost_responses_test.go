package system_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestApplyWithLostPlatformResponses loses the platform's responses to the writes of an accepted
// configuration change: to the accepting write or the write before it, once or several times. The
// operator must see the change accepted, exactly once: after a lost response the instance reads
// back whose change is stored. An error would make the operator apply the change again.
func TestApplyWithLostPlatformResponses(t *testing.T) {
	s := system.Start(t, system.Options{})
	ops := s.OperatorClient(t, s.Instances[1])
	for i := range 8 {
		// A change consists of two writes: its record, and the head that accepts it.
		lost, spared := 1+i/2, i%2
		base, err := ops.Configuration(t.Context())
		require.NoError(t, err)
		s.Control(t, s.Platform.Address, http.MethodPut, "/control/faults",
			map[string]int{"loseAnswers": lost, "spareAnswers": spared})
		base.Config.Workspaces[0].Weight = 60 + i
		summary := fmt.Sprintf("%d lost after %d", lost, spared)
		got, err := ops.Apply(t.Context(), operatorapi.ApplyRequest{
			BaseVersion: base.Version, Author: "umutoni", Summary: summary, Config: base.Config,
		})
		require.NoError(t, err, summary)
		require.Greater(t, got.Version, base.Version)
		history, err := ops.History(t.Context(), 2)
		require.NoError(t, err)
		require.Equal(t, summary, history.Changes[0].Summary)
		require.Equal(t, got.Version, history.Changes[0].Version)
		require.NotEqual(t, summary, history.Changes[1].Summary, "accepted twice")
	}
}
