package caller

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A caller marks each of its requests as sampled. Requests above the limit must be served without
// spans; with a limit of zero that applies to all.
func TestLimitOfCallerTraces(t *testing.T) {
	const requests = 5
	tests := map[string]struct{ limit, want int }{
		"none":  {0, 0},
		"two":   {2, 2},
		"plain": {1000, requests},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := tracetest.NewSpanRecorder()
			provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder), sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
			f := startServer(t, testConfig("127.0.0.1:1"), func(o *Options) {
				o.Tracer, o.CallerTracesPerSecond = provider.Tracer("test"), tt.limit
			})
			// The limiter must not refill during the test.
			f.server.traceLimiter.SetLimit(0)
			for i := range requests {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+"/v1/models", nil)
				require.NoError(t, err)
				req.Header.Set("Authorization", "Bearer "+clubToken)
				req.Header.Set("traceparent", fmt.Sprintf("00-%032x-%016x-01", i+1, i+1))
				resp, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
			f.stop()
			require.Len(t, recorder.Ended(), tt.want)
		})
	}
}
