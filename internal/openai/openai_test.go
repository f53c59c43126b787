package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const chatRequest = `{"model":"glide-7b","temperature":0.25,"priority":-9,"user":"me","messages":[{"role":"user","content":"hi"}]}`

// Fields that entry instances don't read reach the engine unchanged. The caller's priority and user
// are overwritten, or a caller could raise its own priority or pose as another workspace.
func TestEngineBody(t *testing.T) {
	req, err := Parse(Chat, []byte(chatRequest), pollenspindle.Limits{})
	require.NoError(t, err)
	body, err := req.EngineBody(EngineFields{Priority: 10, User: "club"})
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"glide-7b","temperature":0.25,"priority":10,"user":"club","stream":true,
		"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`, string(body))
}

func TestPrefixHashesMatchSharedPrefixes(t *testing.T) {
	hashes := func(content string) []uint64 {
		body := fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":%q}]}`, content)
		req, err := Parse(Chat, []byte(body), pollenspindle.Limits{})
		require.NoError(t, err)
		return req.PrefixHashes
	}
	system := strings.Repeat("rules ", 2048)
	require.Equal(t, hashes(system+"one"), hashes(system+"two"))
	require.NotEqual(t, hashes("one"), hashes("two"))

	short := strings.Repeat("rule ", 120)
	one, two := hashes(short+strings.Repeat("one ", 500)), hashes(short+strings.Repeat("two ", 500))
	require.Len(t, one, 4, "256, 512, 1024 and 2048 bytes")
	require.Equal(t, one[:2], two[:2])
	require.NotEqual(t, one[2], two[2])
	require.NotEqual(t, one[3], two[3])
}

// Text, tool calls and choices are interleaved in the chunks; the response must hold each in the right
// choice.
func TestCollector(t *testing.T) {
	chunks := []string{
		`{"created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"Wind"}}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"book","arguments":"{\"f\""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"content":" calm"},"logprobs":{"content":[{"token":" calm"}]}}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":7}"}}]}}]}`,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"},{"index":1,"delta":{},"finish_reason":"tool_calls"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`,
	}
	c := NewCollector(Chat)
	for _, chunk := range chunks {
		require.NoError(t, c.Add(chunk))
	}
	response, err := c.Response("gen-1", 99)
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"gen-1","object":"chat.completion","created":7,"model":"m","choices":[
		{"index":0,"message":{"role":"assistant","content":"Wind calm","refusal":null},"finish_reason":"stop",
		 "logprobs":{"content":[{"token":" calm"}]}},
		{"index":1,"message":{"role":"assistant","content":"","refusal":null,"tool_calls":[
		 {"id":"c","type":"function","function":{"name":"book","arguments":"{\"f\":7}"}}]},
		 "finish_reason":"tool_calls","logprobs":null}],
		"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`, string(response))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(chatRequest))
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3,"stream":true}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, e := range []Endpoint{Chat, Completion} {
			req, err := Parse(e, body, pollenspindle.Limits{MaxOutputTokens: 100})
			var field *FieldError
			if err != nil {
				require.True(t, errors.As(err, &field))
				continue
			}
			out, err := req.EngineBody(EngineFields{User: "club"})
			require.NoError(t, err)
			var got struct {
				Model  string `json:"model"`
				Stream bool   `json:"stream"`
				User   string `json:"user"`
			}
			require.NoError(t, json.Unmarshal(out, &got))
			require.Equal(t, req.Model, got.Model)
			require.True(t, got.Stream)
			require.Equal(t, "club", got.User)
		}
	})
}
