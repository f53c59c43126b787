package ingress

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitingServer is a plain server that names a limit.
type limitingServer struct {
	limit  string
	status int
	calls  atomic.Int64
}

func (s *limitingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Seal", "seal")
	if s.limit != "" {
		w.Header().Set("T-Limit", s.limit)
	}
	w.WriteHeader(max(s.status, http.StatusOK))
}

// Guards against requests to a server whose limit is used up, and a Retry-After that ends before.
func TestUsedUpLimitRefusesAtOnce(t *testing.T) {
	desk := &limitingServer{limit: "2"}
	f := startFixture(t, map[string]http.Handler{"desk-1": desk})
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	for _, path := range []string{"/book/1", "/read/1"} {
		resp := f.send(http.MethodPost, path, "{}")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, seconds, 0.4)
	}
	require.EqualValues(t, 1, desk.calls.Load())
	f.clock.advance(time.Second)
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	require.EqualValues(t, 2, desk.calls.Load())
}

// Guards against a retry that sends a server more than its limit admits.
func TestRetryKeepsLimit(t *testing.T) {
	limited, failing := &limitingServer{limit: "0.5"}, &limitingServer{status: http.StatusInternalServerError}
	f := startFixture(t, map[string]http.Handler{"desk-1": limited, "desk-2": failing})
	require.Eventually(t, func() bool { f.send(http.MethodPost, "/read/1", "{}"); return limited.calls.Load() > 0 }, testTimeout, time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusInternalServerError, f.send(http.MethodPost, "/read/1", "{}").StatusCode)
	}
	require.EqualValues(t, 1, limited.calls.Load())
}

// Guards against a limit that is kept although the server's responses don't carry it any more.
func TestLimitEndsWithTheServersResponses(t *testing.T) {
	desk := &limitingServer{limit: "1"}
	f := startFixture(t, map[string]http.Handler{"desk-1": desk})
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	desk.limit = ""
	f.clock.advance(2 * time.Second)
	for range 5 {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	}
}

func TestResponsesThatSetNoLimit(t *testing.T) {
	tests := map[string]struct{ field, value, limit string }{
		"of another request": {"T-Id", "id-2", "1"},
		"of another server":  {"T-Instance", "desk-2", "1"},
		"not a number":       {"X-Other", "1", "few"},
		"below zero":         {"X-Other", "1", "-1"},
		"NaN":                {"X-Other", "1", "NaN"},
		"infinite":           {"X-Other", "1", "Inf"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, map[string]http.Handler{"desk-1": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("T-Id", r.Header.Get("T-Id"))
				w.Header().Set("T-Seal", "seal")
				w.Header().Set("T-Limit", tt.limit)
				w.Header().Set(tt.field, tt.value)
			})})
			f.send(http.MethodPost, "/book/1", "{}")
			require.True(t, f.opts.Limits.Admits(f.clock.now(), "desk-1"))
		})
	}
}

// pausingServer is a plain server that refuses requests and asks for a pause while it is set.
type pausingServer struct {
	retryAfter atomic.Value
	calls      atomic.Int64
}

func (s *pausingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	if value, _ := s.retryAfter.Load().(string); value != "" {
		w.Header().Set("T-Not-Run", "shed")
		w.Header().Set("Retry-After", value)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("T-Seal", "seal")
}

// Guards against attempts within a server's pause, and a Retry-After that ends within it.
func TestPauseBindsAllAttempts(t *testing.T) {
	paused := &pausingServer{}
	paused.retryAfter.Store("2.5")
	f := startFixture(t, map[string]http.Handler{"desk-1": paused})
	for _, path := range []string{"/book/1", "/book/1", "/read/1"} {
		resp := f.send(http.MethodPost, path, "{}")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, seconds, 2.3)
	}
	require.EqualValues(t, 1, paused.calls.Load())
	paused.retryAfter.Store("")
	f.clock.advance(2600 * time.Millisecond)
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
}

// Guards against callers that are refused while another server has room.
func TestPauseSendsCallersToOtherServers(t *testing.T) {
	paused, free := &pausingServer{}, &pausingServer{}
	paused.retryAfter.Store("30")
	f := startFixture(t, map[string]http.Handler{"desk-1": paused, "desk-2": free})
	for range 20 {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/book/1", "{}").StatusCode)
	}
	require.LessOrEqual(t, paused.calls.Load(), int64(1))
}
