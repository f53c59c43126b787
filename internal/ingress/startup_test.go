package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func okBackend() *backend {
	return &backend{handle: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }}
}

// Guards against refusing callers that return together after a restart of all instances, before the
// configuration has arrived.
func TestRequestWaitsForConfiguration(t *testing.T) {
	b := okBackend()
	f := startUnconfigured(t, map[string]http.Handler{"desk-1": b})
	time.AfterFunc(50*time.Millisecond, f.configure)
	require.Equal(t, http.StatusOK, f.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, 1, b.runCount())
}

func TestWaitForConfigurationIsLimited(t *testing.T) {
	tests := map[string]func(f *fixture){
		"no configuration arrives": func(*fixture) {},
		"platform outage":          func(f *fixture) { f.state.RecordPlatformFailure(f.clock.now()) },
		"startup period is over":   func(f *fixture) { f.clock.advance(time.Minute) },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			b := okBackend()
			f := startUnconfigured(t, map[string]http.Handler{"desk-1": b})
			before(f)
			resp := f.send("GET", "/read/1", "")
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Zero(t, b.runCount())
		})
	}
}
