// Package session_test records whole sessions of a caller with real processes
// as golden files: what is sent and what comes back, with ids, times and
// addresses made alike.
package session_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/system"
)

// work is what a session of one deployment asks for.
type work struct {
	workspace, other string
	model, prompt    string
	service, server  string
	lookup, change   string
	first, second    string
	zone             string
}

var deployments = map[string]work{
	"inyange": {
		workspace: "kigali-flyers", other: "huye-gliders",
		model: "flight-briefing", prompt: "briefing for the glider meeting",
		service: "club-desk", server: "desk-1", lookup: "/rosters/saturday", change: "/bookings",
		first: `{"field":3,"slot":"saturday"}`, second: `{"field":4,"slot":"saturday"}`,
		zone: "kigali-b",
	},
	"mavuno": {
		workspace: "nairobi-schools", other: "limuru-greens",
		model: "menu-planner", prompt: "plan for Monday's lunch",
		service: "orders", server: "orders-1", lookup: "/stock/kale", change: "/confirmations",
		first: `{"order":17,"truck":2}`, second: `{"order":18,"truck":2}`,
		zone: "nairobi-b",
	},
}

// transcript is the record of a session.
type transcript struct {
	t   *testing.T
	s   *system.System
	c   *system.Caller
	out bytes.Buffer
}

// normal makes alike what differs from run to run.
var normal = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`gen-[A-Za-z0-9_-]+`), "gen-ID"},
	{regexp.MustCompile(`req-[A-Za-z0-9_-]+`), "req-ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`(w\d+)-[0-9a-f]+`), "$1-TAG"},
	{regexp.MustCompile(`"incarnation":"[^"]*"`), `"incarnation":"INCARNATION"`},
	{regexp.MustCompile(`"epoch":\d+`), `"epoch":EPOCH`},
	{regexp.MustCompile(`"retryAfterMs":\d+`), `"retryAfterMs":TIME`},
}

func (r *transcript) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	for _, n := range normal {
		line = n.pattern.ReplaceAllString(line, n.with)
	}
	r.out.WriteString(line + "\n")
}

// call does one call and records it.
func (r *transcript) call(method, path, body string, header ...string) {
	r.t.Helper()
	var data []byte
	if body != "" {
		data = []byte(body)
	}
	reply, err := r.c.Call(r.t.Context(), r.t, method, r.s.Instances[0].Caller, path, data, header...)
	require.NoError(r.t, err)
	if len(body) > 120 {
		body = body[:120] + "..."
	}
	r.note("> %s %s %s %s", method, path, strings.Join(header, " "), body)
	r.note("< %d %s", reply.Status, strings.TrimSpace(string(reply.Body)))
	if replayed := reply.Header.Get("Idempotent-Replayed"); replayed != "" {
		r.note("< Idempotent-Replayed: %s", replayed)
	}
}

// stream records the tokens of a stream from position from on.
func (r *transcript) stream(what string, tokens []system.Token) {
	texts := make([]string, 0, len(tokens))
	for _, tok := range tokens {
		texts = append(texts, strings.TrimSpace(tok.Text)+tok.Finish)
	}
	r.note("%s: %s", what, strings.Join(texts, " "))
}

// TestSession: a caller asks which instances to use, streams, asks for a whole
// answer, resumes through another instance after the first was killed, cancels,
// calls the plain service with a key and repeats it, and errs in every way an
// API can be erred with. Operators take a zone out and bring it back.
func TestSession(t *testing.T) {
	for name, w := range deployments {
		t.Run(name, func(t *testing.T) {
			// Cold engines refuse by chance of timing; sessions start warm.
			s := system.Start(t, system.Options{Deployment: name, TimeScale: 2, EngineArgs: []string{"--seed", "7", "--cold-millis", "0"}})
			r := &transcript{t: t, s: s, c: s.Caller(w.workspace)}
			r.generations(w)
			r.mistakes(w)
			r.effects(w)
			r.zones(w)
			r.resumeAfterKill(w)
			goldie.New(t).Assert(t, name, r.out.Bytes())
		})
	}
}

