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

// emptyConfig is an empty configuration.
type emptyConfig struct{ Config }

func (emptyConfig) Snapshot() *config.Snapshot {
	return config.NewSnapshot(0, config.NewStore(config.StoreOptions{}).Snapshot().Config)
}

// newMemberInRoster returns the first of n instances, which have adopted epoch 5.
func newMemberInRoster(t *testing.T, now time.Time, n int) *Member {
	t.Helper()
	var all []roster.Instance
	for i := range n {
		all = append(all, roster.Instance{ID: fmt.Sprintf("entry-%03d", i), PeerAddress: fmt.Sprintf("10.0.0.%d:9080", i)})
	}
	key, err := peer.NewKey("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	require.NoError(t, err)
	m, err := New(Options{
		Self: all[0], Timing: roster.Timing{LeaseDuration: 3 * time.Second, PermitLifetime: 2 * time.Second}, Config: emptyConfig{},
		Peers: peer.NewPool(all[0].ID, key, tally.NoopScope), Heartbeat: 500 * time.Millisecond,
		Log: zerolog.Nop(), Metrics: tally.NoopScope, Seed: 1,
	})
	require.NoError(t, err)
	t.Cleanup(m.senders.Release)
	m.lease.Adopt(now, roster.New(5, roster.Object{Number: 1, Instances: all}))
	return m
}

// Another region fails: its 150 instances leave the roster, but the list still has them, and
// heartbeats to them end by timeout. The heartbeats that leases depend on must still go out in each
// round, as non-members may use only half of the capacity. Within ten rounds every non-member must
// get a heartbeat.
func TestUnreachableNonMembersDoNotBlockLeaseRenewal(t *testing.T) {
	const members, dead = 200, 150
	now := time.Unix(1_000_000, 0)
	m := newMemberInRoster(t, now, members)
	for i := range dead {
		m.listed = append(m.listed, roster.ListedInstance{ID: fmt.Sprintf("dead-%03d", i), PeerAddress: fmt.Sprintf("10.0.1.%d:9080", i)})
	}
	needed := m.requiredPeers(m.lease.Roster())
	require.NotEmpty(t, needed)

	contacted := map[string]bool{}
	inFlight := map[string]int{}
	for round := range 10 {
		now = now.Add(500 * time.Millisecond)
		// A heartbeat to a dead instance takes two rounds until its timeout; members answer at
		// once.
		for id, sent := range inFlight {
			if round-sent >= 2 {
				m.peerStates[id].inFlight = false
				delete(inFlight, id)
			}
		}
		sent := map[string]bool{}
		for _, in := range m.heartbeatTargets(now, round) {
			sent[in.ID] = true
			if _, member := m.lease.Roster().Find(in.ID); member {
				m.peerStates[in.ID].inFlight = false
				m.peerStates[in.ID].epoch = 5
				continue
			}
			contacted[in.ID] = true
			inFlight[in.ID] = round
		}
		require.LessOrEqual(t, len(inFlight), maxInFlight/2)
		for i, in := range needed {
			if (i+round)%roundsPerHeartbeat == 0 {
				require.True(t, sent[in.ID], "round %d: no heartbeat to %s", round, in.ID)
			}
		}
	}
	require.Len(t, contacted, dead)
}
