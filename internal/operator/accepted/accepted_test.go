package accepted_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operator/accepted"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

var at = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// fakeFleet returns fixed versions or an error.
type fakeFleet struct {
	versions []int64
	err      error
}

func (f fakeFleet) ConfigVersions(context.Context, int64) ([]int64, error) { return f.versions, f.err }

func testConfig(state pollenspindle.ZoneState) pollenspindle.Config {
	cfg := pollenspindle.New("inyange")
	zone := cfg.AddZone("kigali-a", "kigali")
	plain := cfg.AddPlainService("club-desk", 0)
	plain.Idempotent("GET", "/rosters")
	plain.AddServer("desk-1", zone, "127.0.0.1:9002", 2, 32)
	cfg.AddWorkspace(pollenspindle.Workspace{Name: "huye", TokenSHA256: []string{pollenspindle.Token("t")}})
	cfg.Zones[0].State = state
	return cfg.WithDefaults()
}

// An operator applies a change that is based on a version before another operator's change: it must
// fail with a conflict that lists that change. Then the platform goes down: the instance must still
// return its own copy, and a change must fail as not accepted.
func TestConflictAndPlatformOutage(t *testing.T) {
	server := httptest.NewServer(platform.NewHandler(platform.Options{}))
	defer server.Close()
	objects := objectapi.NewClient(server.URL, objectapi.Options{Timeout: time.Second})
	defer objects.Close()
	store := config.NewStore(config.StoreOptions{Objects: objects})
	cfg := &accepted.Config{Store: store, Objects: objects}

	first, err := cfg.Apply(t.Context(), at, operator.Change{Author: "ines", Summary: "first", Config: testConfig(pollenspindle.ZoneInService)})
	require.NoError(t, err)
	second, err := cfg.Apply(t.Context(), at, operator.Change{BaseVersion: first, Author: "jean", Summary: "power work", Config: testConfig(pollenspindle.ZoneTakenOut)})
	require.NoError(t, err)
	require.Greater(t, second, first)

	_, err = cfg.Apply(t.Context(), at, operator.Change{BaseVersion: first, Author: "ines", Config: testConfig(pollenspindle.ZoneInService)})
	var conflict *operator.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []int64{first, second}, []int64{conflict.Base, conflict.Current})
	require.Len(t, conflict.Changes, 1)
	require.Equal(t, "jean", conflict.Changes[0].Author)
	require.Equal(t, []string{"zones/kigali-a"}, conflict.Changes[0].Changed)

	require.Zero(t, store.Version(), "the store is not updated yet")
	current, err := cfg.Current(t.Context())
	require.NoError(t, err)
	require.Equal(t, second, current.Version)
	require.Equal(t, pollenspindle.ZoneTakenOut, current.Config.Zones[0].State)
	history, err := cfg.History(t.Context(), 10)
	require.NoError(t, err)
	require.Len(t, history, 2)

	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); store.Run(ctx) }()
	require.Eventually(t, func() bool { return store.Version() == second }, 20*time.Second, 5*time.Millisecond)
	stop()
	<-done
	server.Close()
	current, err = cfg.Current(t.Context())
	require.NoError(t, err)
	require.Equal(t, second, current.Version)
	_, err = cfg.Apply(t.Context(), at, operator.Change{BaseVersion: second, Author: "ines", Config: testConfig(pollenspindle.ZoneInService)})
	require.ErrorIs(t, err, operator.ErrUnavailable)
	_, err = cfg.History(t.Context(), 10)
	require.ErrorIs(t, err, operator.ErrUnavailable)
}

func TestInForceCountsInstancesWithVersionOrNewer(t *testing.T) {
	cfg := &accepted.Config{Fleet: fakeFleet{versions: []int64{7, 6, 9}}}
	inForce, total, err := cfg.InForce(t.Context(), 7)
	require.NoError(t, err)
	require.Equal(t, 2, inForce)
	require.Equal(t, 3, total)

	cfg.Fleet = fakeFleet{err: errors.New("no roster")}
	_, _, err = cfg.InForce(t.Context(), 7)
	require.ErrorIs(t, err, operator.ErrUnavailable)
}
