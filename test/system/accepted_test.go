package system_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/test/system"
)

// TestAcceptedChangeWithLostAnswers: an operator's change is accepted by the
// platform, and the answer of the accepting write is lost, or that of the write
// before it, for one try or several. The operator is told that it is accepted,
// and it is so once: after a lost answer the instance looks whose change is
// there. Told of an error, the operator would change something again.
func TestAcceptedChangeWithLostAnswers(t *testing.T) {
	s := system.Start(t, system.Options{})
	ops := s.OperatorClient(t, s.Instances[1])
	for i := range 8 {
		// A change is two writes: its record, and the head that accepts it.
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
