package caller

import (
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// OpenAI's official client works with only a base URL and a key.
func TestOfficialClient(t *testing.T) {
	f := startServer(t, testConfig(startEngine(t, 100)))
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(clubToken), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "glide-7b", MaxCompletionTokens: openai.Int(30),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("brief me")},
	}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	require.NotEmpty(t, completion.Choices[0].Message.Content)
	require.Positive(t, completion.Usage.CompletionTokens)

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.NotEmpty(t, accumulated.Choices[0].Message.Content)
	require.NotEmpty(t, accumulated.Choices[0].FinishReason)

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, "glide-7b", models.Data[0].ID)

	params.Model = "other"
	_, err = client.Chat.Completions.New(t.Context(), params)
	var failure *openai.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "unknownModel", failure.Code)
}

// Each hop of a request has a span in the trace that the caller started.
func TestSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	f := startServer(t, testConfig(startEngine(t, 100)), func(o *Options) { o.Tracer = provider.Tracer("test") })
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	f.do(t, request{path: "/v1/chat/completions", body: chatBody, header: map[string]string{"traceparent": parent}})
	f.do(t, request{path: "/v1/services/desk/bookings", body: "x", header: map[string]string{"traceparent": parent}})

	byName := map[string]sdktrace.ReadOnlySpan{}
	for _, span := range recorder.Ended() {
		require.Equal(t, "0af7651916cd43dd8448eb211c80319c", span.SpanContext().TraceID().String())
		byName[span.Name()] = span
	}
	for _, name := range []string{"caller.chat", "permit.acquire", "engine.start", "caller.service", "service.call"} {
		require.Contains(t, byName, name)
	}
	require.Equal(t, byName["caller.chat"].SpanContext().SpanID(), byName["engine.start"].Parent().SpanID())
	sent := ""
	for _, h := range f.services.calls()[0].Header {
		if h.Name == "traceparent" {
			sent = h.Value
		}
	}
	require.Contains(t, sent, byName["service.call"].SpanContext().SpanID().String())
}
