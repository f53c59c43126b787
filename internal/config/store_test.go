package config_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Readers get updates by watch, by list and from a peer while each change drains one availability
// zone and takes the other back into service, across several bases and deletions of old records. A
// reader that applied only part of a change would have both zones drained, or neither.
func TestChangesAreAtomicForReaders(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	var mu sync.Mutex
	var seen []int64
	followed := follow(t, b, func(v int64) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, v)
	})
	peer := config.NewStore(config.StoreOptions{})
	requireConsistent := func(s *config.Snapshot) {
		if s.Version > 0 {
			require.NotEqual(t, s.Zones["a"].State, s.Zones["b"].State)
		}
	}
	var version int64
	var err error
	const changes = 290
	for i := range changes {
		want := twoZones(1+i%3, i%2 == 0)
		version, err = config.Apply(t.Context(), client, change(want, version, "operator"))
		require.NoError(t, err)
		requireConsistent(followed.Snapshot())
		if i%7 == 0 {
			_, objects, err := followed.ObjectsAfter(peer.Version())
			require.NoError(t, err)
			_, err = peer.Merge(time.Now(), objects)
			require.NoError(t, err)
			requireConsistent(peer.Snapshot())
		}
		if i%29 == 0 {
			started, err := config.Load(t.Context(), client)
			require.NoError(t, err)
			require.Equal(t, version, started.Version)
			require.Equal(t, want, started.Config)
		}
	}
	require.Eventually(t, func() bool { return followed.Version() == version }, testMax, tick)
	_, objects, err := followed.ObjectsAfter(peer.Version())
	require.NoError(t, err)
	_, err = peer.Merge(time.Now(), objects)
	require.NoError(t, err)
	want := twoZones(1+(changes-1)%3, (changes-1)%2 == 0)
	require.Equal(t, want, followed.Snapshot().Config)
	require.Equal(t, want, peer.Snapshot().Config)
	mu.Lock()
	defer mu.Unlock()
	require.IsIncreasing(t, seen)

	_, records, err := client.List(t.Context(), "config")
	require.NoError(t, err)
	require.LessOrEqual(t, len(records), 256+2, "old records are deleted")
	history, err := config.History(t.Context(), client, 3)
	require.NoError(t, err)
	require.Len(t, history, 3)
	require.Equal(t, version, history[0].Version)
	require.EqualValues(t, changes-1, history[1].Number)
	require.Contains(t, history[0].Changed, "zone.a")
}

// Older versions come from a peer that lags and from a platform that lost its store. The instance
// must keep its version and stop confirming it, and an instance that only reached a lagging
// peer must never confirm. Otherwise a drained zone would get new requests again.
func TestVersionNeverDecreases(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	first, err := config.Apply(t.Context(), client, change(twoZones(1, true), 0, "operator"))
	require.NoError(t, err)
	lagging := config.NewStore(config.StoreOptions{})
	s := follow(t, b, nil)
	require.Eventually(t, func() bool { return s.Version() == first }, testMax, tick)
	_, objects, err := s.ObjectsAfter(0)
	require.NoError(t, err)
	_, err = lagging.Merge(time.Now(), objects)
	require.NoError(t, err)
	require.False(t, lagging.Confirmed(time.Now(), time.Hour), "an update from a peer alone doesn't confirm")

	second, err := config.Apply(t.Context(), client, change(twoZones(1, false), first, "operator"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Version() == second && s.Confirmed(time.Now(), maxAge) }, testMax, tick)
	_, stale, err := lagging.ObjectsAfter(0)
	require.NoError(t, err)
	applied, err := s.Merge(time.Now(), stale)
	require.NoError(t, err)
	require.False(t, applied)

	b.handler.Store(platform.NewHandler(platform.Options{}))
	require.Eventually(t, func() bool { return !s.Confirmed(time.Now(), 500*time.Millisecond) }, testMax, tick)
	require.Equal(t, second, s.Version())
	require.Equal(t, twoZones(1, false), s.Snapshot().Config)
}

// The platform doesn't answer watches while a change is accepted and the changes are compacted. The
// instance must stop confirming, and must relist and confirm the new version afterwards.
func TestFollowsAfterOutageAndCompaction(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	first, err := config.Apply(t.Context(), client, change(twoZones(1, true), 0, "operator"))
	require.NoError(t, err)
	s := follow(t, b, nil)
	require.Eventually(t, func() bool { return s.Confirmed(time.Now(), maxAge) }, testMax, tick)

	down := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/watch/") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	}
	b.intercept.Store(&down)
	second, err := config.Apply(t.Context(), client, change(twoZones(1, false), first, "operator"))
	require.NoError(t, err)
	b.control(t, "/control/compact", "{}")
	require.Eventually(t, func() bool { return !s.Confirmed(time.Now(), 500*time.Millisecond) }, testMax, tick)
	require.Equal(t, first, s.Version())
	b.intercept.Store(nil)
	require.Eventually(t, func() bool { return s.Version() == second && s.Confirmed(time.Now(), maxAge) }, testMax, tick)
}

