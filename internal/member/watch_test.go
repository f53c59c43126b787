package member

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

// Guards against taking a waiting watch that the platform cuts off for an outage, in which instances
// send four times as many heartbeats and ask each other for the ages of all.
func TestCutRosterWatchIsNoOutage(t *testing.T) {
	const testMax = 20 * time.Second
	var cuts atomic.Int64
	next := platform.NewHandler(platform.Options{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait := r.URL.Query().Get("waitMillis"); wait != "" && wait != "0" {
			cuts.Add(1)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	}))
	defer server.Close()
	now := time.Now()
	m := newMemberInRoster(t, now, 3)
	client := objectapi.NewClient(server.URL, objectapi.Options{})
	defer client.Close()
	m.opts.Objects = client
	value, err := json.Marshal(roster.Object{Number: 1, Instances: m.lease.Roster().Instances})
	require.NoError(t, err)
	_, err = m.opts.Objects.Create(t.Context(), rosterKind, rosterName, value)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	following.Go(func() { m.followRoster(ctx) })
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		require.False(t, m.platformFailed)
		return cuts.Load() > 5
	}, testMax, time.Millisecond)
	require.Empty(t, m.wake)
}
