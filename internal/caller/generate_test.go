package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/openai"
)

const chatBody = `{"model":"glide-7b","max_tokens":40,"messages":[{"role":"user","content":"brief me"}]}`

func withStream(body string) string { return strings.Replace(body, "{", `{"stream":true,`, 1) }

func TestBadRequests(t *testing.T) {
	f := startServer(t, testConfig(startEngine(t, 100)))
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		request request
		status  int
		code    answer.Code
		message string
	}{
		"no token":                 {request{path: chat, token: "-", body: chatBody}, 401, answer.CodeUnauthorized, "Authorization"},
		"wrong token":              {request{path: chat, token: "x", body: chatBody}, 401, answer.CodeUnauthorized, "Authorization"},
		"unknown path":             {request{path: "/v2/x"}, 404, answer.CodeNotFound, "path"},
		"unknown model":            {request{path: chat, body: strings.Replace(chatBody, "glide-7b", "x", 1)}, 404, answer.CodeUnknownModel, "model"},
		"invalid JSON":             {request{path: chat, body: `{"model":`}, 400, answer.CodeInvalidRequest, "body"},
		"no body":                  {request{path: chat}, 400, answer.CodeInvalidRequest, "body"},
		"deep nesting":             {request{path: chat, body: strings.Repeat("[", 4000)}, 400, answer.CodeInvalidRequest, "body"},
		"duplicate field":          {request{path: chat, body: `{"model":"a","model":"b"}`}, 400, answer.CodeInvalidRequest, "model"},
		"no messages":              {request{path: chat, body: `{"model":"glide-7b"}`}, 400, answer.CodeInvalidRequest, "messages"},
		"message without role":     {request{path: chat, body: `{"model":"glide-7b","messages":[{}]}`}, 400, answer.CodeInvalidRequest, "messages[0].role"},
		"stream not a boolean":     {request{path: chat, body: `{"model":"glide-7b","stream":1}`}, 400, answer.CodeInvalidRequest, "stream"},
		"too many tokens":          {request{path: chat, body: `{"model":"glide-7b","max_tokens":1001}`}, 400, answer.CodeInvalidRequest, "max_tokens"},
		"token limit out of range": {request{path: chat, body: `{"model":"glide-7b","max_tokens":1e300}`}, 400, answer.CodeInvalidRequest, "max_tokens"},
		"no prompt":                {request{path: "/v1/completions", body: `{"model":"glide-7b"}`}, 400, answer.CodeInvalidRequest, "prompt"},
		"body too large":           {request{path: chat, body: chatBody + strings.Repeat(" ", 4096)}, 413, answer.CodeBodyTooLarge, "body"},
		"content type": {request{path: chat, body: chatBody, header: map[string]string{"Content-Type": "text/plain"}},
			415, answer.CodeContentType, "Content-Type"},
		"unknown generation": {request{method: "GET", path: "/v1/generations/gen-abc"}, 404, answer.CodeNotFound, "generation"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := f.do(t, tt.request)
			d := r.detail(t)
			require.Equal(t, tt.status, r.status)
			require.Equal(t, tt.code, d.Code)
			require.Equal(t, answer.OutcomeNotRun, d.Outcome)
			require.Contains(t, d.Message, tt.message)
		})
	}
	require.Zero(t, f.permits.issued)
}

