package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func answersOK() *backend {
	return &backend{how: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }}
}

// Guards against refusing callers that return together after a restart of all, in the
// moments before the configuration is there.
func TestRequestWaitsForTheStart(t *testing.T) {
	b := answersOK()
	f := startUnknown(t, map[string]http.Handler{"desk-1": b})
	time.AfterFunc(50*time.Millisecond, f.learn)
	require.Equal(t, http.StatusOK, f.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, 1, b.ran())
}

func TestRequestDoesNotWaitForLong(t *testing.T) {
	tests := map[string]func(f *fixture){
		"nothing comes":                 func(*fixture) {},
		"the platform is away":          func(f *fixture) { f.state.RecordPlatformFailure(f.clock.now()) },
		"the instance started long ago": func(f *fixture) { f.clock.forward(time.Minute) },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			b := answersOK()
			f := startUnknown(t, map[string]http.Handler{"desk-1": b})
			before(f)
			resp := f.send("GET", "/read/1", "")
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Zero(t, b.ran())
		})
	}
}
