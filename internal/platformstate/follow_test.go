package platformstate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/routes"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

const testTimeout = 20 * time.Second

// faulty is a platform whose watches can hang, lose their history, be cut off or fail.
type faulty struct {
	next      http.Handler
	hanging   atomic.Bool
	compacted atomic.Bool
	down      atomic.Bool
	// cutting cuts off all watches that wait; cuts counts them.
	cutting atomic.Bool
	cuts    atomic.Int64
}

// cutAfter is how long a watch waits until it is cut off.
const cutAfter = 150 * time.Millisecond

func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := strings.HasPrefix(r.URL.Path, "/watch/")
	switch {
	case f.down.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case watch && f.hanging.Load():
		<-r.Context().Done()
	case watch && f.cutting.Load() && r.URL.Query().Get("waitMillis") != "0":
		_ = objectapi.Sleep(r.Context(), cutAfter)
		f.cuts.Add(1)
		panic(http.ErrAbortHandler)
	case watch && f.compacted.CompareAndSwap(true, false):
		w.WriteHeader(http.StatusGone)
	default:
		f.next.ServeHTTP(w, r)
	}
}

type followerFixture struct {
	*faulty
	t        *testing.T
	state    *State
	objects  *objectapi.Client
	follower *Follower
}

func startFollower(t *testing.T) *followerFixture {
	t.Helper()
	f := &followerFixture{faulty: &faulty{next: platform.NewHandler(platform.Options{})}, t: t, state: NewState()}
	server := httptest.NewServer(f.faulty)
	f.objects = objectapi.NewClient(server.URL, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6})
	d := dialect.Dialect{
		Kinds: dialect.Kinds{Configuration: "config", ConfigurationName: "main", Servers: "servers", DrainedZones: "zones"},
		DecodeConfiguration: func(value []byte) (cfg routes.Configuration, err error) {
			return cfg, json.Unmarshal(value, &cfg)
		},
		DecodeServer: func(id string, value []byte) (s dialect.Server, err error) {
			err = json.Unmarshal(value, &s)
			s.ID = id
			return s, err
		},
	}
	f.follower = NewFollower(Options{
		State: f.state, Objects: f.objects, Dialect: d, Log: zerolog.Nop(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; f.objects.Close(); server.Close() })
	return f
}

// put writes an object without the faults.
func (f *followerFixture) put(kind, name, value string) {
	f.t.Helper()
	direct := httptest.NewServer(f.next)
	defer direct.Close()
	c := objectapi.NewClient(direct.URL, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6})
	defer c.Close()
	o, err := c.Get(context.Background(), kind, name)
	if err != nil {
		_, err = c.Create(context.Background(), kind, name, []byte(value))
	} else {
		_, err = c.Update(context.Background(), kind, name, o.Version, []byte(value))
	}
	require.NoError(f.t, err)
}

func (f *followerFixture) eventually(what func() bool) {
	f.t.Helper()
	require.Eventually(f.t, what, testTimeout, 5*time.Millisecond)
}

func (f *followerFixture) inForce(version int64) func() bool {
	return func() bool { table := f.state.Table(); return table != nil && table.Version == version }
}

// Guards against changes that are never applied because a watch hangs on an open
// connection, its history is compacted, or the platform is down.
func TestChangesApplyDespiteFaults(t *testing.T) {
	tests := map[string]struct{ begin, end func(f *faulty) }{
		"none":              {func(*faulty) {}, func(*faulty) {}},
		"hanging watches":   {func(f *faulty) { f.hanging.Store(true) }, func(*faulty) {}},
		"history compacted": {func(f *faulty) { f.compacted.Store(true) }, func(*faulty) {}},
		"watches cut off":   {func(f *faulty) { f.cutting.Store(true) }, func(*faulty) {}},
		"platform down":     {func(f *faulty) { f.down.Store(true) }, func(f *faulty) { f.down.Store(false) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFollower(t)
			f.put("config", "main", `{"Version":1}`)
			f.put("servers", "s1", `{"Service":"llm","Zone":"z1"}`)
			f.put("servers", "s2", `{"Service":"llm","Zone":"z2"}`)
			f.eventually(f.inForce(1))
			f.eventually(func() bool { return len(f.state.Servers("llm")) == 2 })
			tt.begin(f.faulty)
			f.put("config", "main", `{"Version":2}`)
			f.put("servers", "s1", `{"Service":"llm","Zone":"z1","Leaving":true}`)
			f.put("servers", "s3", `"no server"`)
			f.put("zones", "z2", `{}`)
			tt.end(f.faulty)
			f.eventually(f.inForce(2))
			f.eventually(func() bool { return len(f.state.Servers("llm")) == 0 })
			_, listed := f.state.Server("s3")
			require.False(t, listed)
		})
	}
}

// Guards against taking a watch that the platform cuts off for an outage, which delays calls for all
// resources, changes the watchers and tells callers to come back later.
func TestCutWatchIsNoOutage(t *testing.T) {
	f := startFollower(t)
	f.put("servers", "s1", `{"Service":"llm"}`)
	f.eventually(func() bool { return len(f.state.Servers("llm")) == 1 })
	f.cutting.Store(true)
	f.eventually(func() bool {
		require.False(t, f.state.Outage())
		require.False(t, f.follower.PlatformUnreachable())
		require.True(t, f.follower.mayCall(time.Now()))
		return f.cuts.Load() >= 20
	})
	f.down.Store(true)
	f.eventually(f.state.Outage)
}
