// Package session_test records complete sessions of a caller with real processes as golden files:
// requests and responses, with IDs, times and addresses normalized.
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

// scenario holds the names and requests that a session of one deployment uses.
type scenario struct {
	workspace, otherWorkspace string
	model, prompt             string
	service, server           string
	readPath, writePath       string
	firstBody, secondBody     string
	zone                      string
}

var deployments = map[string]scenario{
	"inyange": {
		workspace: "kigali-flyers", otherWorkspace: "huye-gliders",
		model: "flight-briefing", prompt: "briefing for the glider meeting",
		service: "club-desk", server: "desk-1", readPath: "/rosters/saturday", writePath: "/bookings",
		firstBody: `{"field":3,"slot":"saturday"}`, secondBody: `{"field":4,"slot":"saturday"}`,
		zone: "kigali-b",
	},
	"mavuno": {
		workspace: "nairobi-schools", otherWorkspace: "limuru-greens",
		model: "menu-planner", prompt: "plan for Monday's lunch",
		service: "orders", server: "orders-1", readPath: "/stock/kale", writePath: "/confirmations",
		firstBody: `{"order":17,"truck":2}`, secondBody: `{"order":18,"truck":2}`,
		zone: "nairobi-b",
	},
}

// transcript records a session.
type transcript struct {
	t   *testing.T
	s   *system.System
	c   *system.Caller
	out bytes.Buffer
}

// normalizers replace values that differ between runs.
var normalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
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

func (r *transcript) recordf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	for _, n := range normalizers {
		line = n.pattern.ReplaceAllString(line, n.replacement)
	}
	r.out.WriteString(line + "\n")
}

// call sends one request and records it with its response.
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
	r.recordf("> %s %s %s %s", method, path, strings.Join(header, " "), body)
	r.recordf("< %d %s", reply.Status, strings.TrimSpace(string(reply.Body)))
	if replayed := reply.Header.Get("Idempotent-Replayed"); replayed != "" {
		r.recordf("< Idempotent-Replayed: %s", replayed)
	}
}

// recordTokens records the texts of tokens.
func (r *transcript) recordTokens(what string, tokens []system.Token) {
	texts := make([]string, 0, len(tokens))
	for _, tok := range tokens {
		texts = append(texts, strings.TrimSpace(tok.Text)+tok.Finish)
	}
	r.recordf("%s: %s", what, strings.Join(texts, " "))
}

// TestCallerSession records a session: a caller lists instances, streams, requests a complete
// response, resumes through another instance after the first was killed, cancels, repeats a call
// with an idempotency key, and sends invalid requests. Operators drain and restore a zone.
func TestCallerSession(t *testing.T) {
	for name, sc := range deployments {
		t.Run(name, func(t *testing.T) {
			// Cold engines refuse requests depending on timing, so sessions start with warm ones.
			s := system.Start(t, system.Options{Deployment: name, TimeScale: 2, EngineArgs: []string{"--seed", "7", "--cold-millis", "0"}})
			r := &transcript{t: t, s: s, c: s.Caller(sc.workspace)}
			r.generations(sc)
			r.invalidRequests(sc)
			r.serviceCalls(sc)
			r.zones(sc)
			r.resumeAfterInstanceKill(sc)
			goldie.New(t).Assert(t, name, r.out.Bytes())
		})
	}
}

