package engine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseChunk(t *testing.T) {
	tests := map[string]struct {
		data   string
		text   string
		finish string
		err    error
	}{
		"chat":                       {data: `{"choices":[{"delta":{"content":"a \u00e9"},"finish_reason":null}]}`, text: "a é"},
		"completion":                 {data: `{"choices":[{"text":"b","finish_reason":"length"}]}`, text: "b", finish: "length"},
		"no choices":                 {data: `{"usage":{"total_tokens":3},"choices":[]}`},
		"null choices":               {data: `{"choices":null}`},
		"null choice":                {data: `{"choices":[null]}`},
		"null delta":                 {data: `{"choices":[{"delta":null,"text":null}]}`},
		"truncated":                  {data: `{"choices":[{"text":"b`, err: ErrInvalidResponse},
		"trailing data":              {data: `{"choices":[]}{}`, err: ErrInvalidResponse},
		"not an object":              {data: `[]`, err: ErrInvalidResponse},
		"choices not an array":       {data: `{"choices":{"0":{"text":"b"}}}`, err: ErrInvalidResponse},
		"choice not an object":       {data: `{"choices":["b"]}`, err: ErrInvalidResponse},
		"delta not an object":        {data: `{"choices":[{"delta":"b"}]}`, err: ErrInvalidResponse},
		"text not a string":          {data: `{"choices":[{"text":7}]}`, err: ErrInvalidResponse},
		"content not a string":       {data: `{"choices":[{"delta":{"content":{}}}]}`, err: ErrInvalidResponse},
		"finish reason not a string": {data: `{"choices":[{"finish_reason":true}]}`, err: ErrInvalidResponse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ev := Event{Data: tt.data}
			require.ErrorIs(t, parseChunk(&ev), tt.err)
			require.Equal(t, []string{tt.text, tt.finish}, []string{ev.Text, ev.FinishReason})
		})
	}
}

func FuzzParseChunk(f *testing.F) {
	f.Add(`{"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`)
	f.Fuzz(func(t *testing.T, data string) {
		if err := parseChunk(&Event{Data: data}); err != nil {
			require.ErrorIs(t, err, ErrInvalidResponse)
			return
		}
		require.True(t, json.Valid([]byte(data)))
	})
}
