package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReader(t *testing.T) {
	tests := map[string]struct {
		input string
		ids   []int64
		data  []string
		err   error
	}{
		"two events":                      {input: "id: 1\ndata: {}\n\nid: 2\ndata:{\"a\":1}\n\n", ids: []int64{1, 2}, data: []string{"{}", `{"a":1}`}, err: io.EOF},
		"carriage returns":                {input: "id: 1\r\ndata: {}\r\n\r\n", ids: []int64{1}, data: []string{"{}"}, err: io.EOF},
		"comments and several data lines": {input: ": keep\n\nid: 1\nevent: x\ndata: a\ndata: b\n\n", ids: []int64{1}, data: []string{"a\nb"}, err: io.EOF},
		"event cut in its data":           {input: "id: 1\ndata: {}\n\nid: 2\ndata: {\"cho", ids: []int64{1}, data: []string{"{}"}, err: io.EOF},
		"event cut at its end":            {input: "id: 1\ndata: {}\n", err: io.EOF},
		"line longer than the buffer":     {input: "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n", ids: []int64{0}, data: []string{strings.Repeat("x", 3*readBufferBytes)}, err: io.EOF},
		"line longer than the limit":      {input: "data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", err: ErrMalformed},
		"id is not a position":            {input: "id: -4\ndata: {}\n\n", err: ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tt.input), iotest.OneByteReader(strings.NewReader(tt.input))} {
				var ids []int64
				var data []string
				events := NewReader(r)
				var err error
				for {
					var ev Event
					if ev, err = events.Next(); err != nil {
						break
					}
					ids, data = append(ids, ev.ID), append(data, string(ev.Data))
				}
				require.ErrorIs(t, err, tt.err)
				require.Equal(t, tt.ids, ids)
				require.Equal(t, tt.data, data)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\n"))
	f.Add([]byte("id: 9223372036854775807\ndata\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events := NewReader(strings.NewReader(string(input)))
		for {
			ev, err := events.Next()
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, ev.ID, int64(0))
			require.NotEmpty(t, ev.Data)
		}
	})
}
