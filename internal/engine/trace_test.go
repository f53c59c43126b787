package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"pollenspindle.example/pollenspindle/internal/engine"
)

// The engine's own spans must be children of the span of the start or of the resume.
func TestEngineGetsTheSpan(t *testing.T) {
	got := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("traceparent")
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	c := engine.NewClient(engine.Options{})
	defer c.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tracer := sdktrace.NewTracerProvider().Tracer("test")
	calls := map[string]func(ctx context.Context) (*engine.Stream, error){
		"start": func(ctx context.Context) (*engine.Stream, error) {
			return c.Start(ctx, address, engine.Request{ID: "r1", Body: []byte("{}")})
		},
		"resume": func(ctx context.Context) (*engine.Stream, error) { return c.Resume(ctx, address, "r1", 1, true) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			ctx, span := tracer.Start(t.Context(), name)
			defer span.End()
			s, err := call(ctx)
			require.NoError(t, err)
			defer s.Close()
			sc := span.SpanContext()
			require.Equal(t, "00-"+sc.TraceID().String()+"-"+sc.SpanID().String()+"-01", <-got)
		})
	}
}
