package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// startInstance serves the handlers on one address and returns it.
func startInstance(t *testing.T, handlers map[string]http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	for pattern, handler := range handlers {
		mux.HandleFunc(pattern, handler)
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// listHandler responds with a list of instances in the given order.
func listHandler(addresses ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		var parts []string
		for _, a := range addresses {
			parts = append(parts, fmt.Sprintf(`{"id":"i","address":%q,"zone":"z"}`, a))
		}
		fmt.Fprintf(w, `{"instances":[%s],"ttlSeconds":60,"epoch":1}`, strings.Join(parts, ","))
	}
}

func writeTokens(w http.ResponseWriter, from, to int64, done bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Generation-Id", "g1")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, tokenEvent(i, i, "a").Data)
	}
	if done {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\ndata: [DONE]\n\n", to+1, finishEvent(to+1).Data)
	}
	w.(http.Flusher).Flush()
}

func doRequest(t *testing.T, seed string, req workload.Request) (measure.Report, *Caller) {
	t.Helper()
	start := time.Now()
	recorder := measure.NewRecorder(measure.Options{StallThreshold: time.Minute}, start)
	c := New(Options{Instances: []string{seed}, RetryTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second}, recorder)
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Do(ctx, start, req)
	return recorder.Report(time.Now()), c
}

var generationRequest = workload.Request{
	Kind: workload.KindBriefing, Workspace: "w", Token: "t",
	Generation: &workload.Generation{Model: "m", Prompt: "p", MaxTokens: 9},
}

// Guards against lost or repeated tokens when a stream is interrupted. The first instance
// refuses once, then closes the connection after three tokens; the caller must resume on the
// second instance from the last event ID it received.
func TestStreamResumesOnAnotherInstance(t *testing.T) {
	var refused atomic.Bool
	second := startInstance(t, map[string]http.HandlerFunc{
		"GET /v1/generations/g1": func(w http.ResponseWriter, r *http.Request) {
			require.Equal(t, "3", r.Header.Get("Last-Event-ID"))
			require.Equal(t, "Bearer t", r.Header.Get("Authorization"))
			writeTokens(w, 4, 6, true)
		},
	})
	first := startInstance(t, map[string]http.HandlerFunc{
		"POST /v1/chat/completions": func(w http.ResponseWriter, _ *http.Request) {
			if !refused.Swap(true) {
				w.WriteHeader(http.StatusTooManyRequests)
				_, _ = io.WriteString(w, `{"error":{"code":"overloaded","outcome":"notRun","retryAfterMs":1}}`)
				return
			}
			writeTokens(w, 1, 3, false)
			panic(http.ErrAbortHandler)
		},
	})
	seed := startInstance(t, map[string]http.HandlerFunc{"GET /v1/instances": listHandler(first, second)})
	report, _ := doRequest(t, seed, generationRequest)
	require.Equal(t, int64(1), report.Completed, report.Codes)
	require.Equal(t, int64(6), report.Tokens)
	require.Equal(t, []int64{1, 1, 0}, []int64{report.Resumes, report.Refusals, report.Faults.Total()})
}

// A call that may have run must not count as "not run" because a later attempt was refused: the
// outcome is compared with the ledgers of the services.
func TestCallOutcomeStaysUnknownAfterRefusal(t *testing.T) {
	tests := map[string]struct {
		answers []string
		outcome ReportedOutcome
	}{
		"done":                          {answers: []string{"ok"}, outcome: ReportedDone},
		"refused, then done":            {answers: []string{"notRun", "ok"}, outcome: ReportedDone},
		"connection lost, then done":    {answers: []string{"cut", "ok"}, outcome: ReportedDone},
		"connection lost, then refused": {answers: []string{"cut", "giveUp"}, outcome: ReportedUnknown},
		"always refused":                {answers: []string{"giveUp"}, outcome: ReportedNotRun},
		"unknown, then refused":         {answers: []string{"unknown", "giveUp"}, outcome: ReportedUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var tries atomic.Int64
			address := startInstance(t, map[string]http.HandlerFunc{
				"POST /v1/services/orders/confirmations": func(w http.ResponseWriter, r *http.Request) {
					require.Equal(t, "k1", r.Header.Get("Idempotency-Key"))
					switch tt.answers[tries.Add(1)-1] {
					case "ok":
					case "cut":
						panic(http.ErrAbortHandler)
					case "unknown":
						w.WriteHeader(http.StatusBadGateway)
						_, _ = io.WriteString(w, `{"error":{"code":"backendLost","outcome":"unknown"}}`)
					case "notRun":
						w.WriteHeader(http.StatusServiceUnavailable)
						_, _ = io.WriteString(w, `{"error":{"code":"overloaded","outcome":"notRun","retryAfterMs":1}}`)
					case "giveUp":
						w.WriteHeader(http.StatusServiceUnavailable)
						_, _ = io.WriteString(w, `{"error":{"code":"overloaded","outcome":"notRun","retryAfterMs":600000}}`)
					}
				},
			})
			seed := startInstance(t, map[string]http.HandlerFunc{"GET /v1/instances": listHandler(address)})
			_, c := doRequest(t, seed, workload.Request{
				Kind: workload.KindConfirmation, Workspace: "w", Token: "t",
				Call: &workload.Call{Method: http.MethodPost, Path: "/v1/services/orders/confirmations", IdempotencyKey: "k1", Body: "{}"},
			})
			require.Equal(t, map[string]ReportedOutcome{"k1": tt.outcome}, c.ReportedOutcomes())
			require.Equal(t, int64(len(tt.answers)), tries.Load())
		})
	}
}