func (r *transcript) generations(w work) {
	r.note("# generations")
	answer, err := r.c.Call(r.t.Context(), r.t, http.MethodGet, r.s.Instances[0].Caller, "/v1/instances", nil)
	require.NoError(r.t, err)
	var instances struct {
		Instances  []struct{ ID, Zone string }
		TTLSeconds int
	}
	require.NoError(r.t, json.Unmarshal(answer.Body, &instances))
	// The order depends on the caller's address.
	r.note("%d instances, kept for %d s", len(instances.Instances), instances.TTLSeconds)
	r.call(http.MethodGet, "/v1/models", "")
	st, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, w.model, w.prompt, 8)
	require.NoError(r.t, err)
	require.NoError(r.t, st.Read(0))
	system.RequireCompleteStream(r.t, st.Tokens)
	r.stream("streamed", st.Tokens)
	r.call(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, w.model, w.prompt))
	r.call(http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"max_tokens":4,"prompt":%q}`, w.model, w.prompt))

	long, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, w.model, w.prompt, 4000)
	require.NoError(r.t, err)
	require.NoError(r.t, long.Read(3))
	other := r.s.Caller(w.other)
	reply, err := other.Call(r.t.Context(), r.t, http.MethodDelete, r.s.Instances[0].Caller, "/v1/generations/"+long.ID, nil)
	require.NoError(r.t, err)
	r.note("another workspace cancels: %d %s", reply.Status, reply.Body)
	r.call(http.MethodDelete, "/v1/generations/"+long.ID, "")
	require.NoError(r.t, long.Read(0))
	r.note("the cancelled stream ends with: %s, outcome %s", long.Failure.Code, long.Failure.Outcome)
}

func (r *transcript) mistakes(w work) {
	r.note("# mistakes")
	chat := func(body string) { r.call(http.MethodPost, "/v1/chat/completions", body) }
	chat(`{"model":`)
	chat(fmt.Sprintf(`{"model":%q}`, w.model))
	chat(fmt.Sprintf(`{"model":%q,"max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, w.model))
	chat(`{"model":"nobody","messages":[{"role":"user","content":"x"}]}`)
	chat(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, w.model, strings.Repeat("x", 2<<20)))
	r.call(http.MethodGet, "/v1/generations/gen-forged", "")
	r.call(http.MethodGet, "/v1/services/nobody/x", "")
	r.call(http.MethodPatch, "/v1/services/"+w.service+w.change, "{}")
	r.call(http.MethodGet, "/v1/nothing", "")
	token := r.c.Token
	r.c.Token = "wrong"
	r.call(http.MethodGet, "/v1/models", "")
	r.c.Token = ""
	r.call(http.MethodGet, "/v1/models", "")
	r.c.Token = token
}

func (r *transcript) effects(w work) {
	r.note("# effects")
	path := "/v1/services/" + w.service
	r.call(http.MethodGet, path+w.lookup, "")
	r.call(http.MethodPost, path+w.change, w.first, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+w.change, w.first, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+w.change, w.second, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+w.change, w.second)
	r.note("effects in the ledger: %d", len(r.s.ServiceLedger(r.t, w.server).Effects))
}

func (r *transcript) zones(w work) {
	r.note("# zones")
	for _, args := range [][]string{
		{"zone", "drain", w.zone}, {"zone", "list"}, {"zone", "restore", w.zone}, {"zone", "list"},
	} {
		code, stdout, _ := r.s.RunCommand(r.t, r.s.Instances[0], "", args...)
		r.note("$ pollenspindle %s\n%sexit %d", strings.Join(args, " "), stdout, code)
	}
}

// resumeAfterKill is last, as it costs an instance.
func (r *transcript) resumeAfterKill(w work) {
	r.note("# resume after kill -9")
	st, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, w.model, w.prompt, 60)
	require.NoError(r.t, err)
	require.NoError(r.t, st.Read(5))
	r.s.Instances[0].Process.Kill()
	for err == nil {
		_, err = st.Next()
	}
	require.ErrorIs(r.t, err, system.ErrStreamInterrupted)
	rest, err := r.c.Resume(r.t.Context(), r.t, r.s.Instances[1].Caller, st.ID, int64(len(st.Tokens)))
	require.NoError(r.t, err)
	require.NoError(r.t, rest.Read(0))
	all := slices.Concat(st.Tokens, rest.Tokens)
	system.RequireCompleteStream(r.t, all)
	r.stream("both parts", all)
}

// TestOfficialClient: the OpenAI client for Go gets a streamed and a whole
// answer by setting only the base URL and the key, and shows our failures.
func TestOfficialClient(t *testing.T) {
	s := system.Start(t, system.Options{TimeScale: 8, EngineArgs: []string{"--cold-millis", "0"}})
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.Instances[0].Caller+"/v1"),
		option.WithAPIKey("inyange-kigali-flyers"),
	)
	params := openai.ChatCompletionNewParams{
		Model:     "flight-briefing",
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("briefing for gliders")},
	}
	whole, err := client.Chat.Completions.New(context.Background(), params)
	require.NoError(t, err)
	require.Len(t, strings.Fields(whole.Choices[0].Message.Content), 12)
	require.Equal(t, int64(12), whole.Usage.CompletionTokens)

	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	require.NoError(t, stream.Err())
	require.Len(t, strings.Fields(acc.Choices[0].Message.Content), 12)
	require.Equal(t, "length", acc.Choices[0].FinishReason)

	params.Model = "nobody"
	_, err = client.Chat.Completions.New(context.Background(), params)
	var failure *openai.Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, http.StatusNotFound, failure.StatusCode)
	require.Equal(t, "unknownModel", failure.Code)
}
