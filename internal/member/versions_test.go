package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An operator waits until 350 instances have version 7, with a query every 100 ms. One instance
// never answers. After 12 queries all others must be known to have the version, no query may use
// more than half of the heartbeat capacity, and instances known to have the version must not be
// asked again.
func TestVersionQueriesReachAllInstances(t *testing.T) {
	const members, version, silent = 350, 7, "entry-100"
	now := time.Unix(1_000_000, 0)
	m := newMemberInRoster(t, now, members)
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		queried := m.outdatedInstances(now, version)
		require.LessOrEqual(t, len(queried), maxInFlight/2)
		for _, in := range queried {
			require.NotEqual(t, m.opts.Self.ID, in.ID)
			require.Less(t, m.peerStates[in.ID].configVersion, int64(version))
			if in.ID != silent {
				m.peerStates[in.ID].inFlight, m.peerStates[in.ID].configVersion = false, version
			}
		}
	}
	require.Empty(t, m.outdatedInstances(now, version), "the heartbeat to the silent instance is still in flight")
	require.Len(t, m.peerStates, members-1)
	for id, p := range m.peerStates {
		require.Equal(t, id != silent, p.configVersion == version, id)
	}
	m.peerStates[silent].inFlight = false
	require.Len(t, m.outdatedInstances(now, version), 1)
	require.Empty(t, m.outdatedInstances(now, 0))
}
