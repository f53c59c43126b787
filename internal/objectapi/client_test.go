package objectapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

const (
	kind      = "config"
	shortWait = 20 * time.Millisecond
	testMax   = 20 * time.Second
)

// start serves a platform stand-in and returns a client of it.
func start(t *testing.T) (*objectapi.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(platform.NewHandler(platform.Options{}))
	t.Cleanup(server.Close)
	client := objectapi.NewClient(server.URL, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6, Timeout: testMax})
	t.Cleanup(client.Close)
	return client, server
}

func control(t *testing.T, server *httptest.Server, path, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := server.Client().Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func TestConditionalWrites(t *testing.T) {
	client, _ := start(t)
	ctx := t.Context()
	_, err := client.Get(ctx, kind, "head")
	require.ErrorIs(t, err, objectapi.ErrNotFound)

	first, err := client.Create(ctx, kind, "head", []byte(`{"n":1}`))
	require.NoError(t, err)
	var conflict *objectapi.ConflictError
	_, err = client.Create(ctx, kind, "head", []byte(`{"n":9}`))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, conflict.Current)

	second, err := client.Update(ctx, kind, "head", first.Version, []byte(`{"n":2}`))
	require.NoError(t, err)
	require.Greater(t, second.Version, first.Version)
	_, err = client.Update(ctx, kind, "head", first.Version, []byte(`{"n":9}`))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, second, conflict.Current)
	require.ErrorAs(t, client.Delete(ctx, kind, "head", first.Version), &conflict)

	require.NoError(t, client.Delete(ctx, kind, "head", second.Version))
	_, err = client.Update(ctx, kind, "head", second.Version, []byte(`{}`))
	require.ErrorAs(t, err, &conflict)
	require.Zero(t, conflict.Current.Version)

	large := []byte(`"` + strings.Repeat("a", 1<<20) + `"`)
	_, err = client.Create(ctx, kind, "large", large)
	require.ErrorIs(t, err, objectapi.ErrRefused)
}

func TestListReadsAllPages(t *testing.T) {
	client, _ := start(t)
	const n = 1203
	for i := range n {
		_, err := client.Create(t.Context(), kind, fmt.Sprintf("server.%04d", i), []byte(`{}`))
		require.NoError(t, err)
	}
	_, err := client.Create(t.Context(), "roster", "roster", []byte(`{}`))
	require.NoError(t, err)
	version, objects, err := client.List(t.Context(), kind)
	require.NoError(t, err)
	require.EqualValues(t, n+1, version)
	require.Len(t, objects, n)
	require.Equal(t, "server.1202", objects[n-1].Name)
}

func TestWatch(t *testing.T) {
	client, server := start(t)
	ctx := t.Context()
	o, err := client.Create(ctx, kind, "zone.a", []byte(`{}`))
	require.NoError(t, err)

	unchanged, err := client.Watch(ctx, kind, o.Version, shortWait)
	require.NoError(t, err)
	require.Empty(t, unchanged.Events)

	got := make(chan objectapi.Changes, 1)
	go func() {
		changes, _ := client.Watch(ctx, kind, o.Version, testMax)
		got <- changes
	}()
	require.Eventually(t, func() bool { return waiting(t, server) == 1 }, testMax, time.Millisecond)
	_, err = client.Create(ctx, "roster", "roster", []byte(`{}`))
	require.NoError(t, err)
	require.NoError(t, client.Delete(ctx, kind, "zone.a", o.Version))
	changes := <-got
	require.Len(t, changes.Events, 1)
	require.Equal(t, objectapi.EventDelete, changes.Events[0].Type)
	require.Equal(t, "zone.a", changes.Events[0].Object.Name)

	control(t, server, "/control/compact", "{}")
	_, err = client.Watch(ctx, kind, o.Version, shortWait)
	require.ErrorIs(t, err, objectapi.ErrCompacted)
	// A watch from a version after the store's, as after the loss of a store, must not wait.
	_, err = client.Watch(ctx, kind, 1000, shortWait)
	require.ErrorIs(t, err, objectapi.ErrCompacted)
}

func waiting(t *testing.T, server *httptest.Server) int64 {
	return stats(t, server).WaitingWatches
}

