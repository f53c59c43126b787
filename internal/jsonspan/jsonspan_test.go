package jsonspan_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/jsonspan"
)

// split returns the elements of an array.
func split(raw []byte) (values []json.RawMessage, err error) {
	err = jsonspan.Elements(raw, func(value json.RawMessage) error {
		values = append(values, value)
		return nil
	})
	return values, err
}

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, tt := range map[string]struct {
		raw  string
		want []string
	}{
		"none":        {` [ ] `, nil},
		"null":        {` null `, nil},
		"scalars":     {`[1, "a" ,null]`, []string{"1", `"a"`, "null"}},
		"no JSON":     {`[NaN,-Infinity,{"a":}]`, []string{"NaN", "-Infinity", `{"a":}`}},
		"brackets":    {`["]",{"}":"\""}]`, []string{`"]"`, `{"}":"\""}`}},
		"deep":        {`[` + deep + `,1]`, []string{deep, "1"}},
		"odd escapes": {`["\\","\x\"]"]`, []string{`"\\"`, `"\x\"]"`}},
	} {
		t.Run(name, func(t *testing.T) {
			values, err := split([]byte(tt.raw))
			require.NoError(t, err)
			require.Len(t, values, len(tt.want))
			for i, want := range tt.want {
				require.Equal(t, want, string(values[i]))
			}
		})
	}
	for name, raw := range map[string]string{
		"empty": "", "object": "{}", "not closed": "[1", "after it": "[1]2", "two": "[][]", "no comma": `["a" [1]`, "open string": `["a]`, "open escape": `["\`,
	} {
		_, err := split([]byte(raw))
		require.ErrorIs(t, err, jsonspan.ErrFormat, name)
	}
}

func FuzzElements(f *testing.F) {
	f.Add([]byte(`[1,"a",{"b":[null]}]`))
	f.Add([]byte(`[[[[]]],NaN,"\"]"]`))
	f.Add([]byte(strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		values, err := split(raw)
		var want []json.RawMessage
		if json.Unmarshal(raw, &want) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, values, len(want))
		for i := range want {
			require.Equal(t, string(want[i]), string(values[i]))
		}
	})
}

func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"a":1,"a":[2],"b\u00e9":"x"}`))
	f.Add([]byte(`{"a":NaN,"b":{"c":}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := map[string]json.RawMessage{}
		err := jsonspan.Members(raw, func(name string, value json.RawMessage) error {
			got[name] = value
			return nil
		})
		var want map[string]json.RawMessage
		if json.Unmarshal(raw, &want) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, got, len(want))
		for name, value := range want {
			require.Equal(t, string(value), string(got[name]))
		}
	})
}
