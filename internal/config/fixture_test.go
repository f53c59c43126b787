package config_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	testMax = 30 * time.Second
	tick    = 5 * time.Millisecond
	maxAge  = 3 * time.Second
)

// testPlatform is a platform stand-in whose calls a test can intercept.
type testPlatform struct {
	*httptest.Server
	handler   atomic.Pointer[platform.Handler]
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request, next http.Handler)]
}

func newTestPlatform(t *testing.T) *testPlatform {
	b := &testPlatform{}
	b.handler.Store(platform.NewHandler(platform.Options{}))
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f := b.intercept.Load(); f != nil {
			(*f)(w, r, b.handler.Load())
			return
		}
		b.handler.Load().ServeHTTP(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

// onHead intercepts the writes of the head.
func (b *testPlatform) onHead(f func(w http.ResponseWriter, r *http.Request, next http.Handler)) {
	g := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if r.Method == http.MethodPut && r.URL.Path == "/objects/config/head" {
			f(w, r, next)
			return
		}
		next.ServeHTTP(w, r)
	}
	b.intercept.Store(&g)
}

func (b *testPlatform) control(t *testing.T, path, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, b.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := b.Server.Client().Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func (b *testPlatform) client(t *testing.T) *objectapi.Client {
	c := objectapi.NewClient(b.URL, objectapi.Options{ReadsPerSecond: 1e6, ReadBurst: 1e6, Timeout: testMax})
	t.Cleanup(c.Close)
	return c
}

// follow runs a store that follows b until the test ends.
func follow(t *testing.T, b *testPlatform, onVersion func(int64)) *config.Store {
	s := config.NewStore(config.StoreOptions{Objects: b.client(t), WatchWait: 50 * time.Millisecond, OnVersion: onVersion})
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// twoZones declares two availability zones, one of them drained, and n backend servers in zone a.
// Names are in the order of [config.Store.Snapshot].
func twoZones(n int, drainA bool) pollenspindle.Config {
	a, b := pollenspindle.ZoneInService, pollenspindle.ZoneTakenOut
	if drainA {
		a, b = b, a
	}
	cfg := pollenspindle.Config{
		Deployment: "inyange",
		Zones:      []pollenspindle.Zone{{Name: "a", Region: "kigali", State: a}, {Name: "b", Region: "kigali", State: b}},
		Services:   []pollenspindle.Service{{Name: "briefing", Kind: pollenspindle.ServiceGeneration}},
		Workspaces: []pollenspindle.Workspace{{Name: "club", Weight: 1, Class: pollenspindle.ClassInteractive}},
	}
	for i := range n {
		cfg.Servers = append(cfg.Servers, pollenspindle.Server{
			Name: fmt.Sprintf("engine-%04d", i), Service: "briefing", Zone: "a",
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), State: pollenspindle.ServerInService,
			Models: []string{"glide-7b", "glide-13b"}, ColdLimit: 2, WarmLimit: 32, MemoryTokens: 160000,
			Fencing: pollenspindle.FencingChecked,
		})
	}
	return cfg
}

func change(cfg pollenspindle.Config, base int64, author string) config.Change {
	return config.Change{Config: cfg, BaseVersion: base, Author: author, Summary: "by " + author, At: time.Unix(1, 0)}
}