// A streamed and a complete response of the same request are both complete and in OpenAI's
// format, through the engine's own protocol.
func TestGenerations(t *testing.T) {
	f := startServer(t, testConfig(startEngine(t, 100)))
	tests := map[string]struct{ path, body string }{
		"chat":       {"/v1/chat/completions", chatBody},
		"completion": {"/v1/completions", `{"model":"glide-7b","max_tokens":40,"prompt":"brief me"}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			complete := f.do(t, request{path: tt.path, body: tt.body})
			require.Equal(t, http.StatusOK, complete.status, "%s", complete.body)
			var parsed openai.Response
			require.NoError(t, json.Unmarshal(complete.body, &parsed))
			require.Equal(t, complete.header.Get(headerGeneration), parsed.ID)
			require.Len(t, parsed.Choices, 1)
			require.NotEmpty(t, parsed.Choices[0].FinishReason)

			resp := f.open(t.Context(), t, request{path: tt.path, body: withStream(tt.body)})
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			events := readEvents(bufio.NewReader(resp.Body), math.MaxInt)
			id := resp.Header.Get(headerGeneration)
			for i, e := range events[:len(events)-1] {
				require.Equal(t, strconv.Itoa(i+1), e.id)
				require.Contains(t, e.data, id)
			}
			require.Equal(t, event{data: doneMarker}, events[len(events)-1])
		})
	}
	require.Eventually(t, f.permits.balanced, time.Minute, time.Millisecond)
}

// The caller's connection breaks in the middle of a response. The caller resumes through another
// instance after its last position and reads the rest; the first instance is notified, so that it
// doesn't cancel the generation after its grace period. Another workspace can't find the
// generation, and a cancelled generation ends.
func TestResumeThroughAnotherInstance(t *testing.T) {
	cfg := testConfig(startEngine(t, 2))
	scope := tally.NewTestScope("", nil)
	first, second := startServer(t, cfg, func(o *Options) { o.Scope = scope }), startServer(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	resp := first.open(ctx, t, request{path: "/v1/chat/completions", body: withStream(chatBody)})
	events := readEvents(bufio.NewReader(resp.Body), 3)
	require.Len(t, events, 3)
	id := resp.Header.Get(headerGeneration)
	cancel()
	resp.Body.Close()

	foreign := second.do(t, request{method: "GET", path: "/v1/generations/" + id, token: shopToken})
	require.Equal(t, http.StatusNotFound, foreign.status)

	again := second.open(t.Context(), t, request{
		method: "GET", path: "/v1/generations/" + id, header: map[string]string{"Last-Event-ID": "3"},
	})
	defer again.Body.Close()
	require.Equal(t, http.StatusOK, again.StatusCode)
	rest := readEvents(bufio.NewReader(again.Body), math.MaxInt)
	require.Equal(t, "4", rest[0].id)
	require.Equal(t, id, again.Header.Get(headerGeneration))
	require.Contains(t, rest[0].data, `"id":"`+id+`"`, "the ID to resume with again")
	require.Equal(t, doneMarker, rest[len(rest)-1].data)
	require.Equal(t, strconv.Itoa(len(rest)+2), rest[len(rest)-2].id, "each position occurs once")
	require.Eventually(t, first.permits.balanced, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool {
		notices, ok := scope.Snapshot().Counters()["takeovers+"]
		return ok && notices.Value() == 1
	}, time.Minute, time.Millisecond, "the first instance was notified")

	cancelled := second.do(t, request{method: "DELETE", path: "/v1/generations/" + id})
	require.Equal(t, http.StatusNoContent, cancelled.status)
}

// A streaming caller disconnects before its first token. Without a generation ID it can't resume,
// so its permit must be released soon instead of after the complete response.
func TestPermitReleasedWhenCallerDisconnectsBeforeFirstToken(t *testing.T) {
	f := startServer(t, testConfig(startEngine(t, 0.01)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		openStream(ctx, f.url)
	}()
	require.Eventually(t, f.permitIssued, time.Minute, time.Millisecond)
	cancel()
	<-closed
	require.Eventually(t, f.permits.balanced, time.Minute, time.Millisecond)
}

func (f *fixture) permitIssued() bool {
	f.permits.mu.Lock()
	defer f.permits.mu.Unlock()
	return f.permits.issued > 0
}

// openStream reads a stream until its end or that of ctx.
func openStream(ctx context.Context, url string) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(withStream(chatBody)))
	req.Header.Set("Authorization", "Bearer "+clubToken)
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
