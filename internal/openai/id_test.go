package openai

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

func TestRewrite(t *testing.T) {
	tests := map[string]struct{ chunk, want string }{
		"first":         {`{"id":"c1","choices":[]}`, `{"id":"gen-1","choices":[]}`},
		"last":          {`{"choices":[{"id":"call"}], "id" : "c1" }`, `{"choices":[{"id":"call"}], "id" : "gen-1" }`},
		"not a string":  {`{"id":{"a":[1]},"n":2}`, `{"id":"gen-1","n":2}`},
		"escaped":       {`{"id":"c\"1\\","n":2}`, `{"id":"gen-1","n":2}`},
		"only nested":   {`{"choices":[{"delta":{"tool_calls":[{"id":"call"}]}}]}`, `{"choices":[{"delta":{"tool_calls":[{"id":"call"}]}}],"id":"gen-1"}`},
		"none":          {`{}`, `{"id":"gen-1"}`},
		"inside string": {`{"text":"\"id\":\"x\"","id":""}`, `{"text":"\"id\":\"x\"","id":"gen-1"}`},
	}
	w := NewIDWriter("gen-1")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := w.Rewrite(tt.chunk)
			require.NoError(t, err)
			require.Equal(t, tt.want, string(got))
		})
	}
}

// For any JSON object from an engine, the result is valid JSON with the caller's id.
func FuzzRewrite(f *testing.F) {
	f.Add(`{"id":"c1","choices":[{"delta":{"content":"a"}}]}`)
	f.Fuzz(func(t *testing.T, chunk string) {
		if !gjson.Valid(chunk) || !gjson.Parse(chunk).IsObject() {
			return
		}
		got, err := NewIDWriter("gen-1").Rewrite(chunk)
		require.NoError(t, err)
		require.True(t, json.Valid(got))
		require.Equal(t, "gen-1", gjson.GetBytes(got, "id").Str)
	})
}