func (r *transcript) generations(sc scenario) {
	r.recordf("# generations")
	answer, err := r.c.Call(r.t.Context(), r.t, http.MethodGet, r.s.Instances[0].Caller, "/v1/instances", nil)
	require.NoError(r.t, err)
	var instances struct {
		Instances  []struct{ ID, Zone string }
		TTLSeconds int
	}
	require.NoError(r.t, json.Unmarshal(answer.Body, &instances))
	// The order depends on the caller's address.
	r.recordf("%d instances, kept for %d s", len(instances.Instances), instances.TTLSeconds)
	r.call(http.MethodGet, "/v1/models", "")
	st, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, sc.model, sc.prompt, 8)
	require.NoError(r.t, err)
	require.NoError(r.t, st.Read(0))
	system.RequireCompleteStream(r.t, st.Tokens)
	r.recordTokens("streamed", st.Tokens)
	r.call(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, sc.model, sc.prompt))
	r.call(http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"max_tokens":4,"prompt":%q}`, sc.model, sc.prompt))

	long, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, sc.model, sc.prompt, 4000)
	require.NoError(r.t, err)
	require.NoError(r.t, long.Read(3))
	other := r.s.Caller(sc.otherWorkspace)
	reply, err := other.Call(r.t.Context(), r.t, http.MethodDelete, r.s.Instances[0].Caller, "/v1/generations/"+long.ID, nil)
	require.NoError(r.t, err)
	r.recordf("another workspace cancels: %d %s", reply.Status, reply.Body)
	r.call(http.MethodDelete, "/v1/generations/"+long.ID, "")
	require.NoError(r.t, long.Read(0))
	r.recordf("the cancelled stream ends with: %s, outcome %s", long.Failure.Code, long.Failure.Outcome)
}

func (r *transcript) invalidRequests(sc scenario) {
	r.recordf("# mistakes")
	chat := func(body string) { r.call(http.MethodPost, "/v1/chat/completions", body) }
	chat(`{"model":`)
	chat(fmt.Sprintf(`{"model":%q}`, sc.model))
	chat(fmt.Sprintf(`{"model":%q,"max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, sc.model))
	chat(`{"model":"nobody","messages":[{"role":"user","content":"x"}]}`)
	chat(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, sc.model, strings.Repeat("x", 2<<20)))
	r.call(http.MethodGet, "/v1/generations/gen-forged", "")
	r.call(http.MethodGet, "/v1/services/nobody/x", "")
	r.call(http.MethodPatch, "/v1/services/"+sc.service+sc.writePath, "{}")
	r.call(http.MethodGet, "/v1/nothing", "")
	token := r.c.Token
	r.c.Token = "wrong"
	r.call(http.MethodGet, "/v1/models", "")
	r.c.Token = ""
	r.call(http.MethodGet, "/v1/models", "")
	r.c.Token = token
}

func (r *transcript) serviceCalls(sc scenario) {
	r.recordf("# effects")
	path := "/v1/services/" + sc.service
	r.call(http.MethodGet, path+sc.readPath, "")
	r.call(http.MethodPost, path+sc.writePath, sc.firstBody, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+sc.writePath, sc.firstBody, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+sc.writePath, sc.secondBody, "Idempotency-Key", "key-1")
	r.call(http.MethodPost, path+sc.writePath, sc.secondBody)
	r.recordf("effects in the ledger: %d", len(r.s.ServiceLedger(r.t, sc.server).Effects))
}

func (r *transcript) zones(sc scenario) {
	r.recordf("# zones")
	for _, args := range [][]string{
		{"zone", "drain", sc.zone}, {"zone", "list"}, {"zone", "restore", sc.zone}, {"zone", "list"},
	} {
		code, stdout, _ := r.s.RunCommand(r.t, r.s.Instances[0], "", args...)
		r.recordf("$ pollenspindle %s\n%sexit %d", strings.Join(args, " "), stdout, code)
	}
}

// resumeAfterInstanceKill must run last because it kills an instance.
func (r *transcript) resumeAfterInstanceKill(sc scenario) {
	r.recordf("# resume after kill -9")
	st, err := r.c.Generate(r.t.Context(), r.t, r.s.Instances[0].Caller, sc.model, sc.prompt, 60)
	require.NoError(r.t, err)
	require.NoError(r.t, st.Read(5))
	r.s.Instances[0].Process.Kill()
	for err == nil {
		_, err = st.Next()
	}
	require.ErrorIs(r.t, err, system.ErrStreamInterrupted)
	resumed, err := r.c.Resume(r.t.Context(), r.t, r.s.Instances[1].Caller, st.ID, int64(len(st.Tokens)))
	require.NoError(r.t, err)
	require.NoError(r.t, resumed.Read(0))
	all := slices.Concat(st.Tokens, resumed.Tokens)
	system.RequireCompleteStream(r.t, all)
	r.recordTokens("both parts", all)
}

// TestOfficialClient checks that the OpenAI client for Go works with only the base URL and the key
// set: it receives streamed and complete responses and exposes the errors.
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