func stats(t *testing.T, server *httptest.Server) platform.Stats {
	resp, err := server.Client().Get(server.URL + "/control/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var s platform.Stats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// The platform refuses one write while it is down, loses the response to the next after its effect,
// and can't be connected to for the third. Only the second may have taken effect, so only that one
// has an unknown outcome; as "unavailable" it would be reported to callers as "not run".
func TestWriteFailureReportsPossibleEffect(t *testing.T) {
	client, server := start(t)
	ctx := t.Context()

	control(t, server, "/control/faults", `{"down":true}`)
	_, err := client.Create(ctx, kind, "a", []byte(`{}`))
	require.ErrorIs(t, err, objectapi.ErrUnavailable)

	control(t, server, "/control/faults", `{"loseAnswers":1}`)
	_, err = client.Create(ctx, kind, "b", []byte(`{}`))
	require.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
	var conflict *objectapi.ConflictError
	_, err = client.Create(ctx, kind, "b", []byte(`{}`))
	require.ErrorAs(t, err, &conflict, "the first write took effect")

	_, err = client.Create(ctx, kind, "a", []byte(`{}`))
	require.NoError(t, err, "the refused write took no effect")

	unreachable := objectapi.NewClient("http://127.0.0.1:1", objectapi.Options{})
	_, err = unreachable.Create(ctx, kind, "c", []byte(`{}`))
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// A middlebox loses the state of the pooled connections: they go silent for good, while new ones
// work. Only one call may time out. Unless the client closes all idle connections, each of them
// causes a timeout.
func TestSilentConnectionsAreClosed(t *testing.T) {
	type connNumber struct{}
	var conns, silentUpTo atomic.Int64
	handler := platform.NewHandler(platform.Options{})
	end := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connNumber{}).(int64) <= silentUpTo.Load() {
			<-end
			return
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, conns.Add(1))
	}
	server.Start()
	defer server.Close()
	defer close(end)

	client := objectapi.NewClient(server.URL, objectapi.Options{Timeout: time.Second})
	defer client.Close()
	_, err := client.Create(t.Context(), kind, "a", []byte(`{}`))
	require.NoError(t, err)
	silentUpTo.Store(conns.Load())
	_, err = client.Create(t.Context(), kind, "b", []byte(`{}`))
	require.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
	_, err = client.Create(t.Context(), kind, "c", []byte(`{}`))
	require.NoError(t, err)
}

// The platform refuses reads with a Retry-After because its rate limit is exceeded, and each
// further read would count towards the limit. The client must fail reads without sending them for a
// while, and must still send writes, which have waiting callers.
func TestReadsAreBlockedAfterRefusal(t *testing.T) {
	client, server := start(t)
	control(t, server, "/control/faults", `{"down":true}`)
	for range 50 {
		_, err := client.Get(t.Context(), kind, "head")
		require.ErrorIs(t, err, objectapi.ErrUnavailable)
	}
	require.Less(t, stats(t, server).Calls["GET "+kind], int64(10))
	control(t, server, "/control/faults", `{}`)
	_, err := client.Create(t.Context(), kind, "head", []byte(`{}`))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := client.Get(t.Context(), kind, "head")
		return err == nil
	}, testMax, time.Millisecond)
}

// Guards against taking a waiting watch that is cut off for a platform that doesn't answer, and
// against taking other calls without an answer for such a watch.
func TestCutOffWatch(t *testing.T) {
	cut := func(begin string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if begin != "" {
				_, _ = io.WriteString(w, begin)
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		}
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	watch := func(wait time.Duration) func(c *objectapi.Client) error {
		return func(c *objectapi.Client) error {
			_, err := c.Watch(objectapi.WithTimeout(t.Context(), 100*time.Millisecond), kind, 1, wait)
			return err
		}
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		call    func(c *objectapi.Client) error
		want    error
	}{
		"closed":               {cut(""), watch(testMax), objectapi.ErrWatchEnded},
		"closed in the middle": {cut(`{"events":[`), watch(testMax), objectapi.ErrWatchEnded},
		"ended without a body": {status(http.StatusOK), watch(testMax), objectapi.ErrWatchEnded},
		"closed, no wait":      {cut(""), watch(0), objectapi.ErrUnavailable},
		"refused":              {status(http.StatusServiceUnavailable), watch(testMax), objectapi.ErrUnavailable},
		"compacted":            {status(http.StatusGone), watch(testMax), objectapi.ErrCompacted},
		"no answer":            {hang, watch(time.Millisecond), objectapi.ErrUnavailable},
		"list closed":          {cut(""), func(c *objectapi.Client) error { _, _, err := c.List(t.Context(), kind); return err }, objectapi.ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			var reported error
			client := objectapi.NewClient(server.URL, objectapi.Options{OnCall: func(c objectapi.Call) { reported = c.Err }})
			defer client.Close()
			err := tt.call(client)
			require.ErrorIs(t, err, tt.want)
			for _, kind := range []error{objectapi.ErrWatchEnded, objectapi.ErrUnavailable} {
				require.Equal(t, errors.Is(tt.want, kind), errors.Is(err, kind))
			}
			require.Equal(t, errors.Is(tt.want, objectapi.ErrWatchEnded), errors.Is(reported, objectapi.ErrWatchEnded))
		})
	}
}

// Guards against a platform that is called in a loop because it cuts off watches at once, and against
// waiting for long though watches are cut off.
func TestCutWatches(t *testing.T) {
	c := objectapi.CutWatches{Backoff: objectapi.Backoff{Min: 100 * time.Millisecond, Max: time.Second}}
	require.Equal(t, time.Minute, c.Wait(time.Minute))
	var total time.Duration
	for range 20 {
		total += c.Cut(0)
		require.Zero(t, c.Wait(time.Minute))
		c.Ended()
		require.Equal(t, time.Minute, c.Wait(time.Minute))
	}
	require.Greater(t, total, 2*time.Second)
	require.Zero(t, c.Cut(time.Second), "a watch that waited is repeated at once")
	c.Ended()
	c.Ended()
	require.LessOrEqual(t, c.Cut(0), 100*time.Millisecond)
}
