package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each case guards against an instance that refuses everything for good, because it never releases the memory of
// failures that it kept in case no other server answers.
func TestKeptFailuresReleaseTheirMemory(t *testing.T) {
	const requests, failureBytes = 20, 6 << 10
	fail := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_ = http.NewResponseController(w).Flush()
		_, _ = w.Write(make([]byte, failureBytes))
	}
	for name, second := range map[string]func(w http.ResponseWriter, r *http.Request){
		"another server answers": respondWith(http.StatusOK),
		"all fail":               fail,
		"the other one refuses":  refuseRequest,
		"the caller leaves":      func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			attempts := &atomic.Int64{}
			b := &backend{handle: func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if attempts.Add(1)%2 == 1 {
					fail(w, r)
					return
				}
				second(w, r)
			}}
			f := startFixture(t, map[string]http.Handler{"desk-1": b, "desk-2": b})
			for range requests {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				f.sendUntil(ctx, "/read/1", "")
				cancel()
			}
			require.Greater(t, attempts.Load(), int64(requests))
			require.Eventually(t, func() bool { return f.memory.held.Load() == 0 }, testTimeout, 10*time.Millisecond, "%d bytes held", f.memory.held.Load())
		})
	}
}
