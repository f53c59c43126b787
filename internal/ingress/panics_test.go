package ingress

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a request whose handler panics and that ends the process with all others.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	broken := &atomic.Bool{}
	breakIf := func() {
		if broken.Load() {
			panic(errors.New("broken"))
		}
	}
	tests := map[string]struct {
		method, path string
		option       func(o *Options)
		// status is the status of the response, 0 for one that has begun and is cut.
		status int
	}{
		"before it is sent": {"POST", "/book/1", func(o *Options) { o.Instances = func() int { breakIf(); return 1 } }, http.StatusBadGateway},
		"stream has begun": {"POST", "/plan/1", func(o *Options) {
			o.Log = o.Log.Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
				if message == "stream ended" {
					breakIf()
				}
			}))
		}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			logged := &logs{}
			defer broken.Store(false)
			f := startFixture(t, map[string]http.Handler{
				"desk-1": &backend{handle: respondWith(http.StatusOK)}, "llm-1": &backend{handle: sendEvents(1, 2, true)},
			}, func(o *Options) { o.Log = zerolog.New(logged); tt.option(o) })
			broken.Store(true)
			resp := f.send(tt.method, tt.path, "{}", "T-Id", "id-7")
			_, err := io.ReadAll(resp.Body)
			if tt.status == 0 {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			} else {
				require.NoError(t, err)
				require.Equal(t, tt.status, resp.StatusCode)
				require.Empty(t, resp.Header.Get("T-Seal"))
			}
			broken.Store(false)
			require.Equal(t, http.StatusOK, f.send("POST", "/book/1", "{}").StatusCode)
			require.Eventually(t, func() bool { return f.Running() == 0 }, testTimeout, time.Millisecond)
			logged.mu.Lock()
			defer logged.mu.Unlock()
			require.True(t, strings.Contains(logged.text.String(), `"request":"id-7","panic":`), logged.text.String())
		})
	}
}
