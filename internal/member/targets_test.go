package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/roster"
)

// emptyConfig has nothing in force.
type emptyConfig struct{ Config }

func (emptyConfig) Snapshot() *config.Snapshot {
	return config.NewSnapshot(0, config.NewStore(config.StoreOptions{}).Snapshot().Config)
}

// inRoster returns the first of n instances, which have adopted epoch 5.
func inRoster(t *testing.T, now time.Time, n int) *Member {
	t.Helper()
	var all []roster.Instance
	for i := range n {
		all = append(all, roster.Instance{ID: fmt.Sprintf("entry-%03d", i), PeerAddress: fmt.Sprintf("10.0.0.%d:9080", i)})
	}
	key, err := peer.NewKey("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	require.NoError(t, err)
	m, err := New(Options{
		Self: all[0], Timing: roster.Timing{LeaseDuration: 3 * time.Second, PermitValidity: 2 * time.Second}, Config: emptyConfig{},
		Peers: peer.NewPool(all[0].ID, key, tally.NoopScope), Heartbeat: 500 * time.Millisecond,
		Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	require.NoError(t, err)
	t.Cleanup(m.beats.Release)
	m.lease.Adopt(now, roster.New(5, roster.Object{Number: 1, Instances: all}))
	return m
}

// Callers see no refusal when another region dies. Its 150 instances leave the
// roster while the list, which lags, still names them, and no heartbeat to them
// is answered before its timeout. The heartbeats on which this instance's leases
// rest go out in each round all the same, since strangers may take no more than
// half of the places; and within ten rounds every stranger gets its turn, so
// that a live one among them is found.
func TestDeadStrangersDoNotKeepLeasesFromBeingRenewed(t *testing.T) {
	const members, dead = 200, 150
	now := time.Unix(1_000_000, 0)
	m := inRoster(t, now, members)
	for i := range dead {
		m.listed = append(m.listed, roster.ListedInstance{ID: fmt.Sprintf("dead-%03d", i), PeerAddress: fmt.Sprintf("10.0.1.%d:9080", i)})
	}
	needed := m.needed(m.lease.Roster())
	require.NotEmpty(t, needed)

	greeted := map[string]bool{}
	inFlight := map[string]int{}
	for round := range 10 {
		now = now.Add(500 * time.Millisecond)
		// Each heartbeat to a dead instance lasts for two rounds; members answer.
		for id, sent := range inFlight {
			if round-sent >= 2 {
				m.known[id].inFlight = false
				delete(inFlight, id)
			}
		}
		sent := map[string]bool{}
		for _, in := range m.targets(now, round) {
			sent[in.ID] = true
			if _, member := m.lease.Roster().Find(in.ID); member {
				m.known[in.ID].inFlight = false
				m.known[in.ID].epoch = 5
				continue
			}
			greeted[in.ID] = true
			inFlight[in.ID] = round
		}
		require.LessOrEqual(t, len(inFlight), maxConcurrent/2)
		for i, in := range needed {
			if (i+round)%everyRounds == 0 {
				require.True(t, sent[in.ID], "round %d: no heartbeat to %s", round, in.ID)
			}
		}
	}
	require.Len(t, greeted, dead)
}
