package platform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/standin/platform"
)

// Reads and writes are limited separately, a watch counts as one read, and refused
// calls are counted.
func TestRateLimits(t *testing.T) {
	h := platform.NewHandler(platform.Options{ReadsPerSecond: 1e-6, WritesPerSecond: 1e-6})
	do := func(method, path string) int {
		r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader("{}"))
		r.Header.Set("If-None-Match", "*")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusServiceUnavailable {
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		}
		return w.Code
	}
	require.Equal(t, http.StatusOK, do(http.MethodGet, "/watch/config?after=0&waitMillis=0"))
	require.Equal(t, http.StatusServiceUnavailable, do(http.MethodGet, "/objects/config"))
	require.Equal(t, http.StatusOK, do(http.MethodPut, "/objects/config/head"))
	require.Equal(t, http.StatusServiceUnavailable, do(http.MethodPut, "/objects/config/other"))

	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/control/stats", http.NoBody))
	var stats platform.Stats
	require.NoError(t, json.NewDecoder(w.Body).Decode(&stats))
	require.Equal(t, map[string]int64{"WATCH config": 1, "GET config": 1, "PUT config": 2}, stats.Calls)
	require.EqualValues(t, 2, stats.Refused)
}

func TestListensOnLoopbackOnly(t *testing.T) {
	err := platform.Run(t.Context(), platform.Options{Address: "0.0.0.0:0"})
	require.ErrorIs(t, err, platform.ErrNotLoopback)
}
