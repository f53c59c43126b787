package system_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
	"pollenspindle.example/pollenspindle/test/system"
)

// span is a span as written by the file exporter.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	// instance is the instance that wrote the span.
	instance string
}

// readSpans reads the spans of one trace from the files of all instances.
func readSpans(t *testing.T, dir, trace string) map[string]span {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.spans"))
	require.NoError(t, err)
	spans := map[string]span{}
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var s span
			if json.Unmarshal(lines.Bytes(), &s) != nil || s.SpanContext.TraceID != trace {
				continue
			}
			require.NotContains(t, lines.Text(), "secret prompt")
			s.instance = strings.TrimSuffix(filepath.Base(name), ".spans")
			spans[s.SpanContext.SpanID] = s
		}
		require.NoError(t, f.Close())
	}
	return spans
}

// spanPath returns the span names from s up to the caller's span.
func spanPath(spans map[string]span, s span, root string) string {
	names := []string{s.Name}
	for s.Parent.SpanID != root {
		parent, ok := spans[s.Parent.SpanID]
		if !ok {
			return "orphan " + strings.Join(names, " < ")
		}
		s = parent
		names = append(names, s.Name)
	}
	return strings.Join(names, " < ")
}

// TestTraceSpanPerHop traces a streamed request, a request that meanwhile waits in an owner's
// queue, and the resume of the first through another instance. Each hop must have a span whose
// parent is the span of the previous hop, up to the caller's span. No span may contain the
// prompt.
func TestTraceSpanPerHop(t *testing.T) {
	dir := t.TempDir()
	s := system.Start(t, system.Options{
		Settings: func(s *settings.Settings) {
			s.Trace = settings.Trace{Exporter: "file", Endpoint: filepath.Join(dir, s.Instance+".spans"), SampleRatio: 1}
		},
		Config: func(c *pollenspindle.Config) {
			// One engine with capacity for one request: all other requests wait for it.
			for i := range c.Servers {
				c.Servers[i].ColdLimit, c.Servers[i].WarmLimit = 1, 1
				if strings.HasPrefix(c.Servers[i].Name, "briefing-") && c.Servers[i].Name != "briefing-1" {
					c.Servers[i].State = pollenspindle.ServerDraining
				}
			}
		},
		EngineArgs: []string{"--cold-millis", "0"},
	})
	c := s.Caller("kigali-flyers")
	const root = "00f067aa0ba902b7"
	send := func(trace, address, last, id string, tokens string) *http.Response {
		method, path, body := http.MethodPost, "/v1/chat/completions", `{"model":"flight-briefing","stream":true,"max_tokens":`+tokens+`,"messages":[{"role":"user","content":"secret prompt"}]}`
		if id != "" {
			method, path, body = http.MethodGet, "/v1/generations/"+id, ""
		}
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+c.Token)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("traceparent", "00-"+trace+"-"+root+"-01")
		if last != "" {
			req.Header.Set("Last-Event-ID", last)
		}
		res, err := c.Client.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
		t.Cleanup(func() { _ = res.Body.Close() })
		return res
	}
	const streamed, queued, resumed = "4bf92f3577b34da6a3ce929d0e0e4731", "4bf92f3577b34da6a3ce929d0e0e4732", "4bf92f3577b34da6a3ce929d0e0e4733"
	first := send(streamed, s.Instances[0].Caller, "", "", "1000")
	id := first.Header.Get("X-Generation-Id")
	require.NoError(t, first.Body.Close())
	send(resumed, s.Instances[2].Caller, "1", id, "")
	// Two of the three instances don't own the engine.
	for _, in := range s.Instances {
		send(queued, in.Caller, "", "", "2")
	}

	hasSpans := func(trace, want string, min int) func() bool {
		return func() bool {
			spans := readSpans(t, dir, trace)
			n := 0
			for _, s := range spans {
				if spanPath(spans, s, root) == want {
					n++
				}
			}
			return n >= min
		}
	}
	const remote = "owner.acquire < peer.Acquire < peer.Acquire < permit.acquire < caller.chat"
	for what, test := range map[string]func() bool{
		"engine":       hasSpans(streamed, "engine.start < caller.chat", 1),
		"local owner":  hasSpans(queued, "owner.acquire < permit.acquire < caller.chat", 1),
		"remote owner": hasSpans(queued, remote, 2),
		"queued start": hasSpans(queued, "engine.start < caller.chat", 3),
		"resume":       hasSpans(resumed, "engine.resume < caller.resume", 1),
	} {
		require.Eventually(t, test, time.Minute, 100*time.Millisecond, what)
	}
	for _, trace := range []string{streamed, queued, resumed} {
		spans := readSpans(t, dir, trace)
		for _, s := range spans {
			require.NotContains(t, spanPath(spans, s, root), "orphan")
		}
	}
	requireCorrelationIDs(t, readSpans(t, dir, streamed))
	acquires := 0
	for _, s := range readSpans(t, dir, queued) {
		if s.Name == "owner.acquire" {
			acquires++
		}
	}
	require.Greater(t, acquires, 3, "each of three requests asks at least once, and queued ones ask again")
}

// requireCorrelationIDs checks that the caller's span carries the IDs of the journal, and the
// engine's span the request ID of the engine's log.
func requireCorrelationIDs(t *testing.T, spans map[string]span) {
	t.Helper()
	for _, s := range spans {
		keys := map[string]any{}
		for _, a := range s.Attributes {
			keys[a.Key] = a.Value.Value
		}
		switch s.Name {
		case "caller.chat":
			require.Contains(t, keys["request.id"], "req-")
			require.Contains(t, keys["generation.id"], "gen-")
		case "engine.start":
			require.NotEmpty(t, keys["engine.request"])
			require.NotEmpty(t, keys["server"])
		}
	}
}