// Guards against taking a waiting watch that the platform cuts off for one that doesn't answer.
func TestCutWatchesConfirm(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	first, err := config.Apply(t.Context(), client, change(twoZones(1, true), 0, "operator"))
	require.NoError(t, err)
	var cuts atomic.Int64
	cut := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if wait := r.URL.Query().Get("waitMillis"); wait == "" || wait == "0" {
			next.ServeHTTP(w, r)
			return
		}
		cuts.Add(1)
		panic(http.ErrAbortHandler)
	}
	b.intercept.Store(&cut)
	var log strings.Builder
	s := config.NewStore(config.StoreOptions{Objects: client, Log: zerolog.New(&log)})
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { s.Run(ctx) })
	require.Eventually(t, func() bool { return s.Version() == first && cuts.Load() > 3 }, testMax, tick)
	second, err := config.Apply(t.Context(), client, change(twoZones(1, false), first, "operator"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Version() == second && s.Confirmed(time.Now(), time.Second) }, testMax, tick)
	cancel()
	following.Wait()
	require.NotContains(t, log.String(), "not confirmed")
}

func TestConfirmedExpires(t *testing.T) {
	b := newTestPlatform(t)
	_, err := config.Apply(t.Context(), b.client(t), change(twoZones(1, true), 0, "operator"))
	require.NoError(t, err)
	from := follow(t, b, nil)
	require.Eventually(t, func() bool { return from.Version() > 0 }, testMax, tick)
	_, objects, err := from.ObjectsAfter(0)
	require.NoError(t, err)

	now := time.Unix(1000, 0)
	s := config.NewStore(config.StoreOptions{})
	s.Confirm(now)
	require.False(t, s.Confirmed(now, maxAge), "there is no version to confirm yet")
	_, err = s.Merge(now, objects)
	require.NoError(t, err)
	s.Confirm(now)
	s.Confirm(now.Add(-time.Minute))
	require.True(t, s.Confirmed(now.Add(maxAge), maxAge))
	require.False(t, s.Confirmed(now.Add(maxAge+1), maxAge))
}

// With 2,000 backend servers one change must take about a kilobyte per instance.
func TestSizeOfOneChange(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	cfg := twoZones(2000, true)
	version, err := config.Apply(t.Context(), client, change(cfg, 0, "operator"))
	require.NoError(t, err)
	started, err := config.Load(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, cfg, started.Config)

	l, _, err := client.List(t.Context(), "config")
	require.NoError(t, err)
	next := twoZones(2000, true)
	next.Servers[7].State = pollenspindle.ServerDraining
	_, err = config.Apply(t.Context(), client, change(next, version, "operator"))
	require.NoError(t, err)
	resp, err := b.Server.Client().Get(fmt.Sprintf("%s/watch/config?after=%d&waitMillis=0", b.URL, l))
	require.NoError(t, err)
	defer resp.Body.Close()
	t.Logf("a watch of one change transfers %d bytes", resp.ContentLength)
	require.Positive(t, resp.ContentLength)
	require.Less(t, resp.ContentLength, int64(1536))
}

func TestDiff(t *testing.T) {
	changes, err := config.Diff(twoZones(2, true), twoZones(1, false))
	require.NoError(t, err)
	require.Equal(t, []config.PartChange{
		{Name: "server.engine-0001", Action: config.PartRemoved},
		{Name: "zone.a", Action: config.PartChanged},
		{Name: "zone.b", Action: config.PartChanged},
	}, changes)
	changes, err = config.Diff(twoZones(1, true), twoZones(2, true))
	require.NoError(t, err)
	require.Equal(t, []config.PartChange{{Name: "server.engine-0001", Action: config.PartAdded}}, changes)
	twice := twoZones(1, true)
	twice.Zones = append(twice.Zones, twice.Zones[0])
	_, err = config.Diff(twoZones(1, true), twice)
	require.ErrorIs(t, err, config.ErrInvalid)
}

// BenchmarkActivate measures the work of one change on each instance: decoding and indexing all
// parts.
func BenchmarkActivate(b *testing.B) {
	for _, n := range []int{200, 2000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			reindex, err := config.Reindexer(twoZones(n, true))
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				reindex()
			}
		})
	}
}
