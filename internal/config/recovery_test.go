package config_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

// BenchmarkRecovery measures the calls that 350 instances make while they start together, follow
// the platform, can't reach it for ten seconds and recover: the maximum in one second and, times
// ten, in a tenth of a second.
func BenchmarkRecovery(b *testing.B) {
	const instances = 350
	for b.Loop() {
		m := &meter{handler: platform.NewHandler(platform.Options{})}
		server := httptest.NewServer(m)
		client := objectapi.NewClient(server.URL, objectapi.Options{})
		_, err := config.Apply(b.Context(), client, change(twoZones(200, true), 0, "operator"))
		require.NoError(b, err)
		ctx, cancel := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		var stores []*config.Store
		for range instances {
			s := config.NewStore(config.StoreOptions{Objects: objectapi.NewClient(server.URL, objectapi.Options{})})
			stores = append(stores, s)
			wg.Go(func() { s.Run(ctx) })
		}
		m.measure(b, "start", 3)
		m.measure(b, "steady", 10)
		m.down.Store(true)
		m.measure(b, "down", 10)
		m.down.Store(false)
		m.measure(b, "recovery", 5)
		unconfirmed := 0
		for _, s := range stores {
			if !s.Confirmed(time.Now(), maxAge) {
				unconfirmed++
			}
		}
		b.ReportMetric(float64(unconfirmed), "unconfirmed")
		cancel()
		wg.Wait()
		server.Close()
	}
}

// meter counts the calls to a platform stand-in that may be down.
type meter struct {
	handler http.Handler
	down    atomic.Bool
	calls   atomic.Int64
}

// ServeHTTP implements http.Handler.
func (m *meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.calls.Add(1)
	if m.down.Load() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.handler.ServeHTTP(w, r)
}

func (m *meter) measure(b *testing.B, phase string, seconds int) {
	tenths := time.NewTicker(100 * time.Millisecond)
	defer tenths.Stop()
	var window [10]int64
	var sum, maxSum, peak int64
	m.calls.Store(0)
	for i := range seconds * len(window) {
		<-tenths.C
		n := m.calls.Swap(0)
		sum += n - window[i%len(window)]
		window[i%len(window)] = n
		maxSum, peak = max(maxSum, sum), max(peak, n*10)
	}
	b.ReportMetric(float64(maxSum), phase+"/s")
	b.ReportMetric(float64(peak), phase+"-peak/s")
}
