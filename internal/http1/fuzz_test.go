package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var seeds = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\na: b\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\n:\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\n a\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}

// FuzzReader compares what is handed out of bytes that arrive at once and in parts.
func FuzzReader(f *testing.F) {
	for _, seed := range seeds {
		f.Add(seed, 5, 7)
	}
	f.Fuzz(func(t *testing.T, text string, part, size int) {
		part, size = 1+part&63, 1+size&1023
		whole, wholeErr := readAll(NewReader(Options{MaxHeadBytes: limit}), &source{text, max(1, len(text))}, 1<<16)
		parts, partsErr := readAll(NewReader(Options{MaxHeadBytes: limit}), &source{text, part}, size)
		require.Equal(t, wholeErr == nil, partsErr == nil, "%v, %v", wholeErr, partsErr)
		if wholeErr == nil {
			require.Equal(t, whole, parts)
		}
	})
}

// FuzzFraming compares where a body begins and ends with what net/http finds in the same bytes.
func FuzzFraming(f *testing.F) {
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		requests := 0
		got, err := readAll(NewReader(Options{MaxHeadBytes: limit, Complete: func() { requests++ }}), &source{text, max(1, len(text))}, 1<<16)
		if err != nil {
			return
		}
		r := bufio.NewReader(strings.NewReader(got))
		for range requests {
			req, err := http.ReadRequest(r)
			if err != nil {
				// net/http refuses more heads: hosts, targets and values.
				return
			}
			_, err = io.Copy(io.Discard, req.Body)
			require.NoError(t, err, "%q", got)
		}
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		if requests > 0 && len(rest) > 0 {
			// Only a request that isn't complete may follow.
			var h Head
			_, err := h.Scan(rest, testLimit)
			require.NoError(t, err, "%q", got)
		}
	})
}
