package httpclient

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against answers with a malformed head that are taken for answers, whole or with another body.
func TestMalformedHeadsFail(t *testing.T) {
	for name, answer := range cutanswer.Malformed("X-Field: value\r\n", "twelve bytes") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				status, got, err := exchange(t, c, address, http.MethodPost, call)
				require.ErrorIs(t, err, ErrMalformed, "%s: status %d, body %q", callName, status, got)
				require.ErrorIs(t, err, ErrUnknownOutcome, "%s: status %d, body %q", callName, status, got)
			}
		})
	}
}

// Guards against valid answers that are refused because they are unusual.
func TestOddHeadsAreRead(t *testing.T) {
	const body = "twelve bytes"
	for name, answer := range cutanswer.Odd("X-Field: value\r\n", body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				status, got, err := exchange(t, c, address, http.MethodPost, call)
				require.NoError(t, err, callName)
				require.Equal(t, answer.Status, status, callName)
				require.Equal(t, body, got, callName)
			}
		})
	}
}

// Guards against chunks whose size or end is guessed.
func TestMalformedChunksFail(t *testing.T) {
	for name, framed := range map[string]string{
		"size with a prefix":    "0xc\r\ntwelve bytes\r\n0\r\n\r\n",
		"NUL in a size":         "c\x00\r\ntwelve bytes\r\n0\r\n\r\n",
		"sign in a size":        "+c\r\ntwelve bytes\r\n0\r\n\r\n",
		"empty size":            "\r\ntwelve bytes\r\n0\r\n\r\n",
		"bytes after a chunk":   "c\r\ntwelve bytesXX0\r\n\r\n",
		"size over 64 bits":     "10000000000000000c\r\ntwelve bytes\r\n0\r\n\r\n",
		"size of another chunk": "b\r\ntwelve bytes\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := cutanswer.Answer{Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Framed: framed}
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				_, got, err := exchange(t, c, address, http.MethodPost, call)
				require.ErrorIs(t, err, ErrUnknownOutcome, "%s: body %q", callName, got)
			}
		})
	}
}

// Guards against malformed trailers that change an answer.
func TestMalformedTrailersAreDropped(t *testing.T) {
	for name, trailer := range map[string]string{
		"NUL in a name": "X-\x00Sum: 1\r\n", "blank in a name": "X-Sum : 1\r\n", "no colon": "X-Sum\r\n", "a length": "Content-Length: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := cutanswer.Answers("", "twelve bytes")["chunked"]
			answer.Framed = strings.TrimSuffix(answer.Framed, "\r\n") + trailer + "\r\n"
			address, c := cutanswer.Start(t, answer), New(Options{})
			defer c.Close()
			for callName, call := range calls {
				_, got, err := exchange(t, c, address, http.MethodPost, call)
				require.NoError(t, err, callName)
				require.Equal(t, "twelve bytes", got, callName)
			}
		})
	}
}
